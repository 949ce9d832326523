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

// stuck is a reader that does not read until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	b       strings.Builder
}

// Write waits for the release and keeps the line.
func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(b)
}

// TestReaderThatDoesNotReadDelaysNothing fills the queue: writing goes on, and what was dropped is counted.
func TestReaderThatDoesNotReadDelaysNothing(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	l := New(out)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 3 * queueLines {
			_, _ = l.Write([]byte("{}\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("a writer waits for the reader")
	}
	// One line is on its way to the reader.
	if n := l.Dropped(); n < 2*queueLines-1 || n > 2*queueLines {
		t.Errorf("%d lines are counted as dropped, want %d", n, 2*queueLines)
	}
	close(out.release)
	l.Close()
	if lines := strings.Count(out.b.String(), "\n"); int64(lines)+l.Dropped() != 3*queueLines {
		t.Errorf("%d lines were written and %d dropped of %d", lines, l.Dropped(), 3*queueLines)
	}
}

// TestRates logs more than the rates allow at one time: usual lines go first, and the next second tells how many were left
// out.
func TestRates(t *testing.T) {
	var b strings.Builder
	l := New(&b)
	h := l.Log(slog.LevelInfo).Handler()
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
	left := 0.0
	for _, s := range strings.Split(strings.TrimSpace(b.String()), "\n") {
		var r struct {
			Level, Msg string
			Lines      float64
		}
		if err := json.Unmarshal([]byte(s), &r); err != nil {
			t.Fatal(err)
		}
		counts[r.Level+" "+r.Msg]++
		left += r.Lines
	}
	if counts["INFO line"] != usualRate+1 || counts["WARN line"] != otherRate || left != 1000-usualRate-otherRate {
		t.Errorf("counts %v, %v told as left out", counts, left)
	}
}

func BenchmarkLine(b *testing.B) {
	l := New(io.Discard)
	defer l.Close()
	h := l.Log(slog.LevelInfo).Handler()
	for i := 0; b.Loop(); i++ {
		// A second apart each usualRate lines, so that none is left out.
		r := slog.NewRecord(time.Unix(int64(i/usualRate), 0), slog.LevelInfo, "request", 0)
		r.AddAttrs(slog.String("request", "a67393a3d9dd7047"), slog.Int("status", 200), slog.Float64("took", 0.5))
		if err := h.Handle(b.Context(), r); err != nil {
			b.Fatal(err)
		}
	}
}
