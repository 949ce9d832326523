package claimer

import "time"

// Breaker tells whether the table service is worth asking. After Limit failures in a row it is taken to be down, and
// one request is let through every Probe until one succeeds.
type Breaker struct {
	Limit    int
	Probe    time.Duration
	Failures int
	// Next is when the next probe may go, while the service is taken to be down.
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

// Report takes the outcome of a request.
func (b *Breaker) Report(now time.Time, worked bool) {
	if worked {
		b.Failures = 0
		return
	}
	b.Failures++
	b.Next = now.Add(b.Probe)
}
