// Package logger writes structured logs without ever blocking a request: lines wait in a bounded queue, and a line is
// dropped and counted if the queue is full or the rate limit of its level is exceeded.
package logger

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// The limits of a log.
const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 4096
	// infoLinesPerSecond limits the lines below the level of warnings, and warnLinesPerSecond warnings and errors. A reader
	// can keep up with these rates, and they cost less than 1 in 100 of a small core.
	infoLinesPerSecond = 60
	warnLinesPerSecond = 300
)

// Logger is an asynchronous log. Lines below the level of warnings are class 0, warnings and errors class 1.
type Logger struct {
	out   io.Writer
	lines chan []byte
	stop  chan struct{}
	wait  sync.WaitGroup

	mu sync.Mutex
	// currentSecond is the second, in Unix time, that admittedByClass counts.
	currentSecond   int64
	admittedByClass [2]int
	// unreportedDrops counts, by class, the dropped lines that no line of the log reports yet.
	unreportedDrops [2]int64
	droppedTotal    int64
}

// New returns a log that writes JSON lines to a writer.
func New(out io.Writer) *Logger {
	l := &Logger{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{})}
	l.wait.Add(1)
	go l.loop()
	return l
}

// WithLevel returns a structured log that writes records of at least a level.
func (l *Logger) WithLevel(level slog.Level) *slog.Logger {
	return slog.New(&handler{slog.NewJSONHandler(l, &slog.HandlerOptions{Level: level}), l})
}

// Dropped returns the number of lines dropped so far.
func (l *Logger) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.droppedTotal
}

// Close writes the queued lines and stops the log.
func (l *Logger) Close() {
	close(l.stop)
	l.wait.Wait()
}

// Write queues a line, or drops it if the queue is full. It never blocks. Such a drop counts as class 1, since the level
// of an encoded line is not known here.
func (l *Logger) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.countDrop(1)
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
		case <-l.stop:
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

// write writes one line. An error is ignored, since there is nowhere to report it.
func (l *Logger) write(b []byte) {
	_, _ = l.out.Write(b)
}

// countDrop counts a dropped line of a class.
func (l *Logger) countDrop(class int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreportedDrops[class]++
	l.droppedTotal++
}

// admit reports whether a line of a class is within the rate limit. The first line of a second also receives the number of
// lines that were dropped and not reported before.
func (l *Logger) admit(now time.Time, class int) (ok bool, unreported int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.currentSecond {
		l.currentSecond = s
		l.admittedByClass = [2]int{}
		unreported = l.unreportedDrops[0] + l.unreportedDrops[1]
		l.unreportedDrops = [2]int64{}
	}
	rate := infoLinesPerSecond
	if class == 1 {
		rate = warnLinesPerSecond
	}
	if l.admittedByClass[class] >= rate {
		l.unreportedDrops[class]++
		l.droppedTotal++
		return false, unreported
	}
	l.admittedByClass[class]++
	return true, unreported
}

// handler limits the rate of lines.
type handler struct {
	slog.Handler
	logger *Logger
}

// Handle writes a line if it is within the rate limit. Before it, it writes how many lines were dropped, if any.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	class := 0
	if r.Level >= slog.LevelWarn {
		class = 1
	}
	ok, unreported := h.logger.admit(r.Time, class)
	if unreported > 0 {
		report := slog.NewRecord(r.Time, slog.LevelWarn, "log lines left out", 0)
		report.AddAttrs(slog.Int64("lines", unreported))
		if err := h.Handler.Handle(ctx, report); err != nil {
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
	return &handler{h.Handler.WithAttrs(attrs), h.logger}
}

// WithGroup returns a handler whose further attributes are in a group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.Handler.WithGroup(name), h.logger}
}
