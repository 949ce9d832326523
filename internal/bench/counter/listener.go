package counter

import (
	"net"
	"sync/atomic"
)

// Listener counts the bytes of the connections that it accepts, both ways.
type Listener struct {
	net.Listener
	// Bytes is the number of bytes that have passed.
	Bytes *atomic.Int64
}

// Accept returns the next connection, whose bytes are counted. The error is that of the listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return conn{c, l.Bytes}, err
}

// conn counts the bytes of a connection.
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
