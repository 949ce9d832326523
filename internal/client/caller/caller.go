// Package caller calls the platform's services over HTTP and reports whether each call ran, did not run, or may have
// run.
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

	"github.com/heatherrock/heatherrock/internal/client/verifier"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// Defaults of the options and of the transport.
const (
	defaultTimeout      = 5 * time.Second
	defaultMaxBodyBytes = 64 << 20
	idleConnTimeout     = 30 * time.Second
	maxIdleConns        = 64
)

// Caller calls one service of the platform.
type Caller struct {
	base         string
	client       *http.Client
	timeout      time.Duration
	maxBodyBytes int64
}

// Option sets one property of a Caller.
type Option func(*Caller)

// WithTransport sets the transport. The transport must not retry requests by itself.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Caller) { c.client.Transport = t }
}

// WithTimeout limits the duration of each call. The default is 5 s.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Caller) { c.timeout = timeout }
}

// WithMaxBodyBytes limits the body of a response, in bytes. The default is 64 MiB.
func WithMaxBodyBytes(size int64) Option {
	return func(c *Caller) { c.maxBodyBytes = size }
}

// New returns a caller of the service at a base URL.
func New(base string, options ...Option) *Caller {
	c := &Caller{
		base:         base,
		timeout:      defaultTimeout,
		maxBodyBytes: defaultMaxBodyBytes,
		client: &http.Client{
			Transport: verifier.NewTransport(&http.Transport{
				DialContext:         (&net.Dialer{Timeout: defaultTimeout}).DialContext,
				MaxIdleConnsPerHost: maxIdleConns,
				IdleConnTimeout:     idleConnTimeout,
			}),
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

// HeaderOutcome is the response header whose value "not-run" states that the service did not run the call.
const HeaderOutcome = "Heatherrock-Outcome"

// MarkRefused sets the header that marks a response as refused, that is, not run. Call it before the response is
// written.
func MarkRefused(h http.Header) {
	h.Set(HeaderOutcome, classifier.VerdictNotRun.String())
}

// Result is the result of a call. Status and Body are set if the service responded. The outcome is Completed for a
// status of 2xx or 404, Refused if HeaderOutcome says so, NotSent if no connection was available, and Unknown
// otherwise.
type Result struct {
	Outcome classifier.Outcome
	Status  int
	Body    []byte
}

// Call sends one request, at most once. The error explains an outcome other than Completed.
func (c *Caller) Call(ctx context.Context, method, path string, query url.Values, body []byte) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := c.newRequest(ctx, method, path, query.Encode(), body)
	if err != nil {
		return Result{Outcome: classifier.NotSent}, err
	}
	resp, err := c.client.Do(r)
	if err != nil && !connected.Load() {
		return Result{Outcome: classifier.NotSent}, err
	}
	if err != nil {
		return Result{Outcome: classifier.Unknown}, err
	}
	defer resp.Body.Close()
	return c.readResponse(resp)
}

// newRequest returns a request that the transport cannot retry, because its body cannot be read twice.
func (c *Caller) newRequest(ctx context.Context, method, path, query string, body []byte) (*http.Request, error) {
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

// readResponse reads the response. The outcome of a truncated or oversized one is Unknown, as if it were lost.
func (c *Caller) readResponse(resp *http.Response) (Result, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBodyBytes+1))
	if err != nil {
		return Result{Outcome: classifier.Unknown}, err
	}
	if int64(len(body)) > c.maxBodyBytes {
		return Result{Outcome: classifier.Unknown}, merry.Errorf("answer is larger than %d bytes", c.maxBodyBytes)
	}
	result := Result{Outcome: responseOutcome(resp), Status: resp.StatusCode, Body: body}
	if result.Outcome == classifier.Completed {
		return result, nil
	}
	return result, merry.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(body))
}

// responseOutcome returns the outcome that a response proves. An error status alone proves nothing, since an
// intermediate gateway may have sent it after the service ran the call.
func responseOutcome(resp *http.Response) classifier.Outcome {
	switch {
	case resp.StatusCode >= 200 && resp.StatusCode < 300, resp.StatusCode == http.StatusNotFound:
		return classifier.Completed
	case classifier.ResponseOutcome(resp.StatusCode, resp.Header.Get(HeaderOutcome)) == classifier.Refused:
		return classifier.Refused
	default:
		return classifier.Unknown
	}
}
