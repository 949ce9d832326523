package forwarder

import (
	"io"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// maxBufferedBytes bounds the bodies that one instance holds in memory at a time. A buffer that grows takes up to three
// times its content, which fits into the smallest machines.
const maxBufferedBytes = 32 << 20

// errMemoryFull means that a body was not read since the instance holds too many others.
var errMemoryFull = merry.New("memory for bodies is full")

// memoryBudget bounds the bytes of the bodies held at a time. Its methods may be called from any goroutine.
type memoryBudget struct {
	used  atomic.Int64
	limit int64
}

// take reserves n bytes, and returns false if the limit does not allow it.
func (b *memoryBudget) take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// release gives n bytes back.
func (b *memoryBudget) release(n int64) { b.used.Add(-n) }

// acceptsRequests reports whether there is memory for new requests. Half of it is kept for the requests in progress.
func (b *memoryBudget) acceptsRequests() bool { return b.used.Load() < b.limit/2 }

// bodyReader reads a body, and reserves memory for it before the caller holds it.
type bodyReader struct {
	body   io.Reader
	budget *memoryBudget
	// taken is the number of bytes reserved so far.
	taken int64
}

// Read reads from the body.
func (r *bodyReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if !r.budget.take(int64(n)) {
		return 0, errMemoryFull
	}
	r.taken += int64(n)
	return n, err
}
