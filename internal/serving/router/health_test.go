package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
	"github.com/heatherrock/heatherrock/internal/serving/generator"
)

// TestSlowIsNotSilent checks that an endpoint which sends pings but no tokens is not ejected, and that one which sends
// nothing is.
func TestSlowIsNotSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	const (
		silence  = 5 * time.Second
		interval = 100 * time.Millisecond
		attempts = 3
	)
	cases := []struct {
		name  string
		pings bool
		want  int
	}{
		{"pings", true, 0},
		{"nothing", false, 1},
	}
	plan := planner.Plan{Model: "m", Version: "v", Stages: []planner.Stage{{Endpoint: "e1", From: 0, To: 4}}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(now)
			r.detector.SetGroup(now, "e2", "")
			r.detector.SetGroup(now, "e1", "")
			for n := range attempts {
				r.RecordStart(now, job(fmt.Sprint(n), "m"), plan)
			}
			for at := now; at.Before(now.Add(silence)); at = at.Add(interval) {
				for n := range attempts {
					if c.pings {
						r.RecordActivity(at, job(fmt.Sprint(n), "m"))
					}
				}
				r.Check(at)
			}
			for n := range attempts {
				r.RecordEnd(now.Add(silence), job(fmt.Sprint(n), "m"), generator.Attempt{Plan: plan, Ending: generator.EndingCancelled})
			}
			if diff := cmp.Diff(c.want, r.State(now.Add(silence)).Counts["eject"]); diff != "" {
				t.Errorf("ejections mismatch (-want +got):\n%s", diff)
			}
		})
	}
}
