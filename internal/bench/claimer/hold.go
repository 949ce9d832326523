package claimer

import (
	"fmt"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The times of callers and the bounds of claims.
const (
	callerTimeout  = 3 * time.Second
	callerPause    = 2 * time.Second
	callerAttempts = 4
	callDeadline   = 2 * time.Second
	settleTime     = 60 * time.Second
	pollTime       = 50 * time.Millisecond
)

// hold is one stock hold that a caller wants, and what became of it.
type hold struct {
	fleet *fleet
	key   claimer.Key
	plan  Plan
	// down is the time until which the table cannot be reached for this hold.
	down time.Time
	// effects are the attempts that ran at the service, in order.
	effects []int
	// told are the verdicts given to the caller, by attempt.
	told map[int]classifier.Verdict
	// settled is set once an answer ended the caller's efforts.
	settled  bool
	attempts int
	// delay is the time from the first arrival to the send.
	delay time.Duration
}

// begin sends the first attempt, or the first two.
func (h *hold) begin() {
	h.attempt()
	if h.plan.Resend == ResendRace {
		h.attempt()
	}
}

// attempt sends the caller's next attempt to another instance.
func (h *hold) attempt() {
	h.attempts++
	n := h.attempts
	w := h.fleet
	call := claimer.Call{Team: "joiners", Key: h.key, Service: "stock", Path: "/holds", Print: "p", Attempt: n, Lookup: h.plan.Asked}
	arrive := func() {
		now := w.clock.now
		limits := claimer.Limits{
			Send: now.Add(callDeadline / 2), Answer: now.Add(callDeadline), Settle: now.Add(settleTime), Poll: pollTime,
		}
		r := &run{fleet: w, hold: h, instance: w.instances[w.rand.IntN(len(w.instances))]}
		r.claim = claimer.NewClaim(call, fmt.Sprintf("%s-%d", h.key.Text, n), "owner", limits)
		r.begin()
	}
	delay := time.Duration(0)
	if i, ok := h.plan.take(StepArrive, n); ok {
		delay = i.Long
	}
	w.clock.after(delay, arrive)
	w.clock.after(callerTimeout, func() { h.resend(n) })
}

// answered takes an answer on its way to the caller.
func (h *hold) answered(attempt int, a claimer.Answer) {
	if _, ok := h.plan.take(StepAnswer, attempt); ok {
		return
	}
	h.told[attempt] = a.Verdict
	if a.Verdict == classifier.VerdictCompleted {
		h.settled = true
	}
}

// resend sends again if the latest attempt settled nothing.
func (h *hold) resend(n int) {
	if h.settled || n != h.attempts || h.plan.Resend == ResendNever || n == callerAttempts {
		return
	}
	h.fleet.clock.after(callerPause, h.attempt)
}

// effect runs the work at the service. A service that fences runs a key once.
func (h *hold) effect(attempt int) {
	if h.plan.Fenced && len(h.effects) > 0 {
		return
	}
	h.effects = append(h.effects, attempt)
}

// sent notes how long the claim took before the first send.
func (h *hold) sent(d time.Duration) {
	if h.delay == 0 {
		h.delay = d
	}
}

// Finding is what an audit finds wrong with one hold.
type Finding struct {
	// Duplicates counts the runs beyond the first.
	Duplicates int
	// Misreported is set if the caller was told that an attempt and those before it did not run, but one did.
	Misreported bool
	// Lost is set if the caller was told that the hold was placed, but it was not.
	Lost bool
}

// audit compares what the caller was told with what ran.
func (h *hold) audit() Finding {
	f := Finding{Duplicates: max(len(h.effects)-1, 0)}
	for attempt, verdict := range h.told {
		if verdict == classifier.VerdictCompleted && len(h.effects) == 0 {
			f.Lost = true
		}
		for _, ran := range h.effects {
			if verdict == classifier.VerdictNotRun && ran <= attempt {
				f.Misreported = true
			}
		}
	}
	return f
}

// verdict returns what the caller knows in the end: an answer to an attempt speaks of the lower ones too.
func (h *hold) verdict() classifier.Verdict {
	if h.settled {
		return classifier.VerdictCompleted
	}
	if v, ok := h.told[h.attempts]; ok {
		return v
	}
	return classifier.VerdictUnknown
}
