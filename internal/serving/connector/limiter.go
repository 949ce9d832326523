package connector

import (
	"bytes"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/client/verifier"
)

// ErrTooLong means that an endpoint sent more than a limit allows.
var ErrTooLong = merry.Sentinel("longer than the limit")

// limiter reads from a connection and verifies the heads of the responses. While a limit is set, it fails once that many bytes
// have been read: an endpoint may send without end.
type limiter struct {
	reader  io.Reader
	head    verifier.Head
	limited bool
	// left is the number of bytes that may still be read if limited is true.
	left int
}

// limit allows n bytes from now on.
func (l *limiter) limit(n int) { l.limited, l.left = true, n }

// lift removes the limit.
func (l *limiter) lift() { l.limited = false }

// Read reads from the connection. It returns none of the bytes if they make a head invalid.
func (l *limiter) Read(b []byte) (int, error) {
	n, err := l.readLimited(b)
	if headErr := l.head.Verify(b[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// readLimited reads from the connection within the limit.
func (l *limiter) readLimited(b []byte) (int, error) {
	if !l.limited {
		return l.reader.Read(b)
	}
	if l.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := l.reader.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// ReadAll reads to the end of r. The error is ErrTooLong if there are more than limit bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	var b bytes.Buffer
	n, err := b.ReadFrom(io.LimitReader(r, limit+1))
	if err == nil && n > limit {
		err = ErrTooLong
	}
	return b.Bytes(), err
}
