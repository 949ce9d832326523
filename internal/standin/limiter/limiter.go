// Package limiter creates the rate limiters of the stand-ins.
package limiter

import "golang.org/x/time/rate"

// New returns a limiter that allows a number of calls per second, with a burst of one second's calls. With 0 or less
// there is no limit.
func New(callsPerSecond float64) *rate.Limiter {
	if callsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(callsPerSecond), int(max(1, callsPerSecond)))
}
