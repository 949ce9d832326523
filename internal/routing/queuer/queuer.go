// Package queuer orders the requests that wait on one instance by priority and fairly between teams, and keeps none
// longer than its deadline allows.
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
	// Priority orders items: those of a higher priority are popped first, those of a lower one shed first.
	Priority int
	// Tokens is the expected work in tokens.
	Tokens int
	// Deadline is the latest time at which it is of use to begin the request. Zero means none.
	Deadline time.Time
	// PushedAt is the time of the push. Push sets it.
	PushedAt time.Time
	// Slack is set by Pop: the multiple of the usual bound on the load of endpoints that applies to the item. It is above
	// 1 for a team within its share, so that it need not wait for teams over theirs, and below 1 for a team over its
	// share while others are within theirs, so that the endpoints of the others are not slowed down.
	Slack float64
	// PriorityBoost is set by Pop: the increase of the item's priority in the engines. It is 1 for a team that is within
	// its share while other teams are active, so that its prompt does not wait behind theirs.
	PriorityBoost int
	// charge is the advance of the team's tag when the item is popped.
	charge float64
}

// The reasons of a Decision that does not accept an item.
const (
	// ReasonDeadline means that the item would begin after its deadline.
	ReasonDeadline = "deadline"
	// ReasonFull means that the queue is full of items that take precedence over this one.
	ReasonFull = "full"
)

// Decision is the result of a push. An item that is not accepted was not run and is not kept.
type Decision struct {
	Accepted bool
	Reason   string
	// RetryAfter is the time after which to try again, if the item is not accepted.
	RetryAfter time.Duration
	// ExpectedWait is the expected time until the item is popped.
	ExpectedWait time.Duration
	// Shed holds the items that were removed to make room for this one. They were not run.
	Shed []Item
}

// Queue is a start-time fair queue for each priority (Goyal, Vin and Cheng, Start-Time Fair Queueing, 1996): the team
// whose next item has the lowest start tag goes first, and a team's tags advance by its tokens divided by its share.
// A team that was idle starts at the virtual time, so that it neither waits for a busy one nor accumulates credit. A
// Queue is not safe for concurrent use.
type Queue struct {
	limit   int
	levels  []*level
	length  int
	popRate popRate
	// tokenRatios holds, by team, the ratio of used to expected tokens.
	tokenRatios map[string]float64
}

// Option configures a Queue in New.
type Option func(*Queue)

const (
	// defaultLimit is the largest number of waiting items unless an option sets it.
	defaultLimit = 1024
	// minRetryAfter and maxRetryAfter bound the time after which the caller of a rejected item is to try again.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// maxRatio bounds the ratio of used to expected tokens and its inverse, and ratioGain is the weight of the newest
	// item in the smoothed ratio.
	maxRatio  = 100
	ratioGain = 0.05
	// withinShareSlack, neutralSlack and overShareSlack are the values of an item's Slack.
	withinShareSlack = 1.25
	neutralSlack     = 1
	overShareSlack   = 0.25
	// withinShareBoost is the PriorityBoost of an item of a team within its share.
	withinShareBoost = 1
	// withinShareHold is how long after a pop for a team within its share those over theirs get overShareSlack.
	withinShareHold = time.Second
)

// WithLimit sets the largest number of waiting items.
func WithLimit(items int) Option {
	return func(q *Queue) { q.limit = items }
}

// New returns an empty queue.
func New(options ...Option) *Queue {
	q := &Queue{limit: defaultLimit, tokenRatios: map[string]float64{}}
	for _, option := range options {
		option(q)
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return q.length
}

// Push adds an item unless it would begin after its deadline or the queue is full of items that take precedence over it.
func (q *Queue) Push(now time.Time, i Item) Decision {
	i.PushedAt = now
	i.Share = i.weight()
	i.charge = float64(i.Tokens) * q.tokenRatio(i.Team) / i.Share
	wait := q.expectedWait(now, i)
	if !i.Deadline.IsZero() && now.Add(wait).After(i.Deadline) {
		overdue := now.Add(wait).Sub(i.Deadline)
		return Decision{Reason: ReasonDeadline, RetryAfter: retryAfter(overdue), ExpectedWait: wait}
	}
	decision := Decision{Accepted: true, ExpectedWait: wait}
	if q.length >= q.limit {
		shed, ok := q.shed(i)
		if !ok {
			return Decision{Reason: ReasonFull, RetryAfter: retryAfter(wait), ExpectedWait: wait}
		}
		decision.Shed = append(decision.Shed, shed)
	}
	if q.length == 0 {
		q.popRate.startWindow(now)
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
		q.popRate.add(now, i.Tokens, q.length > 0)
		return i, true
	}
	return Item{}, false
}

// Expire removes and returns the items whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Item {
	var expired []Item
	for _, l := range q.levels {
		expired = append(expired, l.remove(func(i Item) bool { return isExpired(now, i) })...)
		l.usage.update(now)
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

// Requeue puts an item that was popped and could not be started back at the head of its team's queue. The team is not
// charged for it twice.
func (q *Queue) Requeue(_ time.Time, i Item) {
	i.Share = i.weight()
	q.level(i.Priority).requeue(i)
	q.popRate.tokens -= float64(i.Tokens)
	q.length++
}

// RecordUsage updates the team's ratio of used to expected tokens by the tokens that an item used. Later items are
// charged by that ratio. A charge for each item's own error would make a team that is within its share wait for every
// long answer, while an idle team's credit for short ones lapses.
func (q *Queue) RecordUsage(_ time.Time, i Item, used int) {
	if i.Tokens <= 0 {
		return
	}
	ratio := min(max(float64(used)/float64(i.Tokens), 1/maxRatio), maxRatio)
	q.tokenRatios[i.Team] = q.tokenRatio(i.Team) + ratioGain*(ratio-q.tokenRatio(i.Team))
}

// tokenRatio returns a team's smoothed ratio of used to expected tokens; 1 if none is recorded.
func (q *Queue) tokenRatio(team string) float64 {
	if ratio, ok := q.tokenRatios[team]; ok {
		return ratio
	}
	return 1
}

// weight returns the weight of the item's team, 1 unless Share is above zero.
func (i Item) weight() float64 {
	if i.Share <= 0 {
		return 1
	}
	return i.Share
}

// level returns the level of a priority, which it adds if it is missing. Levels are kept with the highest priority first.
func (q *Queue) level(priority int) *level {
	index, found := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int {
		return cmp.Compare(p, l.priority)
	})
	if !found {
		q.levels = slices.Insert(q.levels, index, &level{priority: priority, flows: map[string]*flow{}, usage: newUsage()})
	}
	return q.levels[index]
}

// expectedWait returns the expected time until an item that is pushed now is popped.
func (q *Queue) expectedWait(now time.Time, i Item) time.Duration {
	rate := q.popRate.rate(now)
	if rate <= 0 || q.length == 0 {
		return 0
	}
	tokensBefore := 0.0
	for _, l := range q.levels {
		if l.priority > i.Priority {
			tokensBefore += l.tokens()
		}
		if l.priority == i.Priority {
			tokensBefore += l.tokensAhead(i)
		}
	}
	return time.Duration(tokensBefore / rate * float64(time.Second))
}

// shed removes the last item of the team with the largest backlog for its share, at the lowest priority. It reports
// false if that would be the item to be pushed.
func (q *Queue) shed(i Item) (Item, bool) {
	for index := len(q.levels) - 1; index >= 0; index-- {
		l := q.levels[index]
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

// isExpired reports whether an item's deadline has passed.
func isExpired(now time.Time, i Item) bool {
	return !i.Deadline.IsZero() && now.After(i.Deadline)
}

// retryAfter returns the wait rounded to seconds, between minRetryAfter and maxRetryAfter.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter).Round(time.Second)
}
