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

// endpoint accepts connections and keeps them.
type endpoint struct {
	t        *testing.T
	listener net.Listener

	mu       sync.Mutex
	conns    []net.Conn
	accepted int
}

// newEndpoint listens and accepts until the listener is closed.
func newEndpoint(t *testing.T) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{t: t, listener: l}
	go e.run()
	t.Cleanup(func() { _ = l.Close(); e.drop() })
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

// count returns how many connections were accepted.
func (e *endpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepted
}

// drop closes the connections accepted so far.
func (e *endpoint) drop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		_ = c.Close()
	}
	e.conns = nil
}

// crash ends the endpoint as the end of its process does.
func (e *endpoint) crash() {
	_ = e.listener.Close()
	e.drop()
}

// address returns where the endpoint listens.
func (e *endpoint) address() string { return e.listener.Addr().String() }

// losses records the endpoints that are gone.
type losses struct {
	mu  sync.Mutex
	ids []string
}

// add records one.
func (l *losses) add(_ time.Time, id, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids = append(l.ids, id)
}

// list returns those recorded.
func (l *losses) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.ids...)
}

// until waits for a condition. Go's own limit of a test run ends one that never comes.
func until(met func() bool) {
	for !met() {
		time.Sleep(time.Millisecond)
	}
}

// TestCrashIsTold ends one of two endpoints.
func TestCrashIsTold(t *testing.T) {
	a, b := newEndpoint(t), newEndpoint(t)
	var l losses
	s := New(slog.New(slog.DiscardHandler), time.Now, l.add)
	defer s.Close()
	s.Watch(map[string]string{"a": a.address(), "b": b.address()})
	until(func() bool { return a.count() == 1 && b.count() == 1 })
	a.crash()
	until(func() bool { return len(l.list()) > 0 })
	if got := l.list(); len(got) != 1 || got[0] != "a" {
		t.Errorf("told of %v, want a alone", got)
	}
}

// TestClosedConnectionIsNoLoss lets an endpoint close idle connections, as it may: a new one shows that it is there.
func TestClosedConnectionIsNoLoss(t *testing.T) {
	a := newEndpoint(t)
	var l losses
	s := New(slog.New(slog.DiscardHandler), time.Now, l.add)
	defer s.Close()
	s.Watch(map[string]string{"a": a.address()})
	for n := range 3 {
		until(func() bool { return a.count() > n })
		a.drop()
	}
	until(func() bool { return a.count() > 3 })
	if got := l.list(); len(got) > 0 {
		t.Errorf("told of %v", got)
	}
}

// TestUnwatchedIsNotTold crashes an endpoint whose watch has passed to another instance, and one at a new address.
func TestUnwatchedIsNotTold(t *testing.T) {
	a, b, moved := newEndpoint(t), newEndpoint(t), newEndpoint(t)
	var l losses
	s := New(slog.New(slog.DiscardHandler), time.Now, l.add)
	defer s.Close()
	s.Watch(map[string]string{"a": a.address(), "b": b.address(), "c": a.address()})
	until(func() bool { return a.count() == 2 && b.count() == 1 })
	s.Watch(map[string]string{"b": b.address(), "c": moved.address()})
	until(func() bool { return moved.count() == 1 })
	a.crash()
	b.crash()
	until(func() bool { return len(l.list()) > 0 })
	if got := l.list(); len(got) != 1 || got[0] != "b" || s.Watched() != 2 {
		t.Errorf("told of %v while %d are watched, want b alone of 2", got, s.Watched())
	}
}
