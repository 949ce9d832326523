package router

import (
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/picker"
)

// recoveredShare is the share of the new bound from which throughput counts as recovered after the loss of an engine.
const recoveredShare = 0.95

// Loss is the effect on throughput of losing an engine under load.
type Loss struct {
	// BoundBefore and BoundAfter are the throughput bounds without and with the loss, in tokens a second.
	BoundBefore float64
	BoundAfter  float64
	// RecoveryTime is the time until the throughput, averaged over a second, reaches 0.95 of BoundAfter, or of the
	// throughput of the same trial without the loss in that second if that is lower. If it never does, RecoveryTime is
	// the whole time observed.
	RecoveryTime time.Duration
}

// LoseEngine measures the loss of an engine of the fastest kind under a load of 0.9 of the bound.
func LoseEngine(seed uint64) Loss {
	f := newFleet(newClock())
	l := Loss{BoundBefore: f.bound()}
	f.crashEngine()
	l.BoundAfter = f.bound()
	var with, without *trial
	var wait sync.WaitGroup
	wait.Go(func() { with = faultTrial(seed, policies()[0], l.BoundBefore, (*fleet).crashEngine) })
	wait.Go(func() { without = faultTrial(seed, policies()[0], l.BoundBefore, func(*fleet) {}) })
	wait.Wait()
	l.RecoveryTime = recoveryLimit + faultMeasureTime
	for at := faultAt; at+recoveryWindow <= faultAt+recoveryLimit+faultMeasureTime; at += binWidth {
		reachable := min(l.BoundAfter, without.throughput(at, at+recoveryWindow))
		if with.throughput(at, at+recoveryWindow) >= recoveredShare*reachable {
			l.RecoveryTime = at + recoveryWindow - faultAt
			break
		}
	}
	return l
}

// crashEngine crashes the first engine for good. Its load reports cease, and attempts that need it fail.
func (f *fleet) crashEngine() {
	f.engines[0].crashed = true
}

// handleCrash processes the failure of an attempt because an endpoint crashed, and resumes its answer.
func (i *instance) handleCrash(a *attempt, endpoint string) {
	now := i.trial.clock.now
	i.removeAttempt(a)
	i.policy.finishRequest(now, a.stream.plan, picker.Result{Tokens: a.tokenCount, Failed: true})
	i.policy.recordCrash(now, endpoint)
	i.resume(a.request)
}

// resume starts a new attempt at an answer as soon as there is a plan for it.
func (i *instance) resume(r *request) {
	plan, ok := i.policy.pick(i.trial.clock.now, r.item, i.random)
	if !ok {
		i.trial.clock.after(retryInterval, func() { i.resume(r) })
		return
	}
	i.startAttempt(r, plan)
}
