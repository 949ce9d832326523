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

// meddler stands between the generator and an engine and changes the lines of the first stream that it serves.
type meddler struct {
	engine http.Handler
	mu     sync.Mutex
	meddle func(w http.ResponseWriter, r *http.Request, line int, content []byte)
}

// ServeHTTP passes a call on.
func (m *meddler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	meddle := m.meddle
	if r.URL.Path == "/engine/streams" {
		m.meddle = nil
	}
	m.mu.Unlock()
	if meddle == nil || r.URL.Path != "/engine/streams" {
		m.engine.ServeHTTP(w, r)
		return
	}
	m.engine.ServeHTTP(&lines{ResponseWriter: w, request: r, meddle: meddle}, r)
}

// lines calls meddle with each line written but the pings: how many of these come depends on the machine's load.
type lines struct {
	http.ResponseWriter
	request *http.Request
	meddle  func(w http.ResponseWriter, r *http.Request, line int, content []byte)
	line    int
}

// Write passes on one line.
func (l *lines) Write(content []byte) (int, error) {
	var s streamer.Step
	if json.Unmarshal(content, &s) == nil && s.Kind == streamer.KindPing {
		return l.ResponseWriter.Write(content)
	}
	l.meddle(l.ResponseWriter, l.request, l.line, content)
	l.line++
	return len(content), nil
}

// Flush flushes the lines written.
func (l *lines) Flush() {
	l.ResponseWriter.(http.Flusher).Flush()
}

// frequentPing makes pings come between any two steps, as they do from an engine that is held up by load.
const frequentPing = 100 * time.Microsecond

// bench is three chains of engines with a router that takes the first plan without an endpoint to avoid.
type bench struct {
	plans   []planner.Plan
	engines map[string]*decoder.Decoder
	heads   []*meddler
	servers map[string]*httptest.Server
	rulings map[quarantiner.Fingerprint]quarantiner.Ruling
	crashes []string
	// findings are the ends of trials without a crash.
	findings []string
	endings  []Ending
	retries  int
	// mixed lets a plan take each stage from another chain, so that the surviving stages of an attempt go on.
	mixed bool
	// held is how long the process counts as held up, and looks counts how often that was asked for.
	held  time.Duration
	looks atomic.Int32
	// heard counts the steps that were not tokens to deliver.
	heard int
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{engines: map[string]*decoder.Decoder{}, servers: map[string]*httptest.Server{}, retries: 5}
	for _, chain := range [][]string{{"a", "b", "c"}, {"d", "e", "f"}, {"g", "h", "i"}} {
		var p planner.Plan
		for i, id := range chain {
			from, to := i*layers/3, (i+1)*layers/3
			held := streamer.Held{Model: "m", Version: "v", From: from, To: to}
			engine := decoder.New(decoder.WithEndpoint(id), decoder.WithHeld(held), decoder.WithPing(frequentPing),
				decoder.WithPoison("POISON"))
			m := &meddler{engine: engine}
			server := httptest.NewServer(m)
			t.Cleanup(server.Close)
			t.Cleanup(engine.Close)
			b.engines[id] = engine
			b.servers[id] = server
			if i == 0 {
				b.heads = append(b.heads, m)
			}
			p.Stages = append(p.Stages, planner.Stage{Endpoint: id, Address: server.Listener.Addr().String(), From: from, To: to})
		}
		b.plans = append(b.plans, p)
	}
	return b
}

func (b *bench) Route(_ time.Time, _ Job, a Ask) Route {
	if b.mixed {
		return b.mix(a.Avoid)
	}
	for _, p := range b.plans {
		if !uses(p, a.Avoid) {
			return Route{Plan: p, OK: true}
		}
	}
	return Route{After: time.Millisecond}
}

// mix returns a plan that takes each stage from the first chain whose stage is not to be avoided.
func (b *bench) mix(avoid []string) Route {
	var mixed planner.Plan
	for i := range b.plans[0].Stages {
		for _, p := range b.plans {
			if !slices.Contains(avoid, p.Stages[i].Endpoint) {
				mixed.Stages = append(mixed.Stages, p.Stages[i])
				break
			}
		}
	}
	if len(mixed.Stages) < len(b.plans[0].Stages) {
		return Route{After: time.Millisecond}
	}
	return Route{Plan: mixed, OK: true}
}

// crash returns a meddler that crashes an engine before a line of its chain's stream. A first stage cuts the stream.
func (b *bench) crash(id string, at int) func(w http.ResponseWriter, r *http.Request, line int, content []byte) {
	return func(w http.ResponseWriter, _ *http.Request, line int, content []byte) {
		if line == at {
			b.engines[id].Crash()
			if strings.Contains("adg", id) {
				panic(http.ErrAbortHandler)
			}
		}
		write(w, content)
	}
}

func uses(p planner.Plan, avoid []string) bool {
	for _, s := range p.Stages {
		for _, a := range avoid {
			if s.Endpoint == a {
				return true
			}
		}
	}
	return false
}

func (b *bench) Started(time.Time, Job, planner.Plan) {}
func (b *bench) Heard(time.Time, Job)                 { b.heard++ }
func (b *bench) Moved(time.Time, Job, planner.Plan)   {}
func (b *bench) Ended(_ time.Time, _ Job, a Attempt)  { b.endings = append(b.endings, a.Ending) }
func (b *bench) Retry(time.Time) bool {
	b.retries--
	return b.retries >= 0
}

func (b *bench) Held(time.Time, time.Time) time.Duration {
	b.looks.Add(1)
	return b.held
}

func (b *bench) Check(_ time.Time, f quarantiner.Fingerprint) quarantiner.Ruling { return b.rulings[f] }
func (b *bench) Open(time.Time, quarantiner.Fingerprint, []string) bool          { return true }
func (b *bench) Withdraw(time.Time, quarantiner.Fingerprint) {
	b.findings = append(b.findings, "withdrawn")
}
func (b *bench) Busy(time.Time, quarantiner.Fingerprint) []string { return nil }
func (b *bench) Clear(time.Time, quarantiner.Fingerprint)         { b.findings = append(b.findings, "cleared") }
func (b *bench) Crash(_ time.Time, _ quarantiner.Fingerprint, endpoint string) {
	b.crashes = append(b.crashes, endpoint)
}
