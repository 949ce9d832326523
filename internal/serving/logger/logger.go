// Package logger writes structured logs that never hold up a request: lines wait in a bounded queue, and those that find
// it full, or exceed the rate of their level, are dropped and counted.
package logger

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// The bounds of a log.
const (
	// queueLines is the number of lines that wait for the reader.
	queueLines = 4096
	// usualRate is the number of lines a second below the level of warnings, and otherRate that of warnings and
	// errors, which a reader can follow and which cost under 1 in 100 of a small core.
	usualRate = 60
	otherRate = 300
)

// Logger is an asynchronous log.
type Logger struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	wait  sync.WaitGroup

	mu      sync.Mutex
	second  int64
	counts  [2]int
	dropped [2]int64
	total   int64
}

// New returns a log that writes JSON lines to a writer.
func New(out io.Writer) *Logger {
	l := &Logger{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	l.wait.Add(1)
	go l.loop()
	return l
}

// Log returns the structured log from a level on.
func (l *Logger) Log(level slog.Level) *slog.Logger {
	return slog.New(&handler{slog.NewJSONHandler(l, &slog.HandlerOptions{Level: level}), l})
}

// Dropped returns the number of lines dropped so far.
func (l *Logger) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Close writes what waits and ends the log.
func (l *Logger) Close() {
	close(l.done)
	l.wait.Wait()
}

// Write queues a line. It never blocks.
func (l *Logger) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.drop(1)
	}
	return len(line), nil
}

// loop writes the lines until the log is closed.
func (l *Logger) loop() {
	defer l.wait.Done()
	for {
		select {
		case b := <-l.lines:
			l.write(b)
		case <-l.done:
			for {
				select {
				case b := <-l.lines:
					l.write(b)
				default:
					return
				}
			}
		}
	}
}

// write writes one line. There is nowhere to report that it failed.
func (l *Logger) write(b []byte) {
	_, _ = l.out.Write(b)
}

// drop counts a line that is left out.
func (l *Logger) drop(class int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped[class]++
	l.total++
}

// admit reports whether a line of a class is within the rate at now. The first line of a second in which lines were left
// out is told how many.
func (l *Logger) admit(now time.Time, class int) (ok bool, left int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second = s
		l.counts = [2]int{}
		left = l.dropped[0] + l.dropped[1]
		l.dropped = [2]int64{}
	}
	rate := usualRate
	if class == 1 {
		rate = otherRate
	}
	if l.counts[class] >= rate {
		l.dropped[class]++
		l.total++
		return false, left
	}
	l.counts[class]++
	return true, left
}

// handler keeps lines within their rates.
type handler struct {
	slog.Handler
	l *Logger
}

// Handle writes a line if it is within the rate.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	class := 0
	if r.Level >= slog.LevelWarn {
		class = 1
	}
	ok, left := h.l.admit(r.Time, class)
	if left > 0 {
		note := slog.NewRecord(r.Time, slog.LevelWarn, "log lines left out", 0)
		note.AddAttrs(slog.Int64("lines", left))
		if err := h.Handler.Handle(ctx, note); err != nil {
			return fmt.Errorf("log: %w", err)
		}
	}
	if !ok {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler with more attributes.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.Handler.WithAttrs(attrs), h.l}
}

// WithGroup returns a handler whose further attributes are in a group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.Handler.WithGroup(name), h.l}
}
