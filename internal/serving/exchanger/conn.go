package exchanger

import (
	"net"
	"sync/atomic"
	"time"
)

// conn is a connection with timeouts for reads and writes, which counts the bytes.
type conn struct {
	net.Conn
	// idleTimeout bounds each read, writeTimeout each write.
	idleTimeout  time.Duration
	writeTimeout time.Duration
	traffic      *TrafficCounters
}

// TrafficCounters counts bytes sent and received, calls made and calls that failed.
type TrafficCounters struct {
	Sent     atomic.Int64
	Received atomic.Int64
	Calls    atomic.Int64
	Failed   atomic.Int64
}

// Read fails if nothing arrives within the idle timeout.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write fails if the peer does not accept the data within the write timeout.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
