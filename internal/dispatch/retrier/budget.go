// Package retrier decides when an idempotent call is repeated: as a retry after a failure, within a budget, or as a
// hedge in parallel to a slow attempt where that is likely to reduce the latency.
package retrier

// Budget is a token bucket that bounds the share of calls that may be repeats. Each call adds Percent hundredths of a
// repeat, and Reserve is the capacity of the bucket, so that repeats do not make an outage worse.
type Budget struct {
	// Percent is the share of calls that may be repeats.
	Percent int
	// Reserve is the capacity of the bucket, in repeats.
	Reserve int
	// Saved is the level of the bucket, in hundredths of a repeat.
	Saved int
	// Spent and Denied count the repeats allowed and denied.
	Spent  int
	Denied int
}

// hundredthsPerRepeat is the cost of one repeat.
const hundredthsPerRepeat = 100

// Earn adds the share of a repeat that one call earns.
func (b *Budget) Earn() {
	b.Saved = min(b.Saved+b.Percent, b.Reserve*hundredthsPerRepeat)
}

// Spend takes one repeat from the bucket and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.Saved < hundredthsPerRepeat {
		b.Denied++
		return false
	}
	b.Saved -= hundredthsPerRepeat
	b.Spent++
	return true
}
