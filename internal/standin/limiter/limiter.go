// Package limiter makes the limiters of the stand-ins' rates.
package limiter

import "golang.org/x/time/rate"

// New returns a limiter of a number of calls a second with a burst of one second. With 0 there is no bound.
func New(bound float64) *rate.Limiter {
	if bound <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(bound), int(max(1, bound)))
}
