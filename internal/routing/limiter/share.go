package limiter

import "time"

// SetShare sets the share of the requests that may be retried.
func (b *RetryBudget) SetShare(now time.Time, share float64) {
	b.refill(now)
	b.share = share
}
