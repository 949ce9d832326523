package bounder

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a request's Conn in its context.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// endHandler makes a response that breaks off differ from a whole one for callers of HTTP/1.0. There are no chunks in HTTP/1.0, so a response
// without a length ends with its connection (RFC 9112, section 6.3).
type endHandler struct{ handler http.Handler }

// ServeHTTP passes a request on. Until the handler has returned, the connection ends by a reset.
func (h endHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok || r.ProtoAtLeast(1, 1) {
		h.handler.ServeHTTP(w, r)
		return
	}
	c.beginResponse()
	h.handler.ServeHTTP(w, r)
	// A handler that panics has not completed its response.
	c.completeResponse()
}

// socket is the part of a TCP connection that decides how it ends.
type socket interface {
	SetLinger(seconds int) error
	Close() error
}

// socket returns the TCP connection, which is below TLS if the connection has it. It returns false if there is none.
func (c *Conn) socket() (socket, bool) {
	below := c.Conn
	if s, ok := below.(interface{ NetConn() net.Conn }); ok {
		below = s.NetConn()
	}
	s, ok := below.(socket)
	return s, ok
}

// beginResponse makes the connection end by a reset, also when the process ends.
func (c *Conn) beginResponse() {
	s, ok := c.socket()
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isPartial, c.isResetting = true, s.SetLinger(0) == nil
}

// completeResponse records that the rest of the response is in the server's buffers. Close sends it.
func (c *Conn) completeResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isPartial = false
}

// Write writes to the connection. What follows a failed write is not sent, so the response in progress is not whole.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.hasFailed = true
	}
	return n, err
}

// endInOrder lets the connection end in order. The lock is held.
func (c *Conn) endInOrder() {
	if s, ok := c.socket(); ok && c.isResetting {
		c.isResetting = s.SetLinger(-1) != nil // A connection that was closed has no end to come.
	}
}

// endResponse prepares the connection for its close.
func (c *Conn) endResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.socket(); ok && (c.isPartial || c.isResetting && c.hasFailed) {
		// With TLS, the close of the connection above would first send a close_notify alert, which ends a response in order.
		_ = s.Close()
		return
	}
	c.endInOrder()
}
