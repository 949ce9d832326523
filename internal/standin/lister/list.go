// Package lister is a stand-in for the platform's list of instances, which lags behind changes. It is served in memory
// and over HTTP.
package lister

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/caller"
	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
)

// CallList is the name of the call for which faults can be set.
const CallList = "GET " + lister.PathInstances

// version is the content of the list from a time on.
type version struct {
	since time.Time
	list  []lister.Instance
}

// List is the list of instances. It shows each change only after its lag.
type List struct {
	lag    time.Duration
	clock  func() time.Time
	faults *faulter.Faults

	mu       sync.Mutex
	versions []version
}

var _ lister.Lister = (*List)(nil)

// Option sets one property of a List.
type Option func(*List)

// WithLag sets the delay until a change is shown. The default is no delay.
func WithLag(lag time.Duration) Option { return func(l *List) { l.lag = lag } }

// WithClock sets the clock. The default is time.Now.
func WithClock(clock func() time.Time) Option { return func(l *List) { l.clock = clock } }

// WithFaults sets the faults that are injected into calls.
func WithFaults(f *faulter.Faults) Option { return func(l *List) { l.faults = f } }

// New returns a list that holds the given instances from the start, without the lag.
func New(initial []lister.Instance, options ...Option) *List {
	l := &List{clock: time.Now, versions: []version{{list: slices.Clone(initial)}}}
	for _, o := range options {
		o(l)
	}
	return l
}

// Put adds an instance, or replaces the one with the same ID.
func (l *List) Put(i lister.Instance) {
	l.update(func(list []lister.Instance) []lister.Instance {
		return append(slices.DeleteFunc(list, hasID(i.ID)), i)
	})
}

// MarkLeaving marks an instance as leaving.
func (l *List) MarkLeaving(id string) {
	l.update(func(list []lister.Instance) []lister.Instance {
		if n := slices.IndexFunc(list, hasID(id)); n >= 0 {
			list[n].Leaving = true
		}
		return list
	})
}

// Remove removes an instance.
func (l *List) Remove(id string) {
	l.update(func(list []lister.Instance) []lister.Instance { return slices.DeleteFunc(list, hasID(id)) })
}

func hasID(id string) func(lister.Instance) bool {
	return func(i lister.Instance) bool { return i.ID == id }
}

// update appends a new version of the list and drops the versions that are older than the lag, which no reader can see
// any more.
func (l *List) update(f func([]lister.Instance) []lister.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	last := l.versions[len(l.versions)-1]
	l.versions = append(l.versions, version{now, f(slices.Clone(last.list))})
	for len(l.versions) > 1 && !l.versions[1].since.After(now.Add(-l.lag)) {
		l.versions = l.versions[1:]
	}
}

// List returns the instances as they were one lag ago.
func (l *List) List(ctx context.Context) ([]lister.Instance, error) {
	f, err := l.faults.Inject(ctx, CallList)
	if err == nil && f.Kind == faulter.DropResponse {
		err = f.CallError()
	}
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := l.versions[0]
	for _, v := range l.versions {
		if !v.since.After(l.clock().Add(-l.lag)) {
			visible = v
		}
	}
	return append([]lister.Instance{}, visible.list...), nil
}

// Handler serves the list over HTTP. In addition to reads it accepts a POST of an instance, a DELETE by ID, and a POST
// to an instance's /leave path, which marks it as leaving.
func (l *List) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(lister.PathInstances, l.handleGet).Methods(http.MethodGet)
	r.HandleFunc(lister.PathInstances, l.handlePut).Methods(http.MethodPost)
	r.HandleFunc(lister.PathInstances+"/{id}/leave", l.byID(l.MarkLeaving)).Methods(http.MethodPost)
	r.HandleFunc(lister.PathInstances+"/{id}", l.byID(l.Remove)).Methods(http.MethodDelete)
	return r
}

func (l *List) handleGet(w http.ResponseWriter, r *http.Request) {
	list, err := l.List(r.Context())
	if err != nil {
		caller.MarkRefused(w.Header())
		http.Error(w, err.Error(), merry.HTTPCode(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (l *List) handlePut(w http.ResponseWriter, r *http.Request) {
	var i lister.Instance
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil || i.ID == "" {
		http.Error(w, "not an instance", http.StatusBadRequest)
		return
	}
	l.Put(i)
	w.WriteHeader(http.StatusNoContent)
}

// byID returns a handler that applies a change to the instance whose ID is in the path.
func (l *List) byID(f func(id string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f(mux.Vars(r)["id"])
		w.WriteHeader(http.StatusNoContent)
	}
}
