package limiter

import "time"

// Budget bounds retries to a share of the requests, so that retries cannot multiply an overload.
type Budget struct {
	share   float64
	floor   float64
	credit  float64
	updated time.Time
}

// budgetSize bounds the retries that can be saved up, in retries.
const budgetSize = 100

// creditError is the rounding error of a sum of shares, in retries.
const creditError = 1e-9

// NewBudget returns a budget that allows retries for a share of the requests, and floor retries a second besides.
func NewBudget(share, floor float64) *Budget {
	return &Budget{share: share, floor: floor, credit: floor}
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.credit = min(budgetSize, b.credit+b.share)
}

// Retry reports whether a retry is within the budget, and counts it if so.
func (b *Budget) Retry(now time.Time) bool {
	b.refill(now)
	if b.credit < 1-creditError {
		return false
	}
	b.credit = max(0, b.credit-1)
	return true
}

// refill adds the floor's part since the last call.
func (b *Budget) refill(now time.Time) {
	if !b.updated.IsZero() && now.After(b.updated) {
		b.credit = min(budgetSize, b.credit+b.floor*now.Sub(b.updated).Seconds())
	}
	b.updated = now
}
