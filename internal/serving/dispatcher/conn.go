package dispatcher

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/client/verifier"
)

// errSealed is the error of a write on a sealed connection, or after its send deadline.
var errSealed = merry.New("connection sealed")

// conn is a connection that counts the bytes written and can be sealed against further writes.
type conn struct {
	net.Conn
	// verified is the same connection. It is told when a request is written.
	verified *verifier.Conn
	// plain is the connection below if it has no TLS, and nil otherwise.
	plain net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
	// sendDeadline is the time from which no more bytes are written; zero means no deadline.
	sendDeadline time.Time
}

// newConn wraps a new connection without TLS.
func newConn(c net.Conn) *conn {
	v := verifier.NewConn(c)
	return &conn{Conn: v, verified: v, plain: c}
}

// newTLSConn starts TLS on a new connection to an address.
func newTLSConn(ctx context.Context, c net.Conn, address string, settings *tls.Config) (net.Conn, error) {
	v, err := verifier.NewTLSConn(ctx, c, address, settings)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: v, verified: v}, nil
}

// Write counts the bytes before it writes them, so that the count is never too low.
func (c *conn) Write(b []byte) (int, error) {
	if !c.countWrite(len(b)) {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

// countWrite counts n bytes, or returns false if the connection is sealed or its send deadline has passed.
func (c *conn) countWrite(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed || (!c.sendDeadline.IsZero() && !time.Now().Before(c.sendDeadline)) {
		return false
	}
	c.written += int64(n)
	return true
}

// setSendDeadline sets the time from which no more bytes are written, and returns the number written so far.
func (c *conn) setSendDeadline(deadline time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendDeadline = deadline
	return c.written
}

// bytesWritten returns the number of bytes handed to the network.
func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal rejects all further writes and reports whether nothing has been written since bytesWritten returned before. Bytes
// still queued in the host are dropped when the connection is closed.
func (c *conn) seal(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	if t, ok := c.plain.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	return c.written == before
}
