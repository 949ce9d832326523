package claimer

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The latency and timeout of a service.
const (
	serviceLatency = 10 * time.Millisecond
	serviceTimeout = time.Second
)

// claimRun runs one claim on one instance.
type claimRun struct {
	fleet     *fleet
	hold      *hold
	instance  *instance
	claim     *claimer.Claim
	startedAt time.Time
	ownerDead bool
}

// start performs the claim's first action.
func (r *claimRun) start() {
	r.startedAt = r.fleet.clock.now
	r.performAction(r.claim.Begin(r.startedAt))
}

// continueAfter performs the claim's next action after d, unless the owner has died by then.
func (r *claimRun) continueAfter(d time.Duration, f func(now time.Time) claimer.Action) {
	r.fleet.clock.runAfter(d, func() {
		if !r.ownerDead {
			r.performAction(f(r.fleet.clock.now))
		}
	})
}

// performAction delivers an action's answer, if any, and performs its step.
func (r *claimRun) performAction(a claimer.Action) {
	if a.Answer != nil {
		r.hold.receiveAnswer(r.claim.Call.Attempt, *a.Answer)
	}
	switch a.Step {
	case claimer.StepDone:
	case claimer.StepPause:
		r.continueAfter(a.Until.Sub(r.fleet.clock.now), r.claim.Resume)
	default:
		r.performWithFault(a, stepOf(r.claim, a))
	}
}

// stepOf returns the protocol's step for an action.
func stepOf(c *claimer.Claim, a claimer.Action) Step {
	switch {
	case a.Step == claimer.StepRead:
		return StepRead
	case a.Step == claimer.StepSend:
		return StepSend
	case a.Step == claimer.StepQuery:
		return StepLookup
	case c.Phase == claimer.PhaseBlock:
		return StepBlock
	case c.Phase == claimer.PhaseWriteResult:
		return StepRecord
	default:
		return StepClaim
	}
}

// performWithFault performs an action under the fault that the plan has for its step.
func (r *claimRun) performWithFault(a claimer.Action, s Step) {
	i, ok := r.hold.plan.takeInjection(s, r.claim.Call.Attempt)
	if !ok {
		r.performStep(a, Injection{})
		return
	}
	switch i.Fault {
	case FaultDieBefore:
		r.ownerDead = true
	case FaultDieAfter:
		r.performStep(a, Injection{})
		r.ownerDead = true
	case FaultPauseBefore:
		r.fleet.clock.runAfter(i.Length, func() { r.performStep(a, Injection{}) })
	case FaultTableDown:
		r.hold.tableDownUntil = r.fleet.clock.now.Add(i.Length)
		r.performStep(a, Injection{})
	default:
		r.performStep(a, i)
	}
}

// performStep performs an action; the injection affects its transport or its receiver.
func (r *claimRun) performStep(a claimer.Action, i Injection) {
	switch a.Step {
	case claimer.StepCommit:
		r.commitMutation(a.Mutation, i)
	case claimer.StepRead:
		r.readRow(i)
	case claimer.StepSend:
		r.sendWork(i)
	default:
		r.queryService(i)
	}
}

// commitMutation commits a mutation: grouped with others of the instance, or alone if it is to fail.
func (r *claimRun) commitMutation(m claimer.Mutation, i Injection) {
	now := r.fleet.clock.now
	if now.Before(r.hold.tableDownUntil) {
		r.finishCommit(storeTimeout, claimer.Commit{Outcome: classifier.NotSent})
		return
	}
	store := r.fleet.store
	switch i.Fault {
	case "", FaultPauseAfter:
		done := func(c claimer.Commit) { r.finishCommit(i.Length, c) }
		r.instance.submit(pendingMutation{mutation: m, first: r.claim.Result != nil, since: now, done: done})
	case FaultAnswerLost, FaultConnectionSilent:
		store.commitOne(m)
		r.finishCommit(r.answerTimeout(i), claimer.Commit{Outcome: classifier.Unknown})
	case FaultEffectLate:
		r.fleet.clock.runAfter(i.Length, func() { store.commitOne(m) })
		r.finishCommit(storeTimeout, claimer.Commit{Outcome: classifier.Unknown})
	case FaultStepLost:
		r.finishCommit(storeTimeout, claimer.Commit{Outcome: classifier.Unknown})
	default:
		r.finishCommit(storeLatency, claimer.Commit{Outcome: classifier.Refused})
	}
}

// finishCommit passes a commit's outcome to the claim after d.
func (r *claimRun) finishCommit(d time.Duration, c claimer.Commit) {
	r.continueAfter(d, func(now time.Time) claimer.Action { return r.claim.HandleCommit(now, c) })
}

// answerTimeout returns the time after which a missing answer is given up.
func (r *claimRun) answerTimeout(i Injection) time.Duration {
	if i.Fault == FaultConnectionSilent {
		return storeTimeout
	}
	return storeLatency
}

// readRow reads the claim's row.
func (r *claimRun) readRow(i Injection) {
	ok := !r.fleet.clock.now.Before(r.hold.tableDownUntil)
	delay := storeLatency
	switch i.Fault {
	case "":
	case FaultPauseAfter:
		delay = i.Length
	default:
		ok = false
		delay = storeTimeout
	}
	row := r.fleet.store.rows[r.claim.Call.RowKey()]
	r.continueAfter(delay, func(now time.Time) claimer.Action { return r.claim.HandleRead(now, row, ok) })
}

// sendWork sends the work to the service.
func (r *claimRun) sendWork(i Injection) {
	outcome, delay := classifier.Completed, serviceLatency
	switch i.Fault {
	case FaultPauseAfter:
		delay = i.Length
	case FaultAnswerLost:
		outcome = classifier.Unknown
	case FaultConnectionSilent:
		outcome, delay = classifier.Unknown, serviceTimeout
	case FaultEffectLate:
		outcome, delay = classifier.Unknown, serviceTimeout
		r.fleet.clock.runAfter(i.Length, func() { r.hold.executeWork(r.claim.Call.Attempt) })
	case FaultStepLost:
		outcome, delay = classifier.Unknown, serviceTimeout
	case FaultRefused:
		outcome = classifier.Refused
	}
	if outcome == classifier.Completed || i.Fault == FaultAnswerLost || i.Fault == FaultConnectionSilent {
		r.hold.executeWork(r.claim.Call.Attempt)
	}
	r.hold.recordSend(r.fleet.clock.now.Sub(r.startedAt))
	r.continueAfter(delay, func(now time.Time) claimer.Action { return r.claim.HandleSend(now, outcome, replyOf(outcome)) })
}

// replyOf returns the service's reply to work with an outcome, or nil unless it completed.
func replyOf(o classifier.Outcome) *claimer.Reply {
	if o != classifier.Completed {
		return nil
	}
	return &claimer.Reply{Status: 200}
}

// queryService queries the service about the key.
func (r *claimRun) queryService(i Injection) {
	var reply *claimer.Reply
	delay := serviceLatency
	if i.Fault == "" || i.Fault == FaultPauseAfter {
		if len(r.hold.executedAttempts) > 0 {
			reply = &claimer.Reply{Status: 200}
		}
		delay += i.Length
	}
	r.continueAfter(delay, func(now time.Time) claimer.Action { return r.claim.HandleQuery(now, reply) })
}
