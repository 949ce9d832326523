package sentry

import (
	"errors"
	"syscall"
	"time"
)

// The bounds of a watch.
const (
	// refusals is how often in a row a connection is refused until the endpoint counts as gone, refusalPause apart.
	refusals     = 2
	refusalPause = 5 * time.Millisecond
	// firstPause is the time between two connections where the first one did not last; it doubles up to longestPause. It
	// is short beside the seconds after which a crashed endpoint is back.
	firstPause   = 500 * time.Millisecond
	longestPause = 8 * time.Second
	// lasting is how long a connection is open that ended for a reason of its own, such as an endpoint's bound on idle ones.
	lasting = time.Second
)

// record is how the connections of a watch have ended so far.
type record struct {
	// refused counts those refused in a row, and brief those that ended since one lasted.
	refused, brief int
	// pause is the time before the next connection, unless it is opened at once.
	pause time.Duration
}

// end takes in that a connection ended after it was held for a time, or why none could be opened. It returns the time until the
// next one, and whether the endpoint counts as gone, which it does once for each time that it goes.
func (r *record) end(held time.Duration, err error) (pause time.Duration, gone bool) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		if r.refused++; r.refused < refusals {
			return refusalPause, false
		}
		gone = r.refused == refusals
	} else {
		r.refused = 0
	}
	if err == nil {
		if held >= lasting {
			r.brief, r.pause = 0, firstPause
		}
		// The next connection shows whether the process has ended too.
		if r.brief++; r.brief <= 1 {
			return 0, false
		}
	}
	pause = r.pause
	r.pause = min(2*r.pause, longestPause)
	return pause, gone
}
