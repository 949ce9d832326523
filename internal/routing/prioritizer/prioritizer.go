// Package prioritizer decides how much of the endpoints' memory the requests of each priority may fill.
//
// While requests of a more urgent priority have to wait for memory, those of the less urgent ones may fill a smaller share of
// each endpoint, so that memory is free when an urgent one arrives. The share between two limits is called a gap. Each
// instance derives the gaps from the counts of the whole fleet, and follows the mean of the gaps of the others.
package prioritizer

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// The parameters of the control.
const (
	// sumExpiry is the age from which the counts of the others no longer count and all limits open.
	sumExpiry = 2 * time.Second
	// presenceTime is how long a priority counts as present after its last request.
	presenceTime = 5 * time.Second
	// updateInterval is the least time between two updates of the gaps.
	updateInterval = 100 * time.Millisecond
	// highPressure is the share of the more urgent requests that had to wait above which a gap widens, and lowPressure that
	// below which it narrows.
	highPressure = 0.1
	lowPressure  = 0.05
	// widenRate is how fast a gap widens while all more urgent requests have to wait, and narrowRate how fast it narrows, in
	// shares of the memory a second. Bursts last 3 s and more, and a second of the wide gap is enough to free memory for one.
	widenRate  = 1.0
	narrowRate = 0.08
	// idleRate is how much faster a gap narrows for each share of the memory that is free beyond usualFree: memory that the
	// urgent requests leave free must not lie idle.
	idleRate  = 1.0
	usualFree = 0.15
	// maxUpdateTime is the longest time for which one update widens a gap: the pressure before a pause of the process is not
	// that after it.
	maxUpdateTime = 200 * time.Millisecond
	// maxGap is the widest gap.
	maxGap = 0.25
	// meanRate is how fast an instance's gap approaches the mean of the fleet, per second.
	meanRate = 3
	// lateGap is the gap below the limit of the least urgent priority for requests whose answer is late in any case.
	lateGap = 0.25
	// levelStep is the gap of one level.
	levelStep = 0.05
	// fairShare is the least rate at which a priority is served, as a share of the rate at which all requests are.
	fairShare = 0.25
	// fairMargin multiplies the share of the requests that are treated as urgent. Without it, the share served falls below
	// fairShare by chance where a priority gets nothing else.
	fairMargin = 1.25
	// rankMargin is added to that share for each less urgent priority, so that of two priorities that get little else, the more
	// urgent one gets more.
	rankMargin = 0.25
	// maxCorrection bounds the factor by which the rate at which a priority is served corrects that share.
	maxCorrection = 2.0
	// minPromoted and maxPromoted bound the share.
	minPromoted = 0.05
	maxPromoted = 0.4
)

// Counts counts the requests of one priority within the last second.
type Counts struct {
	// Arrived counts the requests, Delayed those for which there was no memory at once, Granted those that got a path, and
	// Refused those that waited for one in vain.
	Arrived float64
	Delayed float64
	Granted float64
	Refused float64
	// Levels is the sum of the levels of the gap above the priority over the instances that report, and Reporters their number.
	Levels    float64
	Reporters float64
}

// Add adds other counts, multiplied by a factor.
func (c *Counts) Add(o Counts, factor float64) {
	c.Arrived += factor * o.Arrived
	c.Delayed += factor * o.Delayed
	c.Granted += factor * o.Granted
	c.Refused += factor * o.Refused
	c.Levels += factor * o.Levels
	c.Reporters += factor * o.Reporters
}

// grantRate returns the share of the requests that got a path.
func (c Counts) grantRate() float64 {
	if c.Arrived <= 0 {
		return 0
	}
	return c.Granted / c.Arrived
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

// Prioritizer holds the gaps of one model at one instance. It is not safe for concurrent use.
type Prioritizer struct {
	// Gaps holds, by priority, the gap between its limit and that of the next more urgent priority, in shares of the memory.
	Gaps map[int]float64
	// Levels holds the gaps in force, in steps of levelStep.
	Levels map[int]int
	// SeenAt holds when requests of each priority were last counted anywhere.
	SeenAt map[int]time.Time

	own       window
	others    Sums
	mergedAt  time.Time
	updatedAt time.Time
	// present holds the priorities present, the most urgent first.
	present []int
	// promoted holds, by priority, the share of the requests that are treated as urgent.
	promoted map[int]float64
}

// New returns a prioritizer whose limits are open.
func New() *Prioritizer {
	return &Prioritizer{Gaps: map[int]float64{}, Levels: map[int]int{}, SeenAt: map[int]time.Time{}, promoted: map[int]float64{}}
}

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
func (p *Prioritizer) OwnCounts(now time.Time) Sums {
	out := p.own.sum(now)
	for _, priority := range p.present {
		c := out[priority]
		c.Levels, c.Reporters = float64(p.Levels[priority]), 1
		out[priority] = c
	}
	return out
}

// MergeCounts replaces the counts of the other instances.
func (p *Prioritizer) MergeCounts(now time.Time, others Sums) {
	p.others, p.mergedAt = others, now
}

// IsDue reports whether it is time for an Update.
func (p *Prioritizer) IsDue(now time.Time) bool { return now.Sub(p.updatedAt) >= updateInterval }

// Update derives the gaps from the counts and from the share of the endpoints' memory that is not reserved, and reports whether a level has changed.
func (p *Prioritizer) Update(now time.Time, free float64) bool {
	elapsed := now.Sub(p.updatedAt)
	p.updatedAt = now
	sums := p.fleetCounts(now)
	p.updatePresent(now, sums)
	old := maps.Clone(p.Levels)
	clear(p.Levels)
	if now.Sub(p.mergedAt) > sumExpiry || len(p.present) < 2 {
		clear(p.Gaps)
		return !maps.Equal(old, p.Levels)
	}
	pressure := 0.0
	for i, priority := range p.present {
		if i > 0 {
			// The least urgent are held back first: what is taken from them suffices for the others in most cases.
			canWiden := i == len(p.present)-1 || p.Gaps[p.present[i+1]] >= maxGap-levelStep
			gap := p.nextGap(p.Gaps[priority], pressure, canWiden, free, elapsed.Seconds(), p.others[priority])
			p.Gaps[priority] = gap
			p.promoted[priority] = promotedShare(sums, p.present[0], priority, len(p.present)-1-i)
			p.Levels[priority] = nextLevel(old[priority], gap)
		}
		// The added request keeps a single one from counting as pressure in full.
		c := sums[priority]
		pressure = max(pressure, c.Delayed/(c.Arrived+1))
	}
	return !maps.Equal(old, p.Levels)
}

// fleetCounts returns the counts of all instances.
func (p *Prioritizer) fleetCounts(now time.Time) Sums {
	sums := p.own.sum(now)
	if now.Sub(p.mergedAt) > sumExpiry {
		return sums
	}
	sums.Add(p.others, 1)
	return sums
}

// updatePresent determines which priorities are present.
func (p *Prioritizer) updatePresent(now time.Time, sums Sums) {
	for priority, c := range sums {
		if c.Arrived > 0 {
			p.SeenAt[priority] = now
		}
	}
	p.present = p.present[:0]
	for priority, at := range p.SeenAt {
		if now.Sub(at) > presenceTime {
			delete(p.SeenAt, priority)
			delete(p.Gaps, priority)
			delete(p.promoted, priority)
			continue
		}
		p.present = append(p.present, priority)
	}
	slices.Sort(p.present)
}

// nextGap returns a gap after a time in seconds, by the share of the more urgent requests that had to wait.
func (p *Prioritizer) nextGap(gap, pressure float64, canWiden bool, free, seconds float64, others Counts) float64 {
	switch {
	case pressure > highPressure && canWiden:
		gap += widenRate * pressure * min(seconds, maxUpdateTime.Seconds())
	case pressure < lowPressure:
		gap -= (narrowRate + idleRate*max(0, free-usualFree)) * seconds
	}
	if others.Reporters > 0 {
		mean := levelStep * others.Levels / others.Reporters
		gap += (mean - gap) * min(1, meanRate*seconds)
	}
	return min(maxGap, max(0, gap))
}

// nextLevel returns the level of a gap. A level stays until the gap is three quarters of a step away from it.
func nextLevel(level int, gap float64) int {
	if math.Abs(gap/levelStep-float64(level)) < 0.75 {
		return level
	}
	return int(math.Round(gap / levelStep))
}

// promotedShare returns the share of the requests of a priority, which is followed by a number of less urgent ones, to treat as
// urgent, so that it is served at least at a quarter of the rate of all. The rate at which it is served corrects the share: its
// requests may be larger than the urgent ones, or get memory within their limit.
func promotedShare(sums Sums, mostUrgent, priority, lessUrgent int) float64 {
	var all Counts
	for _, c := range sums {
		all.Add(c, 1)
	}
	urgentRate := sums[mostUrgent].grantRate()
	if urgentRate == 0 {
		return maxPromoted
	}
	target := fairMargin * fairShare * (1 + rankMargin*float64(lessUrgent)) * all.grantRate()
	correction := maxCorrection
	if rate := sums[priority].grantRate(); rate > 0 {
		correction = min(maxCorrection, max(1/maxCorrection, target/rate))
	}
	return min(maxPromoted, max(minPromoted, target/urgentRate*correction))
}

// Classify returns the priority by which a request is served: its own one, or the most urgent one present for a share of the
// requests that are limited, selected by a hash of the id.
func (p *Prioritizer) Classify(priority int, id string) int {
	if p.Limit(priority) == reserver.MaxMemoryShare {
		return priority
	}
	if float64(xxhash.Sum64String(id)) < p.promoted[priority]*math.MaxUint64 {
		return p.present[0]
	}
	return priority
}

// Limit returns the share of an endpoint's memory that requests of a priority may fill.
func (p *Prioritizer) Limit(priority int) float64 {
	steps := 0
	for other, level := range p.Levels {
		if other <= priority {
			steps += level
		}
	}
	return reserver.MaxMemoryShare - levelStep*float64(steps)
}

// LateLimit returns the share of an endpoint's memory that requests may fill whose answer is late in any case: less than any other.
func (p *Prioritizer) LateLimit() float64 {
	lowest := reserver.MaxMemoryShare
	for _, priority := range p.present {
		lowest = min(lowest, p.Limit(priority))
	}
	return lowest - lateGap
}

// OtherDemands returns the requests a second of the other instances by their limits. Those whose answer is late in any case are not
// counted.
func (p *Prioritizer) OtherDemands() []reserver.Demand {
	out := make([]reserver.Demand, 0, len(p.others))
	for priority, c := range p.others {
		out = append(out, reserver.Demand{Rate: c.Arrived / windowLength.Seconds(), MemoryShare: p.Limit(priority)})
	}
	return out
}

// IsLimiting reports whether the limit of any priority is lower than that of the most urgent one.
func (p *Prioritizer) IsLimiting() bool {
	for _, level := range p.Levels {
		if level > 0 {
			return true
		}
	}
	return false
}

// Status is the state of one priority at one instance.
type Status struct {
	// Level is the gap between the limit and that of the next more urgent priority, in steps, and Limit the share of an
	// endpoint's memory that its requests may fill.
	Level int
	Limit float64
	// Granted and Refused count the requests of this instance in the last second.
	Granted float64
	Refused float64
}

// Statuses returns the state of the priorities present.
func (p *Prioritizer) Statuses(now time.Time) map[int]Status {
	own := p.own.sum(now)
	out := make(map[int]Status, len(p.present))
	for _, priority := range p.present {
		out[priority] = Status{p.Levels[priority], p.Limit(priority), own[priority].Granted, own[priority].Refused}
	}
	return out
}
