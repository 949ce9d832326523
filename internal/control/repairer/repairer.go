// Package repairer decides which spare endpoint loads the layers that too few live endpoints hold.
package repairer

import (
	"fmt"
	"slices"
	"time"
)

// Range is the layers of a version of a model from From up to, not including, To.
type Range struct {
	Model   string
	Version string
	From    int
	To      int
}

// Need is a version of a model that is to be served. At least one live endpoint must hold each layer, and Replicas of
// them those of a stage.
type Need struct {
	Model   string
	Version string
	Layers  int
	Stages  []Stage
}

// Stage is the layers From up to, not including, To. Replicas is the number of live endpoints that are to hold each of
// them.
type Stage struct {
	From     int
	To       int
	Replicas int
}

// Endpoint is the state of an engine as reported to the repairer.
type Endpoint struct {
	ID         string
	Kind       string
	DataCentre string
	Held       []Range
	// Allowed are the ranges that the endpoint may be ordered to load, of any version. None means all.
	Allowed []Range
	// Rate is the capacity in layer steps a second.
	Rate float64
	// Unavailable is true if the endpoint is leaving or not considered live.
	Unavailable bool
	// Busy is true if the endpoint may have an unconfirmed order.
	Busy bool
}

// Settings bound the repairs.
type Settings struct {
	// GracePeriod is how long a range must be missing before it is loaded, since reports lag.
	GracePeriod time.Duration
	// LayersPerSecond bounds the layers a second that are requested from the weight store over the fleet.
	LayersPerSecond float64
	// MaxParallelLoads bounds the loads that run at once.
	MaxParallelLoads int
	// DefaultCapacity bounds the layers that an endpoint of unknown capacity is ordered to load. 0 means no bound.
	DefaultCapacity int
	// LoadTimeout is how long a load may take before it counts as failed, and Cooldown how long its endpoint then gets
	// no other order.
	LoadTimeout time.Duration
	Cooldown    time.Duration
}

// DefaultSettings returns the settings used in production unless they are configured.
func DefaultSettings() Settings {
	return Settings{
		GracePeriod: 3 * time.Second, LayersPerSecond: 4, MaxParallelLoads: 4, LoadTimeout: 2 * time.Minute, Cooldown: 5 * time.Minute,
	}
}

// Load is an order to load a range that is not confirmed yet.
type Load struct {
	ID       string
	Endpoint string
	Range    Range
	Since    time.Time
}

// Event is a step in the repair of a range, and the reason for it.
type Event struct {
	At       time.Time
	Range    Range
	Endpoint string
	Order    string
	// What is EventOrdered, EventLoaded, EventFailed or EventWaiting.
	What string
	Why  string
}

// The values of an event's What.
const (
	EventOrdered = "ordered"
	EventLoaded  = "loaded"
	EventFailed  = "failed"
	EventWaiting = "waiting"
)

// maxEvents bounds the events that are kept.
const maxEvents = 64

// Repairer plans repairs. It is not safe for concurrent use. MissingSince, Loads and Events are shown in the state
// dump.
type Repairer struct {
	Settings Settings
	// MissingSince holds the time since which too few endpoints have held each range.
	MissingSince map[Range]time.Time
	// Loads are the loads in flight, in the order in which they were ordered.
	Loads []Load
	// CooldownUntil holds the endpoints whose load failed, and the time until which each gets no other order.
	CooldownUntil map[string]time.Time
	// CapacityByKind is the highest number of layers reported at once by an endpoint of each kind.
	CapacityByKind map[string]int
	// LayerTokens counts the layers that may be requested from the weight store now, as a token bucket. RefilledAt is
	// the time for which it was counted.
	LayerTokens float64
	RefilledAt  time.Time
	// Events are the latest events, the latest last, and EventCount is the number of all events so far.
	Events     []Event
	EventCount int

	orderCount int64
	newOrderID func(n int64) string
}

// New returns a repairer. The function newOrderID returns the ID of the n-th order, which must be unique over all
// instances.
func New(s Settings, newOrderID func(n int64) string) *Repairer {
	return &Repairer{
		Settings: s, MissingSince: map[Range]time.Time{}, CooldownUntil: map[string]time.Time{}, CapacityByKind: map[string]int{}, newOrderID: newOrderID,
	}
}

// NextLoads returns the loads to be ordered now, so that every layer of every need is held. The caller sends each order
// or reports RecordFailure.
func (r *Repairer) NextLoads(now time.Time, needs []Need, endpoints []Endpoint) []Load {
	r.refill(now)
	r.confirmLoads(now, endpoints)
	for _, e := range endpoints {
		r.recordCapacity(e)
	}
	missing := r.missingRanges(now, needs, endpoints)
	var orders []Load
	for _, m := range missing {
		since := r.MissingSince[m]
		if now.Sub(since) < r.Settings.GracePeriod {
			continue
		}
		l, ok := r.orderLoad(now, m, since, endpoints)
		if ok {
			orders = append(orders, l)
		}
	}
	return orders
}

// RecordFailure records that the order with an ID failed or was not run. Its endpoint gets no other order until the
// cooldown is over.
func (r *Repairer) RecordFailure(now time.Time, id, why string) {
	for _, l := range r.Loads {
		if l.ID == id {
			r.CooldownUntil[l.Endpoint] = now.Add(r.Settings.Cooldown)
			r.MissingSince[l.Range] = l.Since
			r.recordEvent(now, l, EventFailed, why)
		}
	}
	r.Loads = slices.DeleteFunc(r.Loads, func(l Load) bool { return l.ID == id })
}

// Adopt adds a load that an earlier lease holder ordered, unless it is known to have ended.
func (r *Repairer) Adopt(l Load) {
	known := slices.ContainsFunc(r.Loads, func(o Load) bool { return o.ID == l.ID })
	ended := slices.ContainsFunc(r.Events, func(e Event) bool {
		return e.Order == l.ID && (e.What == EventLoaded || e.What == EventFailed)
	})
	if !known && !ended {
		r.Loads = append(r.Loads, l)
	}
}

// Reset drops the loads in flight, the cooldowns and the missing ranges, when another instance has taken over.
func (r *Repairer) Reset() {
	r.Loads = nil
	clear(r.CooldownUntil)
	clear(r.MissingSince)
}

// WasLoaded reports whether a kept event says that an endpoint holds what the order with an ID told it to load.
func (r *Repairer) WasLoaded(id string) bool {
	return slices.ContainsFunc(r.Events, func(e Event) bool { return e.Order == id && e.What == EventLoaded })
}

// EventsSince returns the events after the first count, as far as they are kept.
func (r *Repairer) EventsSince(count int) []Event {
	return r.Events[max(0, len(r.Events)-(r.EventCount-count)):]
}

// refill adds the layer tokens for the time since the last call.
func (r *Repairer) refill(now time.Time) {
	if r.RefilledAt.IsZero() {
		r.LayerTokens = r.burst()
	} else {
		r.LayerTokens = min(r.burst(), r.LayerTokens+now.Sub(r.RefilledAt).Seconds()*r.Settings.LayersPerSecond)
	}
	r.RefilledAt = now
}

// burst returns the largest number of layer tokens saved up. One load may make their number negative, so that a wide
// range is not starved.
func (r *Repairer) burst() float64 {
	return max(r.Settings.LayersPerSecond, 1)
}

// confirmLoads ends the loads whose range is held, and fails those that took too long or whose endpoint is unavailable.
func (r *Repairer) confirmLoads(now time.Time, endpoints []Endpoint) {
	for _, l := range slices.Clone(r.Loads) {
		i := slices.IndexFunc(endpoints, func(e Endpoint) bool { return e.ID == l.Endpoint })
		switch {
		case i < 0 || endpoints[i].Unavailable:
			r.RecordFailure(now, l.ID, "the endpoint is gone")
		case holdsRange(endpoints[i], l.Range):
			r.recordEvent(now, l, EventLoaded, fmt.Sprintf("the endpoint reports the range %v after the order", now.Sub(l.Since)))
			r.Loads = slices.DeleteFunc(r.Loads, func(o Load) bool { return o.ID == l.ID })
		case now.Sub(l.Since) > r.Settings.LoadTimeout:
			r.RecordFailure(now, l.ID, fmt.Sprintf("the endpoint did not report the range within %v", r.Settings.LoadTimeout))
		}
	}
}

// recordCapacity records the number of layers that an endpoint holds as the least capacity of its kind.
func (r *Repairer) recordCapacity(e Endpoint) {
	width := 0
	for _, h := range e.Held {
		width += h.To - h.From
	}
	if width > r.CapacityByKind[e.Kind] {
		r.CapacityByKind[e.Kind] = width
	}
}

// orderLoad orders a spare to load a missing range, or the part of it that the spare can hold. It returns false if the
// load must wait, and records why.
func (r *Repairer) orderLoad(now time.Time, m Range, since time.Time, endpoints []Endpoint) (Load, bool) {
	if len(r.Loads) >= r.Settings.MaxParallelLoads {
		r.recordWaiting(now, m, fmt.Sprintf("%d loads are running", len(r.Loads)))
		return Load{}, false
	}
	if r.LayerTokens <= 0 {
		r.recordWaiting(now, m, fmt.Sprintf("the weight store's rate of %v layers a second is spent", r.Settings.LayersPerSecond))
		return Load{}, false
	}
	spare, part, ok := r.chooseSpare(now, m, endpoints)
	if !ok {
		r.recordWaiting(now, m, "no live endpoint is spare")
		return Load{}, false
	}
	m = part
	m.To = min(m.To, m.From+r.loadWidth(spare, m))
	r.orderCount++
	l := Load{ID: r.newOrderID(r.orderCount), Endpoint: spare.ID, Range: m, Since: now}
	r.Loads = append(r.Loads, l)
	r.LayerTokens -= float64(m.To - m.From)
	why := fmt.Sprintf("too few live endpoints have held the range for %v; the endpoint holds nothing and goes first among the spares, with a rate of %v layer steps a second", now.Sub(since), spare.Rate)
	r.recordEvent(now, l, EventOrdered, why)
	return l, true
}

// recordWaiting records why a range is not loaded now, unless that is already the latest event about it.
func (r *Repairer) recordWaiting(now time.Time, m Range, why string) {
	for _, e := range slices.Backward(r.Events) {
		if e.Range == m {
			if e.What == EventWaiting && e.Why == why {
				return
			}
			break
		}
	}
	r.recordEvent(now, Load{Range: m}, EventWaiting, why)
}

// recordEvent appends an event and drops the oldest beyond maxEvents.
func (r *Repairer) recordEvent(now time.Time, l Load, what, why string) {
	r.Events = append(r.Events, Event{At: now, Range: l.Range, Endpoint: l.Endpoint, Order: l.ID, What: what, Why: why})
	r.EventCount++
	if len(r.Events) > maxEvents {
		r.Events = slices.Delete(r.Events, 0, len(r.Events)-maxEvents)
	}
}
