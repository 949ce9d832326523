// Package retrier decides when an idempotent call is sent again: after a failure within a budget, or beside a slow
// attempt where that gains something.
package retrier

// Budget bounds the share of calls that may be repeats. Each call earns Percent hundredths of a repeat, and Reserve
// bounds what is saved up, so that an outage is not made worse by repeats.
type Budget struct {
	// Percent is the share of calls that may be repeats.
	Percent int
	// Reserve bounds the repeats saved up.
	Reserve int
	// Saved counts hundredths of a repeat.
	Saved int
	// Spent and Denied count the repeats allowed and refused.
	Spent  int
	Denied int
}

// hundred is the cost of one repeat in hundredths.
const hundred = 100

// Earn counts a call.
func (b *Budget) Earn() {
	b.Saved = min(b.Saved+b.Percent, b.Reserve*hundred)
}

// Spend takes one repeat, or returns false if none is left.
func (b *Budget) Spend() bool {
	if b.Saved < hundred {
		b.Denied++
		return false
	}
	b.Saved -= hundred
	b.Spent++
	return true
}
