package picker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

func TestRepair(t *testing.T) {
	now := time.Unix(1000, 0)
	held := func(from, to int) []planner.Held {
		return []planner.Held{{Model: "m", Version: "v", From: from, To: to}}
	}
	old := planner.Plan{Model: "m", Version: "v", Stages: []planner.Stage{
		{Endpoint: "a", From: 0, To: 4}, {Endpoint: "b", From: 4, To: 8}, {Endpoint: "c", From: 8, To: 12},
	}}
	cases := []struct {
		name  string
		avoid []string
		want  []string
	}{
		{"nothing lost", nil, []string{"a", "b", "c"}},
		{"the middle lost", []string{"b"}, []string{"a", "d", "c"}},
		{"a larger range stands in", []string{"b", "d"}, []string{"a", "w", "c"}},
		{"no replacement", []string{"a", "w"}, nil},
		{"all lost", []string{"a", "b", "c"}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := New()
			for id, ranges := range map[string][]planner.Held{
				"a": held(0, 4), "b": held(4, 8), "c": held(8, 12), "d": held(4, 8), "w": held(0, 12),
			} {
				rate := 1e6
				if id == "w" {
					rate = 1e3
				}
				p.Observe(now, planner.Endpoint{ID: id, Held: ranges, Rate: rate}, Report{At: now})
			}
			q := Query{Model: "m", Version: "v", Layers: 12, Avoid: c.avoid}
			plan, ok := p.Repair(now.Add(time.Minute), q, old, rand.New(rand.NewPCG(1, 1)))
			var got []string
			if ok {
				for _, s := range plan.Stages {
					got = append(got, s.Endpoint)
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("Repair mismatch (-want +got):\n%s", diff)
			}
		})
	}
}
