package logger

import (
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a writer whose writes block until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	b       strings.Builder
}

// Write waits for the release and stores the line.
func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(b)
}

// TestBlockedOutputDoesNotBlockWriters fills the queue while the output is blocked: writing continues, and the dropped
// lines are counted.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	l := New(out)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 3 * maxQueuedLines {
			_, _ = l.Write([]byte("{}\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks on the output")
	}
	// The loop may have taken one line from the queue.
	if n := l.Dropped(); n < 2*maxQueuedLines-1 || n > 2*maxQueuedLines {
		t.Errorf("%d lines are counted as dropped, want %d", n, 2*maxQueuedLines)
	}
	close(out.release)
	l.Close()
	if lines := strings.Count(out.b.String(), "\n"); int64(lines)+l.Dropped() != 3*maxQueuedLines {
		t.Errorf("%d lines were written and %d dropped of %d", lines, l.Dropped(), 3*maxQueuedLines)
	}
}

// TestRates logs more than the rates allow within one second: each class is cut at its own rate, and the first line of the
// next second reports how many lines were dropped.
func TestRates(t *testing.T) {
	var b strings.Builder
	l := New(&b)
	h := l.WithLevel(slog.LevelInfo).Handler()
	at := time.Unix(1000, 0)
	log := func(at time.Time, level slog.Level) {
		if err := h.Handle(t.Context(), slog.NewRecord(at, level, "line", 0)); err != nil {
			t.Error(err)
		}
	}
	for range 500 {
		log(at, slog.LevelInfo)
		log(at, slog.LevelWarn)
	}
	log(at.Add(time.Second), slog.LevelInfo)
	l.Close()
	counts := map[string]int{}
	reported := 0.0
	for _, s := range strings.Split(strings.TrimSpace(b.String()), "\n") {
		var r struct {
			Level, Msg string
			Lines      float64
		}
		if err := json.Unmarshal([]byte(s), &r); err != nil {
			t.Fatal(err)
		}
		counts[r.Level+" "+r.Msg]++
		reported += r.Lines
	}
	if counts["INFO line"] != infoLinesPerSecond+1 || counts["WARN line"] != warnLinesPerSecond ||
		reported != 1000-infoLinesPerSecond-warnLinesPerSecond {
		t.Errorf("counts %v, %v reported as dropped", counts, reported)
	}
}

func BenchmarkLine(b *testing.B) {
	l := New(io.Discard)
	defer l.Close()
	h := l.WithLevel(slog.LevelInfo).Handler()
	for i := 0; b.Loop(); i++ {
		// The time advances a second each infoLinesPerSecond lines, so that none is dropped.
		r := slog.NewRecord(time.Unix(int64(i/infoLinesPerSecond), 0), slog.LevelInfo, "request", 0)
		r.AddAttrs(slog.String("request", "a67393a3d9dd7047"), slog.Int("status", 200), slog.Float64("took", 0.5))
		if err := h.Handle(b.Context(), r); err != nil {
			b.Fatal(err)
		}
	}
}
