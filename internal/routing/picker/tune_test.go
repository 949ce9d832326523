package picker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

func TestBatchBoundsAnEndpoint(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New()
	for _, id := range []string{"a", "b"} {
		p.Observe(now, planner.Endpoint{
			ID: id, Kind: "small", Rate: 1e9, Held: []planner.Held{{Model: "m", Version: "v", From: 0, To: 4}},
		}, Report{At: now})
	}
	p.SetBatchLimits(now, map[string]int{"small": 2})
	r := rand.New(rand.NewPCG(1, 1))
	now = now.Add(time.Minute)
	var got []string
	used := map[string]int{}
	for range 6 {
		plan, refusal := p.Pick(now, Query{Model: "m", Version: "v", Layers: 4}, r)
		got = append(got, refusal.Reason)
		if !refusal.Refused() {
			used[plan.Stages[0].Endpoint]++
			p.StartRequest(now, plan, 1)
		}
	}
	if diff := cmp.Diff([]string{"", "", "", "", ReasonBusy, ReasonBusy}, got); diff != "" {
		t.Errorf("refusals mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]int{"a": 2, "b": 2}, used); diff != "" {
		t.Errorf("used mismatch (-want +got):\n%s", diff)
	}
	p.SetBatchLimits(now, nil)
	if _, refusal := p.Pick(now, Query{Model: "m", Version: "v", Layers: 4}, r); refusal.Refused() {
		t.Errorf("refused without a bound: %s", refusal.Reason)
	}
}
