package claimer

import "time"

// Budget is a token bucket for the transactions that one instance writes. Each instance takes an equal share of the
// fleet's rate, so that the instances need not coordinate each write. While instances differ about their number, the
// sum of their rates is off by the same factor.
type Budget struct {
	// Rate is the share of this instance, in transactions a second.
	Rate float64
	// Burst bounds the tokens saved up.
	Burst  float64
	Tokens float64
	// At is the time for which Tokens was counted.
	At time.Time
	// shareSet reports whether SetShare has been called.
	shareSet bool
}

// SetShare sets the rate to an equal share of the rate of the fleet, in transactions a second, among a number of
// instances.
func (b *Budget) SetShare(now time.Time, fleetRate float64, instances int) {
	b.refill(now)
	b.Rate = fleetRate / float64(max(instances, 1))
	b.Burst = max(1, b.Rate/10)
	if !b.shareSet {
		b.Tokens = b.Burst
	}
	b.shareSet = true
	b.Tokens = min(b.Tokens, b.Burst)
}

// Take spends one token. It returns false if there is none.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

// NextTokenAt returns when the next token is available.
func (b *Budget) NextTokenAt(now time.Time) time.Time {
	b.refill(now)
	if b.Tokens >= 1 {
		return now
	}
	if b.Rate <= 0 {
		return now.Add(time.Second)
	}
	return now.Add(time.Duration((1-b.Tokens)/b.Rate*float64(time.Second)) + time.Microsecond)
}

// refill adds the tokens for the time since the last call.
func (b *Budget) refill(now time.Time) {
	if b.At.IsZero() {
		b.At = now
		b.Tokens = max(b.Burst, 1)
		return
	}
	elapsed := now.Sub(b.At)
	if elapsed <= 0 {
		return
	}
	b.At = now
	b.Tokens = min(max(b.Burst, 1), b.Tokens+elapsed.Seconds()*b.Rate)
}
