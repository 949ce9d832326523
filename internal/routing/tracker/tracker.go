// Package tracker checks the steps of one answer over all its attempts, so that each token reaches the caller once and
// in order.
package tracker

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// Kind is the kind of a step.
type Kind int

// The kinds of a step.
const (
	// Token carries one token.
	Token Kind = iota
	// Ping shows that the stream is alive.
	Ping
	// End is the last step of a complete answer.
	End
	// Fault is the last step of an attempt that a stage could not go on with.
	Fault
)

// Step is one reply to an attempt.
type Step struct {
	Kind     Kind
	Attempt  int
	Position int
	Token    int
	Text     string
	// Ran lists what was run for the token, in order.
	Ran []planner.Stage
	// Reason says why the answer ended or how the endpoint failed.
	Reason string
	// Endpoint names the endpoint at fault.
	Endpoint string
	// Prompt counts the prompt's tokens, on an End step.
	Prompt int
}

// Verb says what to do with a step.
type Verb int

// The verbs.
const (
	// Drop means that the step is not used; Why says the reason.
	Drop Verb = iota
	// Deliver means that the step's token goes to the caller.
	Deliver
	// Finish means that the answer is complete.
	Finish
	// Abandon means that the attempt cannot go on: a new one is needed.
	Abandon
)

// Why is the reason of a Drop or an Abandon.
type Why string

// The reasons.
const (
	WhyPing     Why = "ping"
	WhyStale    Why = "stale"
	WhyRepeated Why = "repeated"
	WhyRange    Why = "range"
	WhyGap      Why = "gap"
	WhyFault    Why = "fault"
	WhyOver     Why = "over"
)

// Action is what to do after a step.
type Action struct {
	Verb     Verb
	Why      Why
	Token    int
	Text     string
	Reason   string
	Endpoint string
}

// Lapse says which deadline of an attempt has passed.
type Lapse int

// The lapses.
const (
	// OnTime means that no deadline has passed.
	OnTime Lapse = iota
	// Silent means that the connection has carried nothing, not even a ping, for the silence limit.
	Silent
	// Stalled means that the connection is alive, but no token came for the stall limit.
	Stalled
)

// Limits are the deadlines of an attempt.
type Limits struct {
	// Silence is the longest time without any step.
	Silence time.Duration
	// Stall is the longest time without a token.
	Stall time.Duration
}

// Tracker is the state of one answer. Its fields are read by the state dump.
type Tracker struct {
	Request string
	Layers  int
	// Limit bounds the answer, in tokens.
	Limit  int
	Limits Limits
	// Attempt counts from 1; it is 0 before the first.
	Attempt   int
	Plan      planner.Plan
	Delivered []int
	Ended     bool
	Reason    string
	Prompt    int
	// Heard and Moved are the times of the last step and of the last token of the attempt.
	Heard time.Time
	Moved time.Time
	// Dropped counts the steps that were not used, by reason.
	Dropped map[Why]int
}

// New returns a tracker for an answer of at most limit tokens from a model of the given number of layers.
func New(request string, layers, limit int, limits Limits) *Tracker {
	return &Tracker{Request: request, Layers: layers, Limit: limit, Limits: limits, Dropped: map[Why]int{}}
}

// Begin starts a new attempt over a plan at now and returns its number. It returns 0 if the plan does not cover every
// layer once, or the answer has ended.
func (t *Tracker) Begin(now time.Time, p planner.Plan) int {
	if t.Ended || !planner.Covers(p.Stages, t.Layers) {
		return 0
	}
	t.Attempt++
	t.Plan = p
	t.Heard = now
	t.Moved = now
	return t.Attempt
}

// Take returns what to do with a step that arrived at now.
func (t *Tracker) Take(now time.Time, s Step) Action {
	if t.Ended {
		return t.drop(WhyOver)
	}
	if s.Attempt != t.Attempt {
		return t.drop(WhyStale)
	}
	t.Heard = now
	switch s.Kind {
	case Ping:
		return Action{Verb: Drop, Why: WhyPing}
	case Fault:
		return Action{Verb: Abandon, Why: WhyFault, Reason: s.Reason, Endpoint: s.Endpoint}
	case End:
		return t.end(s)
	default:
		return t.token(now, s)
	}
}

// token handles a step that carries a token.
func (t *Tracker) token(now time.Time, s Step) Action {
	next := len(t.Delivered)
	if s.Position < next {
		return t.drop(WhyRepeated)
	}
	if s.Position > next || next >= t.Limit {
		return Action{Verb: Abandon, Why: WhyGap}
	}
	if !t.matches(s.Ran) {
		return t.drop(WhyRange)
	}
	t.Moved = now
	t.Delivered = append(t.Delivered, s.Token)
	return Action{Verb: Deliver, Token: s.Token, Text: s.Text}
}

// end handles the last step of an answer. An end that does not follow the last token delivered is a gap.
func (t *Tracker) end(s Step) Action {
	if s.Position != len(t.Delivered) {
		return Action{Verb: Abandon, Why: WhyGap}
	}
	t.Ended = true
	t.Reason = s.Reason
	t.Prompt = s.Prompt
	return Action{Verb: Finish, Reason: s.Reason}
}

// matches reports whether what was run is the plan, stage by stage.
func (t *Tracker) matches(ran []planner.Stage) bool {
	if len(ran) != len(t.Plan.Stages) {
		return false
	}
	for i, s := range t.Plan.Stages {
		r := ran[i]
		if r.Endpoint != s.Endpoint || r.From != s.From || r.To != s.To {
			return false
		}
	}
	return true
}

// drop counts a step that is not used.
func (t *Tracker) drop(w Why) Action {
	t.Dropped[w]++
	return Action{Verb: Drop, Why: w}
}

// Lapsed returns the deadline that has passed at now. Held tells for how long of the time since another one this process
// was held up itself: that time counts for no deadline.
func (t *Tracker) Lapsed(now time.Time, held func(since time.Time) time.Duration) Lapse {
	if now.Sub(t.Heard)-held(t.Heard) >= t.Limits.Silence {
		return Silent
	}
	if now.Sub(t.Moved)-held(t.Moved) >= t.Limits.Stall {
		return Stalled
	}
	return OnTime
}

// Deadline returns the earliest time at which a deadline may have passed.
func (t *Tracker) Deadline() time.Time {
	silence := t.Heard.Add(t.Limits.Silence)
	stall := t.Moved.Add(t.Limits.Stall)
	if stall.Before(silence) {
		return stall
	}
	return silence
}
