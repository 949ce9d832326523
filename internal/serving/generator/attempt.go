package generator

import (
	"context"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
	"github.com/heatherrock/heatherrock/internal/routing/tracker"
)

// arrival is one step of a stream, or its end.
type arrival struct {
	step streamer.Step
	err  error
}

// reader reads a stream's steps until it ends or done is closed.
type reader struct {
	stream *streamer.Stream
	steps  chan arrival
	done   chan struct{}
}

// run passes on the stream's steps.
func (r *reader) run() {
	defer close(r.steps)
	for {
		step, err := r.stream.Next()
		select {
		case r.steps <- arrival{step: step, err: err}:
		case <-r.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// opening is the result of opening a stream.
type opening struct {
	stream  *streamer.Stream
	outcome classifier.Outcome
	err     error
}

// opener opens a stream, apart from the attempt, so that a connection which says nothing can be given up.
type opener struct {
	engines Engines
	request streamer.Request
	opened  chan opening
	done    chan struct{}
}

// run opens the stream. It closes a stream that opens after its attempt was given up.
func (o *opener) run(ctx context.Context) {
	stream, outcome, err := o.engines.Open(ctx, o.request)
	select {
	case o.opened <- opening{stream: stream, outcome: outcome, err: err}:
	case <-o.done:
		if stream != nil {
			stream.Close()
		}
	}
}

// canceller tells an endpoint to give up an attempt.
type canceller struct {
	engines Engines
	address string
	request string
	attempt int
}

// run sends the message once. Its answer does not matter: an engine also drops the steps of an attempt once it knows a
// newer one.
func (c *canceller) run() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = c.engines.Cancel(ctx, c.address, c.request, c.attempt)
}

// attempt runs the attempt that the tracker has begun and records how it ended.
func (a *answer) attempt(ctx context.Context) Attempt {
	now := a.clock()
	plan := a.tracker.Plan
	before := len(a.tracker.Delivered)
	a.router.Started(now, a.job, plan)
	t := Attempt{Number: a.tracker.Attempt, Plan: plan, Outcome: classifier.Unknown}
	attempt, cancel := context.WithCancel(ctx)
	a.stream(attempt, &t)
	cancel()
	t.Tokens = len(a.tracker.Delivered) - before
	a.ended = a.clock()
	a.attempts = append(a.attempts, t)
	a.router.Ended(a.ended, a.job, t)
	if a.trial {
		a.found(t)
	}
	if t.Ending != EndingComplete && !t.Outcome.NotRun() {
		c := &canceller{engines: a.engines, address: plan.Stages[0].Address, request: a.job.Request, attempt: t.Number}
		go c.run()
	}
	a.log.Debug("attempt ended", "request", a.job.Request, "attempt", t.Number, "ending", t.Ending.String(),
		"endpoint", t.Endpoint, "reason", t.Reason, "tokens", t.Tokens)
	return t
}

// found tells what a trial found. A crash is told by learn.
func (a *answer) found(t Attempt) {
	switch t.Ending {
	case EndingComplete:
		a.guard.Clear(a.ended, a.job.Fingerprint)
	case EndingCrashed:
	default:
		a.guard.Withdraw(a.ended, a.job.Fingerprint)
	}
}

// stream opens the attempt's stream and takes its steps until the attempt has ended.
func (a *answer) stream(ctx context.Context, t *Attempt) {
	o := &opener{engines: a.engines, request: a.request(), opened: make(chan opening), done: make(chan struct{})}
	defer close(o.done)
	go o.run(ctx)
	timer := time.NewTimer(a.tracker.Deadline().Sub(a.clock()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			t.Ending = EndingLeft
			return
		case <-timer.C:
			if a.lapsed(t) {
				return
			}
			timer.Reset(a.wake())
		case open := <-o.opened:
			if open.err != nil {
				a.unopened(ctx, t, open)
				return
			}
			a.take(ctx, t, open.stream)
			return
		}
	}
}

// heldWait is the time between looks at an attempt whose deadline has passed only because the process was held up.
const heldWait = 20 * time.Millisecond

// wake returns how long to wait before the deadlines are looked at again.
func (a *answer) wake() time.Duration {
	return max(heldWait, a.tracker.Deadline().Sub(a.clock()))
}

// unopened records why a stream could not be opened.
func (a *answer) unopened(ctx context.Context, t *Attempt, open opening) {
	t.Outcome = open.outcome
	t.Reason = open.err.Error()
	t.Endpoint = t.Plan.Stages[0].Endpoint
	switch {
	case ctx.Err() != nil:
		t.Ending = EndingLeft
	case open.outcome == classifier.Refused:
		t.Ending = EndingRefused
	case open.outcome == classifier.NotSent:
		t.Ending = EndingUnreachable
	default:
		t.Ending = EndingCrashed
	}
}

// request returns the message that opens the attempt.
func (a *answer) request() streamer.Request {
	r := streamer.Request{
		Request:   a.job.Request,
		Attempt:   a.tracker.Attempt,
		Model:     a.job.Model,
		Version:   a.job.Version,
		Adapter:   a.job.Adapter,
		Priority:  a.job.Priority,
		Prompt:    a.job.Prompt,
		Delivered: a.tracker.Delivered,
		Limit:     a.job.Limit,
		Sampling:  a.job.Sampling,
	}
	if a.tracker.Attempt > 1 && !a.afresh {
		// Stages that ran an earlier attempt keep its KV cache under the request's name.
		r.Imports = []string{a.job.Request}
	}
	for _, s := range a.tracker.Plan.Stages {
		r.Stages = append(r.Stages, streamer.Stage(s))
	}
	return r
}

// take handles the steps of an open stream.
func (a *answer) take(ctx context.Context, t *Attempt, s *streamer.Stream) {
	r := &reader{stream: s, steps: make(chan arrival), done: make(chan struct{})}
	defer s.Close()
	defer close(r.done)
	go r.run()
	timer := time.NewTimer(a.tracker.Deadline().Sub(a.clock()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			t.Ending = EndingLeft
			return
		case <-timer.C:
			if a.lapsed(t) {
				return
			}
			timer.Reset(a.wake())
		case v := <-r.steps:
			if a.arrived(t, v) {
				return
			}
			timer.Reset(a.tracker.Deadline().Sub(a.clock()))
		}
	}
}

// lapsed ends the attempt if one of its deadlines has passed, and reports whether it did.
func (a *answer) lapsed(t *Attempt) bool {
	now := a.clock()
	held := func(since time.Time) time.Duration { return a.router.Held(now, since) }
	switch a.tracker.CheckTimeout(now, held) {
	case tracker.Silent:
		t.Ending = EndingSilent
		t.Reason = "the connection carried nothing"
		return true
	case tracker.Stalled:
		t.Ending = EndingStalled
		t.Reason = "no token came"
		t.Endpoint = last(t.Plan.Stages).Endpoint
		return true
	default:
		return false
	}
}

// last returns the last of the stages.
func last(stages []planner.Stage) planner.Stage {
	return stages[len(stages)-1]
}

// arrived handles one step, or the stream's end, and reports whether the attempt has ended.
func (a *answer) arrived(t *Attempt, v arrival) bool {
	if v.err != nil {
		t.Endpoint = t.Plan.Stages[0].Endpoint
		t.Reason = v.err.Error()
		t.Ending = EndingCrashed
		if streamEnded(v.err) {
			t.Reason = "the stream stopped without an end"
		}
		return true
	}
	now := a.clock()
	action := a.tracker.HandleStep(now, convert(v.step))
	switch action.Verb {
	case tracker.Deliver:
		if len(a.attempts) > 0 && t.Pause == 0 {
			t.Pause = now.Sub(a.ended)
		}
		a.router.Moved(now, a.job, t.Plan)
		if a.sink(action.Text) != nil {
			t.Ending = EndingLeft
			return true
		}
	case tracker.Finish:
		t.Ending = EndingComplete
		t.Outcome = classifier.Completed
		return true
	case tracker.Abandon:
		a.abandoned(t, action)
		return true
	default:
		a.router.Heard(now, a.job)
	}
	return false
}

// abandoned records why the steps of an attempt cannot go on.
func (a *answer) abandoned(t *Attempt, action tracker.Action) {
	t.Ending = EndingBroken
	t.Reason = string(action.Cause)
	if action.Cause != tracker.CauseFault {
		return
	}
	t.Reason = action.Reason
	t.Endpoint = action.Endpoint
	switch action.Reason {
	case streamer.FaultCrashed:
		t.Ending = EndingCrashed
	case streamer.FaultStalled:
		t.Ending = EndingStalled
	case streamer.FaultRefused:
		t.Ending = EndingRefused
	case streamer.FaultUnreachable:
		t.Ending = EndingUnreachable
	}
}

// convert returns a step of the engines' protocol as the tracker takes it.
func convert(s streamer.Step) tracker.Step {
	step := tracker.Step{
		Attempt:      s.Attempt,
		Position:     s.Position,
		Token:        s.Token,
		Text:         s.Text,
		Reason:       s.Reason,
		Endpoint:     s.Endpoint,
		PromptTokens: s.Prompt,
	}
	switch s.Kind {
	case streamer.KindToken:
		step.Kind = tracker.Token
	case streamer.KindEnd:
		step.Kind = tracker.End
	case streamer.KindFault:
		step.Kind = tracker.Fault
	default:
		step.Kind = tracker.Ping
	}
	if len(s.Ran) > 0 {
		step.ExecutedStages = make([]planner.Stage, len(s.Ran))
	}
	for i, r := range s.Ran {
		step.ExecutedStages[i] = planner.Stage(r)
	}
	return step
}
