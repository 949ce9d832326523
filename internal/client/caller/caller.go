// Package caller calls the platform's services over HTTP and tells truthfully what became of each call.
package caller

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The defaults of the options.
const (
	defaultTimeout = 5 * time.Second
	defaultBody    = 64 << 20
	idleTime       = 30 * time.Second
	idleConns      = 64
)

// Caller calls one service of the platform.
type Caller struct {
	base    string
	client  *http.Client
	timeout time.Duration
	body    int64
}

// Option sets one property of a Caller.
type Option func(*Caller)

// WithTransport sets the transport. It must not repeat a request of its own accord.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Caller) { c.client.Transport = t }
}

// WithTimeout bounds each call. It is 5 s if not set.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Caller) { c.timeout = timeout }
}

// WithBody bounds the body of an answer, in bytes. It is 64 MiB if not set.
func WithBody(size int64) Option {
	return func(c *Caller) { c.body = size }
}

// New returns a caller of the service at a base URL.
func New(base string, options ...Option) *Caller {
	c := &Caller{
		base:    base,
		timeout: defaultTimeout,
		body:    defaultBody,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: defaultTimeout}).DialContext,
				MaxIdleConnsPerHost: idleConns,
				IdleConnTimeout:     idleTime,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Close closes the idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// HeaderOutcome is the header by which a service says, with the value "not-run", that it did not run a call.
const HeaderOutcome = "Heatherrock-Outcome"

// Refuse marks an answer that is not yet written as a refusal.
func Refuse(h http.Header) {
	h.Set(HeaderOutcome, classifier.VerdictNotRun.String())
}

// Answer is what became of a call. Status and Body are set if the service answered. The outcome is Completed for a
// status of 2xx or 404, Refused if the service said so by HeaderOutcome, NotSent if no connection was there to write
// to, and Unknown otherwise.
type Answer struct {
	Outcome classifier.Outcome
	Status  int
	Body    []byte
}

// Call sends one request, at most once. The error explains an outcome other than Completed.
func (c *Caller) Call(ctx context.Context, method, path string, query url.Values, body []byte) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := c.request(ctx, method, path, query.Encode(), body)
	if err != nil {
		return Answer{Outcome: classifier.NotSent}, err
	}
	p, err := c.client.Do(r)
	if err != nil && !connected.Load() {
		return Answer{Outcome: classifier.NotSent}, err
	}
	if err != nil {
		return Answer{Outcome: classifier.Unknown}, err
	}
	defer p.Body.Close()
	return c.read(p)
}

// request returns a request that the transport cannot repeat: its body cannot be read again.
func (c *Caller) request(ctx context.Context, method, path, query string, body []byte) (*http.Request, error) {
	u := c.base + path
	if query != "" {
		u += "?" + query
	}
	if body == nil {
		return http.NewRequestWithContext(ctx, method, u, nil)
	}
	r, err := http.NewRequestWithContext(ctx, method, u, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

// read reads the answer. One that is cut short is as good as lost.
func (c *Caller) read(p *http.Response) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(p.Body, c.body+1))
	if err != nil {
		return Answer{Outcome: classifier.Unknown}, err
	}
	if int64(len(body)) > c.body {
		return Answer{Outcome: classifier.Unknown}, merry.Errorf("answer is larger than %d bytes", c.body)
	}
	a := Answer{Outcome: outcome(p), Status: p.StatusCode, Body: body}
	if a.Outcome == classifier.Completed {
		return a, nil
	}
	return a, merry.Errorf("status %d: %s", p.StatusCode, bytes.TrimSpace(body))
}

// outcome returns the outcome that an answer stands for. A status alone proves nothing, since a gateway on the way may
// have given it after the service ran the call.
func outcome(p *http.Response) classifier.Outcome {
	switch {
	case p.StatusCode >= 200 && p.StatusCode < 300, p.StatusCode == http.StatusNotFound:
		return classifier.Completed
	case classifier.ResponseOutcome(p.StatusCode, p.Header.Get(HeaderOutcome)) == classifier.Refused:
		return classifier.Refused
	default:
		return classifier.Unknown
	}
}
