package exchanger

import (
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
)

// The bounds of the messages of peers, which the decoder would hold in memory up to the length that they state: gigabytes.
const (
	// defaultMessageBytes bounds the messages that arrive at a time, and maxMessageBytes a single one. A copy of a table of 5,100
	// endpoints takes about 2 MB.
	defaultMessageBytes = 32 << 20
	maxMessageBytes     = 16 << 20
	// messageStep is the step in which bytes are counted; what a message has below it is not counted.
	messageStep = 64 << 10
	// maxDefinitionBytes bounds the definitions of types on a connection, which the decoder keeps. The types of all calls take less than
	// a tenth of it.
	maxDefinitionBytes = 256 << 10
)

// The errors of a connection whose peer breaks these bounds.
var (
	errMessageTooLong = merry.Sentinel("message of a peer too long")
	errMessagesFull   = merry.Sentinel("no memory for the message of a peer")
)

// messageBudget bounds the bytes of the messages that arrive at a time.
type messageBudget struct {
	limit int64

	mu   sync.Mutex
	used int64
}

// take reserves n bytes and reports whether there is room.
func (b *messageBudget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

// release gives n bytes back.
func (b *messageBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// messageConn is a connection that ends if a message in the encoding of gob breaks the bounds. A message is a number, its length, and
// that many bytes, which begin with another number: the id of a type, negative for a definition of it.
type messageConn struct {
	net.Conn
	budget *messageBudget
	// refused is called with the error before Read returns it.
	refused func(net.Conn, error)

	// numberLeft is the number of bytes left of the present number, and isInID whether it is the id.
	numberLeft int
	isInID     bool
	length     uint64
	// left is the number of bytes left of the message, held that of its bytes so far, and counted what is reserved for them.
	left, held, counted int64
	definitionBytes     int64
}

// Read reads from the connection and fails if a message breaks the bounds.
func (c *messageConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if fault := c.check(b[:n]); fault != nil {
		c.refused(c.Conn, fault)
		return 0, fault
	}
	return n, err
}

// check follows the messages in the bytes read.
func (c *messageConn) check(b []byte) error {
	for len(b) > 0 {
		if c.left > 0 && c.numberLeft == 0 && !c.isInID {
			n := min(c.left, int64(len(b)))
			if err := c.hold(n); err != nil {
				return err
			}
			b = b[n:]
			continue
		}
		if err := c.checkNumber(b[0]); err != nil {
			return err
		}
		b = b[1:]
	}
	return nil
}

// checkNumber follows one byte of a length or an id. A number up to 127 is one byte; a greater one is a byte with the negated number of
// its bytes, and these.
func (c *messageConn) checkNumber(b byte) error {
	if c.isInID {
		return c.checkID(b)
	}
	switch {
	case c.numberLeft > 0:
		c.length = c.length<<8 | uint64(b)
		c.numberLeft--
	case b <= 0x7f:
		c.length = uint64(b)
	default:
		c.length, c.numberLeft = 0, -int(int8(b))
		if c.numberLeft > 8 {
			return errMessageTooLong
		}
	}
	if c.numberLeft > 0 {
		return nil
	}
	if c.length > uint64(min(maxMessageBytes, c.budget.limit)) {
		return errMessageTooLong
	}
	c.left, c.isInID = int64(c.length), c.length > 0
	return nil
}

// checkID follows one byte of an id, whose lowest bit is its sign.
func (c *messageConn) checkID(b byte) error {
	switch {
	case c.numberLeft > 0:
		c.numberLeft--
	case b > 0x7f:
		c.numberLeft = -int(int8(b))
	}
	if c.numberLeft == 0 || c.left == 1 {
		c.isInID, c.numberLeft = false, 0
		if b&1 == 1 {
			if c.definitionBytes += int64(c.length); c.definitionBytes > maxDefinitionBytes {
				return errMessageTooLong
			}
		}
	}
	return c.hold(1)
}

// hold counts n bytes of a message, and releases what is counted at its end.
func (c *messageConn) hold(n int64) error {
	c.left -= n
	c.held += n
	for c.held-c.counted > messageStep {
		if !c.budget.take(messageStep) {
			return errMessagesFull
		}
		c.counted += messageStep
	}
	if c.left == 0 {
		c.free()
	}
	return nil
}

// free releases what is counted for a message.
func (c *messageConn) free() {
	c.budget.release(c.counted)
	c.held, c.counted = 0, 0
}
