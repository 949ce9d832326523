package claimer

import (
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/control/leaser"
)

// histories is the number of histories of each policy.
const histories = 100

// beyond is a pause between check and order that is longer than the terms allow for.
const beyond = 2 * time.Minute

// windowPolicy returns the policy in use: an order window inside a lease, and intents whose engines are left alone for
// the rest.
func windowPolicy() policy {
	t := leaser.DefaultTerms()
	t.MaxRunTime = 20 * time.Second
	return policy{terms: t, pause: t.MaxPause}
}

// longPolicy returns the alternative of a lease that is longer than all that the earlier holder may still start, so
// that the next one waits out the rest for every engine.
func longPolicy() policy {
	p := windowPolicy()
	p.terms.LeaseDuration = p.terms.OrderWindow + p.terms.OrderTimeout + p.terms.MaxPause
	return p
}

// fencingPolicy returns the alternative of the number alone: the holder orders to the end of its lease, and the next
// one at once.
func fencingPolicy() policy {
	p := windowPolicy()
	p.terms.OrderWindow = p.terms.LeaseDuration
	p.forget = true
	return p
}

// policies are the policies measured, by name.
func policies() []named {
	window, fencing := windowPolicy(), fencingPolicy()
	checked := fencing
	checked.fenced = true
	paused := window
	paused.pause = beyond
	guarded := paused
	guarded.fenced = true
	return []named{
		{"window", window},
		{"window_beyond", paused},
		{"window_beyond_checked", guarded},
		{"long", longPolicy()},
		{"fencing_checked", checked},
		{"fencing_ignored", fencing},
	}
}

// named is a policy and its name among the figures.
type named struct {
	name   string
	policy policy
}

// runLeases measures orders that run for two holders at once, and the time without a holder after one has died.
func runLeases(seed uint64) (reporter.Result, error) {
	r := reporter.NewResult("leases", seed)
	for _, n := range policies() {
		doubled := measure(r, seed, n.name, n.policy)
		if n.name == "window" {
			r.SetTarget("doubled", float64(doubled), "orders", 0)
		}
	}
	return r, nil
}

// measure runs the histories of a policy and returns the orders that ran for two holders at once.
func measure(r reporter.Result, seed uint64, name string, p policy) int {
	var total history
	for n := range uint64(histories) {
		y := newHistory(seed*histories+n, p)
		y.run()
		total.doubled += y.doubled
		total.ran += y.ran
		total.refused += y.refused
		total.writes += y.writes
		total.changes += y.changes
		total.gaps = append(total.gaps, y.gaps...)
	}
	slices.Sort(total.gaps)
	seconds := historyLength.Seconds() * histories
	r.Set(name+"_doubled", float64(total.doubled), "orders")
	r.Set(name+"_orders", float64(total.ran), "orders")
	r.Set(name+"_refused", float64(total.refused), "orders")
	r.Set(name+"_changes", float64(total.changes), "changes of holder")
	r.Set(name+"_gap_p50", quantile(total.gaps, 50).Seconds(), "s")
	r.Set(name+"_gap_p99", quantile(total.gaps, 99).Seconds(), "s")
	r.Set(name+"_writes", float64(total.writes)/seconds, "writes a second")
	return total.doubled
}
