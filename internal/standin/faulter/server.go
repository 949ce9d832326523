package faulter

import (
	"net"
	"net/http"
	"sync"
)

// Server serves one stand-in on one address. A crash cuts its connections and closes its listener; Restore listens
// again on the same address.
type Server struct {
	Faults *Faults

	handler http.Handler
	onCrash func()

	// restoring serializes calls of Restore.
	restoring sync.Mutex

	mu      sync.Mutex
	address string
	server  *http.Server
	closed  bool
	crashes int
	// done is closed once the latest server has stopped serving and its listener is closed.
	done chan struct{}
}

// NewServer returns a server that Restore starts. Its handler is wrapped with the faults. A port of 0 is replaced by a
// free port at the first start, and kept from then on. OnCrash, if not nil, is called when a crash begins.
func NewServer(address string, handler http.Handler, faults *Faults, onCrash func()) *Server {
	s := &Server{Faults: faults, address: address, onCrash: onCrash, handler: Wrap(faults, handler)}
	faults.mu.Lock()
	faults.crashServer = s.Crash
	faults.mu.Unlock()
	return s
}

// Restore starts the server, for the first time or after a crash, once the previous listener is closed. It does nothing
// if the server runs, and returns http.ErrServerClosed after Close.
func (s *Server) Restore() error {
	s.restoring.Lock()
	defer s.restoring.Unlock()
	s.mu.Lock()
	running, closed, address, previous := s.server != nil, s.closed, s.address, s.done
	s.mu.Unlock()
	if closed {
		return http.ErrServerClosed
	}
	if running {
		return nil
	}
	if previous != nil {
		<-previous
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return s.start(l)
}

// start serves on a listener, or closes it if the server was closed meanwhile.
func (s *Server) start(l net.Listener) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = l.Close()
		return http.ErrServerClosed
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s.handler, ConnContext: ConnContext}
	s.done = make(chan struct{})
	go s.run(s.server, l, s.done)
	return nil
}

// run serves until the server is closed, and then closes done.
func (s *Server) run(server *http.Server, l net.Listener, done chan<- struct{}) {
	defer close(done)
	_ = server.Serve(l)
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Up reports whether the server runs.
func (s *Server) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server != nil
}

// CrashCount returns how often the server crashed while it ran.
func (s *Server) CrashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Crash cuts all connections and refuses new ones until Restore.
func (s *Server) Crash() {
	s.stop(s.onCrash)
}

// Close stops the server for good.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stop(nil)
}

// stop closes the listener and the connections if the server runs. It calls onStop, if not nil, before that.
func (s *Server) stop(onStop func()) {
	s.mu.Lock()
	server, done := s.server, s.done
	s.server = nil
	if server != nil && !s.closed {
		s.crashes++
	}
	s.mu.Unlock()
	if server == nil {
		return
	}
	if onStop != nil {
		onStop()
	}
	_ = server.Close()
	<-done
}

// Crash crashes the stand-in. Without a Server, every call is cut until Restore.
func (f *Faults) Crash() {
	f.mu.Lock()
	crash := f.crashServer
	f.down = crash == nil
	f.mu.Unlock()
	if crash != nil {
		crash()
	}
}

// Restore ends a crash of a stand-in without a Server.
func (f *Faults) Restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = false
}

func (f *Faults) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}
