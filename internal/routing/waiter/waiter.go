// Package waiter orders requests that wait for memory, and decides how long one may wait.
//
// An answer is worth most if it begins in time. A request that has waited so long that its answer would be late is
// rejected while its caller can still retry, and one that could not be in time is not queued at all.
package waiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// The bounds of a queue.
const (
	// targetFraction is the fraction of its target for which a request waits: the rest is for the start of its answer.
	targetFraction = 0.5
	// lateMaxWait is how long a request waits whose answer is late in any case. Callers leave a stream after 2 s without
	// an event.
	lateMaxWait = 1500 * time.Millisecond
	// maxItems is the number of waiting requests at one instance from which only answers in progress are still added.
	maxItems = 256
)

// Item is a request that waits.
type Item struct {
	ID      string
	Request reserver.PathRequest
	Team    string
	// Priority is 0 for the most urgent.
	Priority int
	// FirstEventTarget is the longest time to the first event that counts as in time.
	FirstEventTarget time.Duration
	// Resumed is true for an answer in progress, which goes first.
	Resumed bool
	// Late is true if the answer counts as late in any case, since its caller received a part of it earlier.
	Late bool
	// Returned is true if the caller was refused before and can no longer be answered in time.
	Returned bool
	// Deadline is when the request is given up regardless of its target.
	Deadline time.Time
	// ReceivedAt is when the caller's attempt arrived.
	ReceivedAt time.Time
}

// Queue holds the requests that wait at one instance. It is not safe for concurrent use.
type Queue struct {
	Items map[string]Item
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{Items: map[string]Item{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.Items) }

// HasBefore reports whether a request waits that a new one would not go before.
func (q *Queue) HasBefore(added Item) bool {
	for _, i := range q.Items {
		if i.Resumed || i.Returned == added.Returned && i.Priority <= added.Priority || added.Returned && !i.Returned {
			return true
		}
	}
	return false
}

// Push adds a request and returns how long it may wait. It returns 0 and adds nothing if the request may not wait.
func (q *Queue) Push(now time.Time, i Item) time.Duration {
	until := i.ReceivedAt.Add(time.Duration(targetFraction * float64(i.FirstEventTarget)))
	switch {
	case i.Resumed:
		until = i.Deadline
	case i.Late:
		until = i.ReceivedAt.Add(lateMaxWait)
	}
	if i.Deadline.Before(until) {
		until = i.Deadline
	}
	wait := until.Sub(now)
	if wait <= 0 || len(q.Items) >= maxItems && !i.Resumed {
		return 0
	}
	q.Items[i.ID] = i
	return wait
}

// Remove removes a request.
func (q *Queue) Remove(id string) {
	delete(q.Items, id)
}

// Order returns the requests in the order in which they are served: answers in progress first; then by priority; then
// those that can be in time before those that are late; then round robin between teams, by how many requests of the same
// team come before; then by age.
func (q *Queue) Order(_ time.Time) []Item {
	if len(q.Items) == 0 {
		return nil
	}
	items := make([]Item, 0, len(q.Items))
	for _, i := range q.Items {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(a.ReceivedAt.Compare(b.ReceivedAt), cmp.Compare(a.ID, b.ID))
	})
	// Late requests are served after the others and take turns among themselves.
	countsByTeam := map[string][2]int{}
	turnByID := make(map[string]int, len(items))
	for _, i := range items {
		class := 0
		if i.Late {
			class = 1
		}
		counts := countsByTeam[i.Team]
		turnByID[i.ID] = counts[class]
		counts[class]++
		countsByTeam[i.Team] = counts
	}
	slices.SortStableFunc(items, func(a, b Item) int {
		return cmp.Or(compareBool(b.Resumed, a.Resumed), compareBool(a.Returned, b.Returned), cmp.Compare(a.Priority, b.Priority), compareBool(a.Late, b.Late),
			cmp.Compare(turnByID[a.ID], turnByID[b.ID]))
	})
	return items
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
