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
	"github.com/heatherrock/heatherrock/internal/client/verifier"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

const (
	// maxLineBytes bounds one line of a stream, in bytes.
	maxLineBytes = 1 << 20
	// maxResponseBytes bounds a response that is not a stream, in bytes.
	maxResponseBytes = 8 << 20
	// maxIdleConns bounds the idle connections kept per endpoint.
	maxIdleConns = 64
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
)

// Client calls model engines. Each endpoint has its own connection pool, so that the unresponsive connections of one
// endpoint can be replaced without affecting the others.
type Client struct {
	mu    sync.Mutex
	pools map[string]*verifier.Transport
}

// NewClient returns a client that opens connections on demand.
func NewClient() *Client {
	return &Client{pools: map[string]*verifier.Transport{}}
}

// pool returns the connection pool of an address.
func (c *Client) pool(address string) *verifier.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = verifier.NewTransport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			DisableCompression:  true,
		})
		c.pools[address] = p
	}
	return p
}

// Replace discards the connection pool of an address, so that the next call opens a new connection.
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

// send sends one request with a JSON body. On an error the outcome is NotSent if no byte was written and Unknown
// otherwise.
func (c *Client) send(ctx context.Context, method, address, path string, body any) (*http.Response, classifier.Outcome, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return nil, classifier.NotSent, merry.Wrap(err)
	}
	var headerWritten atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { headerWritten.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	// The wrapped reader leaves GetBody unset, which keeps the transport from retrying the request by itself.
	reader := struct{ io.Reader }{bytes.NewReader(content)}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return nil, classifier.NotSent, merry.Wrap(err)
	}
	r.ContentLength = int64(len(content))
	r.Header.Set("Content-Type", "application/json")
	response, err := c.pool(address).RoundTrip(r)
	if err != nil {
		if !headerWritten.Load() {
			return nil, classifier.NotSent, merry.Wrap(err)
		}
		return nil, classifier.Unknown, merry.Wrap(err)
	}
	return response, classifier.Completed, nil
}

// Stream is the open response stream of one attempt. Next must be called by one goroutine only, and so must Close,
// though not necessarily by the same one.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	cancel  context.CancelFunc
	// lastStages holds the stages last decoded, and lastStagesField the JSON field that they were decoded from.
	lastStages      []Stage
	lastStagesField []byte
	// rawStages and lineBuffer are reused buffers: the stages of a line before decoding, and a line without its stages.
	rawStages  json.RawMessage
	lineBuffer []byte
}

// rawStep is a step whose ExecutedStages are not decoded yet.
type rawStep struct {
	*Step
	ExecutedStages *json.RawMessage `json:"ran"`
}

// Open sends a request to the endpoint of its first stage. Without an error the outcome is Completed and the stream is
// open; otherwise the outcome says whether the attempt may have run.
func (c *Client) Open(ctx context.Context, r Request) (*Stream, classifier.Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	response, outcome, err := c.send(ctx, http.MethodPost, r.Stages[0].Address, "/engine/streams", r)
	if err != nil {
		cancel()
		return nil, outcome, err
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		defer response.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
		return nil, refusalOutcome(response), merry.Errorf("endpoint %s: %s: %s", r.Stages[0].Endpoint, response.Status, bytes.TrimSpace(text))
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &Stream{body: response.Body, scanner: scanner, cancel: cancel}, classifier.Completed, nil
}

// refusalOutcome returns the outcome of a response with a status other than 200. Engines send 4xx before they run
// anything. A server error counts as a refusal only if its headers say so, since an intermediary may have sent it.
func refusalOutcome(response *http.Response) classifier.Outcome {
	clientError := response.StatusCode >= 400 && response.StatusCode < 500
	if clientError || classifier.ResponseOutcome(response.StatusCode, response.Header.Get(caller.HeaderOutcome)) == classifier.Refused {
		return classifier.Refused
	}
	return classifier.Unknown
}

// Next returns the next step. Its ExecutedStages may be shared with other steps and must not be changed. Next returns
// io.EOF at the end of the response body. Without a final step before it, the stream stopped without an explicit end.
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

// stagesFieldPrefix is the start of the JSON field of the executed stages. In valid JSON it never occurs within a
// string, since a quote in a string is escaped by a backslash.
const stagesFieldPrefix = `,"ran":`

// decode returns the step of a line. The tokens of an attempt usually run through the same stages, so ExecutedStages is
// decoded only when it differs from that of the previous step; otherwise the slice is shared and must not be changed.
func (s *Stream) decode(text []byte) (Step, error) {
	var step Step
	if start := bytes.Index(text, s.lastStagesField); len(s.lastStagesField) > 0 && start >= 0 {
		s.lineBuffer = append(append(s.lineBuffer[:0], text[:start]...), text[start+len(s.lastStagesField):]...)
		text, step.ExecutedStages = s.lineBuffer, s.lastStages
	}
	s.rawStages = s.rawStages[:0]
	if err := json.Unmarshal(text, &rawStep{Step: &step, ExecutedStages: &s.rawStages}); err != nil {
		return Step{}, err
	}
	if len(s.rawStages) == 0 {
		return step, nil
	}
	var stages []Stage
	if err := json.Unmarshal(s.rawStages, &stages); err != nil {
		return Step{}, err
	}
	step.ExecutedStages, s.lastStages = stages, stages
	s.lastStagesField = append(append(s.lastStagesField[:0], stagesFieldPrefix...), s.rawStages...)
	return step, nil
}

// Close ends the stream, and closes its connection if the response is not complete. It may be called during Next.
func (s *Stream) Close() {
	s.cancel()
	_ = s.body.Close()
}

// Cancel asks the endpoint of the first stage to cancel an attempt.
func (c *Client) Cancel(ctx context.Context, address, request string, attempt int) error {
	path := fmt.Sprintf("/engine/streams/%s/%d", url.PathEscape(request), attempt)
	return c.call(ctx, http.MethodDelete, address, path, nil, nil)
}

// Load returns an endpoint's load report. A response that names no endpoint or has no time is an error: the endpoint would seem to hold
// no layers.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	if err := c.call(ctx, http.MethodGet, address, "/engine/load", nil, &l); err != nil {
		return Load{}, err
	}
	if l.Endpoint == "" || l.ReportedAtMillis <= 0 {
		return Load{}, merry.Errorf("load report of %s: without an endpoint or a time", address)
	}
	return l, nil
}

// Events returns an endpoint's cache events whose sequence numbers are greater than after.
func (c *Client) Events(ctx context.Context, address string, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.call(ctx, http.MethodGet, address, fmt.Sprintf("/engine/events?after=%d", after), nil, &events)
	return events, err
}

// call sends a request and decodes the response into result, unless result is nil.
func (c *Client) call(ctx context.Context, method, address, path string, body, result any) error {
	response, _, err := c.send(ctx, method, address, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return merry.Wrap(err)
	}
	if response.StatusCode/100 != 2 {
		return merry.Errorf("%s %s: %s: %s", method, path, response.Status, bytes.TrimSpace(content))
	}
	if result == nil {
		return nil
	}
	return merry.Wrap(json.Unmarshal(content, result))
}
