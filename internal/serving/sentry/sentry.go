// Package sentry keeps an idle connection open to endpoints and tells when the process at its other end is gone. The kernel
// of a process that crashed closes its connections and refuses new ones at once, while the answers that pass it only stop.
package sentry

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"
)

// dialTimeout bounds the opening of a connection within a region.
const dialTimeout = 700 * time.Millisecond

// Sentry watches endpoints. Its methods may be called from any goroutine.
type Sentry struct {
	log   *slog.Logger
	clock func() time.Time
	// gone is called with an endpoint whose process is gone.
	gone func(now time.Time, endpoint, address string)
	wait sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	watches map[string]*watch
}

// watch is the watch over one endpoint.
type watch struct {
	sentry   *Sentry
	endpoint string
	address  string
	done     chan struct{}

	mu sync.Mutex
	// conn is the connection last opened.
	conn net.Conn
}

// New returns a sentry that watches nothing yet.
func New(log *slog.Logger, clock func() time.Time, gone func(now time.Time, endpoint, address string)) *Sentry {
	return &Sentry{log: log, clock: clock, gone: gone, watches: map[string]*watch{}}
}

// Watch sets the endpoints to watch, with their addresses by id.
func (s *Sentry) Watch(endpoints map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for id, w := range s.watches {
		if endpoints[id] != w.address {
			w.end()
			delete(s.watches, id)
		}
	}
	for id, address := range endpoints {
		if _, ok := s.watches[id]; ok {
			continue
		}
		w := &watch{sentry: s, endpoint: id, address: address, done: make(chan struct{})}
		s.watches[id] = w
		s.wait.Add(1)
		go w.run()
	}
}

// Watched returns the number of endpoints that are watched.
func (s *Sentry) Watched() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watches)
}

// Close ends all watches.
func (s *Sentry) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		for _, w := range s.watches {
			w.end()
		}
	}
	s.mu.Unlock()
	s.wait.Wait()
}

// run holds a connection until the watch ends.
func (w *watch) run() {
	defer w.sentry.wait.Done()
	r := record{pause: firstPause}
	for !w.ended() {
		begun := w.sentry.clock()
		err := w.hold()
		if w.ended() {
			return
		}
		now := w.sentry.clock()
		pause, gone := r.end(now.Sub(begun), err)
		if gone {
			w.sentry.gone(now, w.endpoint, w.address)
		}
		w.sleep(pause)
	}
}

// hold opens a connection and returns nil once it has ended. The error says why none could be opened.
func (w *watch) hold() error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.conn = c
	w.mu.Unlock()
	if w.ended() {
		_ = c.Close() // The watch ended meanwhile.
	}
	// Nothing is asked on the connection, so that whatever comes ends its use.
	_, err = c.Read(make([]byte, 1))
	_ = c.Close() // Nothing is under way on it.
	w.sentry.log.Debug("watch's connection ended", "endpoint", w.endpoint, "error", err)
	return nil
}

// end ends the watch and closes its connection. It is called once.
func (w *watch) end() {
	close(w.done)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		_ = w.conn.Close() // The reader gets the error.
	}
}

// ended reports whether the watch has ended.
func (w *watch) ended() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// sleep waits for a time or the end of the watch.
func (w *watch) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.done:
	}
}
