package router

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// TestEngine checks when jobs end against the rate, the shortest batch and the batch time.
func TestEngine(t *testing.T) {
	cases := []struct {
		name    string
		tokens  []float64
		prompts []float64
		// want holds the end of each token's job, then of each prompt's, in milliseconds.
		want []int64
	}{
		{"one step takes a pass over the weights", []float64{10}, nil, []int64{2}},
		{"a batch shares the pass", []float64{500, 500}, nil, []int64{2, 2}},
		{"steps take their time at the rate", []float64{3000}, nil, []int64{3}},
		{"a full batch is followed by another", []float64{4000, 4000, 1000}, nil, []int64{8, 8, 10}},
		{"a prompt runs in chunks beside tokens", []float64{1000}, []float64{8000}, []int64{6, 9}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			k := newClock()
			e := &engine{clock: k, rate: 1e6, minBatchTime: 2 * time.Millisecond}
			got := make([]int64, len(c.tokens)+len(c.prompts))
			add := func(at int, steps float64, prompt bool) {
				done := func() { got[at] = k.now.Sub(startTime).Milliseconds() }
				e.add(&job{steps: steps, done: done}, prompt)
			}
			for i, steps := range c.tokens {
				add(i, steps, false)
			}
			for i, steps := range c.prompts {
				add(len(c.tokens)+i, steps, true)
			}
			k.run(time.Second)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("ends in milliseconds mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTrial checks for each policy that a trial under a light load completes its answers over plans that cover the
// layers, and that the same seed gives the same results.
func TestTrial(t *testing.T) {
	for _, p := range policies() {
		t.Run(p.name, func(t *testing.T) {
			run := func() []float64 {
				tr := newTrial(7, p.newPolicy, []load{steadyLoad("team", 0.05, 31500)})
				tr.clock.run(time.Second)
				for _, i := range tr.instances {
					for _, a := range i.active {
						if !planner.Covers(a.stream.plan.Stages, layers) {
							t.Errorf("stages %+v do not cover the layers", a.stream.plan.Stages)
						}
					}
				}
				l := tr.latency(0, time.Second)
				if l.firstShare < 0.5 || l.refusedShare > 0 {
					t.Errorf("share of first tokens in time %v, refused %v", l.firstShare, l.refusedShare)
				}
				return []float64{tr.throughput(0, time.Second), l.firstShare, percentileMillis(l.firstToken, 95)}
			}
			if diff := cmp.Diff(run(), run()); diff != "" {
				t.Errorf("two runs of one seed mismatch (-first +second):\n%s", diff)
			}
		})
	}
}
