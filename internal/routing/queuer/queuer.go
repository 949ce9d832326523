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
	// Slack is set by Pop: the part of the usual bound on busy endpoints that holds for the item. It is above 1 for a
	// team within its share, so that it need not wait for those over theirs, and below 1 for a team over its share while
	// others are within theirs, so that what the others run on is not slowed down.
	Slack float64
	// Boost is set by Pop: what is to be added to the item's priority in the engines. It is 1 for a team within its share
	// beside others, so that its prompt does not wait behind theirs.
	Boost int
	// charge is the advance of the team's tag when the item is popped.
	charge float64
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
	// ratios holds the real tokens for each expected one by team.
	ratios map[string]float64
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
	// maxRatio bounds the ratio of real to expected tokens, and ratioGain is the weight of the newest item in it.
	maxRatio  = 100
	ratioGain = 0.05
	// withinSlack, evenSlack and overSlack are the values of an item's Slack.
	withinSlack = 1.25
	evenSlack   = 1
	overSlack   = 0.25
	// withinBoost is the value of Boost of a team within its share.
	withinBoost = 1
	// withinTime is how long a team within its share holds back those over theirs.
	withinTime = time.Second
)

// WithLimit bounds the number of waiting items.
func WithLimit(items int) Option {
	return func(q *Queue) { q.limit = items }
}

// New returns an empty queue.
func New(options ...Option) *Queue {
	q := &Queue{limit: defaultLimit, ratios: map[string]float64{}}
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
	i.Share = i.weight()
	i.charge = float64(i.Tokens) * q.ratio(i.Team) / i.Share
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
		l.usage.measure(now)
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
	i.Share = i.weight()
	q.level(i.Priority).unpop(i)
	q.pace.tokens -= float64(i.Tokens)
	q.length++
}

// Settle learns from the tokens that an item used how the team's expected tokens compare with the real ones. Later
// items are charged by that ratio. A charge for each item's own error would make a team that is within its share wait
// for every long answer, while an idle team's credit for short ones lapses.
func (q *Queue) Settle(_ time.Time, i Item, used int) {
	if i.Tokens <= 0 {
		return
	}
	ratio := min(max(float64(used)/float64(i.Tokens), 1/maxRatio), maxRatio)
	q.ratios[i.Team] = q.ratio(i.Team) + ratioGain*(ratio-q.ratio(i.Team))
}

// ratio returns a team's real tokens for each expected one.
func (q *Queue) ratio(team string) float64 {
	if ratio, ok := q.ratios[team]; ok {
		return ratio
	}
	return 1
}

// weight returns the team's weight.
func (i Item) weight() float64 {
	if i.Share <= 0 {
		return 1
	}
	return i.Share
}

// level returns the level of a priority, the highest first.
func (q *Queue) level(priority int) *level {
	at, found := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int {
		return cmp.Compare(p, l.priority)
	})
	if !found {
		q.levels = slices.Insert(q.levels, at, &level{priority: priority, flows: map[string]*flow{}, usage: newUsage()})
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
