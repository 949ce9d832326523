package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// headerTimeout bounds the time in which a caller sends a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the time for which a connection is kept without a request.
	idleTimeout = 2 * time.Minute
)

// front is one HTTP listener and the requests in flight on it.
type front struct {
	listener net.Listener
	server   *http.Server
	handler  http.Handler
	phase    *phase
	flight   atomic.Int64
}

// newFront returns a front on a listener. While the phase is leaving, each answer closes its connection.
func newFront(l net.Listener, h http.Handler, header int, p *phase) *front {
	f := &front{listener: l, handler: h, phase: p}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    header,
	}
	return f
}

// run serves until the listener is closed.
func (f *front) run(wait *sync.WaitGroup) {
	defer wait.Done()
	if err := f.server.Serve(f.listener); !errors.Is(err, http.ErrServerClosed) {
		_ = f.server.Close()
	}
}

// ServeHTTP counts a request and passes it on.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.flight.Add(1)
	defer f.flight.Add(-1)
	if f.phase != nil && f.phase.leaving() {
		w.Header().Set("Connection", "close")
	}
	f.handler.ServeHTTP(w, r)
}

// drain takes no new connection and waits for the requests in flight. It returns the number left at the context's end.
func (f *front) drain(ctx context.Context) int {
	if f.server.Shutdown(ctx) == nil {
		return 0
	}
	return int(f.flight.Load())
}

// close ends the front at once.
func (f *front) close() {
	_ = f.server.Close()
}
