package generator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
	"github.com/heatherrock/heatherrock/internal/routing/quarantiner"
	"github.com/heatherrock/heatherrock/internal/standin/decoder"
)

// interceptor is a proxy in front of an engine. It passes the lines of the first stream that it serves to intercept.
type interceptor struct {
	engine    http.Handler
	mu        sync.Mutex
	intercept func(w http.ResponseWriter, r *http.Request, line int, content []byte)
}

// ServeHTTP passes a call to the engine.
func (ic *interceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ic.mu.Lock()
	intercept := ic.intercept
	if r.URL.Path == "/engine/streams" {
		ic.intercept = nil
	}
	ic.mu.Unlock()
	if intercept == nil || r.URL.Path != "/engine/streams" {
		ic.engine.ServeHTTP(w, r)
		return
	}
	ic.engine.ServeHTTP(&lineWriter{ResponseWriter: w, request: r, intercept: intercept}, r)
}

// lineWriter calls intercept with each line written except pings: their number depends on the machine's load.
type lineWriter struct {
	http.ResponseWriter
	request   *http.Request
	intercept func(w http.ResponseWriter, r *http.Request, line int, content []byte)
	line      int
}

// Write passes one line to intercept, and a ping to the response.
func (l *lineWriter) Write(content []byte) (int, error) {
	var s streamer.Step
	if json.Unmarshal(content, &s) == nil && s.Kind == streamer.KindPing {
		return l.ResponseWriter.Write(content)
	}
	l.intercept(l.ResponseWriter, l.request, l.line, content)
	l.line++
	return len(content), nil
}

// Flush flushes the lines written.
func (l *lineWriter) Flush() {
	l.ResponseWriter.(http.Flusher).Flush()
}

// frequentPing is short enough for pings between any two steps, as from an engine that is delayed by load.
const frequentPing = 100 * time.Microsecond

// harness runs three chains of engines. It is also the router, which returns the first plan without an endpoint to
// avoid, and the guard.
type harness struct {
	plans       []planner.Plan
	engines     map[string]*decoder.Decoder
	firstStages []*interceptor
	servers     map[string]*httptest.Server
	rulings     map[quarantiner.Fingerprint]quarantiner.Ruling
	crashes     []string
	// trialEnds lists how trials without a crash ended.
	trialEnds   []string
	endings     []Ending
	retriesLeft int
	// mixChains lets a plan take each stage from a different chain, so that live stages are used again after a failure.
	mixChains bool
	// pausedFor is the pause of the process that the router reports, and pauseReads counts its reads.
	pausedFor  time.Duration
	pauseReads atomic.Int32
	// activityCount counts the steps that were not tokens to deliver.
	activityCount int
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{engines: map[string]*decoder.Decoder{}, servers: map[string]*httptest.Server{}, retriesLeft: 5}
	for _, chain := range [][]string{{"a", "b", "c"}, {"d", "e", "f"}, {"g", "h", "i"}} {
		var p planner.Plan
		for i, id := range chain {
			from, to := i*layers/3, (i+1)*layers/3
			held := streamer.LayerRange{Model: "m", Version: "v", From: from, To: to}
			engine := decoder.New(decoder.WithEndpoint(id), decoder.WithLayerRanges(held), decoder.WithPingInterval(frequentPing),
				decoder.WithPoisonMarker("POISON"))
			ic := &interceptor{engine: engine}
			server := httptest.NewServer(ic)
			t.Cleanup(server.Close)
			t.Cleanup(engine.Close)
			h.engines[id] = engine
			h.servers[id] = server
			if i == 0 {
				h.firstStages = append(h.firstStages, ic)
			}
			p.Stages = append(p.Stages, planner.Stage{Endpoint: id, Address: server.Listener.Addr().String(), From: from, To: to})
		}
		h.plans = append(h.plans, p)
	}
	return h
}

func (h *harness) Route(_ time.Time, _ Job, a RouteRequest) Route {
	if h.mixChains {
		return h.mixedPlan(a.Avoid)
	}
	for _, p := range h.plans {
		if !usesAny(p, a.Avoid) {
			return Route{Plan: p, OK: true}
		}
	}
	return Route{RetryDelay: time.Millisecond}
}

// mixedPlan returns a plan that takes each stage from the first chain whose stage need not be avoided.
func (h *harness) mixedPlan(avoid []string) Route {
	var mixed planner.Plan
	for i := range h.plans[0].Stages {
		for _, p := range h.plans {
			if !slices.Contains(avoid, p.Stages[i].Endpoint) {
				mixed.Stages = append(mixed.Stages, p.Stages[i])
				break
			}
		}
	}
	if len(mixed.Stages) < len(h.plans[0].Stages) {
		return Route{RetryDelay: time.Millisecond}
	}
	return Route{Plan: mixed, OK: true}
}

// crashAt returns an intercept function that crashes an engine before a line of its chain's stream. The crash of a first
// stage also cuts the stream.
func (h *harness) crashAt(id string, at int) func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
	return func(w http.ResponseWriter, _ *http.Request, line int, content []byte) {
		if line == at {
			h.engines[id].Crash()
			if strings.Contains("adg", id) {
				panic(http.ErrAbortHandler)
			}
		}
		writeLine(w, content)
	}
}

func usesAny(p planner.Plan, avoid []string) bool {
	for _, s := range p.Stages {
		for _, a := range avoid {
			if s.Endpoint == a {
				return true
			}
		}
	}
	return false
}

func (h *harness) RecordStart(time.Time, Job, planner.Plan) {}
func (h *harness) RecordActivity(time.Time, Job)            { h.activityCount++ }
func (h *harness) RecordToken(time.Time, Job, planner.Plan) {}
func (h *harness) RecordEnd(_ time.Time, _ Job, a Attempt)  { h.endings = append(h.endings, a.Ending) }
func (h *harness) AllowRetry(time.Time) bool {
	h.retriesLeft--
	return h.retriesLeft >= 0
}

func (h *harness) PausedFor(time.Time, time.Time) time.Duration {
	h.pauseReads.Add(1)
	return h.pausedFor
}

func (h *harness) Check(_ time.Time, f quarantiner.Fingerprint) quarantiner.Ruling {
	return h.rulings[f]
}
func (h *harness) BeginTrial(time.Time, quarantiner.Fingerprint, []string) bool { return true }
func (h *harness) CancelTrial(time.Time, quarantiner.Fingerprint) {
	h.trialEnds = append(h.trialEnds, "cancelled")
}
func (h *harness) EndpointsOnTrial(time.Time, quarantiner.Fingerprint) []string { return nil }
func (h *harness) Clear(time.Time, quarantiner.Fingerprint) {
	h.trialEnds = append(h.trialEnds, "cleared")
}
func (h *harness) RecordCrash(_ time.Time, _ quarantiner.Fingerprint, endpoint string) {
	h.crashes = append(h.crashes, endpoint)
}
