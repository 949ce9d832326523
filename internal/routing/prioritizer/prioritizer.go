// Package prioritizer counts the requests of each priority in the whole fleet, so that the memory of endpoints can be shared out by
// urgency.
package prioritizer

import (
	"maps"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

const (
	// sumExpiry is the age from which the counts of the others no longer count, so that all requests are treated alike.
	sumExpiry = 2 * time.Second
	// limitingShare is the share of the requests that have to wait for memory from which callers are asked to come back later.
	limitingShare = 0.1
)

// Counts counts the requests of one priority within the last second.
type Counts struct {
	// Arrived counts the requests, Delayed those for which there was no memory at once, Granted those that got a path, and
	// Refused those that waited for one in vain. Callers that come back after a refusal are not counted.
	Arrived float64
	Delayed float64
	Granted float64
	Refused float64
}

// Add adds other counts, multiplied by a factor.
func (c *Counts) Add(o Counts, factor float64) {
	c.Arrived += factor * o.Arrived
	c.Delayed += factor * o.Delayed
	c.Granted += factor * o.Granted
	c.Refused += factor * o.Refused
}

// Sums holds counts by priority.
type Sums map[int]Counts

// Add adds other counts, multiplied by a factor, and drops those that are all zero.
func (s Sums) Add(others Sums, factor float64) {
	for priority, o := range others {
		c := s[priority]
		if c.Add(o, factor); c == (Counts{}) {
			delete(s, priority)
			continue
		}
		s[priority] = c
	}
}

// Prioritizer holds the counts of one model at one instance. It is not safe for concurrent use.
type Prioritizer struct {
	own      window
	others   Sums
	mergedAt time.Time
}

// New returns a prioritizer without counts.
func New() *Prioritizer { return &Prioritizer{} }

// RecordArrival counts a request that asks for a path.
func (p *Prioritizer) RecordArrival(now time.Time, priority int) {
	p.own.record(now, priority, Counts{Arrived: 1})
}

// RecordDelay counts a request for which there is no memory at once.
func (p *Prioritizer) RecordDelay(now time.Time, priority int) {
	p.own.record(now, priority, Counts{Delayed: 1})
}

// RecordGrant counts a request that got a path.
func (p *Prioritizer) RecordGrant(now time.Time, priority int) {
	p.own.record(now, priority, Counts{Granted: 1})
}

// RecordRefusal counts a request that waited for a path in vain.
func (p *Prioritizer) RecordRefusal(now time.Time, priority int) {
	p.own.record(now, priority, Counts{Refused: 1})
}

// OwnCounts returns what this instance reports to the others.
func (p *Prioritizer) OwnCounts(now time.Time) Sums { return p.own.sum(now) }

// MergeCounts replaces the counts of the other instances.
func (p *Prioritizer) MergeCounts(now time.Time, others Sums) { p.others, p.mergedAt = others, now }

// IsOutdated reports whether the counts of the other instances are too old to count.
func (p *Prioritizer) IsOutdated(now time.Time) bool { return now.Sub(p.mergedAt) > sumExpiry }

// OtherDemands returns the requests a second of the other instances as last merged, the most urgent first.
func (p *Prioritizer) OtherDemands() []reserver.Demand {
	out := make([]reserver.Demand, 0, len(p.others))
	for _, priority := range slices.Sorted(maps.Keys(p.others)) {
		out = append(out, reserver.Demand{Priority: priority, Rate: p.others[priority].Arrived / windowLength.Seconds()})
	}
	return out
}

// IsLimiting reports whether many requests of the fleet have to wait for memory.
func (p *Prioritizer) IsLimiting(now time.Time) bool {
	sums := p.own.sum(now)
	if !p.IsOutdated(now) {
		sums.Add(p.others, 1)
	}
	var all Counts
	for _, c := range sums {
		all.Add(c, 1)
	}
	return all.Delayed > limitingShare*(all.Arrived+1)
}
