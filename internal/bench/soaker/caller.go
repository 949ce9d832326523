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
	routeLook  = "look"
	firstKey   = "key1"
	secondKey  = "key2"
)

// serviceOf returns the service of a route.
func serviceOf(route string) string {
	if route == routeModel {
		return "pool"
	}
	return "desk"
}

// path returns the path of a request: each has one of its own.
func path(r Request) string { return "/" + r.Route + "/" + r.ID }

// caller sends requests to one instance, one after another, on connections that it keeps.
type caller struct {
	number   int
	instance int
	address  string
	client   *http.Client
	random   *rand.Rand
	watch    *watch
	done     chan struct{}

	requests []Request
}

// newCaller returns a caller of an instance.
func newCaller(number, instance int, address string, seed uint64, w *watch, done chan struct{}) *caller {
	return &caller{
		number: number, instance: instance, address: address, client: &http.Client{Transport: &http.Transport{}},
		random: rand.New(rand.NewPCG(seed, uint64(number))), watch: w, done: done,
	}
}

// think is the mean pause between two requests of a caller.
const think = 120 * time.Millisecond

// run sends requests until done is closed.
func (c *caller) run(wait *sync.WaitGroup) {
	defer wait.Done()
	defer c.client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-c.done:
			return
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(think))):
		}
		r := Request{
			ID: fmt.Sprintf("c%d-%d", c.number, n), Instance: c.instance, Key: firstKey,
			Route: []string{routeModel, routeModel, routeHold, routeLook}[c.random.IntN(4)],
		}
		if c.random.IntN(8) == 0 {
			r.Key, r.Route = secondKey, routeLook
		}
		c.requests = append(c.requests, c.ask(r))
	}
}

// patience is how long a caller waits for the end of an answer.
const patience = timeout + 2*time.Second

// ask sends a request and returns what came of it.
func (c *caller) ask(r Request) Request {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	method, body := http.MethodPost, "hold this"
	if r.Route == routeLook {
		method, body = http.MethodGet, ""
	}
	r.Sent = time.Now()
	// A body that cannot be read twice keeps the client from sending a request again that was lost with a kept connection.
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path(r), io.NopCloser(strings.NewReader(body)))
	if err != nil {
		r.Err = err.Error()
		return r
	}
	request.ContentLength = int64(len(body))
	hoster.SetCallerHeaders(request, r.ID, r.Key, timeout)
	response, err := c.client.Do(request)
	if err == nil {
		defer response.Body.Close()
		r.Status, r.Stamped = response.StatusCode, hoster.IsAnswerTo(response.Header, r.ID)
		r.After = response.Header.Get("Retry-After")
		var b []byte
		b, err = io.ReadAll(response.Body)
		r.Body = string(b)
	}
	if err != nil {
		r.Err = err.Error()
	}
	r.Ended = time.Now()
	r.Held = c.watch.held(r.Ended, r.Sent)
	return r
}

// watch measures how late the soak's own process is.
type watch struct {
	mu  sync.Mutex
	lag detector.PauseMeter
}

// run beats until done is closed.
func (w *watch) run(wait *sync.WaitGroup, done chan struct{}) {
	defer wait.Done()
	t := time.NewTicker(detector.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			// A tick tells when it was due, not when this goroutine runs.
			w.mu.Lock()
			w.lag.RecordTick(time.Now())
			w.mu.Unlock()
		}
	}
}

// held returns how much of a time the process was held up.
func (w *watch) held(now, since time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lag.PausedFor(now, since)
}
