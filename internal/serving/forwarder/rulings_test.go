package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/matcher"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/routing/screener"
)

// newTestEngine returns a model with four layers, which an endpoint with an accelerator of the kind "card" holds.
func newTestEngine() *placer.Engine {
	return &placer.Engine{
		Layers: 4, LayerMB: 1, TokenMB: 1, MaxTokens: 1000, MaxRequests: 10, UsualAnswerTokens: 10, ReadRate: 1000, LinkMBPerSecond: 1000,
		Cards: map[string]placer.Card{"card": {Name: "card", MemoryMB: 1000, StepFactor: 1, ReadFactor: 1}},
	}
}

// TestPathOfARefusedStreamIsReleased guards against memory of endpoints that stays reserved for good: a stream that has begun has a
// path to continue on, and is broken off since a request like it crashes endpoints.
func TestPathOfARefusedStreamIsReleased(t *testing.T) {
	now := time.Now()
	f := New(nil, "a")
	a := NewAllocator("a", rand.New(rand.NewPCG(1, 1)))
	engine := newTestEngine()
	a.UpdateEndpoints(now, engine, []reserver.Endpoint{{ID: "e1", Card: "card", Held: placer.Range{From: 0, To: 4}}})
	path, refusal := a.TryAcquire(now, reserver.PathRequest{PromptTokens: 10, AnswerTokens: 10})
	if refusal != reserver.Granted || len(a.Usage()) == 0 {
		t.Fatalf("no path: %s, reserved %v", refusal, a.Usage())
	}
	request := httptest.NewRequest(http.MethodPost, "/", nil)
	k := &call{forwarder: f, httpRequest: request, ctx: context.Background(), route: matcher.Route{}, service: "s", writer: httptest.NewRecorder()}
	s := &streamCall{call: k, engine: engine, allocator: a, headSent: true}
	key := screener.RequestKey("s", k.digest())
	for n, id := range []string{"a", "b", "c"} {
		f.screening.merge(now.Add(time.Duration(n-3)*time.Second), screener.Report{Endpoint: id, Crashed: []string{key}, Late: []string{key}})
	}
	aborted := func() (aborted bool) {
		defer func() { aborted = recover() == http.ErrAbortHandler }()
		return s.awaitTrial(path)
	}()
	if !aborted {
		t.Error("the stream was not broken off")
	}
	if used := a.Usage(); len(used) > 0 {
		t.Errorf("reserved after the end of the stream: %v", used)
	}
}
