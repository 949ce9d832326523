package dispatcher

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/dispatch/retrier"
	"github.com/heatherrock/heatherrock/internal/routing/quarantiner"
)

// lockedQuarantine is a Quarantine that is safe for concurrent use.
type lockedQuarantine struct {
	mu sync.Mutex
	q  *quarantiner.Quarantiner
}

func (l *lockedQuarantine) Check(now time.Time, f quarantiner.Fingerprint) quarantiner.Ruling {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.q.Check(now, f)
}

func (l *lockedQuarantine) BeginTrial(now time.Time, f quarantiner.Fingerprint, endpoints []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.q.BeginTrial(now, f, endpoints)
	return ok
}

func (l *lockedQuarantine) RecordCrash(now time.Time, f quarantiner.Fingerprint, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.q.RecordCrash(now, f, endpoint)
}

func (l *lockedQuarantine) Clear(now time.Time, f quarantiner.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.q.Clear(now, f)
}

// TestIdempotentCallThatCrashesEndpoints sends a call that makes each endpoint close the connection, and sends it again
// to another instance. The call must be quarantined on both, and other calls must still run.
func TestIdempotentCallThatCrashesEndpoints(t *testing.T) {
	var crashes atomic.Int64
	crashing := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/poison") {
			crashes.Add(1)
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, "oak")
	})
	env := testEnv{addresses: []string{startService(t, crashing), startService(t, crashing), startService(t, crashing)}}
	shared := &lockedQuarantine{q: quarantiner.New()}
	var got []callResponse
	for _, owner := range []string{"one", "two"} {
		_, s := startInstance(t, owner, newFakeTable(), env, WithQuarantine(shared))
		got = append(got, sendCall(t, s, http.MethodGet, "/v1/services/stock/parts/poison", ""))
		got = append(got, sendCall(t, s, http.MethodGet, "/v1/services/stock/parts/oak", ""))
	}
	completed := callResponse{200, "completed", "", "oak"}
	want := []callResponse{{504, "unknown", CodeServiceFailed, ""}, completed, {422, "not-run", CodeQuarantined, ""}, completed}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(2), crashes.Load()); diff != "" {
		t.Errorf("crashes mismatch (-want +got):\n%s", diff)
	}
}

// TestHedge has an endpoint that hangs. As the service's latencies have a long tail, a hedged attempt at a second
// endpoint answers.
func TestHedge(t *testing.T) {
	release := make(chan struct{})
	hanging := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })
	answering := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "oak") })
	env := testEnv{addresses: []string{startService(t, hanging), startService(t, answering)}}
	t.Cleanup(func() { close(release) })
	d, s := startInstance(t, "one", newFakeTable(), env)
	longTail := retrier.Hedger{}
	for n := range 64 {
		latency := time.Millisecond
		if n%8 == 0 {
			latency = 10 * time.Millisecond
		}
		longTail.Observe(latency)
	}
	d.mu.Lock()
	d.retryStateOf("stock").hedger = longTail
	d.mu.Unlock()
	got := sendCall(t, s, http.MethodGet, "/v1/services/stock/parts/oak", "")
	if diff := cmp.Diff(callResponse{200, "completed", "", "oak"}, got); diff != "" {
		t.Errorf("answer mismatch (-want +got):\n%s", diff)
	}
}
