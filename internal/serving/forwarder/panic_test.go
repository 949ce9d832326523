package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/routing/matcher"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// panickingProtocol is a protocol that cannot read a response.
type panickingProtocol struct{ Protocol }

func (panickingProtocol) Encode(h http.Header, _ Request, _ Delivery) http.Header { return h }

func (panickingProtocol) Owns(Request, http.Header) bool { return true }

func (panickingProtocol) Read(int, http.Header) ResponseHead { panic("test") }

// TestPanicReleasesReservations guards against memory and slots of endpoints that stay reserved for good: net/http recovers the panic of
// a handler, and the instance serves other requests.
func TestPanicReleasesReservations(t *testing.T) {
	now := time.Now()
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer endpoint.Close()
	address := endpoint.Listener.Addr().String()
	f := New(panickingProtocol{}, "a")
	defer f.Close()
	engine := newTestEngine()
	f.Allocator("model").UpdateEndpoints(now, engine, []reserver.Endpoint{{ID: "e1", Address: address, Card: "card", Held: placer.Range{From: 0, To: 4}}})
	f.plainSelector.Observe(now, "e2", address, "plain")
	for service, serve := range map[string]func(k *call){
		"model": func(k *call) { k.serveStream(engine) },
		"plain": func(k *call) { k.servePlain() },
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		k := &call{
			forwarder: f, httpRequest: httptest.NewRequest(http.MethodPost, "/", nil), writer: httptest.NewRecorder(), ctx: ctx, cancel: cancel,
			route: matcher.Route{MaxAttempts: 2}, service: service, sentTo: map[string]bool{}, startedAt: now, deadline: now.Add(10 * time.Second),
		}
		if !panics(func() { serve(k) }) {
			t.Errorf("%s: no panic, outcome %q, trail %v", service, k.outcome, k.trail)
		}
		cancel()
	}
	if diff := cmp.Diff(reserver.Usage{}, f.Allocator("model").Usage()); diff != "" {
		t.Errorf("memory reserved (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]float64{}, f.plainSelector.Calls("plain")); diff != "" {
		t.Errorf("calls in progress (-want +got):\n%s", diff)
	}
	f.Allocator("model").Check(now.Add(time.Minute))
	if watched := len(f.Allocator("model").onSilent); watched > 0 {
		t.Errorf("%d streams are still watched", watched)
	}
}

// panics reports whether a function panics.
func panics(f func()) (panicked bool) {
	defer func() { panicked = recover() != nil }()
	f()
	return false
}

// TestPanicReleasesTheNextPath is TestPanicReleasesReservations for a stream that was being handed over.
func TestPanicReleasesTheNextPath(t *testing.T) {
	now := time.Now()
	f := New(nil, "a")
	a := NewAllocator("a", rand.New(rand.NewPCG(1, 1)))
	a.UpdateEndpoints(now, newTestEngine(), []reserver.Endpoint{{ID: "e1", Card: "card", Held: placer.Range{From: 0, To: 4}}})
	path, refusal := a.TryAcquire(now, reserver.PathRequest{PromptTokens: 10, AnswerTokens: 10})
	if refusal != reserver.Granted {
		t.Fatal(refusal)
	}
	s := &streamCall{call: &call{forwarder: f}, allocator: a}
	s.abandon(&handover{nextPath: &path})
	if diff := cmp.Diff(reserver.Usage{}, a.Usage()); diff != "" {
		t.Errorf("memory reserved (-want +got):\n%s", diff)
	}
}
