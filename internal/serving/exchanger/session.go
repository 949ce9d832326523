package exchanger

import (
	"context"
	"crypto/tls"
	"errors"
	"net"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

// Exchange holds the methods that peers call for gossip.
type Exchange struct {
	exchanger *Exchanger
}

// Nothing is an empty argument or reply.
type Nothing struct{}

// Gossip handles one message of a gossip exchange and sets the reply.
func (e *Exchange) Gossip(m gossiper.Message, reply *gossiper.Message) error {
	*reply = e.exchanger.handleMessage(m)
	return nil
}

// session is a connection opened by a peer.
type session struct {
	exchanger *Exchanger
	raw       net.Conn
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
		x.serveSession(raw)
	}
}

// serveSession serves a connection, or closes it if there are too many.
func (x *Exchanger) serveSession(raw net.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed || len(x.sessions) >= x.options.maxSessions {
		_ = raw.Close() // Nothing was sent on it.
		x.options.scope.Counter("exchange_refused").Inc(1)
		return
	}
	s := &session{x, raw}
	x.sessions[s] = struct{}{}
	x.wait.Add(1)
	go s.run()
}

// run serves the connection until it closes.
func (s *session) run() {
	defer s.exchanger.wait.Done()
	defer s.remove()
	c := &conn{Conn: s.raw, idleTimeout: s.exchanger.options.idleTimeout, writeTimeout: s.exchanger.options.timeout, traffic: &s.exchanger.Traffic}
	if s.exchanger.options.serverTLS == nil {
		s.serve(c)
		return
	}
	secure := tls.Server(c, s.exchanger.options.serverTLS)
	ctx, cancel := context.WithTimeout(context.Background(), s.exchanger.options.timeout)
	defer cancel()
	if err := secure.HandshakeContext(ctx); err != nil {
		s.exchanger.options.logger.Warn("peer refused", "address", s.raw.RemoteAddr().String(), "error", err)
		return
	}
	s.serve(secure)
}

// serve serves the calls on a connection within the bounds of messages.
func (s *session) serve(c net.Conn) {
	bounded := &messageConn{Conn: c, budget: s.exchanger.messages, refused: s.exchanger.recordRefusal}
	s.exchanger.server.ServeConn(bounded)
	// The server has ended all reads.
	bounded.free()
}

// recordRefusal counts and logs a peer whose messages break the bounds.
func (x *Exchanger) recordRefusal(c net.Conn, err error) {
	x.options.scope.Counter("exchange_refused").Inc(1)
	x.options.logger.Warn("peer refused", "address", c.RemoteAddr().String(), "error", err)
}

// remove closes the connection and removes the session.
func (s *session) remove() {
	_ = s.raw.Close()
	s.exchanger.mu.Lock()
	defer s.exchanger.mu.Unlock()
	delete(s.exchanger.sessions, s)
}
