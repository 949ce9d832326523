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
	ExecutedStages []planner.Stage
	// Reason says why the answer ended or how the endpoint failed.
	Reason string
	// Endpoint is the identifier of the endpoint at fault.
	Endpoint string
	// PromptTokens is the number of tokens of the prompt, on an End step.
	PromptTokens int
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
type Cause string

// The causes: a ping; a step of another attempt; a position that was delivered already; stages other than those of the
// plan; a position that does not follow the last one delivered or exceeds MaxTokens; a fault; a step after the end.
const (
	CausePing          Cause = "ping"
	CauseStale         Cause = "stale"
	CauseRepeated      Cause = "repeated"
	CauseStageMismatch Cause = "range"
	CauseGap           Cause = "gap"
	CauseFault         Cause = "fault"
	CauseEnded         Cause = "over"
)

// Action is what to do with a step.
type Action struct {
	Verb     Verb
	Cause    Cause
	Token    int
	Text     string
	Reason   string
	Endpoint string
}

// Timeout says which time limit of an attempt has been exceeded.
type Timeout int

// The timeouts.
const (
	// OnTime means that no limit has been exceeded.
	OnTime Timeout = iota
	// Silent means that the connection has carried nothing, not even a ping, for MaxSilence.
	Silent
	// Stalled means that the connection is alive, but no token has arrived for MaxStall.
	Stalled
)

// Limits are the time limits of an attempt.
type Limits struct {
	// MaxSilence is the longest time without any step.
	MaxSilence time.Duration
	// MaxStall is the longest time without a token.
	MaxStall time.Duration
}

// Tracker is the state of one answer. It is not safe for concurrent use.
type Tracker struct {
	Request string
	Layers  int
	// MaxTokens bounds the length of the answer.
	MaxTokens int
	Limits    Limits
	// Attempt is the number of the current attempt, from 1; it is 0 before the first.
	Attempt int
	Plan    planner.Plan
	// Delivered holds the tokens that have been delivered to the caller.
	Delivered []int
	// Ended, Reason and PromptTokens are set by the End step of a complete answer.
	Ended        bool
	Reason       string
	PromptTokens int
	// LastStepAt and LastTokenAt are the times of the last step and of the last token of the attempt, or of its begin.
	LastStepAt  time.Time
	LastTokenAt time.Time
	// Dropped is the number of steps that were not used, by cause.
	Dropped map[Cause]int
}

// New returns a tracker for an answer of at most limit tokens from a model of the given number of layers.
func New(request string, layers, limit int, limits Limits) *Tracker {
	return &Tracker{Request: request, Layers: layers, MaxTokens: limit, Limits: limits, Dropped: map[Cause]int{}}
}

// Begin starts a new attempt with a plan at now and returns its number. It returns 0 if the plan does not cover every
// layer exactly once, or the answer has ended.
func (t *Tracker) Begin(now time.Time, p planner.Plan) int {
	if t.Ended || !planner.Covers(p.Stages, t.Layers) {
		return 0
	}
	t.Attempt++
	t.Plan = p
	t.LastStepAt = now
	t.LastTokenAt = now
	return t.Attempt
}

// HandleStep records a step that arrived at now and returns what to do with it.
func (t *Tracker) HandleStep(now time.Time, s Step) Action {
	if t.Ended {
		return t.drop(CauseEnded)
	}
	if s.Attempt != t.Attempt {
		return t.drop(CauseStale)
	}
	t.LastStepAt = now
	switch s.Kind {
	case Ping:
		return Action{Verb: Drop, Cause: CausePing}
	case Fault:
		return Action{Verb: Abandon, Cause: CauseFault, Reason: s.Reason, Endpoint: s.Endpoint}
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
		return t.drop(CauseRepeated)
	}
	if s.Position > next || next >= t.MaxTokens {
		return Action{Verb: Abandon, Cause: CauseGap}
	}
	if !t.matchesPlan(s.ExecutedStages) {
		return t.drop(CauseStageMismatch)
	}
	t.LastTokenAt = now
	t.Delivered = append(t.Delivered, s.Token)
	return Action{Verb: Deliver, Token: s.Token, Text: s.Text}
}

// handleEnd handles the last step of a complete answer. If it does not follow the last token delivered, there is a gap.
func (t *Tracker) handleEnd(s Step) Action {
	if s.Position != len(t.Delivered) {
		return Action{Verb: Abandon, Cause: CauseGap}
	}
	t.Ended = true
	t.Reason = s.Reason
	t.PromptTokens = s.PromptTokens
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
func (t *Tracker) drop(cause Cause) Action {
	t.Dropped[cause]++
	return Action{Verb: Drop, Cause: cause}
}

// CheckTimeout returns which limit has been exceeded at now. pausedFor returns for how long since a given time this
// process itself was paused: that time does not count towards a limit.
func (t *Tracker) CheckTimeout(now time.Time, pausedFor func(since time.Time) time.Duration) Timeout {
	if now.Sub(t.LastStepAt)-pausedFor(t.LastStepAt) >= t.Limits.MaxSilence {
		return Silent
	}
	if now.Sub(t.LastTokenAt)-pausedFor(t.LastTokenAt) >= t.Limits.MaxStall {
		return Stalled
	}
	return OnTime
}

// Deadline returns the earliest time at which a limit may be exceeded.
func (t *Tracker) Deadline() time.Time {
	silence := t.LastStepAt.Add(t.Limits.MaxSilence)
	stall := t.LastTokenAt.Add(t.Limits.MaxStall)
	if stall.Before(silence) {
		return stall
	}
	return silence
}
