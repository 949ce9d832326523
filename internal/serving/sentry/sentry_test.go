package sentry

import (
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// endpoint accepts connections and keeps them open.
type endpoint struct {
	t        *testing.T
	listener net.Listener

	mu       sync.Mutex
	conns    []net.Conn
	accepted int
}

// newEndpoint returns an endpoint that accepts connections until its listener is closed.
func newEndpoint(t *testing.T) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{t: t, listener: l}
	go e.run()
	t.Cleanup(func() { _ = l.Close(); e.closeConns() })
	return e
}

// run accepts connections.
func (e *endpoint) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, c)
		e.accepted++
		e.mu.Unlock()
	}
}

// acceptedCount returns how many connections were accepted.
func (e *endpoint) acceptedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepted
}

// closeConns closes the connections accepted so far.
func (e *endpoint) closeConns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		_ = c.Close()
	}
	e.conns = nil
}

// crash closes the listener and all connections, as the end of a process does.
func (e *endpoint) crash() {
	_ = e.listener.Close()
	e.closeConns()
}

// address returns the address on which the endpoint listens.
func (e *endpoint) address() string { return e.listener.Addr().String() }

// losses records the endpoints that are gone.
type losses struct {
	mu  sync.Mutex
	ids []string
}

// add records an endpoint.
func (l *losses) add(_ time.Time, id, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids = append(l.ids, id)
}

// list returns the endpoints recorded so far.
func (l *losses) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.ids...)
}

// waitUntil waits for a condition. The timeout of go test ends a wait for one that is never met.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// TestCrashIsTold crashes one of two endpoints, and checks that it alone is reported.
func TestCrashIsTold(t *testing.T) {
	a, b := newEndpoint(t), newEndpoint(t)
	var l losses
	s := New(slog.New(slog.DiscardHandler), time.Now, l.add)
	defer s.Close()
	s.Watch(map[string]string{"a": a.address(), "b": b.address()})
	waitUntil(func() bool { return a.acceptedCount() == 1 && b.acceptedCount() == 1 })
	a.crash()
	waitUntil(func() bool { return len(l.list()) > 0 })
	if got := l.list(); len(got) != 1 || got[0] != "a" {
		t.Errorf("reported %v, want a alone", got)
	}
}

// TestClosedConnectionIsNoLoss has an endpoint close idle connections, as it may: a new connection shows that it is
// alive.
func TestClosedConnectionIsNoLoss(t *testing.T) {
	a := newEndpoint(t)
	var l losses
	s := New(slog.New(slog.DiscardHandler), time.Now, l.add)
	defer s.Close()
	s.Watch(map[string]string{"a": a.address()})
	for n := range 3 {
		waitUntil(func() bool { return a.acceptedCount() > n })
		a.closeConns()
	}
	waitUntil(func() bool { return a.acceptedCount() > 3 })
	if got := l.list(); len(got) > 0 {
		t.Errorf("reported %v", got)
	}
}

// TestUnwatchedIsNotReported crashes an endpoint that is no longer watched at its address: one watch has ended, and one
// has moved to a new address.
func TestUnwatchedIsNotReported(t *testing.T) {
	a, b, moved := newEndpoint(t), newEndpoint(t), newEndpoint(t)
	var l losses
	s := New(slog.New(slog.DiscardHandler), time.Now, l.add)
	defer s.Close()
	s.Watch(map[string]string{"a": a.address(), "b": b.address(), "c": a.address()})
	waitUntil(func() bool { return a.acceptedCount() == 2 && b.acceptedCount() == 1 })
	s.Watch(map[string]string{"b": b.address(), "c": moved.address()})
	waitUntil(func() bool { return moved.acceptedCount() == 1 })
	a.crash()
	b.crash()
	waitUntil(func() bool { return len(l.list()) > 0 })
	if got := l.list(); len(got) != 1 || got[0] != "b" || s.Watched() != 2 {
		t.Errorf("reported %v while %d are watched, want b alone of 2", got, s.Watched())
	}
}
