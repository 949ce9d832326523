package bounder

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// state returns whether a request is in progress, and whether nothing more may be read.
func (c *Conn) state() (active, broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isActive, c.isBroken
}

// markBroken makes all further reads fail.
func (c *Conn) markBroken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isBroken = true
}

// beginHead records that the first byte of a head has arrived.
func (c *Conn) beginHead() {
	c.limits = c.bounder.limits()
	now := c.bounder.clock()
	c.waitingSince.Store(now.UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stateSince, c.isInHead = now, true
}

// markActive records that a request is passed on, unless the connection was evicted. It cannot be evicted from then on.
func (c *Conn) markActive() bool {
	now := c.bounder.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted != notEvicted {
		return false
	}
	c.wasServed.Store(true)
	c.waitingSince.Store(0)
	c.isActive, c.isInHead, c.stateSince, c.ownDeadline = true, false, now, time.Time{}
	if l := c.limits.BodyTimeout; l > 0 && !c.framer.atHead() {
		c.ownDeadline = now.Add(l)
	}
	_ = c.applyDeadline() // A closed connection fails at the next read.
	return true
}

// clearBodyDeadline removes the deadline for a body that has ended.
func (c *Conn) clearBodyDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isActive && !c.ownDeadline.IsZero() {
		c.ownDeadline = time.Time{}
		_ = c.applyDeadline() // A closed connection fails at the next read.
	}
}

// markIdle records that the server has ended a request. If it has not read the whole message, nothing more may be read.
func (c *Conn) markIdle() {
	c.bounder.budget.release(c)
	now := c.bounder.clock()
	c.waitingSince.Store(now.UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isActive, c.stateSince = false, now
	c.isInHead = c.framer.hasBegun() || len(c.buffer) > 0
	c.isBroken = c.isBroken || !c.framer.atHead()
	c.endInOrder()
}

// isEvictable reports whether no request has been passed on.
func (c *Conn) isEvictable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isActive && c.evicted == notEvicted
}

// isEvicted reports whether the connection was evicted.
func (c *Conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted != notEvicted
}

// evict makes the connection end without a request, and reports whether it could: not while a request is in progress.
func (c *Conn) evict(why eviction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isActive || c.evicted != notEvicted {
		return false
	}
	c.evicted = why
	c.applyDeadline()
	return true
}

// takeEviction returns why the connection was evicted, and lets further reads and writes of a refusal pass.
func (c *Conn) takeEviction() eviction {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// SetReadDeadline sets the server's deadline. The earlier of this and the deadline for a head applies.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	return c.applyDeadline()
}

// SetDeadline sets the server's deadlines for reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// applyDeadline sets the read deadline of the connection below. The lock is held.
func (c *Conn) applyDeadline() error {
	t := c.ownDeadline
	if t.IsZero() || !c.serverDeadline.IsZero() && c.serverDeadline.Before(t) {
		t = c.serverDeadline
	}
	if c.evicted != notEvicted {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// serverDeadlineHasPassed reports whether a read ended because of the server's deadline.
func (c *Conn) serverDeadlineHasPassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.serverDeadline.IsZero() && c.serverDeadline.Before(c.ownDeadline)
}

// setHeadDeadline sets the deadline for a head, or for the rest of one, by the limits in force. With onlyIfSet true it changes one that
// is set.
func (c *Conn) setHeadDeadline(onlyIfSet bool) {
	l := c.bounder.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isActive || onlyIfSet && c.ownDeadline.IsZero() {
		return
	}
	c.ownDeadline = c.stateSince.Add(l.HeadTimeout)
	if !c.isInHead && c.wasServed.Load() {
		c.ownDeadline = c.stateSince.Add(l.IdleTimeout)
	}
	_ = c.applyDeadline() // A closed connection fails at the read.
}

// The end of a refused connection: the client gets time to read the refusal, within bounds, since what it has sent and was not read
// would make the system reset the connection and discard the refusal.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
)

// budgetRetryAfter is the retry delay stated if there is no memory for a head.
const budgetRetryAfter = time.Second

// refuse answers a head that is not passed on, and returns the error that ends the connection. Nothing of the request has run.
func (c *Conn) refuse(status int, retryAfter time.Duration) error {
	c.bounder.budget.release(c)
	c.buffer, c.ready, c.scanned = nil, 0, 0
	c.markBroken()
	retry := ""
	if retryAfter > 0 {
		retry = fmt.Sprintf("Retry-After: %g\r\n", retryAfter.Seconds())
	}
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	now := time.Now()
	// Errors mean that the client has gone.
	_ = c.Conn.SetDeadline(now.Add(lingerTime))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		text, retry, len(text), text)
	if err == nil {
		_ = c.CloseWrite()
		c.linger()
	}
	// The server closes a connection silently after an error of this kind.
	return &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
}

// linger reads and drops what the client still sends.
func (c *Conn) linger() {
	var b [4096]byte
	for total := 0; total < lingerBytes; {
		n, err := c.Conn.Read(b[:])
		if total += n; err != nil {
			return
		}
	}
}
