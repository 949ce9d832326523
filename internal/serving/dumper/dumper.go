// Package dumper shows the state of each part of a process, and whether the process is live and ready.
package dumper

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Part returns the exported state of one part of the process at now.
type Part func(now time.Time) any

// Ready returns why the process is not ready at now, or an empty text.
type Ready func(now time.Time) string

// Dumper holds the parts of one process.
type Dumper struct {
	clock func() time.Time
	ready Ready
	guard func(http.HandlerFunc) http.HandlerFunc

	mu    sync.Mutex
	parts map[string]Part
}

// Option changes a Dumper under construction.
type Option func(*Dumper)

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option { return func(d *Dumper) { d.clock = clock } }

// WithReady sets the check of readiness. Without it the process is always ready.
func WithReady(r Ready) Option { return func(d *Dumper) { d.ready = r } }

// WithGuard sets what lets operators in only to the state. Without it everybody is let in. Health and readiness are
// open to all.
func WithGuard(guard func(http.HandlerFunc) http.HandlerFunc) Option {
	return func(d *Dumper) { d.guard = guard }
}

// New returns a dumper without parts.
func New(options ...Option) *Dumper {
	d := &Dumper{clock: time.Now, ready: func(time.Time) string { return "" }, parts: map[string]Part{}}
	d.guard = func(h http.HandlerFunc) http.HandlerFunc { return h }
	for _, o := range options {
		o(d)
	}
	return d
}

// Add adds a part under a name of one word.
func (d *Dumper) Add(name string, p Part) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parts[name] = p
}

// Register adds the routes of state, health and readiness.
func (d *Dumper) Register(r *mux.Router) {
	r.HandleFunc("/state", d.guard(d.state)).Methods(http.MethodGet)
	r.HandleFunc("/state/{part}", d.guard(d.state)).Methods(http.MethodGet)
	r.HandleFunc("/healthz", d.health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", d.readiness).Methods(http.MethodGet)
}

// State returns the state of every part at now.
func (d *Dumper) State(now time.Time) map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := make(map[string]any, len(d.parts))
	for name, p := range d.parts {
		state[name] = p(now)
	}
	return state
}

// state answers with the state of one part or of all.
func (d *Dumper) state(w http.ResponseWriter, r *http.Request) {
	state := d.State(d.clock())
	var content any = state
	if name, ok := mux.Vars(r)["part"]; ok {
		part, found := state[name]
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

// health answers that the process runs.
func (d *Dumper) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// readiness answers whether the balancer should send requests.
func (d *Dumper) readiness(w http.ResponseWriter, _ *http.Request) {
	if reason := d.ready(d.clock()); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
