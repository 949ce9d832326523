package claimer

import (
	"testing"
	"time"
)

// findOverlaps runs histories of a policy until orders of two holders overlap, and returns the number of overlapping
// orders and of all orders.
func findOverlaps(p policy) (int, int) {
	overlapping, executed := 0, 0
	for seed := range uint64(50) {
		h := newHistory(seed, p)
		h.run()
		overlapping += h.overlappingOrders
		executed += h.executedOrders
		if overlapping > 0 {
			break
		}
	}
	return overlapping, executed
}

func TestNoOrderRunsForTwoHolders(t *testing.T) {
	for _, n := range policies() {
		if n.name != "window" && n.name != "long" {
			continue
		}
		t.Run(n.name, func(t *testing.T) {
			overlapping, executed := findOverlaps(n.policy)
			if overlapping != 0 || executed == 0 {
				t.Errorf("%d of %d orders ran beside one of another holder", overlapping, executed)
			}
		})
	}
}

func TestExplorationFindsBrokenLeases(t *testing.T) {
	cases := []struct {
		name   string
		weaken func(p *policy)
	}{
		{"no order window", func(p *policy) {
			p.terms.OrderWindow += time.Minute
			p.terms.MaxPause -= time.Minute
		}},
		{"no wait for unconfirmed orders", func(p *policy) { p.forgetsIntents = true }},
		{"no rest after a change of holder", func(p *policy) { p.terms.MaxPause = -p.terms.OrderWindow - p.terms.OrderTimeout }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := windowPolicy()
			c.weaken(&p)
			if overlapping, executed := findOverlaps(p); overlapping == 0 {
				t.Errorf("nothing found in %d orders", executed)
			}
		})
	}
}
