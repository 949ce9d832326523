package streamer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/client/caller"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

const (
	// lineLimit bounds one line of a stream, in bytes.
	lineLimit = 1 << 20
	// answerLimit bounds an answer that is not a stream, in bytes.
	answerLimit = 8 << 20
	// connections bounds the idle connections kept to one endpoint.
	connections = 64
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
)

// Client talks to model engines. Each endpoint has a pool of connections of its own, so that one endpoint's silent
// connections can be replaced without touching another's.
type Client struct {
	mu    sync.Mutex
	pools map[string]*http.Transport
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{pools: map[string]*http.Transport{}}
}

// pool returns the connections to an address.
func (c *Client) pool(address string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: connections,
			DisableCompression:  true,
		}
		c.pools[address] = p
	}
	return p
}

// Replace abandons the idle connections to an address: the next call opens a new one.
func (c *Client) Replace(address string) {
	c.mu.Lock()
	p, ok := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if ok {
		p.CloseIdleConnections()
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.CloseIdleConnections()
	}
}

// send sends one request with a body of JSON. The outcome is NotSent if no byte left, and Unknown otherwise.
func (c *Client) send(ctx context.Context, method, address, path string, body any) (*http.Response, classifier.Outcome, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return nil, classifier.NotSent, merry.Wrap(err)
	}
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { wrote.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	// A reader without GetBody keeps the transport from sending the request again by itself.
	reader := struct{ io.Reader }{bytes.NewReader(content)}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return nil, classifier.NotSent, merry.Wrap(err)
	}
	r.ContentLength = int64(len(content))
	r.Header.Set("Content-Type", "application/json")
	answer, err := c.pool(address).RoundTrip(r)
	if err != nil {
		if !wrote.Load() {
			return nil, classifier.NotSent, merry.Wrap(err)
		}
		return nil, classifier.Unknown, merry.Wrap(err)
	}
	return answer, classifier.Completed, nil
}

// Stream is an open attempt at an answer. Next and Close are for one goroutine each.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	cancel  context.CancelFunc
	// ran is what was last run for a token, and known its field as it was sent.
	ran   []Stage
	known []byte
	// raw and rest are buffers: what was run, not yet decoded, and a line without it.
	raw  json.RawMessage
	rest []byte
}

// line is a step whose Ran is not yet decoded.
type line struct {
	*Step
	Ran *json.RawMessage `json:"ran"`
}

// Open sends a request to the endpoint of its first stage. Without an error the outcome is Completed and the stream is
// open; otherwise it says what is known of the attempt.
func (c *Client) Open(ctx context.Context, r Request) (*Stream, classifier.Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	answer, outcome, err := c.send(ctx, http.MethodPost, r.Stages[0].Address, "/engine/streams", r)
	if err != nil {
		cancel()
		return nil, outcome, err
	}
	if answer.StatusCode != http.StatusOK {
		defer cancel()
		defer answer.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(answer.Body, lineLimit))
		return nil, refusal(answer), merry.Errorf("endpoint %s: %s: %s", r.Stages[0].Endpoint, answer.Status, bytes.TrimSpace(text))
	}
	scanner := bufio.NewScanner(answer.Body)
	scanner.Buffer(make([]byte, 0, 4096), lineLimit)
	return &Stream{body: answer.Body, scanner: scanner, cancel: cancel}, classifier.Completed, nil
}

// refusal returns the outcome of an answer other than 200. Engines answer 4xx before they run anything; a server error
// counts as a refusal only if it says so, since something between the two ends may have given it.
func refusal(a *http.Response) classifier.Outcome {
	clientError := a.StatusCode >= 400 && a.StatusCode < 500
	if clientError || classifier.ResponseOutcome(a.StatusCode, a.Header.Get(caller.HeaderOutcome)) == classifier.Refused {
		return classifier.Refused
	}
	return classifier.Unknown
}

// Next returns the next step. Its Ran may be shared with other steps and must not be changed. It returns io.EOF if the stream has stopped without an explicit end.
func (s *Stream) Next() (Step, error) {
	if !s.scanner.Scan() {
		if err := s.scanner.Err(); err != nil {
			return Step{}, merry.Wrap(err)
		}
		return Step{}, io.EOF
	}
	step, err := s.decode(s.scanner.Bytes())
	if err != nil {
		return Step{}, merry.Prepend(err, "step")
	}
	return step, nil
}

// ranField begins the field that holds what was run. In valid JSON it is never a part of a string, for a quote within a
// string follows a backslash.
const ranField = `,"ran":`

// decode returns the step of a line. Tokens of an attempt run the same stages, so Ran is decoded when it differs from the
// one before, and else shared: it must not be changed.
func (s *Stream) decode(text []byte) (Step, error) {
	var step Step
	if at := bytes.Index(text, s.known); len(s.known) > 0 && at >= 0 {
		s.rest = append(append(s.rest[:0], text[:at]...), text[at+len(s.known):]...)
		text, step.Ran = s.rest, s.ran
	}
	s.raw = s.raw[:0]
	if err := json.Unmarshal(text, &line{Step: &step, Ran: &s.raw}); err != nil {
		return Step{}, err
	}
	if len(s.raw) == 0 {
		return step, nil
	}
	var ran []Stage
	if err := json.Unmarshal(s.raw, &ran); err != nil {
		return Step{}, err
	}
	step.Ran, s.ran = ran, ran
	s.known = append(append(s.known[:0], ranField...), s.raw...)
	return step, nil
}

// Close ends the stream and its connection if the answer is not complete. It may be called during Next.
func (s *Stream) Close() {
	s.cancel()
	_ = s.body.Close()
}

// Cancel tells the endpoint of the first stage to give up an attempt.
func (c *Client) Cancel(ctx context.Context, address, request string, attempt int) error {
	path := fmt.Sprintf("/engine/streams/%s/%d", url.PathEscape(request), attempt)
	return c.call(ctx, http.MethodDelete, address, path, nil, nil)
}

// Load returns an endpoint's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	err := c.call(ctx, http.MethodGet, address, "/engine/load", nil, &l)
	return l, err
}

// Events returns an endpoint's cache events with sequence numbers above after.
func (c *Client) Events(ctx context.Context, address string, after int64) ([]Event, error) {
	var events []Event
	err := c.call(ctx, http.MethodGet, address, fmt.Sprintf("/engine/events?after=%d", after), nil, &events)
	return events, err
}

// call sends a request and decodes its answer into result, unless that is nil.
func (c *Client) call(ctx context.Context, method, address, path string, body, result any) error {
	answer, _, err := c.send(ctx, method, address, path, body)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, answerLimit))
	if err != nil {
		return merry.Wrap(err)
	}
	if answer.StatusCode/100 != 2 {
		return merry.Errorf("%s %s: %s: %s", method, path, answer.Status, bytes.TrimSpace(content))
	}
	if result == nil {
		return nil
	}
	return merry.Wrap(json.Unmarshal(content, result))
}
