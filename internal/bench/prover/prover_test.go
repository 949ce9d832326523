package prover

import (
	"testing"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
)

// TestCountsMeetTargets runs the experiments and checks each figure that counts answers, endpoints or requests against
// its target. Times and ratios depend on the machine and are not checked here.
func TestCountsMeetTargets(t *testing.T) {
	counts := map[string]bool{"answers": true, "endpoints": true, "requests": true, "requests refused": true}
	for _, e := range Experiments() {
		if e.Name == "overhead" {
			continue
		}
		t.Run(e.Name, func(t *testing.T) {
			t.Parallel()
			r, err := e.Run(1)
			if err != nil {
				t.Fatal(err)
			}
			checked := 0
			for name, f := range r.Figures {
				if f.Target == nil || !counts[f.Unit] {
					continue
				}
				checked++
				if f.Value > *f.Target {
					t.Errorf("%s is %v %s, target %v", name, f.Value, f.Unit, *f.Target)
				}
			}
			if checked == 0 {
				t.Error("no figure was checked")
			}
		})
	}
}

// TestOverheadMeasures checks that the experiment sets its figures.
func TestOverheadMeasures(t *testing.T) {
	t.Parallel()
	r, err := runOverhead(1)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"ratio", "token", "token_direct"} {
		if r.Figures[name] == (reporter.Figure{}) || r.Figures[name].Value <= 0 {
			t.Errorf("%s is %v", name, r.Figures[name].Value)
		}
	}
}
