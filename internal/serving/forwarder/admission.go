package forwarder

import (
	"strconv"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/prioritizer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/routing/waiter"
)

// countedRequest is a request that the prioritizer counts. The zero value counts nothing.
type countedRequest struct {
	prioritizer *prioritizer.Prioritizer
	priority    int
}

// delay counts that there is no memory for the request at once.
func (c countedRequest) delay(now time.Time) {
	if c.prioritizer != nil {
		c.prioritizer.RecordDelay(now, c.priority)
	}
}

// end counts the result of the request. A refusal for another reason than the want of memory does not count.
func (c countedRequest) end(now time.Time, r reserver.Refusal) {
	switch {
	case c.prioritizer == nil:
	case r == reserver.Granted:
		c.prioritizer.RecordGrant(now, c.priority)
	case r == reserver.Full:
		c.prioritizer.RecordRefusal(now, c.priority)
	}
}

// countArrival counts a request that arrives for the first time. The lock is held.
func (a *Allocator) countArrival(now time.Time, i *waiter.Item) countedRequest {
	if i.Resumed || i.Late {
		return countedRequest{}
	}
	a.targets[i.Priority] = i.FirstEventTarget
	// With a longer target, a less urgent request would wait longer for the same memory than the urgent ones, and get more of it.
	if a.prioritizer.IsLimiting(now) {
		i.FirstEventTarget = a.lowestTarget(i.Priority)
	}
	a.prioritizer.RecordArrival(now, i.Priority)
	return countedRequest{a.prioritizer, i.Priority}
}

// lowestTarget returns the lowest target for the first event among the requests of a priority and of those more urgent.
func (a *Allocator) lowestTarget(priority int) time.Duration {
	lowest := a.targets[priority]
	for other, target := range a.targets {
		if other < priority {
			lowest = min(lowest, target)
		}
	}
	return lowest
}

// pathRequest returns the request for a path of an item.
func pathRequest(i waiter.Item) reserver.PathRequest {
	request := i.Request
	request.Priority = i.Priority
	if i.Returned {
		request.MemoryShare = reserver.LateMemoryShare
	}
	return request
}

// Admission is the state of one priority at one instance.
type Admission struct {
	// Accepted is the mean share of the requests that the endpoints accept which have not room for all.
	Accepted float64
	// Granted and Refused count the requests of this instance in the last second.
	Granted float64
	Refused float64
}

// Admissions returns the state of each priority of which this instance has received requests.
func (a *Allocator) Admissions(now time.Time) map[int]Admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := a.prioritizer.OwnCounts(now)
	out := make(map[int]Admission, len(a.targets))
	for priority := range a.targets {
		out[priority] = Admission{a.reserver.AcceptedShare(priority), counts[priority].Granted, counts[priority].Refused}
	}
	return out
}

// IsLimiting reports whether many requests of the fleet have to wait for memory.
func (a *Allocator) IsLimiting(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.prioritizer.IsLimiting(now)
}

// Demand returns the requests of the last second by priority, as this instance reports them to the others.
func (a *Allocator) Demand(now time.Time) prioritizer.Sums {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.prioritizer.OwnCounts(now)
}

// MergeDemand records the requests of the last second at the other instances.
func (a *Allocator) MergeDemand(now time.Time, others prioritizer.Sums) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.prioritizer.MergeCounts(now, others)
	a.reserver.SetPeerDemands(a.prioritizer.OtherDemands())
	if isLimiting := a.prioritizer.IsLimiting(now); isLimiting != a.wasLimiting {
		a.wasLimiting = isLimiting
		a.log.Info("admission changed", "service", a.service, "limited", strconv.FormatBool(isLimiting), "load", a.reserver.TotalUsedShare(now),
			"waiting", a.queue.Len())
	}
}

// RecordRefusal records that this instance refuses a request for want of memory.
func (a *Allocator) RecordRefusal(now time.Time, hash uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.returns.RecordRefusal(now, hash)
}

// HasReturned reports whether an instance has refused a request before.
func (a *Allocator) HasReturned(now time.Time, hash uint32) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.returns.HasReturned(now, hash)
}

// RefusalReport returns the latest refusals of this instance.
func (a *Allocator) RefusalReport(now time.Time) []uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.returns.Report(now)
}

// MergeRefusals records the refusals that other instances report.
func (a *Allocator) MergeRefusals(now time.Time, hashes []uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.returns.Merge(now, hashes)
}

// SharedEndpoints returns the number of endpoints whose last free memory is shared out among the instances.
func (a *Allocator) SharedEndpoints() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserver.SharedEndpoints()
}
