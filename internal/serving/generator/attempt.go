package generator

import (
	"context"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
	"github.com/heatherrock/heatherrock/internal/routing/tracker"
)

// received is one step of a stream, or the error that ended it.
type received struct {
	step streamer.Step
	err  error
}

// reader reads a stream's steps until it ends or done is closed.
type reader struct {
	stream *streamer.Stream
	steps  chan received
	done   chan struct{}
}

// run reads the stream and sends its steps to the channel, the error that ends it last.
func (r *reader) run() {
	defer close(r.steps)
	for {
		step, err := r.stream.Next()
		select {
		case r.steps <- received{step: step, err: err}:
		case <-r.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// openResult is the result of opening a stream.
type openResult struct {
	stream  *streamer.Stream
	outcome classifier.Outcome
	err     error
}

// opener opens a stream in a goroutine of its own, so that the attempt can time out on a silent connection.
type opener struct {
	engines Engines
	request streamer.Request
	opened  chan openResult
	done    chan struct{}
}

// run opens the stream. It closes a stream that opens after its attempt has ended.
func (o *opener) run(ctx context.Context) {
	stream, outcome, err := o.engines.Open(ctx, o.request)
	select {
	case o.opened <- openResult{stream: stream, outcome: outcome, err: err}:
	case <-o.done:
		if stream != nil {
			stream.Close()
		}
	}
}

// canceller cancels an attempt at an endpoint.
type canceller struct {
	engines Engines
	address string
	request string
	attempt int
}

// run sends the cancellation once and ignores its result: an engine also drops the steps of an attempt once it has
// received a newer one.
func (c *canceller) run() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = c.engines.Cancel(ctx, c.address, c.request, c.attempt)
}

// runAttempt runs the attempt that the tracker has begun and records how it ended.
func (a *answer) runAttempt(ctx context.Context) Attempt {
	now := a.clock()
	plan := a.tracker.Plan
	deliveredBefore := len(a.tracker.Delivered)
	a.router.RecordStart(now, a.job, plan)
	t := Attempt{Number: a.tracker.Attempt, Plan: plan, Outcome: classifier.Unknown}
	attemptCtx, cancel := context.WithCancel(ctx)
	a.runStream(attemptCtx, &t)
	cancel()
	t.Tokens = len(a.tracker.Delivered) - deliveredBefore
	a.lastEndedAt = a.clock()
	a.attempts = append(a.attempts, t)
	a.router.RecordEnd(a.lastEndedAt, a.job, t)
	if a.onTrial {
		a.reportTrial(t)
	}
	if t.Ending != EndingComplete && !t.Outcome.NotRun() {
		c := &canceller{engines: a.engines, address: plan.Stages[0].Address, request: a.job.Request, attempt: t.Number}
		go c.run()
	}
	a.log.Debug("attempt ended", "request", a.job.Request, "attempt", t.Number, "ending", t.Ending.String(),
		"endpoint", t.Endpoint, "reason", t.Reason, "tokens", t.Tokens)
	return t
}

// reportTrial reports the result of a trial to the guard. A crash is reported by recordFailure.
func (a *answer) reportTrial(t Attempt) {
	switch t.Ending {
	case EndingComplete:
		a.guard.Clear(a.lastEndedAt, a.job.Fingerprint)
	case EndingCrashed:
	default:
		a.guard.CancelTrial(a.lastEndedAt, a.job.Fingerprint)
	}
}

// runStream opens the attempt's stream and handles its steps until the attempt has ended.
func (a *answer) runStream(ctx context.Context, t *Attempt) {
	o := &opener{engines: a.engines, request: a.openRequest(), opened: make(chan openResult), done: make(chan struct{})}
	defer close(o.done)
	go o.run(ctx)
	timer := time.NewTimer(a.tracker.Deadline().Sub(a.clock()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			t.Ending = EndingCancelled
			return
		case <-timer.C:
			if a.checkTimeout(t) {
				return
			}
			timer.Reset(a.recheckDelay())
		case result := <-o.opened:
			if result.err != nil {
				a.recordOpenError(ctx, t, result)
				return
			}
			a.readSteps(ctx, t, result.stream)
			return
		}
	}
}

// pausedRecheckInterval is the time between checks of an attempt whose timeout has passed only because the process was
// paused.
const pausedRecheckInterval = 20 * time.Millisecond

// recheckDelay returns the time until the timeouts are checked again.
func (a *answer) recheckDelay() time.Duration {
	return max(pausedRecheckInterval, a.tracker.Deadline().Sub(a.clock()))
}

// recordOpenError records why a stream could not be opened.
func (a *answer) recordOpenError(ctx context.Context, t *Attempt, result openResult) {
	t.Outcome = result.outcome
	t.Reason = result.err.Error()
	t.Endpoint = t.Plan.Stages[0].Endpoint
	switch {
	case ctx.Err() != nil:
		t.Ending = EndingCancelled
	case result.outcome == classifier.Refused:
		t.Ending = EndingRefused
	case result.outcome == classifier.NotSent:
		t.Ending = EndingUnreachable
	default:
		t.Ending = EndingCrashed
	}
}

// openRequest returns the request that opens the attempt at its first stage.
func (a *answer) openRequest() streamer.Request {
	r := streamer.Request{
		Request:   a.job.Request,
		Attempt:   a.tracker.Attempt,
		Model:     a.job.Model,
		Version:   a.job.Version,
		Adapter:   a.job.Adapter,
		Priority:  a.job.Priority,
		Prompt:    a.job.Prompt,
		Delivered: a.tracker.Delivered,
		MaxTokens: a.job.MaxTokens,
		Sampling:  a.job.Sampling,
	}
	if a.tracker.Attempt > 1 && !a.noImports {
		// Stages that ran an earlier attempt keep its KV cache under the request's id.
		r.Imports = []string{a.job.Request}
	}
	for _, s := range a.tracker.Plan.Stages {
		r.Stages = append(r.Stages, streamer.Stage(s))
	}
	return r
}

// readSteps handles the steps of an open stream.
func (a *answer) readSteps(ctx context.Context, t *Attempt, s *streamer.Stream) {
	r := &reader{stream: s, steps: make(chan received), done: make(chan struct{})}
	defer s.Close()
	defer close(r.done)
	go r.run()
	timer := time.NewTimer(a.tracker.Deadline().Sub(a.clock()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			t.Ending = EndingCancelled
			return
		case <-timer.C:
			if a.checkTimeout(t) {
				return
			}
			timer.Reset(a.recheckDelay())
		case v := <-r.steps:
			if a.handleReceived(t, v) {
				return
			}
			timer.Reset(a.tracker.Deadline().Sub(a.clock()))
		}
	}
}

// checkTimeout ends the attempt if one of its timeouts has passed, and reports whether it did. Time during which this
// process was paused does not count.
func (a *answer) checkTimeout(t *Attempt) bool {
	now := a.clock()
	pausedFor := func(since time.Time) time.Duration { return a.router.PausedFor(now, since) }
	switch a.tracker.CheckTimeout(now, pausedFor) {
	case tracker.Silent:
		t.Ending = EndingSilent
		t.Reason = "the connection carried nothing"
		return true
	case tracker.Stalled:
		t.Ending = EndingStalled
		t.Reason = "no token came"
		t.Endpoint = lastStage(t.Plan.Stages).Endpoint
		return true
	default:
		return false
	}
}

func lastStage(stages []planner.Stage) planner.Stage {
	return stages[len(stages)-1]
}

// handleReceived handles one step or the end of the stream, and reports whether the attempt has ended.
func (a *answer) handleReceived(t *Attempt, v received) bool {
	if v.err != nil {
		t.Endpoint = t.Plan.Stages[0].Endpoint
		t.Reason = v.err.Error()
		t.Ending = EndingCrashed
		if isStreamEnd(v.err) {
			t.Reason = "the stream stopped without an end"
		}
		return true
	}
	now := a.clock()
	action := a.tracker.HandleStep(now, trackerStep(v.step))
	switch action.Verb {
	case tracker.Deliver:
		if len(a.attempts) > 0 && t.ResumeDelay == 0 {
			t.ResumeDelay = now.Sub(a.lastEndedAt)
		}
		a.router.RecordToken(now, a.job, t.Plan)
		if a.sink(action.Text) != nil {
			t.Ending = EndingCancelled
			return true
		}
	case tracker.Finish:
		t.Ending = EndingComplete
		t.Outcome = classifier.Completed
		return true
	case tracker.Abandon:
		a.recordAbandon(t, action)
		return true
	default:
		a.router.RecordActivity(now, a.job)
	}
	return false
}

// recordAbandon records why the tracker abandoned the attempt.
func (a *answer) recordAbandon(t *Attempt, action tracker.Action) {
	t.Ending = EndingInvalid
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

// trackerStep converts a step of the engines' protocol to the tracker's form.
func trackerStep(s streamer.Step) tracker.Step {
	step := tracker.Step{
		Attempt:      s.Attempt,
		Position:     s.Position,
		Token:        s.Token,
		Text:         s.Text,
		Reason:       s.Reason,
		Endpoint:     s.Endpoint,
		PromptTokens: s.PromptTokens,
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
	if len(s.ExecutedStages) > 0 {
		step.ExecutedStages = make([]planner.Stage, len(s.ExecutedStages))
	}
	for i, r := range s.ExecutedStages {
		step.ExecutedStages[i] = planner.Stage(r)
	}
	return step
}
