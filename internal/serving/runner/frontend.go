package runner

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/heatherrock/heatherrock/internal/serving/bounder"
	"github.com/heatherrock/heatherrock/internal/serving/configurer"
)

// frontend serves HTTP on one listener and counts the requests in flight on it.
type frontend struct {
	listener      net.Listener
	server        *http.Server
	handler       http.Handler
	phase         *phase
	inFlight      atomic.Int64
	receivedCount atomic.Int64
}

// newFrontend returns a frontend on a listener with the times of the settings. While p is leaving, each response closes
// its connection. The phase p may be nil.
func newFrontend(l net.Listener, h http.Handler, s configurer.Settings, p *phase, log *slog.Logger) *frontend {
	f := &frontend{listener: l, handler: &deadlineHandler{handler: h, bodyTimeout: s.Times.BodyTimeout, writeTimeout: s.Times.WriteTimeout}, phase: p}
	f.server = &http.Server{Handler: f, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	return f
}

// machine returns what the settings state of the machine.
func machine(s configurer.Settings) bounder.Machine {
	return bounder.Machine{MemoryBytes: s.Limits.MemoryBytes, Descriptors: s.Limits.Descriptors}
}

// boundFrontends bounds what clients may send to the frontends.
func (r *Runner) boundFrontends() {
	s := r.settings
	l := bounder.Limits{
		HeadLines: s.Limits.HeaderLines, HeadTimeout: s.Times.HeaderTimeout, IdleTimeout: s.Times.ConnectionIdleTimeout,
		BodyTimeout: s.Times.BodyTimeout,
	}.Complete()
	if s.Limits.HeaderBytes > 0 {
		l.HeadBytes = s.Limits.HeaderBytes
	}
	limits := func() bounder.Limits { return l }
	budget := bounder.NewBudget(r.plan.HeadBytes)
	r.callerFrontend.bound(bounder.New("callers", budget, r.plan.Callers, limits, r.log, r.meter.Scope()))
	r.operatorFrontend.bound(bounder.New("operators", budget, r.plan.Internal, limits, r.log, r.meter.Scope()))
}

// bound bounds what clients may send. Call it before run.
func (f *frontend) bound(b *bounder.Bounder) { f.listener = b.Serve(f.server, f.listener) }

// run serves requests until the frontend is drained or closed, or the listener fails.
func (f *frontend) run(wait *sync.WaitGroup) {
	defer wait.Done()
	if err := f.server.Serve(f.listener); !errors.Is(err, http.ErrServerClosed) {
		_ = f.server.Close()
	}
}

// ServeHTTP counts a request and passes it on.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.receivedCount.Add(1)
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.phase != nil && f.phase.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	f.handler.ServeHTTP(w, r)
}

// drain accepts no new connections and waits for the requests in flight. It returns the number still in flight when the
// context ends.
func (f *frontend) drain(ctx context.Context) int {
	if f.server.Shutdown(ctx) == nil {
		return 0
	}
	return int(f.inFlight.Load())
}

// close closes the listener and all connections at once.
func (f *frontend) close() {
	_ = f.server.Close()
}
