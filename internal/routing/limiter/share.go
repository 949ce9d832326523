package limiter

import "time"

// SetShare sets the share of requests that may be retries from now on.
func (b *Budget) SetShare(now time.Time, share float64) {
	b.refill(now)
	b.share = share
}
