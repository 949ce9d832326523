package limiter

import "time"

// RetryBudget bounds retries to a share of the requests, so that retries cannot multiply an overload. It is not safe
// for concurrent use.
type RetryBudget struct {
	share float64
	floor float64
	// credit is the number of retries that are saved up.
	credit     float64
	refilledAt time.Time
}

// maxSavedRetries bounds the unused retries that the budget saves up.
const maxSavedRetries = 100

// creditTolerance is the rounding error that is allowed in a sum of shares, in retries.
const creditTolerance = 1e-9

// NewRetryBudget returns a budget that allows retries for a share of the requests, and floor retries a second on top.
func NewRetryBudget(share, floor float64) *RetryBudget {
	return &RetryBudget{share: share, floor: floor, credit: floor}
}

// RecordRequest counts a first attempt.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.refill(now)
	b.credit = min(maxSavedRetries, b.credit+b.share)
}

// AllowRetry reports whether a retry is within the budget, and counts it if so.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.refill(now)
	if b.credit < 1-creditTolerance {
		return false
	}
	b.credit = max(0, b.credit-1)
	return true
}

// refill adds what the floor allows since the last call.
func (b *RetryBudget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.credit = min(maxSavedRetries, b.credit+b.floor*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}
