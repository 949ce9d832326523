package waiter

import "time"

// The parameters of Returns.
const (
	// refusalTTL is how long a refusal is remembered: callers come back within a third of the time that they have left.
	refusalTTL = 10 * time.Second
	// reportTime is how long a refusal is reported to other instances: two reports may be lost. Callers come back later than that.
	reportTime = 600 * time.Millisecond
	// maxReported bounds the refusals in a report, and maxRefusals those that are remembered. What is left out counts as a
	// first attempt.
	maxReported = 256
	maxRefusals = 8192
)

// Returns tells the callers that come back after a refusal from those that ask for the first time, by a hash of what a request has in
// common with its retries. It is not safe for concurrent use.
type Returns struct {
	// recent and older hold the hashes of refused requests of up to refusalTTL each.
	recent, older map[uint32]bool
	rotatedAt     time.Time
	// own holds the refusals of this instance that are still reported, the oldest first.
	own []refusedRequest
}

// refusedRequest is a request that this instance has refused.
type refusedRequest struct {
	hash      uint32
	refusedAt time.Time
}

// NewReturns returns a Returns that knows of no refusal.
func NewReturns() *Returns { return &Returns{recent: map[uint32]bool{}, older: map[uint32]bool{}} }

// RecordRefusal records that this instance refuses a request with a hash for want of memory.
func (r *Returns) RecordRefusal(now time.Time, hash uint32) {
	r.add(now, hash)
	r.own = append(r.own, refusedRequest{hash, now})
}

// Merge records the refusals that other instances report.
func (r *Returns) Merge(now time.Time, hashes []uint32) {
	for _, hash := range hashes {
		r.add(now, hash)
	}
}

// Report returns the latest refusals of this instance, which the others are to be told.
func (r *Returns) Report(now time.Time) []uint32 {
	for len(r.own) > 0 && (now.Sub(r.own[0].refusedAt) > reportTime || len(r.own) > maxReported) {
		r.own = r.own[1:]
	}
	out := make([]uint32, len(r.own))
	for i, q := range r.own {
		out[i] = q.hash
	}
	return out
}

// HasReturned reports whether a request with a hash was refused before.
func (r *Returns) HasReturned(now time.Time, hash uint32) bool {
	r.rotate(now)
	return r.recent[hash] || r.older[hash]
}

// add remembers a refusal.
func (r *Returns) add(now time.Time, hash uint32) {
	r.rotate(now)
	if len(r.recent) < maxRefusals {
		r.recent[hash] = true
	}
}

// rotate forgets the refusals that are older than refusalTTL, within as much again.
func (r *Returns) rotate(now time.Time) {
	age := now.Sub(r.rotatedAt)
	if age < refusalTTL {
		return
	}
	r.older = r.recent
	if age >= 2*refusalTTL {
		r.older = nil
	}
	r.recent, r.rotatedAt = map[uint32]bool{}, now
}
