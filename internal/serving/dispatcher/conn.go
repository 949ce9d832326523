package dispatcher

import (
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// errSealed is the error of a write on a connection whose request was given up.
var errSealed = merry.New("connection sealed")

// conn is a connection that counts the bytes handed to the network and can be sealed against more.
type conn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
	// until is the time after which no more bytes leave; zero means no bound.
	until time.Time
}

// Write counts the bytes before they leave, so that the count is never too low.
func (c *conn) Write(b []byte) (int, error) {
	if !c.enter(len(b)) {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

// enter counts n bytes, or returns false if the connection is sealed.
func (c *conn) enter(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed || (!c.until.IsZero() && !time.Now().Before(c.until)) {
		return false
	}
	c.written += int64(n)
	return true
}

// limit sets the time after which no more bytes leave, and returns the number of those that have.
func (c *conn) limit(until time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = until
	return c.written
}

// count returns the number of bytes handed to the network.
func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops all further writes and reports whether nothing was written since the count was base. Bytes that are still
// queued in the host are dropped when the connection is closed.
func (c *conn) seal(base int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	return c.written == base
}
