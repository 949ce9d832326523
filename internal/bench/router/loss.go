package router

import (
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/picker"
)

// lossTarget is the share of the new bound at which throughput counts as back after the loss of an engine.
const lossTarget = 0.95

// Loss is what the loss of an engine under load does to throughput.
type Loss struct {
	// Before and After are the bound without and with the loss, in tokens a second.
	Before float64
	After  float64
	// Back is the time until the throughput, averaged over a second, is at 0.95 of the bound After, or of what the same
	// trial without the loss gives in that second if that is lower. It is the whole time watched if it was not.
	Back time.Duration
}

// LoseEngine measures the loss of an engine of the fastest kind under a load of 0.9 of the bound.
func LoseEngine(seed uint64) Loss {
	f := newFleet(newClock())
	l := Loss{Before: f.bound()}
	f.lose()
	l.After = f.bound()
	var with, without *trial
	var wait sync.WaitGroup
	wait.Go(func() { with = faultTrial(seed, policies()[0], l.Before, (*fleet).lose) })
	wait.Go(func() { without = faultTrial(seed, policies()[0], l.Before, func(*fleet) {}) })
	wait.Wait()
	l.Back = faultGrace + faultTime
	for at := faultAt; at+recoveryWindow <= faultAt+faultGrace+faultTime; at += binTime {
		reach := min(l.After, without.throughput(at, at+recoveryWindow))
		if with.throughput(at, at+recoveryWindow) >= lossTarget*reach {
			l.Back = at + recoveryWindow - faultAt
			break
		}
	}
	return l
}

// lose crashes the first engine for good. Its reports cease, and attempts that need it fail.
func (f *fleet) lose() {
	f.engines[0].lost = true
}

// fail takes in that an attempt ended as an endpoint crashed, and goes on with its answer.
func (i *instance) fail(a *attempt, endpoint string) {
	now := i.trial.clock.now
	i.drop(a)
	i.policy.end(now, a.stream.plan, picker.Result{Tokens: a.count, Failed: true})
	i.policy.failed(now, endpoint)
	i.resume(a.request)
}

// resume begins a new attempt at an answer as soon as there is a plan for it.
func (i *instance) resume(r *request) {
	plan, ok := i.policy.pick(i.trial.clock.now, r.item, i.random)
	if !ok {
		i.trial.clock.after(retryEvery, func() { i.resume(r) })
		return
	}
	i.begin(r, plan)
}
