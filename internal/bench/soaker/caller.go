package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/detector"
	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

// The routes and keys of callers.
const (
	routeModel = "model"
	routeHold  = "hold"
	routeRead  = "look"
	firstKey   = "key1"
	secondKey  = "key2"
)

// serviceOf returns the service that a route leads to.
func serviceOf(route string) string {
	if route == routeModel {
		return "pool"
	}
	return "desk"
}

// requestPath returns the path of a request, which is unique to it.
func requestPath(r Request) string { return "/" + r.Route + "/" + r.ID }

// caller sends requests to one instance, one after another, over kept-alive connections.
type caller struct {
	number   int
	instance int
	address  string
	client   *http.Client
	random   *rand.Rand
	pauses   *pauseRecorder
	stop     chan struct{}

	requests []Request
}

// newCaller returns a caller of an instance, which runs until stop is closed.
func newCaller(number, instance int, address string, seed uint64, p *pauseRecorder, stop chan struct{}) *caller {
	return &caller{
		number: number, instance: instance, address: address, client: &http.Client{Transport: &http.Transport{}},
		random: rand.New(rand.NewPCG(seed, uint64(number))), pauses: p, stop: stop,
	}
}

// meanThinkTime is the mean pause between two requests of a caller.
const meanThinkTime = 120 * time.Millisecond

// run sends requests until stop is closed.
func (c *caller) run(wait *sync.WaitGroup) {
	defer wait.Done()
	defer c.client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(meanThinkTime))):
		}
		r := Request{
			ID: fmt.Sprintf("c%d-%d", c.number, n), Instance: c.instance, Key: firstKey,
			Route: []string{routeModel, routeModel, routeHold, routeRead}[c.random.IntN(4)],
		}
		if c.random.IntN(8) == 0 {
			r.Key, r.Route = secondKey, routeRead
		}
		c.requests = append(c.requests, c.send(r))
	}
}

// callerTimeout is how long a caller waits for the end of an answer.
const callerTimeout = timeout + 2*time.Second

// send sends a request and returns it with the outcome filled in.
func (c *caller) send(r Request) Request {
	if r.Route == routeRead {
		return c.sendTo(r, requestPath(r), "")
	}
	return c.sendTo(r, requestPath(r), "hold this")
}

// sendTo sends a request to a path. One without a body is a GET.
func (c *caller) sendTo(r Request, path, body string) Request {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	r.SentAt = time.Now()
	// A body that cannot be rewound keeps the HTTP client from resending a request that was lost with a kept-alive
	// connection.
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		r.Err = err.Error()
		return r
	}
	request.ContentLength = int64(len(body))
	hoster.SetCallerHeaders(request, r.ID, r.Key, timeout)
	response, err := c.client.Do(request)
	if err == nil {
		defer response.Body.Close()
		r.Status, r.IsOwnAnswer = response.StatusCode, hoster.IsAnswerTo(response.Header, r.ID)
		r.RetryAfter = response.Header.Get("Retry-After")
		r.Server, r.HasStatement = hoster.AnsweredBy(response.Header), hasStatement(response.Header)
		var b []byte
		b, err = io.ReadAll(response.Body)
		r.Body = string(b)
	}
	if err != nil {
		r.Err = err.Error()
	}
	r.EndedAt = time.Now()
	r.PausedFor = c.pauses.pausedFor(r.EndedAt, r.SentAt)
	return r
}

// pauseRecorder measures pauses of the soak process itself.
type pauseRecorder struct {
	mu    sync.Mutex
	meter detector.PauseMeter
}

// run records ticks until done is closed.
func (p *pauseRecorder) run(wait *sync.WaitGroup, done chan struct{}) {
	defer wait.Done()
	t := time.NewTicker(detector.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			// A tick carries the time at which it was due, not the time at which this goroutine runs, so the current
			// time is recorded.
			p.mu.Lock()
			p.meter.RecordTick(time.Now())
			p.mu.Unlock()
		}
	}
}

// pausedFor returns for how long the process was paused between since and now.
func (p *pauseRecorder) pausedFor(now, since time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meter.PausedFor(now, since)
}
