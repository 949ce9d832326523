package generator

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
	"github.com/heatherrock/heatherrock/internal/routing/tracker"
)

// TestRequestOfAnAttempt checks the request sent to the engines for the first attempt and for a later one.
func TestRequestOfAnAttempt(t *testing.T) {
	half := 0.5
	a := &answer{
		Generator: &Generator{},
		job: Job{
			Request: "r1", Model: "m", Version: "v", Adapter: "l", Priority: 2, Prompt: "a", MaxTokens: 9,
			Sampling: streamer.Sampling{Temperature: &half},
		},
		tracker: tracker.New("r1", 4, 9, tracker.Limits{}),
	}
	plan := planner.Plan{Stages: []planner.Stage{{Endpoint: "e", Address: "x:1", From: 0, To: 4}}}
	want := streamer.Request{
		Request: "r1", Attempt: 1, Model: "m", Version: "v", Adapter: "l", Priority: 2, Prompt: "a", MaxTokens: 9,
		Sampling: streamer.Sampling{Temperature: &half},
		Stages:   []streamer.Stage{{Endpoint: "e", Address: "x:1", From: 0, To: 4}},
	}
	a.tracker.Begin(time.Unix(1000, 0), plan)
	if diff := cmp.Diff(want, a.openRequest()); diff != "" {
		t.Errorf("first request mismatch (-want +got):\n%s", diff)
	}
	a.tracker.HandleStep(time.Unix(1001, 0), tracker.Step{Attempt: 1, Token: 5, ExecutedStages: plan.Stages})
	a.tracker.Begin(time.Unix(1002, 0), plan)
	want.Attempt, want.Delivered, want.Imports = 2, []int{5}, []string{"r1"}
	if diff := cmp.Diff(want, a.openRequest()); diff != "" {
		t.Errorf("second request mismatch (-want +got):\n%s", diff)
	}
}
