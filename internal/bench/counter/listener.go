package counter

import (
	"net"
	"sync/atomic"
)

// listener counts the bytes sent and received on the connections that it accepts.
type listener struct {
	net.Listener
	bytes *atomic.Int64
}

// NewListener returns a listener that adds the bytes sent and received on its connections to bytes.
func NewListener(l net.Listener, bytes *atomic.Int64) net.Listener {
	return listener{l, bytes}
}

// Accept returns the next connection, which counts its bytes.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return conn{c, l.bytes}, err
}

// conn counts the bytes sent and received on a connection.
type conn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes read.
func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes written.
func (c conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
