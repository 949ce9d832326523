package sentry

import (
	"errors"
	"syscall"
	"time"
)

// The thresholds and delays of a watch.
const (
	// refusalThreshold is the number of refused connections in a row, refusalRetryDelay apart, after which the endpoint
	// counts as gone.
	refusalThreshold  = 2
	refusalRetryDelay = 5 * time.Millisecond
	// minRedialDelay is the backoff before a connection is opened again after one that failed or was not stable; it
	// doubles up to maxRedialDelay. It is short compared with the seconds that a crashed endpoint takes to restart.
	minRedialDelay = 500 * time.Millisecond
	maxRedialDelay = 8 * time.Second
	// minStableTime is the age from which the end of a connection is taken for a normal one, such as by an endpoint's idle
	// timeout.
	minStableTime = time.Second
)

// record counts how the connections of a watch have ended so far.
type record struct {
	// refusalCount is the number of refused connections in a row. endedCount is the number of connections that have ended
	// since the last stable one, including that one.
	refusalCount, endedCount int
	// nextDelay is the backoff before the next connection, unless it is opened at once.
	nextDelay time.Duration
}

// addEnd records that a connection ended after it was held for a time, or the error with which none could be opened. It
// returns the delay before the next one, and whether the endpoint counts as gone, which is true once per crash.
func (r *record) addEnd(held time.Duration, err error) (delay time.Duration, gone bool) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		if r.refusalCount++; r.refusalCount < refusalThreshold {
			return refusalRetryDelay, false
		}
		gone = r.refusalCount == refusalThreshold
	} else {
		r.refusalCount = 0
	}
	if err == nil {
		if held >= minStableTime {
			r.endedCount, r.nextDelay = 0, minRedialDelay
		}
		// The next connection shows whether the process has ended as well.
		if r.endedCount++; r.endedCount <= 1 {
			return 0, false
		}
	}
	delay = r.nextDelay
	r.nextDelay = min(2*r.nextDelay, maxRedialDelay)
	return delay, gone
}
