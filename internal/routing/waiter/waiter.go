// Package waiter orders requests that wait for memory, and decides how long one may wait.
//
// A request counts for most if its answer begins in time. One that has waited so long that it would be late is refused
// while its caller can still be told to come back, and a line in which it could not be in time is not entered at all.
package waiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// The bounds of a line.
const (
	// targetPart is the part of its target for which a request waits: the rest is for the answer's beginning.
	targetPart = 0.5
	// lateWait is how long a request waits that is late already. Callers leave a stream after 2 s without an event.
	lateWait = 1500 * time.Millisecond
	// most bounds the requests that wait at one instance.
	most = 256
)

// Item is a request that waits.
type Item struct {
	ID   string
	Ask  reserver.Ask
	Team string
	// Priority is 0 for the most urgent.
	Priority int
	// Target is the time to the first event that counts as in time.
	Target time.Duration
	// Resumed is set for an answer in progress, which goes first.
	Resumed bool
	// Late is set if the answer counts as late whenever it comes: its caller has had a part of it before.
	Late bool
	// Until is when the request is given up whatever its target.
	Until time.Time
	// Since is when the caller's attempt came in.
	Since time.Time
}

// Line holds the requests that wait at one instance. It is not safe for concurrent use.
type Line struct {
	Items map[string]Item
}

// New returns an empty line.
func New() *Line {
	return &Line{Items: map[string]Item{}}
}

// Len returns the number of requests that wait.
func (l *Line) Len() int { return len(l.Items) }

// Push adds a request and returns how long it may wait; nothing is added if that is not at all.
func (l *Line) Push(now time.Time, i Item) time.Duration {
	until := i.Since.Add(time.Duration(targetPart * float64(i.Target)))
	switch {
	case i.Resumed:
		until = i.Until
	case i.Late:
		until = i.Since.Add(lateWait)
	}
	if i.Until.Before(until) {
		until = i.Until
	}
	wait := until.Sub(now)
	if wait <= 0 || len(l.Items) >= most && !i.Resumed {
		return 0
	}
	l.Items[i.ID] = i
	return wait
}

// Remove takes a request out.
func (l *Line) Remove(id string) {
	delete(l.Items, id)
}

// Order returns the requests in the order in which they are served: answers in progress, then by priority, those that can be
// in time before those that are late, then teams in turn by the number of requests of theirs before, then by age.
func (l *Line) Order(_ time.Time) []Item {
	if len(l.Items) == 0 {
		return nil
	}
	items := make([]Item, 0, len(l.Items))
	for _, i := range l.Items {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.ID, b.ID))
	})
	// Those that are late come after the others, and count for themselves.
	turn := map[string][2]int{}
	turns := make(map[string]int, len(items))
	for _, i := range items {
		class := 0
		if i.Late {
			class = 1
		}
		counts := turn[i.Team]
		turns[i.ID] = counts[class]
		counts[class]++
		turn[i.Team] = counts
	}
	slices.SortStableFunc(items, func(a, b Item) int {
		return cmp.Or(compareBool(b.Resumed, a.Resumed), cmp.Compare(a.Priority, b.Priority), compareBool(a.Late, b.Late),
			cmp.Compare(turns[a.ID], turns[b.ID]))
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
