package connector

import (
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// The sizes of the pieces of a Content in bytes: the first piece holds most bodies.
const (
	firstPieceBytes = 4 << 10
	pieceBytes      = 32 << 10
)

// ErrNoMemory means that no memory was reserved for a body.
var ErrNoMemory = merry.Sentinel("no memory for the body")

// Content is a body in pieces: unlike one buffer, it takes no more memory while it grows than it has bytes.
type Content [][]byte

// ReadContent reads a body of at most limit bytes to its end. The function reserve is called with the size of each piece before it
// is allocated, and reports whether there is memory for it. The error is ErrTooLong if the body is longer than limit, and
// ErrNoMemory if there is no memory.
func ReadContent(r io.Reader, limit int64, reserve func(n int64) bool) (Content, error) {
	var c Content
	length := int64(0)
	for size := firstPieceBytes; ; size = pieceBytes {
		if !reserve(int64(size)) {
			return nil, ErrNoMemory
		}
		piece := make([]byte, 0, size)
		for len(piece) < size {
			n, err := r.Read(piece[len(piece):size])
			piece = piece[:len(piece)+n]
			if length += int64(n); length > limit {
				return nil, ErrTooLong
			}
			if errors.Is(err, io.EOF) {
				return append(c, piece), nil
			}
			if err != nil {
				return nil, err
			}
		}
		c = append(c, piece)
	}
}

// Len returns the number of bytes.
func (c Content) Len() int {
	n := 0
	for _, piece := range c {
		n += len(piece)
	}
	return n
}

// WriteTo writes all pieces.
func (c Content) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for _, piece := range c {
		n, err := w.Write(piece)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
