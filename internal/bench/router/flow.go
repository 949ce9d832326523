package router

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
)

const (
	// warmupTime is how long a trial runs before it is measured, and measureTime how long it is measured.
	warmupTime  = 3 * time.Second
	measureTime = 6 * time.Second
	// saturationWarmup is the warm-up of a trial at saturation, which is longer because answers take longer under load.
	saturationWarmup = 6 * time.Second
	// overloadFactor is the offered load at saturation, as a multiple of the bound.
	overloadFactor = 1.3
)

// Experiments returns the routing experiments.
func Experiments() []reporter.Experiment {
	return []reporter.Experiment{
		{Name: "flow", Help: "share of the bound at saturation from 7 instances over 3 accelerator kinds", Run: flow,
			Plot: plotFlow},
		{Name: "burst", Help: "a tenfold burst: share served within the deadline and time to return to normal", Run: burst},
		{Name: "latency", Help: "first token and time between tokens at 0.8 of the bound", Run: latency},
		{Name: "slowkind", Help: "share of the new bound after one kind has slowed to a third", Run: slowkind,
			Plot: plotKind},
		{Name: "link", Help: "share of the new bound after one link has become a hundred times slower", Run: slowlink,
			Plot: plotLink},
		{Name: "fair", Help: "the small teams' 95th percentile while one team sends ten times its share", Run: fair},
	}
}

// flow measures the throughput at saturation as a share of the bound.
func flow(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("flow", seed)
	bound := newFleet(newClock()).bound()
	result.Set("bound", bound, "tokens/s")
	for _, p := range policies() {
		t := newTrial(seed, p.newPolicy, []load{steadyLoad("team", overloadFactor, bound)})
		t.clock.run(saturationWarmup + measureTime)
		share := t.throughput(saturationWarmup, saturationWarmup+measureTime) / bound
		if p.name == ownPolicy {
			result.SetTarget(p.name, share, "ratio", 0.95)
			continue
		}
		result.Set(p.name, share, "ratio")
	}
	return result, nil
}
