package claimer

import (
	"fmt"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The timeouts of callers and the limits of claims.
const (
	callerTimeout  = 3 * time.Second
	resendDelay    = 2 * time.Second
	callerAttempts = 4
	callDeadline   = 2 * time.Second
	settleTime     = 60 * time.Second
	pollInterval   = 50 * time.Millisecond
)

// hold is one stock hold that a caller requests, and its outcome.
type hold struct {
	fleet *fleet
	key   claimer.Key
	plan  Plan
	// tableDownUntil is the time until which the table is unavailable for this hold.
	tableDownUntil time.Time
	// executedAttempts are the attempts that the service ran, in order.
	executedAttempts []int
	// verdicts are the verdicts that the caller received, by attempt.
	verdicts map[int]classifier.Verdict
	// settled reports whether the caller received a final answer.
	settled      bool
	attemptCount int
	// timeToSend is the time from the first arrival to the first send.
	timeToSend time.Duration
}

// start sends the first attempt, or the first two.
func (h *hold) start() {
	h.sendAttempt()
	if h.plan.Resend == ResendConcurrent {
		h.sendAttempt()
	}
}

// sendAttempt sends the caller's next attempt to a random instance.
func (h *hold) sendAttempt() {
	h.attemptCount++
	n := h.attemptCount
	f := h.fleet
	call := claimer.Call{Team: "joiners", Key: h.key, Service: "stock", Path: "/holds", Print: "p", Attempt: n, Lookup: h.plan.HasLookup}
	arrive := func() {
		now := f.clock.now
		limits := claimer.Limits{
			Send: now.Add(callDeadline / 2), Answer: now.Add(callDeadline), Settle: now.Add(settleTime), Poll: pollInterval,
		}
		r := &claimRun{fleet: f, hold: h, instance: f.instances[f.rand.IntN(len(f.instances))]}
		r.claim = claimer.NewClaim(call, fmt.Sprintf("%s-%d", h.key.Text, n), "owner", limits)
		r.start()
	}
	delay := time.Duration(0)
	if i, ok := h.plan.takeInjection(StepArrive, n); ok {
		delay = i.Length
	}
	f.clock.runAfter(delay, arrive)
	f.clock.runAfter(callerTimeout, func() { h.resendIfUnsettled(n) })
}

// receiveAnswer records an answer at the caller, unless the plan loses it.
func (h *hold) receiveAnswer(attempt int, a claimer.Answer) {
	if _, ok := h.plan.takeInjection(StepAnswer, attempt); ok {
		return
	}
	h.verdicts[attempt] = a.Verdict
	if a.Verdict == classifier.VerdictCompleted {
		h.settled = true
	}
}

// resendIfUnsettled resends if attempt n is the latest and no answer was final.
func (h *hold) resendIfUnsettled(n int) {
	if h.settled || n != h.attemptCount || h.plan.Resend == ResendNever || n == callerAttempts {
		return
	}
	h.fleet.clock.runAfter(resendDelay, h.sendAttempt)
}

// executeWork runs the work at the service. A service that deduplicates runs a key once.
func (h *hold) executeWork(attempt int) {
	if h.plan.Deduplicates && len(h.executedAttempts) > 0 {
		return
	}
	h.executedAttempts = append(h.executedAttempts, attempt)
}

// recordSend records how long the claim took before the first send.
func (h *hold) recordSend(d time.Duration) {
	if h.timeToSend == 0 {
		h.timeToSend = d
	}
}

// Finding is the violations that an audit finds in one hold.
type Finding struct {
	// Duplicates is the number of runs beyond the first.
	Duplicates int
	// Misreported is true if the caller received a not-run verdict for an attempt, but it or an earlier one ran.
	Misreported bool
	// Lost is true if the caller received a completed verdict, but the hold was not placed.
	Lost bool
}

// audit compares the verdicts that the caller received with the attempts that ran.
func (h *hold) audit() Finding {
	f := Finding{Duplicates: max(len(h.executedAttempts)-1, 0)}
	for attempt, verdict := range h.verdicts {
		if verdict == classifier.VerdictCompleted && len(h.executedAttempts) == 0 {
			f.Lost = true
		}
		for _, ran := range h.executedAttempts {
			if verdict == classifier.VerdictNotRun && ran <= attempt {
				f.Misreported = true
			}
		}
	}
	return f
}

// verdict returns the caller's final knowledge: an answer to an attempt covers the lower ones too.
func (h *hold) verdict() classifier.Verdict {
	if h.settled {
		return classifier.VerdictCompleted
	}
	if v, ok := h.verdicts[h.attemptCount]; ok {
		return v
	}
	return classifier.VerdictUnknown
}
