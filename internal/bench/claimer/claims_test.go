package claimer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// apart is the time between the starts of two holds: far enough that the budget never turns one away.
const apart = 20 * time.Millisecond

func TestEachFaultAtEachStep(t *testing.T) {
	for n, p := range product() {
		i := p.Injections[0]
		name := fmt.Sprintf("%s/%s/%v/%s/asked=%v/fenced=%v", i.Step, i.Fault, i.Long, p.Resend, p.Asked, p.Fenced)
		t.Run(name, func(t *testing.T) {
			got := newFleet(uint64(n), []Plan{p}, apart).run()
			if diff := cmp.Diff(0, got.bad()); diff != "" {
				t.Errorf("violations mismatch (-want +got):\n%s%+v", diff, got)
			}
		})
	}
}

// explore runs random plans with several faults each and returns the audit.
func explore(seed uint64, holds, faults int, options ...option) Audit {
	r := rand.New(rand.NewPCG(seed, 2))
	var plans []Plan
	for range holds {
		plans = append(plans, draw(r, faults))
	}
	return newFleet(seed, plans, apart, options...).run()
}

func TestFaultsTogether(t *testing.T) {
	for seed := range uint64(2) {
		for _, faults := range []int{2, 3} {
			got := explore(seed, 1000, faults)
			if got.bad() != 0 {
				t.Errorf("seed %d, %d faults a hold: %+v", seed, faults, got)
			}
		}
	}
}

// TestPairs takes one in some of the pairs of faults, from a random place on.
func TestPairs(t *testing.T) {
	const one = 32
	all := pairs()
	for seed := range uint64(2) {
		var plans []Plan
		for n := rand.New(rand.NewPCG(seed, 3)).IntN(one); n < len(all); n += one {
			plans = append(plans, all[n])
		}
		if got := newFleet(seed, plans, apart).run(); got.bad() != 0 {
			t.Errorf("seed %d: %+v", seed, got)
		}
	}
}

func TestExplorationFindsWhatIsBroken(t *testing.T) {
	cases := []struct {
		name   string
		option option
	}{
		{"claims without a condition", func(f *fleet) { f.store.loose = true }},
		{"no blocking row", func(f *fleet) { f.store.unblocked = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for plans := range slices.Chunk(late(), 1000) {
				if newFleet(1, plans, apart, c.option).run().bad() > 0 {
					return
				}
			}
			t.Error("nothing found")
		})
	}
}

// late returns the pairs of faults of which one delays the first attempt beyond the second.
func late() []Plan {
	var plans []Plan
	for _, p := range pairs() {
		if p.Injections[0].Fault == FaultDelayed && p.Injections[1].Attempt == 2 {
			plans = append(plans, p)
		}
	}
	return plans
}
