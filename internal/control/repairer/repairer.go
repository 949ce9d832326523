// Package repairer decides which spare endpoint loads the layers that too few live endpoints hold.
package repairer

import (
	"fmt"
	"slices"
	"time"
)

// Range is a range of layers of a model's version, from From up to, not including, To.
type Range struct {
	Model   string
	Version string
	From    int
	To      int
}

// Need is a model's version that is to be served. Each layer must be held once, and those of a stage as often as the
// stage's replicas.
type Need struct {
	Model   string
	Version string
	Layers  int
	Stages  []Stage
}

// Stage is the layers From up to, not including, To, and the number of live endpoints that are to hold each.
type Stage struct {
	From     int
	To       int
	Replicas int
}

// Endpoint is an engine as the repairer sees it.
type Endpoint struct {
	ID         string
	Kind       string
	DataCentre string
	Held       []Range
	// Allowed are the ranges that the endpoint may be told to load, of any version. None means all.
	Allowed []Range
	// Rate is the capacity in layer steps a second.
	Rate float64
	// Gone is set if the endpoint is leaving or not believed to be alive.
	Gone bool
	// Busy is set if the endpoint may have an order that is not confirmed.
	Busy bool
}

// Settings bound what a repair may do.
type Settings struct {
	// Grace is how long a range must be missing before it is loaded, since reports lag.
	Grace time.Duration
	// Layers bounds what the weight store is asked for, in layers a second over the fleet.
	Layers float64
	// Parallel bounds the loads that run at once.
	Parallel int
	// Span bounds the layers that an endpoint of unknown capacity is told to load; 0 means no bound.
	Span int
	// Run is how long a load may take before it counts as failed, and Rest how long its endpoint then gets no other.
	Run  time.Duration
	Rest time.Duration
}

// DefaultSettings returns the settings in use.
func DefaultSettings() Settings {
	return Settings{
		Grace: 3 * time.Second, Layers: 4, Parallel: 4, Run: 2 * time.Minute, Rest: 5 * time.Minute,
	}
}

// Load is an order to load a range that is not confirmed yet.
type Load struct {
	ID       string
	Endpoint string
	Range    Range
	Since    time.Time
}

// Event says what was done about a range, and why.
type Event struct {
	At       time.Time
	Range    Range
	Endpoint string
	Order    string
	// What is ordered, loaded, failed or waiting.
	What string
	Why  string
}

// The values of an event's What.
const (
	WhatOrdered = "ordered"
	WhatLoaded  = "loaded"
	WhatFailed  = "failed"
	WhatWaiting = "waiting"
)

// kept bounds the events that are kept.
const kept = 64

// Repairer is the decision. Its exported fields are shown in the state dump.
type Repairer struct {
	Settings Settings
	// Missing holds since when each range has been held by too few.
	Missing map[Range]time.Time
	// Loads are the loads in flight, in the order in which they were ordered.
	Loads []Load
	// Resting holds the endpoints whose load failed, and until when they get no other.
	Resting map[string]time.Time
	// Capacity is the widest range seen at once on an endpoint of each kind, in layers.
	Capacity map[string]int
	// Saved counts the layers that the weight store may be asked for now.
	Saved float64
	At    time.Time
	// Events are the latest events, the latest last, and Count is the number of all.
	Events []Event
	Count  int

	number int64
	name   func(n int64) string
}

// New returns a repairer. Name returns the name of the n-th order, which must be unique over all instances.
func New(s Settings, name func(n int64) string) *Repairer {
	return &Repairer{
		Settings: s, Missing: map[Range]time.Time{}, Resting: map[string]time.Time{}, Capacity: map[string]int{}, name: name,
	}
}

// Next returns the loads to be ordered now, so that every layer of every need is held. The caller gives each order or
// reports Failed.
func (r *Repairer) Next(now time.Time, needs []Need, endpoints []Endpoint) []Load {
	r.refill(now)
	r.confirm(now, endpoints)
	for _, e := range endpoints {
		r.learn(e)
	}
	missing := r.missing(now, needs, endpoints)
	var orders []Load
	for _, m := range missing {
		since := r.Missing[m]
		if now.Sub(since) < r.Settings.Grace {
			continue
		}
		l, ok := r.order(now, m, since, endpoints)
		if ok {
			orders = append(orders, l)
		}
	}
	return orders
}

// Failed takes that an order was not run. Its endpoint gets no other for a while.
func (r *Repairer) Failed(now time.Time, id, why string) {
	for _, l := range r.Loads {
		if l.ID == id {
			r.Resting[l.Endpoint] = now.Add(r.Settings.Rest)
			r.Missing[l.Range] = l.Since
			r.note(now, l, WhatFailed, why)
		}
	}
	r.Loads = slices.DeleteFunc(r.Loads, func(l Load) bool { return l.ID == id })
}

// Adopt takes over a load that an earlier holder ordered, unless its end is known.
func (r *Repairer) Adopt(l Load) {
	known := slices.ContainsFunc(r.Loads, func(o Load) bool { return o.ID == l.ID })
	ended := slices.ContainsFunc(r.Events, func(d Event) bool {
		return d.Order == l.ID && (d.What == WhatLoaded || d.What == WhatFailed)
	})
	if !known && !ended {
		r.Loads = append(r.Loads, l)
	}
}

// Forget drops the loads in flight, when another instance has taken over.
func (r *Repairer) Forget() {
	r.Loads = nil
	clear(r.Resting)
	clear(r.Missing)
}

// Loaded reports whether an endpoint was lately seen to hold what an order told it to load.
func (r *Repairer) Loaded(id string) bool {
	return slices.ContainsFunc(r.Events, func(d Event) bool { return d.Order == id && d.What == WhatLoaded })
}

// Since returns the events after the first count, as far as they are kept.
func (r *Repairer) Since(count int) []Event {
	return r.Events[max(0, len(r.Events)-(r.Count-count)):]
}

// refill adds what the weight store may be asked for meanwhile.
func (r *Repairer) refill(now time.Time) {
	if r.At.IsZero() {
		r.Saved = r.burst()
	} else {
		r.Saved = min(r.burst(), r.Saved+now.Sub(r.At).Seconds()*r.Settings.Layers)
	}
	r.At = now
}

// burst bounds the layers saved up. One load may take the weight store into debt, so that a wide range is not starved.
func (r *Repairer) burst() float64 {
	return max(r.Settings.Layers, 1)
}

// confirm ends the loads whose range is held, and those that took too long or whose endpoint is gone.
func (r *Repairer) confirm(now time.Time, endpoints []Endpoint) {
	for _, l := range slices.Clone(r.Loads) {
		i := slices.IndexFunc(endpoints, func(e Endpoint) bool { return e.ID == l.Endpoint })
		switch {
		case i < 0 || endpoints[i].Gone:
			r.Failed(now, l.ID, "the endpoint is gone")
		case holds(endpoints[i], l.Range):
			r.note(now, l, WhatLoaded, fmt.Sprintf("the endpoint reports the range %v after the order", now.Sub(l.Since)))
			r.Loads = slices.DeleteFunc(r.Loads, func(o Load) bool { return o.ID == l.ID })
		case now.Sub(l.Since) > r.Settings.Run:
			r.Failed(now, l.ID, fmt.Sprintf("the endpoint did not report the range within %v", r.Settings.Run))
		}
	}
}

// learn takes the width of what an endpoint holds as the least capacity of its kind.
func (r *Repairer) learn(e Endpoint) {
	width := 0
	for _, h := range e.Held {
		width += h.To - h.From
	}
	if width > r.Capacity[e.Kind] {
		r.Capacity[e.Kind] = width
	}
}

// order orders a spare to load a missing range, or the part of it that the spare can hold. It returns false if that
// must wait, and notes why.
func (r *Repairer) order(now time.Time, m Range, since time.Time, endpoints []Endpoint) (Load, bool) {
	if len(r.Loads) >= r.Settings.Parallel {
		r.wait(now, m, fmt.Sprintf("%d loads are running", len(r.Loads)))
		return Load{}, false
	}
	if r.Saved <= 0 {
		r.wait(now, m, fmt.Sprintf("the weight store's rate of %v layers a second is spent", r.Settings.Layers))
		return Load{}, false
	}
	spare, part, ok := r.spare(now, m, endpoints)
	if !ok {
		r.wait(now, m, "no live endpoint is spare")
		return Load{}, false
	}
	m = part
	m.To = min(m.To, m.From+r.span(spare, m))
	r.number++
	l := Load{ID: r.name(r.number), Endpoint: spare.ID, Range: m, Since: now}
	r.Loads = append(r.Loads, l)
	r.Saved -= float64(m.To - m.From)
	why := fmt.Sprintf("too few live endpoints have held the range for %v; the endpoint holds nothing and goes first among the spares, with a rate of %v layer steps a second", now.Sub(since), spare.Rate)
	r.note(now, l, WhatOrdered, why)
	return l, true
}

// wait notes why a range is not loaded now, unless that was the latest event about it.
func (r *Repairer) wait(now time.Time, m Range, why string) {
	for _, d := range slices.Backward(r.Events) {
		if d.Range == m {
			if d.What == WhatWaiting && d.Why == why {
				return
			}
			break
		}
	}
	r.note(now, Load{Range: m}, WhatWaiting, why)
}

// note keeps an event.
func (r *Repairer) note(now time.Time, l Load, what, why string) {
	r.Events = append(r.Events, Event{At: now, Range: l.Range, Endpoint: l.Endpoint, Order: l.ID, What: what, Why: why})
	r.Count++
	if len(r.Events) > kept {
		r.Events = slices.Delete(r.Events, 0, len(r.Events)-kept)
	}
}
