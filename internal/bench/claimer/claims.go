package claimer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The sizes of the experiment on claims.
const (
	// randomHolds is the number of holds with random faults, and faultsPerHold the number of faults of each.
	randomHolds   = 20000
	faultsPerHold = 3
	// faultInterval is the time between the starts of two holds under faults.
	faultInterval = 20 * time.Millisecond
	// loadHolds is the number of holds in a run without faults.
	loadHolds = 10000
)

// offeredLoads are the loads of the runs without faults, in holds a second over the fleet. Without grouping, the
// fleet carries at most half as many holds as its writes.
var offeredLoads = []struct {
	name string
	rate float64
}{
	{"low", 150},
	{"high", 1000},
	{"burst", 4000},
}

// Experiments returns the experiments on claims and leases.
func Experiments() []reporter.Experiment {
	return []reporter.Experiment{
		{Name: "claims", Help: "holds under each pair of faults: duplicated, misreported, lost; store writes and delay", Run: runClaims},
		{Name: "leases", Help: "orders to engines: run for two holders at once, time without a holder", Run: runLeases},
		{Name: "holds", Help: "holds over loopback: delay, writes and processor time that claims add", Run: runHolds},
	}
}

// runClaims measures the outcomes of holds under faults, and the cost of claims without faults.
func runClaims(seed uint64) (reporter.Result, error) {
	r := reporter.NewResult("claims", seed)
	recordViolations(r, seed)
	for _, hasLookup := range []bool{false, true} {
		recordUnknownShares(r, seed, hasLookup)
	}
	for _, load := range offeredLoads {
		recordCost(r, seed, "grouped_"+load.name, load.rate)
	}
	recordCost(r, seed, "alone_"+offeredLoads[0].name, offeredLoads[0].rate, withoutGrouping)
	recordCost(r, seed, "alone_"+offeredLoads[1].name, offeredLoads[1].rate, withoutGrouping)
	return r, nil
}

// recordViolations runs every pair of faults, and random plans of several faults, and records the violations.
func recordViolations(r reporter.Result, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	plans := faultPairPlans()
	for range randomHolds {
		plans = append(plans, randomPlan(random, faultsPerHold))
	}
	audit := newFleet(seed, plans, faultInterval).run()
	r.Set("holds", float64(audit.Holds), "holds")
	r.SetTarget("duplicates", float64(audit.Duplicates), "holds", 0)
	r.SetTarget("misreported", float64(audit.Misreported), "holds", 0)
	r.SetTarget("lost", float64(audit.Lost), "holds", 0)
	r.Set("unknown", share(audit.Unknown, audit.Holds), "share")
	r.Set("writes", float64(audit.Writes)/float64(audit.Holds), "transactions a hold")
}

// recordUnknownShares records the share of holds whose final outcome is unknown to the caller, for each single fault
// at any step, with a caller that resends.
func recordUnknownShares(r reporter.Result, seed uint64, hasLookup bool) {
	byFault := map[Fault][]Plan{}
	for _, p := range singleFaultPlans() {
		if p.HasLookup == hasLookup && !p.Deduplicates && p.Resend == ResendAfter {
			f := p.Injections[0].Fault
			byFault[f] = append(byFault[f], p)
		}
	}
	suffix := ""
	if hasLookup {
		suffix = " (service can be asked)"
	}
	for f, plans := range byFault {
		a := newFleet(seed, plans, faultInterval).run()
		r.Set("unknown: "+string(f)+suffix, share(a.Unknown, a.Holds), "share")
	}
}

// recordCost measures claims without faults at an offered rate in holds a second.
func recordCost(r reporter.Result, seed uint64, name string, rate float64, options ...option) {
	plans := make([]Plan, loadHolds)
	for n := range plans {
		plans[n].Resend = ResendNever
	}
	f := newFleet(seed, plans, time.Duration(float64(time.Second)/rate), options...)
	audit := f.run()
	var delays []time.Duration
	for _, h := range f.holds {
		if h.verdict() == classifier.VerdictCompleted {
			delays = append(delays, h.timeToSend)
		}
	}
	slices.Sort(delays)
	r.Set(name+"_writes", float64(audit.Writes)/float64(max(audit.Completed, 1)), "transactions a hold")
	r.Set(name+"_refused", share(audit.NotRun, audit.Holds), "share")
	r.Set(name+"_delay_p50", milliseconds(percentile(delays, 50)), "ms")
	r.Set(name+"_delay_p99", milliseconds(percentile(delays, 99)), "ms")
}

// share returns n as a share of all.
func share(n, all int) float64 {
	return float64(n) / float64(max(all, 1))
}

// percentile returns a percentile of sorted durations, or 0 if there are none.
func percentile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)]
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
