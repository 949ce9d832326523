package bounder

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// eviction is why a connection is closed for the sake of others.
type eviction int

// The reasons of evictions.
const (
	notEvicted eviction = iota
	// evictedHead is for an incomplete head that is the most expensive, and evictedIdle for a connection without a request.
	evictedHead
	evictedIdle
)

// errFraming means that the server and the framer disagree about where a message ends.
var errFraming = merry.New("read past the end of a message")

// errRefused means that the connection was refused.
var errRefused = merry.New("connection refused for what was sent")

// errTrailers means that trailers exceed the limits.
var errTrailers = merry.New("trailers too large")

// pastDeadline is a read deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// Conn is a connection of a client. It passes a head on to the server as a whole, once it is complete, within the limits and counted
// in the budget; until then it holds nothing but the bytes.
type Conn struct {
	net.Conn
	bounder *Bounder
	framer  framer
	// buffer holds bytes that were read and not passed on. Of these, the first ready ones may be passed on, and the first scanned ones
	// were fed to the framer.
	buffer         []byte
	ready, scanned int
	limits         Limits
	isHandshaken   bool

	// waitingSince is when the connection began to wait for a request, or for the rest of a head, in nanoseconds; 0 while a request is in
	// progress.
	waitingSince atomic.Int64
	// isCharged reports whether the budget may count something for the connection.
	isCharged atomic.Bool
	// wasServed reports whether a request was passed on.
	wasServed atomic.Bool

	mu sync.Mutex
	// serverDeadline is the read deadline that the server has set, and ownDeadline that for the present read of a head.
	serverDeadline, ownDeadline time.Time
	// isActive is true while a request is passed on or in progress, and isBroken once nothing more may be read.
	isActive, isBroken bool
	// isInHead is true while a part of a head has arrived.
	isInHead bool
	// stateSince is when the request in progress was passed on, or the head in progress began, or the wait for one.
	stateSince time.Time
	evicted    eviction
	// isPartial is true while a response of HTTP/1.0 is in progress, isResetting while an end of the process resets the connection, and hasFailed
	// once a write has failed.
	isPartial, isResetting, hasFailed bool
	closeOnce                         sync.Once
}

// newConn returns a connection that waits for its first request.
func newConn(raw net.Conn, b *Bounder, now time.Time) *Conn {
	c := &Conn{Conn: raw, bounder: b, limits: b.limits(), stateSince: now}
	c.waitingSince.Store(now.UnixNano())
	return c
}

// Read passes on bytes of the present head once it is complete, and of the present body. It returns no byte past the end of a
// message, but for one while the request is in progress, which the server reads to notice that the client disconnects.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		if c.ready > 0 {
			n := copy(b, c.buffer[:c.ready])
			c.discard(n)
			return n, nil
		}
		active, broken := c.state()
		switch {
		case broken || c.framer.part == partUnknown:
			return 0, io.EOF
		case active && c.framer.atHead() && len(b) > 1:
			c.bounder.count(reasonFraming, c)
			c.markBroken()
			return 0, errFraming
		case len(b) == 0:
			return 0, nil
		}
		// While a request is in progress, the server reads one byte of the next head.
		next := b
		if active && c.framer.atHead() {
			next = b[:1]
		}
		if len(c.buffer) > c.scanned {
			if e := c.scan(active && c.framer.atHead()); e != nil {
				return 0, e
			}
			continue
		}
		n, err := c.readMore(next, active)
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// readMore reads from the connection. It returns what may be passed on at once, and keeps the rest in the buffer.
func (c *Conn) readMore(b []byte, active bool) (int, error) {
	holds := len(c.buffer) > 0
	target := b
	if holds {
		c.buffer = append(c.buffer, make([]byte, min(readBytes, max(len(c.buffer), 512)))...)
		target = c.buffer[c.scanned:]
	}
	n, err := c.readRaw(target, active)
	if holds {
		c.buffer = c.buffer[:c.scanned+n]
	}
	if n == 0 {
		return 0, err
	}
	// An error that comes with bytes comes again at the next read.
	if holds {
		return 0, nil
	}
	if active && c.framer.atHead() {
		_, e := c.framer.feed(b[:n], c.limits)
		return n, c.fail(e, true)
	}
	passed, fault := c.feed(b[:n], active)
	if fault != nil {
		return 0, fault
	}
	c.buffer = append(c.buffer, b[passed:n]...)
	if passed == 0 {
		c.scanned = n
	}
	return passed, nil
}

// readBytes bounds what is read at once into the buffer.
const readBytes = 4 << 10

// scan feeds the bytes of the buffer that were not fed yet. With onlyOne true it feeds and passes on a single byte.
func (c *Conn) scan(onlyOne bool) error {
	if onlyOne {
		_, e := c.framer.feed(c.buffer[:1], c.limits)
		c.ready, c.scanned = 1, 1
		return c.fail(e, true)
	}
	n, err := c.feed(c.buffer[c.scanned:], false)
	if err != nil {
		return err
	}
	if n > 0 {
		c.ready = c.scanned + n
		c.scanned = c.ready
		return nil
	}
	c.scanned = len(c.buffer)
	return nil
}

// feed feeds bytes to the framer up to the end of a message, and returns how many may be passed on: none of an incomplete head.
func (c *Conn) feed(b []byte, active bool) (int, error) {
	passed := 0
	if c.framer.atHead() {
		if !c.framer.hasBegun() {
			c.beginHead()
		}
		n, e := c.framer.feed(b, c.limits)
		if err := c.fail(e, false); err != nil {
			return 0, err
		}
		if !c.bounder.budget.charge(c, headCost(c.framer.size(e))) {
			return 0, c.refuseForBudget()
		}
		if e != eventHead {
			return 0, nil
		}
		if !c.markActive() {
			return 0, c.refuseForBudget()
		}
		if passed = n; c.framer.atHead() {
			return passed, nil
		}
	}
	for passed < len(b) && c.framer.part != partUnknown {
		n, e := c.framer.feed(b[passed:], c.limits)
		passed += n
		if err := c.fail(e, true); err != nil {
			return 0, err
		}
		if c.framer.part == partTrailers && !c.bounder.budget.charge(c, headCost(c.framer.bytes, c.framer.lines)) {
			c.bounder.count(reasonBudget, c)
			return 0, errTrailers
		}
		if e == eventEnd {
			c.clearBodyDeadline()
			break
		}
	}
	return passed, nil
}

// fail handles an event that means that a limit is exceeded. Within a request it is an error of its body.
func (c *Conn) fail(e event, within bool) error {
	reason := reasonHeadBytes
	switch e {
	case eventTooLong:
	case eventTooManyLines:
		reason = reasonHeadLines
	default:
		return nil
	}
	c.bounder.count(reason, c)
	if within {
		c.markBroken()
		return errTrailers
	}
	return c.refuse(http.StatusRequestHeaderFieldsTooLarge, 0)
}

// discard drops the first n bytes of the buffer.
func (c *Conn) discard(n int) {
	c.buffer, c.ready, c.scanned = c.buffer[n:], c.ready-n, c.scanned-n
	if len(c.buffer) == 0 {
		c.buffer = nil
	}
}

// readRaw reads from the connection below, within the deadlines.
func (c *Conn) readRaw(b []byte, active bool) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	if !active {
		c.setHeadDeadline(false)
	}
	n, err := c.Conn.Read(b)
	if n > 0 || err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	switch c.takeEviction() {
	case evictedHead:
		return 0, c.refuseForBudget()
	case evictedIdle:
		c.markBroken()
		return 0, err
	}
	if c.serverDeadlineHasPassed() {
		return 0, err
	}
	switch {
	case active && !c.framer.atHead():
		c.bounder.count(reasonBodySlow, c)
	case !active && c.framer.hasBegun():
		c.bounder.count(reasonHeadSlow, c)
	}
	return 0, err
}

// handshake runs the TLS handshake, if the connection has TLS and it was not run.
func (c *Conn) handshake() error {
	secure, ok := c.Conn.(*tls.Conn)
	if !ok || c.isHandshaken {
		return nil
	}
	c.isHandshaken = true
	ctx, cancel := context.WithTimeout(context.Background(), c.limits.HeadTimeout)
	defer cancel()
	err := secure.HandshakeContext(ctx)
	var record tls.RecordHeaderError
	if errors.As(err, &record) && record.Conn != nil && slices.Contains(plainStarts, string(record.RecordHeader[:])) {
		// The error that matters is the one of the handshake.
		_, _ = io.WriteString(record.Conn, plainAnswer)
	}
	if err != nil {
		c.markBroken()
		return &net.OpError{Op: "read", Net: "tcp", Err: err}
	}
	return nil
}

// plainStarts are the first bytes of requests that come without TLS, and plainAnswer is what net/http's server answers to them.
var plainStarts = []string{"GET /", "HEAD ", "POST ", "PUT /", "OPTIO"}

const plainAnswer = "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n"

// refuseForBudget refuses a request for which there is no memory.
func (c *Conn) refuseForBudget() error {
	c.bounder.count(reasonBudget, c)
	return c.refuse(http.StatusServiceUnavailable, budgetRetryAfter)
}

// CloseWrite ends the sending side, as the server does before it closes a connection after an error.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.bounder.remove(c)
		c.endResponse()
	})
	return c.Conn.Close()
}
