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
	if _, err := s.Accept(ctx, NewModel("oak", 12, 64), NewTeam("joiners", 1)); err != nil {
		t.Fatal(err)
	}
	if err := s.Covered(ctx); err != nil {
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

// warm returns the endpoints on which an instance believes prompt prefixes to be cached.
func warm(r *runner.Runner) []string {
	var ids []string
	for _, e := range r.Router().State(time.Now()).Picker.Endpoints {
		if e.Prefixes > 0 {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// idle reports whether every endpoint has told an instance since a time that it runs nothing.
func idle(r *runner.Runner, since time.Time) bool {
	now := time.Now()
	for _, e := range r.Router().State(now).Picker.Endpoints {
		if e.Running > 0 || now.Add(-e.Age).Before(since) {
			return false
		}
	}
	return true
}

// TestRepeatedPromptGoesToItsPrefix sends a prompt through one instance. Another learns from the engines' cache events
// which of the replicas have its prefix, and sends the prompt to no other.
func TestRepeatedPromptGoesToItsPrefix(t *testing.T) {
	const replicas, asks = 4, 8
	s, err := New(Mixed(replicas, 100*time.Microsecond), 2)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := s.Accept(ctx, Records("joiners")...); err != nil {
		t.Fatal(err)
	}
	if err := s.Covered(ctx); err != nil {
		t.Fatal(err)
	}
	c := NewCaller("joiners")
	defer c.Close()
	prompt := strings.Repeat("a pattern for a footboard of seasoned oak ", 8)
	ask := func(r *runner.Runner) {
		t.Helper()
		a, err := c.Complete(ctx, r.CallerAddress(), Model, prompt, 4)
		if err != nil || a.Status != http.StatusOK {
			t.Fatalf("answer %+v, error %v", a, err)
		}
	}
	ask(s.Nodes[0])
	sent := warm(s.Nodes[0])
	if len(sent) != 3 {
		t.Fatalf("the prompt went through %v, want three stages", sent)
	}
	if err := Until(ctx, func() bool { return len(warm(s.Nodes[1])) >= len(sent) }); err != nil {
		t.Fatal(err)
	}
	for range asks {
		asked := time.Now()
		// Reports lag: an endpoint that is still believed to run a request may rightly be passed over.
		if err := Until(ctx, func() bool { return idle(s.Nodes[1], asked) }); err != nil {
			t.Fatal(err)
		}
		ask(s.Nodes[1])
	}
	if diff := cmp.Diff(sent, warm(s.Nodes[1])); diff != "" {
		t.Errorf("endpoints that have the prefix mismatch (-want +got):\n%s", diff)
	}
}
