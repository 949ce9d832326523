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
	// randomHolds is the number of holds with random faults, and randomFaults the faults of each.
	randomHolds  = 20000
	randomFaults = 3
	// faultInterval is the time between the starts of two holds under faults.
	faultInterval = 20 * time.Millisecond
	// loadHolds is the number of holds of a run without faults.
	loadHolds = 10000
)

// rates are the offered loads without faults, in holds a second over the fleet. One claim in a transaction of its own
// carries half of the fleet's writes at most.
var rates = []struct {
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

// runClaims measures what becomes of holds under faults, and what claims cost without.
func runClaims(seed uint64) (reporter.Result, error) {
	r := reporter.NewResult("claims", seed)
	violations(r, seed)
	for _, asked := range []bool{false, true} {
		unknowns(r, seed, asked)
	}
	for _, load := range rates {
		cost(r, seed, "grouped_"+load.name, load.rate)
	}
	cost(r, seed, "alone_"+rates[0].name, rates[0].rate, alone)
	cost(r, seed, "alone_"+rates[1].name, rates[1].rate, alone)
	return r, nil
}

// violations runs every pair of faults, and random plans of several.
func violations(r reporter.Result, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	plans := pairs()
	for range randomHolds {
		plans = append(plans, draw(random, randomFaults))
	}
	a := newFleet(seed, plans, faultInterval).run()
	r.Set("holds", float64(a.Holds), "holds")
	r.SetTarget("duplicates", float64(a.Duplicates), "holds", 0)
	r.SetTarget("misreported", float64(a.Misreported), "holds", 0)
	r.SetTarget("lost", float64(a.Lost), "holds", 0)
	r.Set("unknown", share(a.Unknown, a.Holds), "share")
	r.Set("writes", float64(a.Writes)/float64(a.Holds), "transactions a hold")
}

// unknowns reports the share of holds whose outcome the caller does not know in the end, for each fault alone at any
// step, with a caller that sends again.
func unknowns(r reporter.Result, seed uint64, asked bool) {
	byFault := map[Fault][]Plan{}
	for _, p := range product() {
		if p.Asked == asked && !p.Fenced && p.Resend == ResendAfter {
			f := p.Injections[0].Fault
			byFault[f] = append(byFault[f], p)
		}
	}
	suffix := ""
	if asked {
		suffix = " (service can be asked)"
	}
	for f, plans := range byFault {
		a := newFleet(seed, plans, faultInterval).run()
		r.Set("unknown: "+string(f)+suffix, share(a.Unknown, a.Holds), "share")
	}
}

// cost measures claims without faults at an offered rate, in holds a second.
func cost(r reporter.Result, seed uint64, name string, rate float64, options ...option) {
	plans := make([]Plan, loadHolds)
	for n := range plans {
		plans[n].Resend = ResendNever
	}
	w := newFleet(seed, plans, time.Duration(float64(time.Second)/rate), options...)
	a := w.run()
	var delays []time.Duration
	for _, h := range w.holds {
		if h.verdict() == classifier.VerdictCompleted {
			delays = append(delays, h.delay)
		}
	}
	slices.Sort(delays)
	r.Set(name+"_writes", float64(a.Writes)/float64(max(a.Completed, 1)), "transactions a hold")
	r.Set(name+"_refused", share(a.NotRun, a.Holds), "share")
	r.Set(name+"_delay_p50", milliseconds(quantile(delays, 50)), "ms")
	r.Set(name+"_delay_p99", milliseconds(quantile(delays, 99)), "ms")
}

// share returns n as a share of all.
func share(n, all int) float64 {
	return float64(n) / float64(max(all, 1))
}

// quantile returns a percentile of sorted durations, or 0 if there are none.
func quantile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)]
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
