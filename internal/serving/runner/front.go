package runner

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/heatherrock/heatherrock/internal/serving/configurer"
)

// front is one HTTP listener and the requests in flight on it.
type front struct {
	listener net.Listener
	server   *http.Server
	handler  http.Handler
	phase    *phase
	flight   atomic.Int64
	received atomic.Int64
}

// newFront returns a front on a listener with the limits of the settings. While the phase is leaving, each answer closes
// its connection.
func newFront(l net.Listener, h http.Handler, s configurer.Settings, p *phase, log *slog.Logger) *front {
	f := &front{listener: l, handler: &pacer{handler: h, body: s.Times.Body, write: s.Times.Write}, phase: p}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: s.Times.Header,
		IdleTimeout:       s.Times.Idle,
		MaxHeaderBytes:    s.Limits.Header,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
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
	f.received.Add(1)
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
