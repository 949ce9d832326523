package claimer

import "time"

// Breaker is a circuit breaker for the table service. After Limit failures in a row it opens, and then admits one
// request every Probe until one succeeds.
type Breaker struct {
	Limit    int
	Probe    time.Duration
	Failures int
	// Next is when the next probe may be sent while the breaker is open.
	Next time.Time
}

// Allow reports whether a request may be sent at now.
func (b *Breaker) Allow(now time.Time) bool {
	if b.Failures < b.Limit {
		return true
	}
	if now.Before(b.Next) {
		return false
	}
	b.Next = now.Add(b.Probe)
	return true
}

// RecordResult records the outcome of a request.
func (b *Breaker) RecordResult(now time.Time, succeeded bool) {
	if succeeded {
		b.Failures = 0
		return
	}
	b.Failures++
	b.Next = now.Add(b.Probe)
}
