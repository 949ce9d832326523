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
	// IsLate is true if the key is that of a request that had begun before, or a part of one that had settled.
	IsLate bool `json:"late,omitempty"`
	// Age is how long before a late crash the first event was.
	Age time.Duration `json:"age,omitempty"`
}

// isOutlived reports whether an endpoint that lasted for a time after the first event refutes a late crash: it outlived the moment of
// the crash by more than that moment varies.
func (c Crash) isOutlived(age time.Duration) bool {
	return age >= c.Age+max(SettleTime, min(c.Age/ageVariation, maxAgeVariation))
}

// isRefutedBy reports whether a request refutes a crash that began at a time and whose endpoint lasted for an age after the first event
// and after a whole response; age is zero without one. It refutes earlier crashes that were not late, and late ones that it outlived.
func (c Crash) isRefutedBy(at time.Time, age time.Duration) bool {
	if c.IsLate {
		return c.isOutlived(age)
	}
	return !c.At.After(at)
}

// record is what is known of a key.
type record struct {
	// crashes holds the crashes since a request with the key was last proven, and provenAt is when that request began.
	crashes  []Crash
	provenAt time.Time
	// trialUntil is when the trial in progress expires.
	trialUntil time.Time
}

// isRefutedBy reports whether a request refutes one of the crashes.
func (r *record) isRefutedBy(at time.Time, age time.Duration) bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.isRefutedBy(at, age) })
}

// hasLateCrash reports whether one of the crashes was late.
func (r *record) hasLateCrash() bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.IsLate })
}

// earlyCrashes returns the crashes that were not late.
func (r *record) earlyCrashes() []Crash {
	if !r.hasLateCrash() {
		return r.crashes
	}
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c Crash) bool { return c.IsLate })
}

// knownCrashes returns the crashes that all instances have had the time to report on.
func (r *record) knownCrashes(now time.Time) []Crash {
	n := len(r.crashes)
	for n > 0 && now.Sub(r.crashes[n-1].At) < newsTime {
		n--
	}
	return r.crashes[:n]
}

// isWithin reports whether all crashes are known to a record.
func isWithin(crashes []Crash, r *record) bool {
	return len(crashes) <= len(r.crashes) && !slices.ContainsFunc(crashes, func(c Crash) bool { return !r.hasCrash(c) })
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
	if r.hasLateCrash() {
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

// refusedUntil returns when a request with a key may be tried after the last of its crashes.
func refusedUntil(now time.Time, crashes []Crash, limit int) time.Time {
	n := countApart(now, crashes, crashGap, true) - limit
	if n < 0 {
		return time.Time{}
	}
	return crashes[len(crashes)-1].At.Add(min(crashRetention, refusalTime<<min(n, 10)))
}

// isRepeat reports whether a request that was sent to an endpoint at a time was sent after a crash of another one.
func (r *record) isRepeat(endpoint string, sentAt time.Time) bool {
	n := len(r.crashes)
	return n > 0 && r.crashes[n-1].Endpoint != endpoint && sentAt.After(r.crashes[n-1].At)
}

// addCrash adds a crash, in the order of their times. Of two reports on the same one, that of the request which was further in its
// answer counts.
func (r *record) addCrash(c Crash) {
	for i, known := range r.crashes {
		if known.Endpoint == c.Endpoint && c.At.Sub(known.At).Abs() < sameCrashTime {
			r.crashes[i].IsLate, r.crashes[i].Age = known.IsLate || c.IsLate, max(known.Age, c.Age)
			return
		}
	}
	r.crashes = append(r.crashes, c)
	slices.SortStableFunc(r.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
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
			if r.crashCount(now) == 0 && !r.isProven(now) || isRequestKey(other) && r.isSingleCrash(now) {
				delete(s.records, other)
				delete(s.suspects(other), other)
				delete(s.repeatedRequests, other)
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

// isSingleCrash reports whether there was only one crash, longer than provenTime ago.
func (r *record) isSingleCrash(now time.Time) bool {
	return len(r.crashes) == 1 && now.Sub(r.crashes[0].At) >= provenTime
}

// prove records that a request with a key began at a time, and that its endpoint lasted for an age after the first event and after a
// whole response; age is zero without one. It returns the crashes that this refutes.
func (s *Screener) prove(now time.Time, key string, at time.Time, age time.Duration) []Crash {
	r := s.record(now, key)
	if r == nil {
		return nil
	}
	var refuted []Crash
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool {
		if c.isRefutedBy(at, age) {
			refuted = append(refuted, c)
			return true
		}
		return false
	})
	if hasLate := r.hasLateCrash(); !isRequestKey(key) || !hasLate {
		if at.After(r.provenAt) {
			r.provenAt = at
		}
		if !hasLate {
			r.trialUntil = time.Time{}
		}
	}
	if len(r.crashes) == 0 {
		delete(s.suspects(key), key)
		delete(s.repeatedRequests, key)
	}
	return refuted
}
