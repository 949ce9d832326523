package bounder

import "sync"

// The estimated cost of a head once it is parsed and passed on, in bytes. A header map takes about 200 bytes for an entry, and each
// request to an endpoint has a copy of its own.
const (
	costPerByte = 2
	costPerLine = 400
	// freeCost is the cost that is not counted for each connection: what the heads of ordinary requests have.
	freeCost = 16 << 10
)

// headCost returns the part of a head's estimated cost that counts.
func headCost(bytes, lines int) int64 {
	return max(0, costPerByte*int64(bytes)+costPerLine*int64(lines)-freeCost)
}

// Budget bounds the memory for heads, and what is parsed from them, over all connections. Its methods may be called from any
// goroutine.
type Budget struct {
	limit int64

	mu      sync.Mutex
	used    int64
	holders map[*Conn]int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, holders: map[*Conn]int64{}}
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// charge sets the cost of a connection's head and reports whether there is room for it. If there is not, connections with incomplete
// heads that are more expensive are evicted, the most expensive first. A single head always has room.
func (b *Budget) charge(c *Conn, cost int64) bool {
	if cost == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.holders[c]
	if cost <= before {
		return true
	}
	if c.isEvicted() {
		return false
	}
	for b.used-before+cost > b.limit && b.used > before {
		victim, largest := (*Conn)(nil), cost
		for other, held := range b.holders {
			if other != c && held > largest && other.isEvictable() {
				victim, largest = other, held
			}
		}
		if victim == nil {
			return false
		}
		if victim.evict(evictedHead) {
			b.used -= largest
			delete(b.holders, victim)
		}
	}
	b.used += cost - before
	b.holders[c] = cost
	c.isCharged.Store(true)
	return true
}

// release releases what is counted for a connection.
func (b *Budget) release(c *Conn) {
	if !c.isCharged.Swap(false) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= b.holders[c]
	delete(b.holders, c)
}
