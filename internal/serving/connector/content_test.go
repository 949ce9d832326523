package connector

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestContentTakesNoMoreThanIsReserved guards against buffers that take several times the bytes that are counted while they grow.
func TestContentTakesNoMoreThanIsReserved(t *testing.T) {
	const length = 4 << 20
	body := make([]byte, length)
	reserved := int64(0)
	var content Content
	var err error
	taken := allocated(func() {
		content, err = ReadContent(bytes.NewReader(body), length, func(n int64) bool {
			reserved += n
			return true
		})
	})
	if err != nil || content.Len() != length {
		t.Fatalf("%d bytes, %v", content.Len(), err)
	}
	if reserved > length+pieceBytes {
		t.Errorf("%d bytes are reserved for %d", reserved, length)
	}
	// The list of the pieces takes some bytes more.
	if slack := uint64(pieceBytes); taken > uint64(reserved)+slack {
		t.Errorf("%d bytes are allocated, and %d are reserved", taken, reserved)
	}
}

// TestReadContent reads bodies of different lengths and with errors.
func TestReadContent(t *testing.T) {
	errBroken := errors.New("broken")
	for _, c := range []struct {
		name    string
		body    io.Reader
		limit   int64
		memory  int64
		want    int
		wantErr error
	}{
		{"empty", strings.NewReader(""), 10, 1 << 20, 0, nil},
		{"one piece", strings.NewReader(strings.Repeat("x", firstPieceBytes)), 1 << 20, 1 << 20, firstPieceBytes, nil},
		{"byte by byte", iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 5000))), 1 << 20, 1 << 20, 5000, nil},
		{"as long as the limit", strings.NewReader("0123456789"), 10, 1 << 20, 10, nil},
		{"longer", strings.NewReader("0123456789x"), 10, 1 << 20, 0, ErrTooLong},
		{"without memory", strings.NewReader(strings.Repeat("x", 10000)), 1 << 20, firstPieceBytes, 0, ErrNoMemory},
		{"broken off", io.MultiReader(strings.NewReader("x"), iotest.ErrReader(errBroken)), 10, 1 << 20, 0, errBroken},
		{"cut short", io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), 10, 1 << 20, 0, io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			left := c.memory
			got, err := ReadContent(c.body, c.limit, func(n int64) bool {
				left -= n
				return left >= 0
			})
			if got.Len() != c.want || !errors.Is(err, c.wantErr) {
				t.Errorf("%d bytes, %v, want %d and %v", got.Len(), err, c.want, c.wantErr)
			}
			var b bytes.Buffer
			if n, err := got.WriteTo(&b); int(n) != c.want || b.Len() != c.want || err != nil {
				t.Errorf("%d bytes written, %v", n, err)
			}
		})
	}
}
