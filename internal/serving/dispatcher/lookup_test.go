package dispatcher

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/dispatch/retrier"
)

// everything holds every request suspect.
type everything struct{}

func (everything) Suspect(string) bool { return true }

func TestSuspectRequestIsSentOnce(t *testing.T) {
	var seen atomic.Int64
	breaks := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		seen.Add(1)
		panic(http.ErrAbortHandler)
	})
	w := world{addresses: []string{serviceOf(t, breaks), serviceOf(t, breaks)}}
	_, plain := entry(t, "one", newTable(), w)
	_, wary := entry(t, "two", newTable(), w, WithQuarantine(everything{}))
	want := told{504, "unknown", CodeFailed, ""}
	counts := []int64{3, 1}
	for i, s := range []func() told{
		func() told { return call(t, plain, http.MethodGet, "/v1/services/stock/parts/oak", "") },
		func() told { return call(t, wary, http.MethodGet, "/v1/services/stock/parts/oak", "") },
	} {
		seen.Store(0)
		if diff := cmp.Diff(want, s()); diff != "" {
			t.Errorf("answer mismatch (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(counts[i], seen.Load()); diff != "" {
			t.Errorf("attempts mismatch (-want +got):\n%s", diff)
		}
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
	d.tacticsOf("stock").hedger = tail
	d.mu.Unlock()
	got := call(t, s, http.MethodGet, "/v1/services/stock/parts/oak", "")
	if diff := cmp.Diff(told{200, "completed", "", "oak"}, got); diff != "" {
		t.Errorf("answer mismatch (-want +got):\n%s", diff)
	}
}
