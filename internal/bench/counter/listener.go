package counter

import (
	"net"
	"sync/atomic"
)

// listener counts the bytes that pass the connections which it accepts.
type listener struct {
	net.Listener
	bytes *atomic.Int64
}

// NewListener returns a listener that adds to bytes what passes its connections, both ways.
func NewListener(l net.Listener, bytes *atomic.Int64) net.Listener {
	return listener{l, bytes}
}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return conn{c, l.bytes}, err
}

// conn counts the bytes that pass a connection.
type conn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads and counts.
func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
