package forwarder

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/prioritizer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/routing/waiter"
)

// countedRequest is a request that the prioritizer counts under its own priority, whatever priority it is served by. The zero
// value counts nothing.
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

// isLimited reports whether a priority's limit applies to a request. It does not to an answer of which the caller has a part.
func isLimited(i waiter.Item) bool { return !i.Resumed && !i.Late }

// countArrival counts a request that arrives, and sets the priority by which it is served. The lock is held.
func (a *Allocator) countArrival(now time.Time, i *waiter.Item) countedRequest {
	if !isLimited(*i) {
		return countedRequest{}
	}
	a.updateLimits(now)
	c := countedRequest{a.prioritizer, i.Priority}
	a.targets[i.Priority] = i.FirstEventTarget
	// With a longer target, a limited request would wait longer for the same memory than the urgent ones, and get more of it.
	if a.prioritizer.Limit(i.Priority) < reserver.MaxMemoryShare {
		i.FirstEventTarget = a.lowestTarget(i.Priority)
	}
	a.prioritizer.RecordArrival(now, i.Priority)
	i.Priority = a.prioritizer.Classify(i.Priority, i.ID)
	return c
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

// limited returns the request for a path of an item, with the share of the memory that it may fill. The lock is held.
func (a *Allocator) limited(i waiter.Item) reserver.PathRequest {
	request := i.Request
	if isLimited(i) {
		request.MemoryShare = a.prioritizer.Limit(i.Priority)
	}
	if i.Returned {
		request.MemoryShare = a.prioritizer.LateLimit()
	}
	return request
}

// updateLimits updates the limits of the priorities, and logs a change. The lock is held.
func (a *Allocator) updateLimits(now time.Time) {
	if !a.prioritizer.IsDue(now) {
		return
	}
	load := a.reserver.TotalUsedShare(now)
	isChanged := a.prioritizer.Update(now, 1-load)
	a.reserver.SetPeerDemands(a.prioritizer.OtherDemands()...)
	if isChanged {
		a.log.Info("admission level changed", "service", a.service, "limits", formatLimits(a.prioritizer.Statuses(now)), "load", load,
			"waiting", a.queue.Len())
	}
}

// formatLimits formats the limits by priority for the log.
func formatLimits(statuses map[int]prioritizer.Status) string {
	var parts []string
	for _, priority := range slices.Sorted(maps.Keys(statuses)) {
		parts = append(parts, fmt.Sprintf("%d=%.2f", priority, statuses[priority].Limit))
	}
	return strings.Join(parts, " ")
}

// Admission returns the state of each priority of which this instance has received requests.
func (a *Allocator) Admission(now time.Time) map[int]prioritizer.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.prioritizer.Statuses(now)
	for priority := range a.targets {
		if _, ok := out[priority]; !ok {
			out[priority] = prioritizer.Status{Limit: reserver.MaxMemoryShare}
		}
	}
	return out
}

// IsLimiting reports whether the requests of some priority may fill less of the memory than others.
func (a *Allocator) IsLimiting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.prioritizer.IsLimiting()
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
	a.updateLimits(now)
}
