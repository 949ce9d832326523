//go:build review

package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

// Client sends requests to one machine over connections that it keeps.
type Client struct {
	machine *Machine
	http    *http.Client
	lab     *Lab
}

// NewClient returns a client of a machine.
func (l *Lab) NewClient(m *Machine) *Client {
	return &Client{m, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, l}
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Sent is a request and what its client got.
type Sent struct {
	At     time.Time
	Took   time.Duration
	ID     string
	Status int
	// Kept reports whether the connection had served another request before.
	Kept bool
	// Whole reports whether the answer is the server's own whole one.
	Whole bool
	// Err is the error of the connection, if there was one.
	Err string
}

// gapLimit is the gap after which clients abandon a stream, also before its first event.
const gapLimit = 2 * time.Second

// readAll reads a body. The client leaves a stream after a gap.
func readAll(body io.Reader, isStream bool, leave context.CancelFunc) ([]byte, error) {
	if !isStream {
		return io.ReadAll(body)
	}
	gap := time.AfterFunc(gapLimit, leave)
	defer gap.Stop()
	var out []byte
	b := make([]byte, 4096)
	for {
		n, err := body.Read(b)
		out = append(out, b[:n]...)
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		gap.Reset(gapLimit)
	}
}

// attempts numbers the requests of the process.
var attempts atomic.Uint64

// NewID returns the id of an attempt.
func NewID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a00000+attempts.Add(1)) }

// Send sends a request with a key and waits for its answer. An unsafe or streaming request has a body.
func (c *Client) Send(prefix, key string, deadline time.Duration, body []byte) Sent {
	return c.SendPrompt(prefix, key, deadline, body, "5c1e07a2:40,"+NewID()[8:]+":760")
}

// SendPrompt is Send with the parts of the prompt of a request for the model.
func (c *Client) SendPrompt(prefix, key string, deadline time.Duration, body []byte, parts string) Sent {
	s := Sent{At: time.Now(), ID: NewID()}
	method := http.MethodPost
	var reader io.Reader
	if body == nil {
		method = http.MethodGet
	} else {
		// The http package sends a request again by itself only if its body can be read again.
		reader = io.MultiReader(bytes.NewReader(body))
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { s.Kept = i.Reused }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+c.machine.Front()+prefix+"2f", reader)
	if err != nil {
		panic(err) // The script passed a prefix that is no path.
	}
	r.ContentLength = int64(len(body))
	r.Host = Host
	r.Header.Set("X-Heatherrock-Attempt-Id", s.ID)
	r.Header.Set("X-Heatherrock-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	if prefix == DraftPrefix {
		r.Header.Set("X-Heatherrock-Model", "m")
		r.Header.Set("X-Heatherrock-Token-Count", fmt.Sprintf("800,%d", 3*EventCount))
		r.Header.Set("X-Heatherrock-Prefix-Hash", parts)
	}
	if prefix == DraftPrefix {
		head := time.AfterFunc(gapLimit, cancel)
		defer head.Stop()
		trace.GotFirstResponseByte = func() { head.Stop() }
	}
	response, err := c.http.Do(r)
	if err == nil {
		s.Status = response.StatusCode
		var answer []byte
		answer, err = readAll(response.Body, prefix == DraftPrefix, cancel)
		_ = response.Body.Close()
		stamped := strings.HasSuffix(response.Header.Get("X-Heatherrock-Server-Stamp"), "-"+s.ID)
		s.Whole = err == nil && s.Status == http.StatusOK && stamped && (prefix == DraftPrefix || string(answer) == "answer to "+s.ID)
	}
	if err != nil {
		s.Err = err.Error()
	}
	s.Took = time.Since(s.At)
	c.lab.Record.Line("sent to %s: %s %s key %q, answered after %.3f s: status %d whole %v error %q", c.machine.Name, s.ID, prefix, key, s.Took.Seconds(), s.Status, s.Whole, s.Err)
	return s
}
