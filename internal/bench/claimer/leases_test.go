package claimer

import (
	"testing"
	"time"
)

// doubles runs histories of a policy until one is found in which orders ran for two holders at once, and returns their
// number and that of all orders.
func doubles(p policy) (int, int) {
	doubled, ran := 0, 0
	for seed := range uint64(50) {
		y := newHistory(seed, p)
		y.run()
		doubled += y.doubled
		ran += y.ran
		if doubled > 0 {
			break
		}
	}
	return doubled, ran
}

func TestNoOrderRunsForTwoHolders(t *testing.T) {
	for _, n := range policies() {
		if n.name != "window" && n.name != "long" {
			continue
		}
		t.Run(n.name, func(t *testing.T) {
			doubled, ran := doubles(n.policy)
			if doubled != 0 || ran == 0 {
				t.Errorf("%d of %d orders ran beside one of another holder", doubled, ran)
			}
		})
	}
}

func TestExplorationFindsBrokenLeases(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(p *policy)
	}{
		{"no order window", func(p *policy) {
			p.terms.OrderWindow += time.Minute
			p.terms.MaxPause -= time.Minute
		}},
		{"no wait for unconfirmed orders", func(p *policy) { p.forget = true }},
		{"no rest after a change of holder", func(p *policy) { p.terms.MaxPause = -p.terms.OrderWindow - p.terms.OrderTimeout }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := windowPolicy()
			c.spoil(&p)
			if doubled, ran := doubles(p); doubled == 0 {
				t.Errorf("nothing found in %d orders", ran)
			}
		})
	}
}
