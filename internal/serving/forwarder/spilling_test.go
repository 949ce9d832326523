package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/routing/matcher"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/routing/spiller"
)

// newSpillingForwarder returns a forwarder of data centre a, with endpoints of a model and of a plain service in a and b.
func newSpillingForwarder(now time.Time) *Forwarder {
	f := New(nil, "a", WithSeed(1), WithClock(func() time.Time { return now }))
	engine := newTestEngine()
	engine.BaseStepTime = 100 * time.Millisecond
	f.Configure(&matcher.Configuration{Services: map[string]matcher.Service{"model": {Engine: engine}, "desk": {}}})
	var all []Endpoint
	for _, centre := range []string{"a", "b"} {
		e := reserver.Endpoint{ID: "model-" + centre, DataCentre: centre, Card: "card", Held: placer.Range{From: 0, To: 4}}
		all = append(all, Endpoint{Service: "model", Endpoint: e},
			Endpoint{Service: "desk", Slots: 6, Endpoint: reserver.Endpoint{ID: "desk-" + centre, DataCentre: centre}})
	}
	f.UpdateEndpoints(now, all)
	return f
}

// TestLoadsDecideWhatLeaves checks that what the accounts state of both kinds of services reaches the decision, and that its changes
// are told once.
func TestLoadsDecideWhatLeaves(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newSpillingForwarder(now)
	for _, id := range []string{"desk-a", "desk-b"} {
		for range 50 {
			f.recordResult(now, id, false, 10*time.Millisecond)
		}
	}
	f.beginPlain("desk-a")
	if diff := cmp.Diff(map[string]reserver.Usage{"desk": {"desk-a": 1}}, f.PlainCalls()); diff != "" {
		t.Errorf("calls in progress (-want +got):\n%s", diff)
	}
	for range 30 {
		now = now.Add(200 * time.Millisecond)
		f.Allocator("model").SetPeerUsage(now, "fleet", reserver.Usage{"model-a": 0.9 * 990 * 4})
		f.MergePeerCalls(now, func(string) reserver.Usage { return reserver.Usage{"desk-a": 1.2} })
	}
	for service, state := range f.SpillStates(now) {
		if state.Shares["b"] != 1 || len(state.Changes) == 0 || state.Changes[0].Reason != spiller.Busy {
			t.Errorf("%s: %+v, want all requests to be allowed to leave", service, state)
		}
	}
	if states := f.SpillStates(now); len(states) != 2 || len(states["model"].Changes)+len(states["desk"].Changes) != 0 {
		t.Errorf("the second time: %+v", states)
	}
	if server := f.chooseServers(now, "desk")[0]; server.ID != "desk-b" {
		t.Errorf("call to %s", server.ID)
	}
	f.endPlain(now, "desk-a", false)
	if calls := f.PlainCalls(); len(calls) > 0 {
		t.Errorf("calls in progress after the end: %v", calls)
	}
}

// TestSilentCentreIsClosed guards against streams sent on and on into a data centre that can no longer be reached.
func TestSilentCentreIsClosed(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newSpillingForwarder(now)
	a := f.Allocator("model")
	for i := range 2 {
		a.RecordUnreached(now, reserver.Endpoint{ID: fmt.Sprint("e", i), DataCentre: "b"}, time.Second)
	}
	a.probe, a.clock = func(string, string) bool { return false }, func() time.Time { return now }
	a.runProbe(reserver.Endpoint{ID: "e2", DataCentre: "b"})
	a.SetPeerUsage(now, "fleet", reserver.Usage{"model-a": 990 * 4})
	if _, refusal := a.TryAcquire(now, reserver.PathRequest{PromptTokens: 100, AnswerTokens: 10}); refusal != reserver.Full {
		t.Errorf("path into an unreachable data centre: %q", refusal)
	}
}
