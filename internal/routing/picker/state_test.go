package picker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// TestConcurrentBounds computes the bounds of two states at once while the picker is in use. With the race detector
// it checks that they share no data that changes.
func TestConcurrentBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New()
	for id, from := range map[string]int{"a": 0, "b": 4, "c": 4} {
		p.Observe(now, planner.Endpoint{
			ID: id, DataCentre: "x", Rate: 400, Held: []planner.Held{{Model: "m", Version: "v", From: from, To: from + 4}},
		}, Report{At: now})
	}
	now = now.Add(time.Minute)
	q := Query{Model: "m", Version: "v", Layers: 8}
	r := rand.New(rand.NewPCG(1, 1))
	p.Pick(now, q, r)
	bounds := make(chan State)
	for range 2 {
		s := p.State(now)
		go func() { bounds <- s.WithBounds() }()
	}
	for range 100 {
		p.Pick(now, q, r)
	}
	<-bounds
	got := (<-bounds).Models[0].Bound
	if diff := cmp.Diff(100.0, got.Rate); diff != "" {
		t.Errorf("bound mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("layers 0-4 in x", got.Limits[0].Name); diff != "" {
		t.Errorf("limit mismatch (-want +got):\n%s", diff)
	}
}
