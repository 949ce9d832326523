package faulter

import (
	"net"
	"net/http"
	"sync"
)

// Server serves one stand-in on one address. A crash cuts its connections and closes its listener; Restore opens it
// again on the same address.
type Server struct {
	// Faults are the faults of the stand-in.
	Faults *Faults

	handler http.Handler
	onCrash func()

	// restoring is held by the one Restore at a time.
	restoring sync.Mutex

	mu      sync.Mutex
	address string
	server  *http.Server
	closed  bool
	crashes int
	// done is closed once the listener of the latest server is.
	done chan struct{}
}

// NewServer returns a server that is not yet started. Its handler is wrapped with the faults. An address with port 0
// becomes a free port at the first start. OnCrash, if not nil, is called when a
// crash begins.
func NewServer(address string, handler http.Handler, faults *Faults, onCrash func()) *Server {
	s := &Server{Faults: faults, address: address, onCrash: onCrash, handler: Wrap(faults, handler)}
	faults.mu.Lock()
	faults.crash = s.Crash
	faults.mu.Unlock()
	return s
}

// Restore starts the server, for the first time or after a crash, once the listener from before is closed. It does
// nothing if the server runs, and fails after Close.
func (s *Server) Restore() error {
	s.restoring.Lock()
	defer s.restoring.Unlock()
	s.mu.Lock()
	running, closed, address, before := s.server != nil, s.closed, s.address, s.done
	s.mu.Unlock()
	if closed {
		return http.ErrServerClosed
	}
	if running {
		return nil
	}
	if before != nil {
		<-before
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return s.start(l)
}

// start serves on a listener, unless the server was closed meanwhile.
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

// run serves until the server is closed, and closes done then.
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

// Crashes counts the crashes of a server that ran.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Crash cuts all connections and refuses new ones until Restore.
func (s *Server) Crash() {
	s.stop(s.onCrash)
}

// Close ends the server for good.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stop(nil)
}

// stop closes the listener and the connections if the server runs, and calls a function before them.
func (s *Server) stop(before func()) {
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
	if before != nil {
		before()
	}
	_ = server.Close()
	<-done
}

// Crash crashes the stand-in. Without a Server it cuts every call until Restore.
func (f *Faults) Crash() {
	f.mu.Lock()
	crash := f.crash
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
