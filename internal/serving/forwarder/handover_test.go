package forwarder

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/matcher"
	"github.com/heatherrock/heatherrock/internal/routing/monitor"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// TestStreamOfALostEndpointReturnsToAnEarlierOne guards against streams that run on more endpoints than their route allows, since the
// process of the last one was taken to have ended and was only ending.
func TestStreamOfALostEndpointReturnsToAnEarlierOne(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		// used holds the endpoints that the stream was sent to; e2 is lost.
		used     map[string]bool
		listed   []string
		wantNext map[string]bool
	}{
		{"an earlier one is left", map[string]bool{"e1": true, "e2": true}, []string{"e1", "e2", "e3", "e4"}, map[string]bool{"e1": true}},
		{"the earlier one is gone", map[string]bool{"e1": true, "e2": true}, []string{"e2", "e3", "e4"}, map[string]bool{"e3": true, "e4": true}},
		{"there is no earlier one", nil, []string{"e2", "e3"}, map[string]bool{"e3": true}},
	} {
		for seed := range uint64(8) {
			a := NewAllocator("a", rand.New(rand.NewPCG(1, seed)))
			var endpoints []reserver.Endpoint
			for _, id := range c.listed {
				endpoints = append(endpoints, reserver.Endpoint{ID: id, Card: "card", Held: placer.Range{From: 0, To: 4}})
			}
			a.UpdateEndpoints(now, newTestEngine(), endpoints)
			s := &streamCall{call: &call{forwarder: New(nil, "a"), route: matcher.Route{MaxAttempts: 2}}, allocator: a}
			path, refusal := s.acquireNext(now, monitor.Verdict{Suspects: []string{"e2"}, ProcessLost: true}, reserver.PathRequest{
				PromptTokens: 10, AnswerTokens: 10, Avoid: map[string]bool{"e2": true}, FirstEndpoints: c.used,
			})
			if refusal != reserver.Granted || !c.wantNext[path.Stages[0].Endpoint.ID] {
				t.Errorf("%s, seed %d: %s, path %s", c.name, seed, refusal, describePath(path))
			}
		}
	}
}
