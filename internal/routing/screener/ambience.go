package screener

import (
	"slices"
	"time"
)

// recordAnyCrash records the crash of an endpoint, whatever ran on it.
func (s *Screener) recordAnyCrash(now time.Time, endpoint string) {
	isSame := func(c Crash) bool { return c.Endpoint == endpoint && now.Sub(c.At) < sameCrashTime }
	if slices.ContainsFunc(s.recentCrashes, isSame) {
		return
	}
	s.recentCrashes = append(s.recentCrashes, Crash{Endpoint: endpoint, At: now})
	if n := len(s.recentCrashes); n > maxRecentCrashes {
		s.recentCrashes = slices.Delete(s.recentCrashes, 0, n-maxRecentCrashes)
	}
}

// isAmbient reports whether at least as many endpoints crashed at the time of a key's crashes without the key as with it: then it is
// rather one of many that were on them.
func (s *Screener) isAmbient(now time.Time, crashes []Crash) bool {
	r := &record{crashes: crashes}
	from, to := crashes[0].At.Add(-ambientWindow), crashes[len(crashes)-1].At.Add(ambientWindow)
	others := 0
	for _, c := range s.recentCrashes {
		if !c.At.Before(from) && !c.At.After(to) && !r.hasCrash(c) {
			others++
		}
	}
	return others >= len(crashes)
}

// isOverLimit reports whether the crashes of a part that is not proven, or its late ones, suffice to refuse it.
func (s *Screener) isOverLimit(now time.Time, part string) bool {
	r := s.records[part]
	if !r.isProven(now) && now.Before(refusedUntil(now, r.earlyCrashes(), crashLimit)) {
		return true
	}
	late, _ := s.checkLateCrashes(now, part, r)
	return late == Refuse
}

// hasTwin reports whether another request was at the same crashes as one: streams move with it to the next endpoint.
func (s *Screener) hasTwin(key string, r *record) bool {
	for other, o := range s.repeatedRequests {
		if other != key && len(o.crashes) == len(r.crashes) && r.isWithin(o) {
			return true
		}
	}
	return false
}

// isExplained reports whether a refused part or request was at all crashes of a request and at others.
func (s *Screener) isExplained(now time.Time, r *record) bool {
	for part := range s.suspectParts {
		if o := s.records[part]; len(o.crashes) > len(r.crashes) && r.isWithin(o) && s.isOverLimit(now, part) {
			return true
		}
	}
	for _, o := range s.repeatedRequests {
		if len(o.crashes) > len(r.crashes) && r.isWithin(o) && now.Before(refusedUntil(now, o.crashes, o.crashLimit())) {
			return true
		}
	}
	return false
}

// isOfOneRequest reports whether one request was at all crashes of a part: it is the cause rather than the part.
func (s *Screener) isOfOneRequest(r *record) bool {
	for _, o := range s.repeatedRequests {
		if r.isWithin(o) {
			return true
		}
	}
	return false
}
