// Package queuer orders the requests that wait on one instance: fairly between teams, by priority, and never longer
// than their deadlines allow.
package queuer

import (
	"cmp"
	"slices"
	"time"
)

// Item is one waiting request.
type Item struct {
	ID   string
	Team string
	// Share is the team's weight. Zero counts as one.
	Share float64
	// Priority orders items; those of a higher priority are popped first, and those of a lower one shed first.
	Priority int
	// Tokens is the expected work in tokens.
	Tokens int
	// Deadline is the latest time at which it is of use to begin the request. Zero means none.
	Deadline time.Time
	// Pushed is the time of the push. Push sets it.
	Pushed time.Time
}

// The reasons of a Decision that does not accept an item.
const (
	// ReasonDeadline means that the item would begin after its deadline.
	ReasonDeadline = "deadline"
	// ReasonFull means that the queue is full of items that go before this one.
	ReasonFull = "full"
)

// Decision is the answer to a push. An item that is not accepted was not run and is not kept.
type Decision struct {
	Accepted bool
	Reason   string
	// RetryAfter is when to try again, if the item is not accepted.
	RetryAfter time.Duration
	// Wait is the expected time until the item is popped.
	Wait time.Duration
	// Shed holds the items that were removed to make room. They were not run.
	Shed []Item
}

// Queue is a start-time fair queue for each priority (Goyal, Vin and Cheng, Start-Time Fair Queueing, 1996): the team
// whose next item has the lowest start tag goes first, and a team's tags advance by its tokens divided by its share.
// A team that was idle starts at the virtual time, so that it neither waits for a busy one nor saves up.
type Queue struct {
	limit  int
	levels []*level
	length int
	pace   pace
}

// Option changes a Queue under construction.
type Option func(*Queue)

const (
	// defaultLimit is the number of items that a queue holds unless an option says otherwise.
	defaultLimit = 1024
	// minRetryAfter is the shortest time after which a refused caller is asked to try again.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest.
	maxRetryAfter = time.Minute
)

// WithLimit bounds the number of waiting items.
func WithLimit(items int) Option {
	return func(q *Queue) { q.limit = items }
}

// New returns an empty queue.
func New(options ...Option) *Queue {
	q := &Queue{limit: defaultLimit}
	for _, option := range options {
		option(q)
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return q.length
}

// Push adds an item unless it would begin after its deadline or the queue is full of items that go before it.
func (q *Queue) Push(now time.Time, i Item) Decision {
	i.Pushed = now
	if i.Share <= 0 {
		i.Share = 1
	}
	wait := q.wait(now, i)
	if !i.Deadline.IsZero() && now.Add(wait).After(i.Deadline) {
		late := now.Add(wait).Sub(i.Deadline)
		return Decision{Reason: ReasonDeadline, RetryAfter: retryAfter(late), Wait: wait}
	}
	decision := Decision{Accepted: true, Wait: wait}
	if q.length >= q.limit {
		shed, ok := q.shed(i)
		if !ok {
			return Decision{Reason: ReasonFull, RetryAfter: retryAfter(wait), Wait: wait}
		}
		decision.Shed = append(decision.Shed, shed)
	}
	if q.length == 0 {
		q.pace.start(now)
	}
	q.level(i.Priority).push(i)
	q.length++
	return decision
}

// Pop removes and returns the next item that has not passed its deadline. Items past it stay for Expire.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	for _, l := range q.levels {
		i, ok := l.pop(now)
		if !ok {
			continue
		}
		q.length--
		q.pace.add(now, i.Tokens, q.length > 0)
		return i, true
	}
	return Item{}, false
}

// Expire removes and returns the items whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Item {
	var expired []Item
	for _, l := range q.levels {
		expired = append(expired, l.remove(func(i Item) bool { return late(now, i) })...)
	}
	q.length -= len(expired)
	return expired
}

// Remove removes an item whose caller has left. It reports whether the item was waiting.
func (q *Queue) Remove(_ time.Time, id string) bool {
	for _, l := range q.levels {
		if removed := l.remove(func(i Item) bool { return i.ID == id }); len(removed) > 0 {
			q.length -= len(removed)
			return true
		}
	}
	return false
}

// Return puts back at the head of its team an item that was popped and could not be started. The team is not charged
// for it twice.
func (q *Queue) Return(_ time.Time, i Item) {
	q.level(i.Priority).unpop(i)
	q.length++
}

// Settle charges a team the difference between the tokens that an item used and those that were expected.
func (q *Queue) Settle(_ time.Time, i Item, used int) {
	for _, l := range q.levels {
		if l.priority == i.Priority {
			l.charge(i.Team, float64(used-i.Tokens)/max(i.Share, minShare))
		}
	}
}

// minShare keeps the division by a share finite.
const minShare = 1e-6

// level returns the level of a priority, the highest first.
func (q *Queue) level(priority int) *level {
	at, found := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int {
		return cmp.Compare(p, l.priority)
	})
	if !found {
		q.levels = slices.Insert(q.levels, at, &level{priority: priority, flows: map[string]*flow{}})
	}
	return q.levels[at]
}

// wait returns the expected time until an item would be popped.
func (q *Queue) wait(now time.Time, i Item) time.Duration {
	rate := q.pace.rate(now)
	if rate <= 0 || q.length == 0 {
		return 0
	}
	before := 0.0
	for _, l := range q.levels {
		if l.priority > i.Priority {
			before += l.tokens()
		}
		if l.priority == i.Priority {
			before += l.before(i)
		}
	}
	return time.Duration(before / rate * float64(time.Second))
}

// shed removes the last item of the team with the most waiting for its share, at the lowest priority. It reports
// false if that would be the item to be pushed.
func (q *Queue) shed(i Item) (Item, bool) {
	for at := len(q.levels) - 1; at >= 0; at-- {
		l := q.levels[at]
		if l.priority < i.Priority {
			if shed, ok := l.shed(""); ok {
				q.length--
				return shed, true
			}
		}
		if l.priority == i.Priority {
			shed, ok := l.shed(i.Team)
			if ok {
				q.length--
			}
			return shed, ok
		}
	}
	return Item{}, false
}

// late reports whether an item's deadline has passed.
func late(now time.Time, i Item) bool {
	return !i.Deadline.IsZero() && now.After(i.Deadline)
}

// retryAfter returns a bounded time to try again.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter).Round(time.Second)
}
