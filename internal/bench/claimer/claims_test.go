package claimer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// holdInterval is the time between the starts of two holds, long enough that the budget never rejects one.
const holdInterval = 20 * time.Millisecond

func TestEachFaultAtEachStep(t *testing.T) {
	for n, p := range singleFaultPlans() {
		i := p.Injections[0]
		name := fmt.Sprintf("%s/%s/%v/%s/lookup=%v/deduplicates=%v", i.Step, i.Fault, i.Length, p.Resend, p.HasLookup, p.Deduplicates)
		t.Run(name, func(t *testing.T) {
			got := newFleet(uint64(n), []Plan{p}, holdInterval).run()
			if diff := cmp.Diff(0, got.violationCount()); diff != "" {
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
		plans = append(plans, randomPlan(r, faults))
	}
	return newFleet(seed, plans, holdInterval, options...).run()
}

func TestFaultsTogether(t *testing.T) {
	for seed := range uint64(2) {
		for _, faults := range []int{2, 3} {
			got := explore(seed, 1000, faults)
			if got.violationCount() != 0 {
				t.Errorf("seed %d, %d faults a hold: %+v", seed, faults, got)
			}
		}
	}
}

// TestPairs runs one in 32 of the pairs of faults, from a random offset.
func TestPairs(t *testing.T) {
	const sampleInterval = 32
	all := faultPairPlans()
	for seed := range uint64(2) {
		var plans []Plan
		for n := rand.New(rand.NewPCG(seed, 3)).IntN(sampleInterval); n < len(all); n += sampleInterval {
			plans = append(plans, all[n])
		}
		if got := newFleet(seed, plans, holdInterval).run(); got.violationCount() != 0 {
			t.Errorf("seed %d: %+v", seed, got)
		}
	}
}

func TestExplorationFindsWhatIsBroken(t *testing.T) {
	cases := []struct {
		name   string
		option option
	}{
		{"claims without a condition", func(f *fleet) { f.store.ignoreConditions = true }},
		{"no blocking row", func(f *fleet) { f.store.dropBlockingRows = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for plans := range slices.Chunk(latePairPlans(), 1000) {
				if newFleet(1, plans, holdInterval, c.option).run().violationCount() > 0 {
					return
				}
			}
			t.Error("nothing found")
		})
	}
}

// latePairPlans returns the pairs of faults of which one delays the first attempt beyond the second.
func latePairPlans() []Plan {
	var plans []Plan
	for _, p := range faultPairPlans() {
		if p.Injections[0].Fault == FaultRequestLate && p.Injections[1].Attempt == 2 {
			plans = append(plans, p)
		}
	}
	return plans
}
