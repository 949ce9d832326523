// Package faulter injects faults into stand-ins. Each stand-in has one set of faults, matched by call and set in code
// or over HTTP.
package faulter

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind is what a fault does to a call.
type Kind string

// The kinds of faults.
const (
	// Refuse responds that the call is not run.
	Refuse Kind = "refuse"
	// Crash ends the stand-in's process: its connections are cut, and new ones are refused until it is restored.
	Crash Kind = "crash"
	// Delay waits before the call runs.
	Delay Kind = "delay"
	// DropResponse runs the call and then cuts the connection instead of sending the response.
	DropResponse Kind = "lose"
	// Hang keeps the connection open and sends nothing more on it.
	Hang Kind = "silent"
	// Repeat runs the call twice, or sends a line of a stream twice.
	Repeat Kind = "repeat"
	// RunLate fails the call for the caller and runs it after the delay. Only the table service supports it.
	RunLate Kind = "late"
	// SkipLayer leaves out the last layer of a step. Only engines support it.
	SkipLayer Kind = "skip"
)

var kinds = []Kind{Refuse, Crash, Delay, DropResponse, Hang, Repeat, RunLate, SkipLayer}

// Fault is one fault of the calls that begin with CallPrefix: a method and a path, as in "POST /commits". An empty
// CallPrefix matches every call.
type Fault struct {
	CallPrefix string `json:"call"`
	Kind       Kind   `json:"kind"`
	// MaxHits is the maximum number of hits. 0 means no limit.
	MaxHits int `json:"count,omitempty"`
	// SkipCalls is the number of further matching calls that pass before the fault hits one.
	SkipCalls int `json:"skip,omitempty"`
	// Chance is the probability that the fault hits a matching call. 0 means that it always does.
	Chance float64 `json:"chance,omitempty"`
	// DelayMillis is the time, in milliseconds, by which a call is delayed or run late.
	DelayMillis int64 `json:"delay,omitempty"`
	// AfterLines is the number of lines of a stream that are sent before the fault hits. 0 means that it hits before
	// the call runs.
	AfterLines int `json:"after,omitempty"`
	// OpenConnectionsOnly restricts the fault to connections that were opened before the fault was added.
	OpenConnectionsOnly bool `json:"open,omitempty"`
	// Hits is the number of calls that the fault hit.
	Hits int `json:"hits"`

	addedAt time.Time
}

// DelayDuration returns DelayMillis as a duration.
func (f Fault) DelayDuration() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}

// validate returns an error if a fault's kind is unknown or one of its numbers is out of range.
func (f Fault) validate() error {
	for _, k := range kinds {
		if k != f.Kind {
			continue
		}
		if f.MaxHits < 0 || f.SkipCalls < 0 || f.DelayMillis < 0 || f.AfterLines < 0 || f.Chance < 0 || f.Chance > 1 {
			return merry.Errorf("fault of %q: a number is out of range", f.CallPrefix)
		}
		return nil
	}
	return merry.Errorf("unknown kind of fault %q", f.Kind)
}

// Faults is the set of faults of one stand-in. The zero value has none, and its faults with a Chance never hit, because
// only NewFaults sets a seed.
type Faults struct {
	mu          sync.Mutex
	random      *rand.Rand
	list        []*Fault
	crashServer func()
	down        bool
}

// NewFaults returns an empty set whose random choices follow from the seed.
func NewFaults(seed uint64) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, seed))}
}

// AddFaults adds faults. It returns an error, and adds none, if one of them is invalid.
func (f *Faults) AddFaults(faults ...Fault) error {
	for _, n := range faults {
		if err := n.validate(); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range faults {
		n.addedAt = time.Now()
		f.list = append(f.list, &n)
	}
	return nil
}

// Clear removes all faults. A crashed stand-in stays down until it is restored.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = nil
}

// List returns a copy of the faults with their numbers of hits.
func (f *Faults) List() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []Fault{}
	for _, n := range f.list {
		list = append(list, *n)
	}
	return list
}

// Trigger returns the first fault of the given kinds that hits a call, and counts the hit. Without kinds, faults of any
// kind may hit. A nil set has no faults.
func (f *Faults) Trigger(call string, kinds ...Kind) (Fault, bool) {
	return f.trigger(call, time.Time{}, kinds...)
}

// trigger is Trigger for a call on a connection that was opened at a given time, or at the zero time if unknown.
func (f *Faults) trigger(call string, opened time.Time, kinds ...Kind) (Fault, bool) {
	if f == nil {
		return Fault{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.list {
		if !strings.HasPrefix(call, n.CallPrefix) || !matchesKind(n.Kind, kinds) {
			continue
		}
		if n.OpenConnectionsOnly && opened.After(n.addedAt) {
			continue
		}
		if f.tryHit(n) {
			return *n, true
		}
	}
	return Fault{}, false
}

// tryHit reports whether a fault hits a matching call, and counts the hit or the skipped call. The caller holds f.mu.
func (f *Faults) tryHit(n *Fault) bool {
	if n.MaxHits > 0 && n.Hits >= n.MaxHits {
		return false
	}
	if n.SkipCalls > 0 {
		n.SkipCalls--
		return false
	}
	if n.Chance > 0 && (f.random == nil || f.random.Float64() >= n.Chance) {
		return false
	}
	n.Hits++
	return true
}

// Inject triggers a fault for a call in memory, carries out what it does before the call runs, and returns the fault.
// It returns an error if the call must not run: the fault failed it, or the context ended during a delay or hang. A
// call that came through Wrap is hit only by the kinds that Wrap leaves to the stand-in.
func (f *Faults) Inject(ctx context.Context, call string) (Fault, error) {
	var standInKinds []Kind
	if ctx.Value(wrappedKey{}) != nil {
		standInKinds = []Kind{RunLate, SkipLayer}
	}
	n, ok := f.Trigger(call, standInKinds...)
	if !ok {
		return Fault{}, nil
	}
	switch n.Kind {
	case Refuse, Crash, RunLate:
		return n, n.CallError()
	case Hang:
		<-ctx.Done()
		return n, ctx.Err()
	case Delay:
		if !Pause(ctx, n.DelayDuration()) {
			return n, ctx.Err()
		}
	}
	return n, nil
}

// CallError returns the error of a call that the fault failed.
func (f Fault) CallError() error {
	return merry.Errorf("fault: %s", f.Kind, merry.WithHTTPCode(http.StatusServiceUnavailable))
}

// matchesKind reports whether a kind is in a list. An empty list matches every kind.
func matchesKind(kind Kind, list []Kind) bool {
	for _, k := range list {
		if k == kind {
			return true
		}
	}
	return len(list) == 0
}

// ServeHTTP lists the faults (GET), adds one or a list of them (POST) or removes all of them (DELETE).
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(f.List())
	case http.MethodPost:
		faults, err := decodeFaults(r)
		if err == nil {
			err = f.AddFaults(faults...)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	case http.MethodDelete:
		f.Clear()
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// decodeFaults decodes a request body that is one fault or a list of them.
func decodeFaults(r *http.Request) ([]Fault, error) {
	var raw json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil {
		return nil, err
	}
	var list []Fault
	if json.Unmarshal(raw, &list) == nil {
		return list, nil
	}
	var one Fault
	err := json.Unmarshal(raw, &one)
	return []Fault{one}, err
}
