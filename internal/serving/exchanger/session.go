package exchanger

import (
	"context"
	"crypto/tls"
	"errors"
	"net"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

// Exchange holds the methods that peers call.
type Exchange struct {
	x *Exchanger
}

// Nothing is an argument or answer without content.
type Nothing struct{}

// Gossip takes one message of an exchange in and answers it.
func (e *Exchange) Gossip(m gossiper.Message, reply *gossiper.Message) error {
	*reply = e.x.handle(m)
	return nil
}

// session is a connection that a peer opened.
type session struct {
	x   *Exchanger
	raw net.Conn
}

// runServer accepts connections until the listener is closed.
func (x *Exchanger) runServer() {
	defer x.wait.Done()
	for {
		raw, err := x.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			x.options.logger.Warn("accept of a peer's connection failed", "error", err)
			continue
		}
		x.open(raw)
	}
}

// open serves a connection unless there are too many.
func (x *Exchanger) open(raw net.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed || len(x.sessions) >= x.options.sessions {
		_ = raw.Close()
		return
	}
	s := &session{x, raw}
	x.sessions[s] = struct{}{}
	x.wait.Add(1)
	go s.run()
}

// run serves the connection until it ends.
func (s *session) run() {
	defer s.x.wait.Done()
	defer s.end()
	c := &conn{Conn: s.raw, idle: s.x.options.idle, write: s.x.options.timeout, count: &s.x.Count}
	if s.x.options.server == nil {
		s.x.server.ServeConn(c)
		return
	}
	secure := tls.Server(c, s.x.options.server)
	ctx, cancel := context.WithTimeout(context.Background(), s.x.options.timeout)
	defer cancel()
	if err := secure.HandshakeContext(ctx); err != nil {
		s.x.options.logger.Warn("peer refused", "address", s.raw.RemoteAddr().String(), "error", err)
		return
	}
	s.x.server.ServeConn(secure)
}

// end forgets the connection.
func (s *session) end() {
	_ = s.raw.Close()
	s.x.mu.Lock()
	defer s.x.mu.Unlock()
	delete(s.x.sessions, s)
}
