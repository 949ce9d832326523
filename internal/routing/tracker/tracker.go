// Package tracker filters the steps of one answer over all its attempts, so that each token reaches the caller exactly
// once and in order.
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
	// Fault is the last step of an attempt that a stage could not continue.
	Fault
)

// Step is one message of an attempt's reply stream.
type Step struct {
	Kind     Kind
	Attempt  int
	Position int
	Token    int
	Text     string
	// ExecutedStages lists the stages that were run for the token, in order.
	Ran []planner.Stage
	// Reason says why the answer ended or how the endpoint failed.
	Reason string
	// Endpoint is the identifier of the endpoint at fault.
	Endpoint string
	// PromptTokens is the number of tokens of the prompt, on an End step.
	Prompt int
}

// Verb says what to do with a step.
type Verb int

// The verbs.
const (
	// Drop means that the step is not used; Cause says why.
	Drop Verb = iota
	// Deliver means that the step's token goes to the caller.
	Deliver
	// Finish means that the answer is complete.
	Finish
	// Abandon means that the attempt cannot continue: a new one is needed.
	Abandon
)

// Cause is why a step is dropped or an attempt abandoned.
type Why string

// The causes: a ping; a step of another attempt; a position that was delivered already; stages other than those of the
// plan; a position that does not follow the last one delivered or exceeds MaxTokens; a fault; a step after the end.
const (
	WhyPing     Why = "ping"
	WhyStale    Why = "stale"
	WhyRepeated Why = "repeated"
	WhyRange    Why = "range"
	WhyGap      Why = "gap"
	WhyFault    Why = "fault"
	WhyOver     Why = "over"
)

// Action is what to do with a step.
type Action struct {
	Verb     Verb
	Why      Why
	Token    int
	Text     string
	Reason   string
	Endpoint string
}

// Timeout says which time limit of an attempt has been exceeded.
type Lapse int

// The timeouts.
const (
	// OnTime means that no limit has been exceeded.
	OnTime Lapse = iota
	// Silent means that the connection has carried nothing, not even a ping, for MaxSilence.
	Silent
	// Stalled means that the connection is alive, but no token has arrived for MaxStall.
	Stalled
)

// Limits are the time limits of an attempt.
type Limits struct {
	// MaxSilence is the longest time without any step.
	Silence time.Duration
	// MaxStall is the longest time without a token.
	Stall time.Duration
}

// Tracker is the state of one answer. It is not safe for concurrent use.
type Tracker struct {
	Request string
	Layers  int
	// MaxTokens bounds the length of the answer.
	Limit  int
	Limits Limits
	// Attempt is the number of the current attempt, from 1; it is 0 before the first.
	Attempt int
	Plan    planner.Plan
	// Delivered holds the tokens that have been delivered to the caller.
	Delivered []int
	// Ended, Reason and PromptTokens are set by the End step of a complete answer.
	Ended  bool
	Reason string
	Prompt int
	// LastStepAt and LastTokenAt are the times of the last step and of the last token of the attempt, or of its begin.
	Heard time.Time
	Moved time.Time
	// Dropped is the number of steps that were not used, by cause.
	Dropped map[Why]int
}

// New returns a tracker for an answer of at most limit tokens from a model of the given number of layers.
func New(request string, layers, limit int, limits Limits) *Tracker {
	return &Tracker{Request: request, Layers: layers, Limit: limit, Limits: limits, Dropped: map[Why]int{}}
}

// Begin starts a new attempt with a plan at now and returns its number. It returns 0 if the plan does not cover every
// layer exactly once, or the answer has ended.
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

// HandleStep records a step that arrived at now and returns what to do with it.
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
		return t.handleEnd(s)
	default:
		return t.handleToken(now, s)
	}
}

// handleToken handles a step that carries a token.
func (t *Tracker) handleToken(now time.Time, s Step) Action {
	next := len(t.Delivered)
	if s.Position < next {
		return t.drop(WhyRepeated)
	}
	if s.Position > next || next >= t.Limit {
		return Action{Verb: Abandon, Why: WhyGap}
	}
	if !t.matchesPlan(s.Ran) {
		return t.drop(WhyRange)
	}
	t.Moved = now
	t.Delivered = append(t.Delivered, s.Token)
	return Action{Verb: Deliver, Token: s.Token, Text: s.Text}
}

// handleEnd handles the last step of a complete answer. If it does not follow the last token delivered, there is a gap.
func (t *Tracker) handleEnd(s Step) Action {
	if s.Position != len(t.Delivered) {
		return Action{Verb: Abandon, Why: WhyGap}
	}
	t.Ended = true
	t.Reason = s.Reason
	t.Prompt = s.Prompt
	return Action{Verb: Finish, Reason: s.Reason}
}

// matchesPlan reports whether the executed stages are those of the plan, in its order.
func (t *Tracker) matchesPlan(executed []planner.Stage) bool {
	if len(executed) != len(t.Plan.Stages) {
		return false
	}
	for i, planned := range t.Plan.Stages {
		run := executed[i]
		if run.Endpoint != planned.Endpoint || run.From != planned.From || run.To != planned.To {
			return false
		}
	}
	return true
}

// drop counts a step that is not used.
func (t *Tracker) drop(cause Why) Action {
	t.Dropped[cause]++
	return Action{Verb: Drop, Why: cause}
}

// CheckTimeout returns which limit has been exceeded at now. pausedFor returns for how long since a given time this
// process itself was paused: that time does not count towards a limit.
func (t *Tracker) Lapsed(now time.Time, pausedFor func(since time.Time) time.Duration) Lapse {
	if now.Sub(t.Heard)-pausedFor(t.Heard) >= t.Limits.Silence {
		return Silent
	}
	if now.Sub(t.Moved)-pausedFor(t.Moved) >= t.Limits.Stall {
		return Stalled
	}
	return OnTime
}

// Deadline returns the earliest time at which a limit may be exceeded.
func (t *Tracker) Deadline() time.Time {
	silence := t.Heard.Add(t.Limits.Silence)
	stall := t.Moved.Add(t.Limits.Stall)
	if stall.Before(silence) {
		return stall
	}
	return silence
}
