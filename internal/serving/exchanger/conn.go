package exchanger

import (
	"net"
	"sync/atomic"
	"time"
)

// conn is a connection whose reads and writes have deadlines and are counted.
type conn struct {
	net.Conn
	// idle bounds the wait for a read, write the wait for a write.
	idle  time.Duration
	write time.Duration
	count *Count
}

// Count is the bytes and messages that passed, both ways.
type Count struct {
	Sent     atomic.Int64
	Received atomic.Int64
	Calls    atomic.Int64
	Failed   atomic.Int64
}

// Read reads, or fails once nothing has come for the idle time.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.count.Received.Add(int64(n))
	return n, err
}

// Write writes, or fails once the other end has taken nothing for the write timeout.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.write)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.count.Sent.Add(int64(n))
	return n, err
}
