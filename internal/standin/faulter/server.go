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

	mu      sync.Mutex
	address string
	server  *http.Server
	done    chan struct{}
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

// Restore starts the server, for the first time or after a crash. It does nothing if the server runs.
func (s *Server) Restore() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
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

// Crash cuts all connections and refuses new ones until Restore.
func (s *Server) Crash() {
	s.stop(s.onCrash)
}

// Close ends the server.
func (s *Server) Close() {
	s.stop(nil)
}

// stop closes the listener and the connections if the server runs, and calls a function before them.
func (s *Server) stop(before func()) {
	s.mu.Lock()
	server, done := s.server, s.done
	s.server = nil
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

// Fell crashes the stand-in. Without a Server it cuts every call until Rise.
func (f *Faults) Fell() {
	f.mu.Lock()
	crash := f.crash
	f.down = crash == nil
	f.mu.Unlock()
	if crash != nil {
		crash()
	}
}

// Rise ends a crash of a stand-in without a Server.
func (f *Faults) Rise() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = false
}

func (f *Faults) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}
