package assembler

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/serving/runner"
	"github.com/heatherrock/heatherrock/internal/standin/decoder"
	"github.com/heatherrock/heatherrock/internal/standin/starter"
)

func TestStageServes(t *testing.T) {
	held := func(from, to int) []streamer.LayerRange {
		return []streamer.LayerRange{{Model: "oak", Version: "v1", From: from, To: to}}
	}
	s, err := New(starter.Fleet{
		Tables: &starter.Tables{}, Objects: &starter.Objects{}, Instances: &starter.List{},
		Kinds: map[string]starter.Kind{"large": {}, "small": {}},
		Engines: []starter.Engine{
			{ID: "e1", Kind: "large", DataCentre: "a", Held: held(0, 8)},
			{ID: "e2", Kind: "small", DataCentre: "a", Held: held(8, 12)},
		},
	}, 2)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := s.Accept(ctx, NewModelRecord("oak", 12, 64), NewTeamRecord("joiners", 1)); err != nil {
		t.Fatal(err)
	}
	if err := s.WaitForEngines(ctx); err != nil {
		t.Fatal(err)
	}
	c := NewCaller("joiners")
	defer c.Close()
	_, want := decoder.ExpectedAnswer("oak", "v1", "", "a latch", 12, 10)
	for _, r := range s.Nodes {
		a, err := c.Complete(ctx, r.CallerAddress(), "oak", "a latch", 10)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, a.Text); diff != "" {
			t.Errorf("answer mismatch (-want +got):\n%s\n%+v", diff, a)
		}
	}
}

// endpointsWithPrefixes returns the endpoints on which an instance expects cached prompt prefixes.
func endpointsWithPrefixes(r *runner.Runner) []string {
	var ids []string
	for _, e := range r.Router().State(time.Now()).Picker.Endpoints {
		if e.Prefixes > 0 {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// allIdleSince reports whether an instance has a load report of every endpoint, from after a time, that it runs no
// request.
func allIdleSince(r *runner.Runner, since time.Time) bool {
	now := time.Now()
	for _, e := range r.Router().State(now).Picker.Endpoints {
		if e.Running > 0 || now.Add(-e.Age).Before(since) {
			return false
		}
	}
	return true
}

// TestRepeatedPromptGoesToItsPrefix sends a prompt through one instance. Another instance receives the engines' cache
// events, which report the replicas that hold the prompt's prefix, and must send the prompt to those alone.
func TestRepeatedPromptGoesToItsPrefix(t *testing.T) {
	const replicas, requests = 4, 8
	s, err := New(MixedFleet(replicas, 100*time.Microsecond), 2)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := s.Accept(ctx, MixedRecords("joiners")...); err != nil {
		t.Fatal(err)
	}
	if err := s.WaitForEngines(ctx); err != nil {
		t.Fatal(err)
	}
	c := NewCaller("joiners")
	defer c.Close()
	prompt := strings.Repeat("a pattern for a footboard of seasoned oak ", 8)
	complete := func(r *runner.Runner) {
		t.Helper()
		a, err := c.Complete(ctx, r.CallerAddress(), Model, prompt, 4)
		if err != nil || a.Status != http.StatusOK {
			t.Fatalf("answer %+v, error %v", a, err)
		}
	}
	complete(s.Nodes[0])
	used := endpointsWithPrefixes(s.Nodes[0])
	if len(used) != 3 {
		t.Fatalf("the prompt went through %v, want three stages", used)
	}
	if err := WaitUntil(ctx, func() bool { return len(endpointsWithPrefixes(s.Nodes[1])) >= len(used) }); err != nil {
		t.Fatal(err)
	}
	for range requests {
		startedAt := time.Now()
		// Load reports lag: an endpoint that still counts as busy may be passed over without a fault.
		if err := WaitUntil(ctx, func() bool { return allIdleSince(s.Nodes[1], startedAt) }); err != nil {
			t.Fatal(err)
		}
		complete(s.Nodes[1])
	}
	if diff := cmp.Diff(used, endpointsWithPrefixes(s.Nodes[1])); diff != "" {
		t.Errorf("endpoints that have the prefix mismatch (-want +got):\n%s", diff)
	}
}
