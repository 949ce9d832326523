package router

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
)

const (
	// faultAt is when a part of the fleet slows down, faultGrace how long the policy has to find it, and faultTime how
	// long it is measured after that.
	faultAt    = 5 * time.Second
	faultGrace = 5 * time.Second
	faultTime  = 4 * time.Second
	// faultLoad is the offered load as a share of the bound before the fault.
	faultLoad = 0.9
	// kindTimes and linkTimes are the factors by which a kind and a link slow down.
	kindTimes = 3
	linkTimes = 100
	// faultTarget is the share of the new bound that is to be reached.
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

// slowMedium slows the kind that gives the most, slowOneLink the link that the bound uses most.
func slowMedium(f *fleet)  { f.slow(medium, kindTimes) }
func slowOneLink(f *fleet) { f.slowLink("a", "c", linkTimes) }

// faultTrial runs a policy until after a fault.
func faultTrial(seed uint64, p named, before float64, slow func(*fleet)) *trial {
	t := newTrial(seed, p.make, []load{steady("team", faultLoad, before)})
	t.clock.run(faultAt)
	slow(t.fleet)
	t.clock.run(faultAt + faultGrace + faultTime)
	return t
}

// fault measures the share of the new bound, or of the load if that is lower, from faultGrace after a fault on.
func fault(name string, seed uint64, slow func(*fleet)) (reporter.Result, error) {
	result := reporter.NewResult(name, seed)
	f := newFleet(newClock())
	before := f.bound()
	slow(f)
	after := f.bound()
	result.Set("before", before, "tokens/s")
	result.Set("bound", after, "tokens/s")
	reach := min(after, faultLoad*before)
	for _, p := range policies() {
		t := faultTrial(seed, p, before, slow)
		share := t.throughput(faultAt+faultGrace, faultAt+faultGrace+faultTime) / reach
		if p.name != ownPolicy {
			result.Set(p.name, share, "ratio")
			continue
		}
		result.SetTarget("share", share, "ratio", faultTarget)
		result.SetTarget("recovery", t.recovery(reach).Seconds(), "s", faultGrace.Seconds())
	}
	return result, nil
}

// recoveryWindow is the time over which throughput is averaged to find the time of recovery.
const recoveryWindow = time.Second

// recovery returns the time from the fault to the end of the first window, after the deepest fall, whose throughput is
// at the target. It is the whole time watched if there is none.
func (t *trial) recovery(reach float64) time.Duration {
	end := faultAt + faultGrace + faultTime
	lowest, deepest := faultAt, t.throughput(faultAt, faultAt+recoveryWindow)
	for at := faultAt; at+recoveryWindow <= end; at += binTime {
		if rate := t.throughput(at, at+recoveryWindow); rate < deepest {
			lowest, deepest = at, rate
		}
	}
	if deepest >= faultTarget*reach {
		return 0
	}
	for at := lowest; at+recoveryWindow <= end; at += binTime {
		if t.throughput(at, at+recoveryWindow) >= faultTarget*reach {
			return at + recoveryWindow - faultAt
		}
	}
	return end - faultAt
}
