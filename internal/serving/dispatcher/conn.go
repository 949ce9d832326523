package dispatcher

import (
	"net"
	"sync"

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
	if c.sealed {
		return false
	}
	c.written += int64(n)
	return true
}

// count returns the number of bytes handed to the network.
func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops all further writes and reports whether nothing was written since the count was base.
func (c *conn) seal(base int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written == base
}
