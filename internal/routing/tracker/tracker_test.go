package tracker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

var (
	start  = time.Unix(1000, 0)
	stages = []planner.Stage{{Endpoint: "a", From: 0, To: 4}, {Endpoint: "b", From: 4, To: 6}}
	swap   = []planner.Stage{{Endpoint: "b", From: 4, To: 6}, {Endpoint: "a", From: 0, To: 4}}
	plan   = planner.Plan{Model: "m", Stages: stages}
	limits = Limits{MaxSilence: time.Second, MaxStall: 3 * time.Second}
)

func token(attempt, position int) Step {
	return Step{Kind: Token, Attempt: attempt, Position: position, Token: position, ExecutedStages: stages}
}

func TestHandleStep(t *testing.T) {
	cases := []struct {
		name  string
		steps []Step
		want  []Verb
		why   Cause
		kept  int
	}{
		{"in order", []Step{token(1, 0), token(1, 1), {Kind: End, Attempt: 1, Position: 2}}, []Verb{Deliver, Deliver, Finish}, "", 2},
		{"repeated position", []Step{token(1, 0), token(1, 0)}, []Verb{Deliver, Drop}, CauseRepeated, 1},
		{"earlier attempt", []Step{token(0, 0)}, []Verb{Drop}, CauseStale, 0},
		{"attempt that has not begun", []Step{token(2, 0)}, []Verb{Drop}, CauseStale, 0},
		{"missing stage", []Step{{Kind: Token, Attempt: 1, ExecutedStages: stages[:1]}}, []Verb{Drop}, CauseStageMismatch, 0},
		{"stages out of order", []Step{{Kind: Token, Attempt: 1, ExecutedStages: swap}}, []Verb{Drop}, CauseStageMismatch, 0},
		{"a gap", []Step{token(1, 1)}, []Verb{Abandon}, CauseGap, 0},
		{"more tokens than the limit", []Step{token(1, 0), token(1, 1), token(1, 2), token(1, 3)}, []Verb{Deliver, Deliver, Deliver, Abandon}, CauseGap, 3},
		{"an end after a gap", []Step{token(1, 0), {Kind: End, Attempt: 1, Position: 2}}, []Verb{Deliver, Abandon}, CauseGap, 1},
		{"a step after the end", []Step{{Kind: End, Attempt: 1}, token(1, 0)}, []Verb{Finish, Drop}, CauseEnded, 0},
		{"a fault", []Step{{Kind: Fault, Attempt: 1, Endpoint: "b"}}, []Verb{Abandon}, CauseFault, 0},
		{"a fault of an earlier attempt", []Step{{Kind: Fault, Attempt: 0, Endpoint: "b"}}, []Verb{Drop}, CauseStale, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := New("r", 6, 3, limits)
			tr.Begin(start, plan)
			var got []Verb
			var last Action
			for _, s := range c.steps {
				last = tr.HandleStep(start, s)
				got = append(got, last.Verb)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("verbs mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.why, last.Cause); diff != "" {
				t.Errorf("reason mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.kept, len(tr.Delivered)); diff != "" {
				t.Errorf("delivered mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestBeginRejectsPlans(t *testing.T) {
	cases := []struct {
		name   string
		stages []planner.Stage
	}{
		{"no stage", nil},
		{"a gap", []planner.Stage{{From: 0, To: 3}, {From: 4, To: 6}}},
		{"an overlap", []planner.Stage{{From: 0, To: 5}, {From: 4, To: 6}}},
		{"too short", stages[:1]},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := New("r", 6, 3, limits)
			if diff := cmp.Diff(0, tr.Begin(start, planner.Plan{Stages: c.stages})); diff != "" {
				t.Errorf("Begin mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestCheckTimeout(t *testing.T) {
	cases := []struct {
		name string
		ping time.Duration
		at   time.Duration
		// paused is how long the process was paused.
		paused time.Duration
		want   Timeout
	}{
		{"fresh", 0, 999 * time.Millisecond, 0, OnTime},
		{"nothing received", 0, time.Second, 0, Silent},
		{"pings but no token", 2500 * time.Millisecond, 3 * time.Second, 0, Stalled},
		{"pings within the stall limit", 2 * time.Second, 2900 * time.Millisecond, 0, OnTime},
		{"nothing received by a process that was paused", 0, 1200 * time.Millisecond, 300 * time.Millisecond, OnTime},
		{"nothing received for longer than the limit and the pause", 0, 1300 * time.Millisecond, 300 * time.Millisecond, Silent},
		{"no token in a process that was paused", 2500 * time.Millisecond, 3 * time.Second, 100 * time.Millisecond, OnTime},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := New("r", 6, 3, limits)
			tr.Begin(start, plan)
			tr.HandleStep(start.Add(c.ping), Step{Kind: Ping, Attempt: 1})
			if diff := cmp.Diff(c.want, tr.CheckTimeout(start.Add(c.at), func(time.Time) time.Duration { return c.paused })); diff != "" {
				t.Errorf("Lapsed mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDeliversOnceInOrder passes steps to a tracker that are lost, repeated, delayed into later attempts and reordered,
// and checks that the delivered tokens are a prefix of the answer.
func TestDeliversOnceInOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tr := New("r", 6, 8, limits)
		var sent []Step
		var got []int
		for range rapid.IntRange(1, 4).Draw(r, "attempts") {
			attempt := tr.Begin(start, plan)
			for p := len(tr.Delivered); p < 8; p++ {
				sent = append(sent, token(attempt, p))
			}
			for range rapid.IntRange(0, 20).Draw(r, "arrivals") {
				s := sent[rapid.IntRange(0, len(sent)-1).Draw(r, "step")]
				if a := tr.HandleStep(start, s); a.Verb == Deliver {
					got = append(got, a.Token)
				}
			}
			if len(sent) == 0 {
				break
			}
		}
		for i, k := range got {
			if i != k {
				r.Fatalf("delivered %v", got)
			}
		}
	})
}
