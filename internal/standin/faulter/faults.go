// Package faulter makes stand-ins fail on request. One set of faults serves a stand-in, by call, and is set over HTTP.
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
	// Refuse answers that the call is not run.
	Refuse Kind = "refuse"
	// Crash ends the stand-in's process: its connections are cut and its listener refuses until it is restored.
	Crash Kind = "crash"
	// Delay waits before the call runs.
	Delay Kind = "delay"
	// Lose runs the call and cuts the connection in place of the answer.
	Lose Kind = "lose"
	// Silent leaves the connection open and sends nothing more on it.
	Silent Kind = "silent"
	// Repeat runs the call twice, or sends a line of a stream twice.
	Repeat Kind = "repeat"
	// Late fails the call for the caller and runs it after the delay. Only the table service has it.
	Late Kind = "late"
	// Skip leaves out the last layer of a step. Only engines have it.
	Skip Kind = "skip"
)

// kinds lists every kind.
var kinds = []Kind{Refuse, Crash, Delay, Lose, Silent, Repeat, Late, Skip}

// Fault is one fault of the calls that begin with Call: a method and a path, as in "POST /commits". An empty Call
// is every call.
type Fault struct {
	Call string `json:"call"`
	Kind Kind   `json:"kind"`
	// Count bounds how often the fault hits. 0 means no bound.
	Count int `json:"count,omitempty"`
	// Skip is the number of matching calls that the fault lets pass first.
	Skip int `json:"skip,omitempty"`
	// Chance is the probability that the fault hits a matching call. 0 means always.
	Chance float64 `json:"chance,omitempty"`
	// Delay is a time in milliseconds, for Delay and Late.
	Delay int64 `json:"delay,omitempty"`
	// After is the number of lines of a stream that are sent before the fault hits. 0 means before the call runs.
	After int `json:"after,omitempty"`
	// Open restricts the fault to connections that were open when it was set.
	Open bool `json:"open,omitempty"`
	// Hits counts how often the fault hit.
	Hits int `json:"hits"`

	set time.Time
}

// Wait returns the fault's delay.
func (f Fault) Wait() time.Duration {
	return time.Duration(f.Delay) * time.Millisecond
}

// check returns what is wrong with a fault, or nil.
func (f Fault) check() error {
	for _, k := range kinds {
		if k != f.Kind {
			continue
		}
		if f.Count < 0 || f.Skip < 0 || f.Delay < 0 || f.After < 0 || f.Chance < 0 || f.Chance > 1 {
			return merry.Errorf("fault of %q: a number is out of range", f.Call)
		}
		return nil
	}
	return merry.Errorf("unknown kind of fault %q", f.Kind)
}

// Faults is the set of faults of one stand-in. The zero value has none and never chooses by chance; NewFaults gives
// it a seed.
type Faults struct {
	mu     sync.Mutex
	random *rand.Rand
	list   []*Fault
	crash  func()
	down   bool
}

// NewFaults returns an empty set whose choices follow from the seed.
func NewFaults(seed uint64) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, seed))}
}

// Set adds faults. It returns an error, and adds none, if one of them makes no sense.
func (f *Faults) Set(faults ...Fault) error {
	for _, n := range faults {
		if err := n.check(); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range faults {
		n.set = time.Now()
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

// List returns the faults with their counts.
func (f *Faults) List() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []Fault{}
	for _, n := range f.list {
		list = append(list, *n)
	}
	return list
}

// Take returns the first fault of the given kinds that hits a call. Without kinds, any kind may hit. A nil set
// has no faults.
func (f *Faults) Take(call string, kinds ...Kind) (Fault, bool) {
	return f.take(call, time.Time{}, kinds...)
}

// take is Take for a call on a connection that was opened at a time, which is zero if it is not known.
func (f *Faults) take(call string, opened time.Time, kinds ...Kind) (Fault, bool) {
	if f == nil {
		return Fault{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.list {
		if !strings.HasPrefix(call, n.Call) || !among(n.Kind, kinds) {
			continue
		}
		if n.Open && opened.After(n.set) {
			continue
		}
		if f.hits(n) {
			return *n, true
		}
	}
	return Fault{}, false
}

// hits decides whether a fault hits a matching call, and counts it.
func (f *Faults) hits(n *Fault) bool {
	if n.Count > 0 && n.Hits >= n.Count {
		return false
	}
	if n.Skip > 0 {
		n.Skip--
		return false
	}
	if n.Chance > 0 && (f.random == nil || f.random.Float64() >= n.Chance) {
		return false
	}
	n.Hits++
	return true
}

// Inject carries out, for a call in memory, the fault that hits before the call runs, and returns it. The error is
// set if the call must not run: the fault failed it, or the context ended during a delay or silence. A call that came
// through Wrap is hit only by the kinds that Wrap leaves to the stand-in.
func (f *Faults) Inject(ctx context.Context, call string) (Fault, error) {
	var left []Kind
	if ctx.Value(wrappedKey{}) != nil {
		left = []Kind{Late, Skip}
	}
	n, ok := f.Take(call, left...)
	if !ok {
		return Fault{}, nil
	}
	switch n.Kind {
	case Refuse, Crash, Late:
		return n, n.Failure()
	case Silent:
		<-ctx.Done()
		return n, ctx.Err()
	case Delay:
		if !Pause(ctx, n.Wait()) {
			return n, ctx.Err()
		}
	}
	return n, nil
}

// Failure returns the error of a call that the fault hit.
func (f Fault) Failure() error {
	return merry.Errorf("fault: %s", f.Kind, merry.WithHTTPCode(http.StatusServiceUnavailable))
}

// among reports whether a kind is in a list. An empty list has them all.
func among(kind Kind, list []Kind) bool {
	for _, k := range list {
		if k == kind {
			return true
		}
	}
	return len(list) == 0
}

// ServeHTTP lists the faults (GET), adds one or a list of them (POST) or removes all (DELETE).
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(f.List())
	case http.MethodPost:
		faults, err := decode(r)
		if err == nil {
			err = f.Set(faults...)
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

// decode reads one fault or a list of them.
func decode(r *http.Request) ([]Fault, error) {
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
