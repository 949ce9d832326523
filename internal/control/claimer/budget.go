package claimer

import "time"

// Budget bounds the transactions that one instance writes. Each instance takes an equal part of the fleet's bound, so
// that they need not agree on each write. While instances differ about their number, the sum is off by as much.
type Budget struct {
	// Rate is this instance's part, in transactions a second.
	Rate float64
	// Burst bounds the tokens saved up.
	Burst  float64
	Tokens float64
	// At is the time for which Tokens was counted.
	At time.Time
	// shared is set once the budget has been given its part.
	shared bool
}

// Share sets the rate to one part in members of the fleet's bound, in transactions a second.
func (b *Budget) Share(now time.Time, fleet float64, members int) {
	b.fill(now)
	b.Rate = fleet / float64(max(members, 1))
	b.Burst = max(1, b.Rate/10)
	if !b.shared {
		b.Tokens = b.Burst
	}
	b.shared = true
	b.Tokens = min(b.Tokens, b.Burst)
}

// Take spends one token, or returns false if there is none.
func (b *Budget) Take(now time.Time) bool {
	b.fill(now)
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

// Ready returns when the next token is there.
func (b *Budget) Ready(now time.Time) time.Time {
	b.fill(now)
	if b.Tokens >= 1 {
		return now
	}
	if b.Rate <= 0 {
		return now.Add(time.Second)
	}
	return now.Add(time.Duration((1-b.Tokens)/b.Rate*float64(time.Second)) + time.Microsecond)
}

// fill adds the tokens of the time that has passed.
func (b *Budget) fill(now time.Time) {
	if b.At.IsZero() {
		b.At = now
		b.Tokens = max(b.Burst, 1)
		return
	}
	passed := now.Sub(b.At)
	if passed <= 0 {
		return
	}
	b.At = now
	b.Tokens = min(max(b.Burst, 1), b.Tokens+passed.Seconds()*b.Rate)
}
