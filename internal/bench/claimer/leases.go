package claimer

import (
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/control/leaser"
)

// historiesPerPolicy is the number of histories that are run under each policy.
const historiesPerPolicy = 100

// pauseBeyondTerms is a pause between check and order that exceeds what the terms allow.
const pauseBeyondTerms = 2 * time.Minute

// windowPolicy returns the policy in use: an order window within the lease, and intents, whose engines a new holder
// leaves alone until the orders must have ended.
func windowPolicy() policy {
	t := leaser.DefaultTerms()
	t.MaxRunTime = 20 * time.Second
	return policy{terms: t, maxPause: t.MaxPause}
}

// longPolicy returns an alternative: a lease longer than the time in which the earlier holder may still start orders,
// so that the next holder waits out the rest for every engine.
func longPolicy() policy {
	p := windowPolicy()
	p.terms.LeaseDuration = p.terms.OrderWindow + p.terms.OrderTimeout + p.terms.MaxPause
	return p
}

// fencingPolicy returns an alternative that relies on the fencing token alone: the holder orders until the end of its
// lease, and the next one at once.
func fencingPolicy() policy {
	p := windowPolicy()
	p.terms.OrderWindow = p.terms.LeaseDuration
	p.forgetsIntents = true
	return p
}

// policies returns the measured policies with their names.
func policies() []namedPolicy {
	window, fencing := windowPolicy(), fencingPolicy()
	checked := fencing
	checked.checksFencing = true
	paused := window
	paused.maxPause = pauseBeyondTerms
	guarded := paused
	guarded.checksFencing = true
	return []namedPolicy{
		{"window", window},
		{"window_beyond", paused},
		{"window_beyond_checked", guarded},
		{"long", longPolicy()},
		{"fencing_checked", checked},
		{"fencing_ignored", fencing},
	}
}

// namedPolicy is a policy and its name in the figures.
type namedPolicy struct {
	name   string
	policy policy
}

// runLeases measures orders that run for two holders at once, and the time without a holder after a holder's death.
func runLeases(seed uint64) (reporter.Result, error) {
	r := reporter.NewResult("leases", seed)
	for _, n := range policies() {
		overlapping := measurePolicy(r, seed, n.name, n.policy)
		if n.name == "window" {
			r.SetTarget("doubled", float64(overlapping), "orders", 0)
		}
	}
	return r, nil
}

// measurePolicy runs the histories of a policy and returns the number of orders that ran for two holders at once.
func measurePolicy(r reporter.Result, seed uint64, name string, p policy) int {
	var total history
	for n := range uint64(historiesPerPolicy) {
		h := newHistory(seed*historiesPerPolicy+n, p)
		h.run()
		total.overlappingOrders += h.overlappingOrders
		total.executedOrders += h.executedOrders
		total.refusedOrders += h.refusedOrders
		total.writeCount += h.writeCount
		total.holderChanges += h.holderChanges
		total.gaps = append(total.gaps, h.gaps...)
	}
	slices.Sort(total.gaps)
	seconds := historyLength.Seconds() * historiesPerPolicy
	r.Set(name+"_doubled", float64(total.overlappingOrders), "orders")
	r.Set(name+"_orders", float64(total.executedOrders), "orders")
	r.Set(name+"_refused", float64(total.refusedOrders), "orders")
	r.Set(name+"_changes", float64(total.holderChanges), "changes of holder")
	r.Set(name+"_gap_p50", percentile(total.gaps, 50).Seconds(), "s")
	r.Set(name+"_gap_p99", percentile(total.gaps, 99).Seconds(), "s")
	r.Set(name+"_writes", float64(total.writeCount)/seconds, "writes a second")
	return total.overlappingOrders
}
