package claimer

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The times of a service.
const (
	serviceLatency = 10 * time.Millisecond
	serviceTimeout = time.Second
)

// run carries out one claim on one instance.
type run struct {
	fleet    *fleet
	hold     *hold
	instance *instance
	claim    *claimer.Claim
	begun    time.Time
	dead     bool
}

// begin takes the first step.
func (r *run) begin() {
	r.begun = r.fleet.clock.now
	r.perform(r.claim.Begin(r.begun))
}

// next takes a step of the decision after d, unless the owner is gone by then.
func (r *run) next(d time.Duration, f func(now time.Time) claimer.Action) {
	r.fleet.clock.after(d, func() {
		if !r.dead {
			r.perform(f(r.fleet.clock.now))
		}
	})
}

// perform carries out an action.
func (r *run) perform(a claimer.Action) {
	if a.Answer != nil {
		r.hold.answered(r.claim.Call.Attempt, *a.Answer)
	}
	switch a.Step {
	case claimer.StepDone:
	case claimer.StepPause:
		r.next(a.Until.Sub(r.fleet.clock.now), r.claim.Resume)
	default:
		r.strike(a, stepOf(r.claim, a))
	}
}

// stepOf returns the protocol's step of an action.
func stepOf(c *claimer.Claim, a claimer.Action) Step {
	switch {
	case a.Step == claimer.StepRead:
		return StepRead
	case a.Step == claimer.StepSend:
		return StepSend
	case a.Step == claimer.StepQuery:
		return StepAsk
	case c.Phase == claimer.PhaseBlock:
		return StepBlock
	case c.Phase == claimer.PhaseWriteResult:
		return StepRecord
	default:
		return StepClaim
	}
}

// strike carries out an action under the fault that the plan has for it.
func (r *run) strike(a claimer.Action, s Step) {
	i, ok := r.hold.plan.take(s, r.claim.Call.Attempt)
	if !ok {
		r.do(a, Injection{})
		return
	}
	switch i.Fault {
	case FaultDie:
		r.dead = true
	case FaultGone:
		r.do(a, Injection{})
		r.dead = true
	case FaultPause:
		r.fleet.clock.after(i.Long, func() { r.do(a, Injection{}) })
	case FaultDown:
		r.hold.down = r.fleet.clock.now.Add(i.Long)
		r.do(a, Injection{})
	default:
		r.do(a, i)
	}
}

// do carries out an action under a fault of its way or its receiver.
func (r *run) do(a claimer.Action, i Injection) {
	switch a.Step {
	case claimer.StepCommit:
		r.commit(a.Mutation, i)
	case claimer.StepRead:
		r.read(i)
	case claimer.StepSend:
		r.send(i)
	default:
		r.ask(i)
	}
}

// commit writes a mutation: with the others of the instance, or alone if it is to fail.
func (r *run) commit(m claimer.Mutation, i Injection) {
	now := r.fleet.clock.now
	if now.Before(r.hold.down) {
		r.committed(storeTimeout, claimer.Commit{Outcome: classifier.NotSent})
		return
	}
	store := r.fleet.store
	switch i.Fault {
	case "", FaultWake:
		report := func(c claimer.Commit) { r.committed(i.Long, c) }
		r.instance.submit(pending{mutation: m, first: r.claim.Result != nil, since: now, report: report})
	case FaultLost, FaultSilent:
		store.commitOne(m)
		r.committed(r.doubt(i), claimer.Commit{Outcome: classifier.Unknown})
	case FaultLate:
		r.fleet.clock.after(i.Long, func() { store.commitOne(m) })
		r.committed(storeTimeout, claimer.Commit{Outcome: classifier.Unknown})
	case FaultDropped:
		r.committed(storeTimeout, claimer.Commit{Outcome: classifier.Unknown})
	default:
		r.committed(storeLatency, claimer.Commit{Outcome: classifier.Refused})
	}
}

// committed reports a commit's outcome after d.
func (r *run) committed(d time.Duration, c claimer.Commit) {
	r.next(d, func(now time.Time) claimer.Action { return r.claim.HandleCommit(now, c) })
}

// doubt returns how long it takes until an answer is given up.
func (r *run) doubt(i Injection) time.Duration {
	if i.Fault == FaultSilent {
		return storeTimeout
	}
	return storeLatency
}

// read reads the row.
func (r *run) read(i Injection) {
	known := !r.fleet.clock.now.Before(r.hold.down)
	delay := storeLatency
	switch i.Fault {
	case "":
	case FaultWake:
		delay = i.Long
	default:
		known = false
		delay = storeTimeout
	}
	row := r.fleet.store.rows[r.claim.Call.RowKey()]
	r.next(delay, func(now time.Time) claimer.Action { return r.claim.HandleRead(now, row, known) })
}

// send sends the work to the service.
func (r *run) send(i Injection) {
	outcome, delay := classifier.Completed, serviceLatency
	switch i.Fault {
	case FaultWake:
		delay = i.Long
	case FaultLost:
		outcome = classifier.Unknown
	case FaultSilent:
		outcome, delay = classifier.Unknown, serviceTimeout
	case FaultLate:
		outcome, delay = classifier.Unknown, serviceTimeout
		r.fleet.clock.after(i.Long, func() { r.hold.effect(r.claim.Call.Attempt) })
	case FaultDropped:
		outcome, delay = classifier.Unknown, serviceTimeout
	case FaultRefused:
		outcome = classifier.Refused
	}
	if outcome == classifier.Completed || i.Fault == FaultLost || i.Fault == FaultSilent {
		r.hold.effect(r.claim.Call.Attempt)
	}
	r.hold.sent(r.fleet.clock.now.Sub(r.begun))
	r.next(delay, func(now time.Time) claimer.Action { return r.claim.HandleSend(now, outcome, replyOf(outcome)) })
}

// replyOf returns the service's reply to work that ran.
func replyOf(o classifier.Outcome) *claimer.Reply {
	if o != classifier.Completed {
		return nil
	}
	return &claimer.Reply{Status: 200}
}

// ask asks the service about the key.
func (r *run) ask(i Injection) {
	var reply *claimer.Reply
	delay := serviceLatency
	if i.Fault == "" || i.Fault == FaultWake {
		if len(r.hold.effects) > 0 {
			reply = &claimer.Reply{Status: 200}
		}
		delay += i.Long
	}
	r.next(delay, func(now time.Time) claimer.Action { return r.claim.HandleQuery(now, reply) })
}
