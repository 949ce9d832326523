// Package dumper serves the state of each part of a process, and its health and readiness, over HTTP.
package dumper

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// StateFunc returns the state of one part of the process at now, to be encoded as JSON.
type StateFunc func(now time.Time) any

// ReadyFunc returns why the process is not ready at now, or an empty string if it is.
type ReadyFunc func(now time.Time) string

// Dumper serves the state of the parts of one process. Its methods are safe for concurrent use.
type Dumper struct {
	clock func() time.Time
	ready ReadyFunc
	guard func(http.HandlerFunc) http.HandlerFunc

	mu    sync.Mutex
	parts map[string]StateFunc
}

// Option changes a Dumper under construction.
type Option func(*Dumper)

// WithClock sets the clock.
func WithClock(clock func() time.Time) Option { return func(d *Dumper) { d.clock = clock } }

// WithReady sets the check of readiness. Without it the process is always ready.
func WithReady(r ReadyFunc) Option { return func(d *Dumper) { d.ready = r } }

// WithGuard sets the middleware that authenticates operators for the state routes. Without it the state is public. Health
// and readiness are always public.
func WithGuard(guard func(http.HandlerFunc) http.HandlerFunc) Option {
	return func(d *Dumper) { d.guard = guard }
}

// New returns a dumper without parts.
func New(options ...Option) *Dumper {
	d := &Dumper{clock: time.Now, ready: func(time.Time) string { return "" }, parts: map[string]StateFunc{}}
	d.guard = func(h http.HandlerFunc) http.HandlerFunc { return h }
	for _, o := range options {
		o(d)
	}
	return d
}

// Add adds a part. Its name is one word, and part of the URL.
func (d *Dumper) Add(name string, f StateFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parts[name] = f
}

// Register adds the routes for state, health and readiness.
func (d *Dumper) Register(r *mux.Router) {
	r.HandleFunc("/state", d.guard(d.serveState)).Methods(http.MethodGet)
	r.HandleFunc("/state/{part}", d.guard(d.serveState)).Methods(http.MethodGet)
	r.HandleFunc("/healthz", d.serveHealth).Methods(http.MethodGet)
	r.HandleFunc("/readyz", d.serveReadiness).Methods(http.MethodGet)
}

// State returns the state of every part at now.
func (d *Dumper) State(now time.Time) map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := make(map[string]any, len(d.parts))
	for name, f := range d.parts {
		state[name] = f(now)
	}
	return state
}

// serveState responds with the state of one part or of all, as JSON.
func (d *Dumper) serveState(w http.ResponseWriter, r *http.Request) {
	states := d.State(d.clock())
	var content any = states
	if name, ok := mux.Vars(r)["part"]; ok {
		part, found := states[name]
		if !found {
			http.Error(w, "there is no part "+name, http.StatusNotFound)
			return
		}
		content = part
	}
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(content)
}

// serveHealth responds that the process is alive.
func (d *Dumper) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// serveReadiness responds whether the load balancer should send requests to this process.
func (d *Dumper) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if reason := d.ready(d.clock()); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
