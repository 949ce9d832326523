package forwarder

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// The bounds of the bodies that one instance holds in memory at a time, in bytes. They fit into the smallest machines.
const (
	// maxBufferedBytes bounds all of them.
	maxBufferedBytes = 32 << 20
	// maxCallerBytes bounds those of requests, so that there is memory for the responses.
	maxCallerBytes = maxBufferedBytes / 2
	// shortBodyBytes is the length of a body for which room is left beside long ones, and shortBodyRoom how much.
	shortBodyBytes = 4 << 10
	shortBodyRoom  = maxCallerBytes / 8
	// maxEndpointBytes bounds those of the responses of one endpoint, so that one which sends without end leaves memory for
	// the others. It holds the longest response.
	maxEndpointBytes = maxReplyBytes + 1<<20
)

// memoryRetryAfter is the retry delay stated if there is no memory for a request.
const memoryRetryAfter = time.Second

// errMemoryFull means that a body was not read since the instance holds too many others.
var errMemoryFull = merry.New("memory for bodies is full")

// callers is the source of the bodies of requests in a memoryBudget.
const callers = ""

// memoryBudget bounds the bytes of the bodies held at a time, in all and by their source: callers or the id of an endpoint. Its
// methods may be called from any goroutine.
type memoryBudget struct {
	limit int64

	mu       sync.Mutex
	used     int64
	bySource map[string]int64
}

// newMemoryBudget returns a budget of limit bytes.
func newMemoryBudget(limit int64) *memoryBudget {
	return &memoryBudget{limit: limit, bySource: map[string]int64{}}
}

// take reserves n bytes for a body of a source, and returns false if the limits do not allow it.
func (b *memoryBudget) take(source string, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasRoom(source, n) {
		return false
	}
	b.used += n
	b.bySource[source] += n
	return true
}

// fits reports whether n bytes could be reserved for a body of a source now.
func (b *memoryBudget) fits(source string, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasRoom(source, n)
}

// hasRoom is fits with the lock held.
func (b *memoryBudget) hasRoom(source string, n int64) bool {
	limit := int64(maxEndpointBytes)
	switch {
	case source == callers && n > shortBodyBytes:
		limit = maxCallerBytes - shortBodyRoom
	case source == callers:
		limit = maxCallerBytes
	}
	return b.used+n <= b.limit && b.bySource[source]+n <= limit
}

// release gives n bytes of a source back.
func (b *memoryBudget) release(source string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.bySource[source] -= n; b.bySource[source] == 0 {
		delete(b.bySource, source)
	}
}

// acceptsRequests reports whether there is memory for the responses to new requests. Half of it is kept for the requests in
// progress.
func (b *memoryBudget) acceptsRequests() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used-b.bySource[callers] < b.limit/2
}

// reservation is the memory of one body.
type reservation struct {
	budget *memoryBudget
	source string
	bytes  int64
}

// take reserves n bytes more.
func (r *reservation) take(n int64) bool {
	if !r.budget.take(r.source, n) {
		return false
	}
	r.bytes += n
	return true
}

// release gives all of them back.
func (r *reservation) release() {
	if r.bytes > 0 {
		r.budget.release(r.source, r.bytes)
		r.bytes = 0
	}
}
