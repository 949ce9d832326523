package screener

import (
	"slices"
	"time"
)

// Crash is a crash of an endpoint.
type Crash struct {
	Endpoint string    `json:"endpoint"`
	At       time.Time `json:"at"`
	// IsRepeat is true if a request with the key was sent to the endpoint after the crash before.
	IsRepeat bool `json:"repeat,omitempty"`
	// IsLate is true if the key is that of a request that had begun before.
	IsLate bool `json:"late,omitempty"`
}

// record is what is known of a key.
type record struct {
	// crashes holds the crashes since a request with the key was last proven, and provenAt is when that request began.
	crashes  []Crash
	provenAt time.Time
	// trialUntil is when the trial in progress expires.
	trialUntil time.Time
}

// hasCrash reports whether a crash is known.
func (r *record) hasCrash(c Crash) bool {
	return slices.ContainsFunc(r.crashes, func(known Crash) bool {
		return known.Endpoint == c.Endpoint && c.At.Sub(known.At).Abs() < sameCrashTime
	})
}

// isProven reports whether a request that proved the key began within provenTime.
func (r *record) isProven(now time.Time) bool {
	return !r.provenAt.IsZero() && now.Sub(r.provenAt) < provenTime
}

// crashCount returns the number of crashes at now, of which those that are close together count once.
func (r *record) crashCount(now time.Time) int { return countApart(now, r.crashes, crashGap, true) }

// crashLimit returns the number of crashes at which requests with the key are refused.
func (r *record) crashLimit() int {
	if slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.IsLate }) {
		return lateCrashLimit
	}
	return crashLimit
}

// countApart returns the number of crashes that are further apart than gap or, with repeats, repeat another, and 0 once the
// last one no longer counts at now.
func countApart(now time.Time, crashes []Crash, gap time.Duration, repeats bool) int {
	if n := len(crashes); n == 0 || now.Sub(crashes[n-1].At) >= crashRetention {
		return 0
	}
	n := 1
	last := crashes[0].At
	for _, c := range crashes[1:] {
		if c.At.Sub(last) >= gap || repeats && c.IsRepeat {
			n++
			last = c.At
		}
	}
	return n
}

// refusedUntil returns when a request with the key may be tried after its last crash.
func (r *record) refusedUntil(now time.Time) time.Time {
	n := r.crashCount(now) - r.crashLimit()
	if n < 0 {
		return time.Time{}
	}
	return r.crashes[len(r.crashes)-1].At.Add(min(crashRetention, refusalTime<<min(n, 10)))
}

// isRepeat reports whether a request that was sent to an endpoint at a time was sent after a crash of another one.
func (r *record) isRepeat(endpoint string, sentAt time.Time) bool {
	n := len(r.crashes)
	return n > 0 && r.crashes[n-1].Endpoint != endpoint && sentAt.After(r.crashes[n-1].At)
}

// addCrash adds a crash unless it is known.
func (r *record) addCrash(c Crash) {
	if r.hasCrash(c) {
		return
	}
	r.crashes = append(r.crashes, c)
	r.trialUntil = time.Time{}
}

// record returns the record of a key, or nil if there is no room for another one.
func (s *Screener) record(now time.Time, key string) *record {
	if r := s.records[key]; r != nil {
		return r
	}
	if len(s.records) >= maxRecords && now.Sub(s.prunedAt) >= pruneInterval {
		s.prunedAt = now
		for other, r := range s.records {
			if r.crashCount(now) == 0 && !r.isProven(now) {
				delete(s.records, other)
				delete(s.suspects(other), other)
			}
		}
	}
	if len(s.records) >= maxRecords {
		return nil
	}
	r := &record{}
	s.records[key] = r
	return r
}

// prove records that a request with a key began at a time: earlier crashes do not count.
func (s *Screener) prove(now time.Time, key string, at time.Time) {
	r := s.record(now, key)
	if r == nil {
		return
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return !c.At.After(at) })
	if at.After(r.provenAt) {
		r.provenAt = at
	}
	r.trialUntil = time.Time{}
	if len(r.crashes) == 0 {
		delete(s.suspects(key), key)
	}
}
