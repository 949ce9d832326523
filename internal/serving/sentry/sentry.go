// Package sentry keeps an idle connection open to each watched endpoint, and reports when the endpoint's process is
// gone. After a crash, the kernel closes the process's connections and refuses new ones at once, while responses that
// pass through it only stall.
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
	// onGone is called with an endpoint whose process is gone.
	onGone func(now time.Time, endpoint, address string)
	wait   sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	watches map[string]*watch
}

// watch watches one endpoint.
type watch struct {
	sentry   *Sentry
	endpoint string
	address  string
	done     chan struct{}

	mu sync.Mutex
	// conn is the connection last opened.
	conn net.Conn
}

// New returns a sentry that watches no endpoint yet. The function onGone is called with each endpoint whose process is gone.
func New(log *slog.Logger, clock func() time.Time, onGone func(now time.Time, endpoint, address string)) *Sentry {
	return &Sentry{log: log, clock: clock, onGone: onGone, watches: map[string]*watch{}}
}

// Watch sets the addresses of the endpoints to watch, by id.
func (s *Sentry) Watch(endpoints map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for id, w := range s.watches {
		if endpoints[id] != w.address {
			w.stop()
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

// Watched returns the number of watched endpoints.
func (s *Sentry) Watched() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watches)
}

// Close stops all watches and waits for their goroutines.
func (s *Sentry) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		for _, w := range s.watches {
			w.stop()
		}
	}
	s.mu.Unlock()
	s.wait.Wait()
}

// run keeps a connection open until the watch is stopped.
func (w *watch) run() {
	defer w.sentry.wait.Done()
	r := record{nextDelay: minRedialDelay}
	for !w.stopped() {
		startedAt := w.sentry.clock()
		err := w.holdConnection()
		if w.stopped() {
			return
		}
		now := w.sentry.clock()
		delay, gone := r.addEnd(now.Sub(startedAt), err)
		if gone {
			w.sentry.onGone(now, w.endpoint, w.address)
		}
		w.sleep(delay)
	}
}

// holdConnection opens a connection and returns nil once it has ended, or an error if none could be opened.
func (w *watch) holdConnection() error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.conn = c
	w.mu.Unlock()
	if w.stopped() {
		_ = c.Close() // The watch was stopped meanwhile.
	}
	// No request is sent on the connection, so that data from the endpoint ends its use as well.
	_, err = c.Read(make([]byte, 1))
	_ = c.Close() // No request is in flight on it.
	w.sentry.log.Debug("watch connection closed", "endpoint", w.endpoint, "error", err)
	return nil
}

// stop stops the watch and closes its connection. It is called once.
func (w *watch) stop() {
	close(w.done)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		_ = w.conn.Close() // The reader gets the error.
	}
}

// stopped reports whether the watch has been stopped.
func (w *watch) stopped() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// sleep waits for a duration or until the watch is stopped.
func (w *watch) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.done:
	}
}
