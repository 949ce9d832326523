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

// ward is a quarantine for use by many goroutines.
type ward struct {
	mu sync.Mutex
	q  *quarantiner.Quarantiner
}

func (w *ward) Check(now time.Time, f quarantiner.Fingerprint) quarantiner.Ruling {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.q.Check(now, f)
}

func (w *ward) Open(now time.Time, f quarantiner.Fingerprint, endpoints []string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.q.BeginTrial(now, f, endpoints)
	return ok
}

func (w *ward) Crash(now time.Time, f quarantiner.Fingerprint, endpoint string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.q.RecordCrash(now, f, endpoint)
}

func (w *ward) Clear(now time.Time, f quarantiner.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.q.Clear(now, f)
}

// TestLookupThatCrashesEndpoints sends a lookup that breaks off what runs it, and sends it again to another instance.
func TestLookupThatCrashesEndpoints(t *testing.T) {
	var seen atomic.Int64
	breaks := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/poison") {
			seen.Add(1)
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, "oak")
	})
	w := world{addresses: []string{serviceOf(t, breaks), serviceOf(t, breaks), serviceOf(t, breaks)}}
	shared := &ward{q: quarantiner.New()}
	var got []told
	for _, owner := range []string{"one", "two"} {
		_, s := entry(t, owner, newTable(), w, WithQuarantine(shared))
		got = append(got, call(t, s, http.MethodGet, "/v1/services/stock/parts/poison", ""))
		got = append(got, call(t, s, http.MethodGet, "/v1/services/stock/parts/oak", ""))
	}
	well := told{200, "completed", "", "oak"}
	want := []told{{504, "unknown", CodeFailed, ""}, well, {422, "not-run", CodeQuarantined, ""}, well}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(2), seen.Load()); diff != "" {
		t.Errorf("crashes mismatch (-want +got):\n%s", diff)
	}
}

// TestHedge lets the first endpoint hang: with a long tail in the latencies a second attempt answers.
func TestHedge(t *testing.T) {
	release := make(chan struct{})
	hangs := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })
	answers := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "oak") })
	w := world{addresses: []string{serviceOf(t, hangs), serviceOf(t, answers)}}
	t.Cleanup(func() { close(release) })
	d, s := entry(t, "one", newTable(), w)
	tail := retrier.Hedger{}
	for n := range 64 {
		latency := time.Millisecond
		if n%8 == 0 {
			latency = 10 * time.Millisecond
		}
		tail.Observe(latency)
	}
	d.mu.Lock()
	d.repeatsOf("stock").hedger = tail
	d.mu.Unlock()
	got := call(t, s, http.MethodGet, "/v1/services/stock/parts/oak", "")
	if diff := cmp.Diff(told{200, "completed", "", "oak"}, got); diff != "" {
		t.Errorf("answer mismatch (-want +got):\n%s", diff)
	}
}
