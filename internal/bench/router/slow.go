package router

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
)

const (
	// faultAt is when a part of the fleet slows down, recoveryLimit how long the policy has to adapt, and
	// faultMeasureTime how long the throughput is measured after that.
	faultAt          = 5 * time.Second
	recoveryLimit    = 5 * time.Second
	faultMeasureTime = 4 * time.Second
	// faultLoad is the offered load as a share of the bound before the fault.
	faultLoad = 0.9
	// kindSlowdown and linkSlowdown are the factors by which a kind and a link slow down.
	kindSlowdown = 3
	linkSlowdown = 100
	// faultTarget is the target share of the new bound.
	faultTarget = 0.9
)

// slowkind measures the share of the new bound after the medium kind has slowed to a third of its speed.
func slowkind(seed uint64) (reporter.Result, error) {
	return fault("slowkind", seed, slowMedium)
}

// slowlink measures the share of the new bound after one link has become a hundred times slower.
func slowlink(seed uint64) (reporter.Result, error) {
	return fault("link", seed, slowOneLink)
}

// slowMedium slows down the kind with the largest share of the capacity, and slowOneLink the link that the bound uses
// most.
func slowMedium(f *fleet)  { f.slowKind(medium, kindSlowdown) }
func slowOneLink(f *fleet) { f.slowLink("a", "c", linkSlowdown) }

// faultTrial runs a policy until the end of the measured time after a fault.
func faultTrial(seed uint64, p namedPolicy, bound float64, slowDown func(*fleet)) *trial {
	t := newTrial(seed, p.newPolicy, []load{steadyLoad("team", faultLoad, bound)})
	t.clock.run(faultAt)
	slowDown(t.fleet)
	t.clock.run(faultAt + recoveryLimit + faultMeasureTime)
	return t
}

// fault measures the throughput from recoveryLimit after a fault on, as a share of the new bound or of the load if that
// is lower.
func fault(name string, seed uint64, slowDown func(*fleet)) (reporter.Result, error) {
	result := reporter.NewResult(name, seed)
	f := newFleet(newClock())
	before := f.bound()
	slowDown(f)
	after := f.bound()
	result.Set("before", before, "tokens/s")
	result.Set("bound", after, "tokens/s")
	reachable := min(after, faultLoad*before)
	for _, p := range policies() {
		t := faultTrial(seed, p, before, slowDown)
		share := t.throughput(faultAt+recoveryLimit, faultAt+recoveryLimit+faultMeasureTime) / reachable
		if p.name != ownPolicy {
			result.Set(p.name, share, "ratio")
			continue
		}
		result.SetTarget("share", share, "ratio", faultTarget)
		result.SetTarget("recovery", t.recovery(reachable).Seconds(), "s", recoveryLimit.Seconds())
	}
	return result, nil
}

// recoveryWindow is the time over which throughput is averaged to find the recovery time.
const recoveryWindow = time.Second

// recovery returns the time from the fault to the end of the first window after the lowest throughput in which
// throughput reaches the target. If there is none, it returns the whole time observed.
func (t *trial) recovery(reachable float64) time.Duration {
	end := faultAt + recoveryLimit + faultMeasureTime
	lowestAt, lowestRate := faultAt, t.throughput(faultAt, faultAt+recoveryWindow)
	for at := faultAt; at+recoveryWindow <= end; at += binWidth {
		if rate := t.throughput(at, at+recoveryWindow); rate < lowestRate {
			lowestAt, lowestRate = at, rate
		}
	}
	if lowestRate >= faultTarget*reachable {
		return 0
	}
	for at := lowestAt; at+recoveryWindow <= end; at += binWidth {
		if t.throughput(at, at+recoveryWindow) >= faultTarget*reachable {
			return at + recoveryWindow - faultAt
		}
	}
	return end - faultAt
}
