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

// markSound records that endpoints have lasted after a request with a key.
func (s *Screener) markSound(now time.Time, key string) {
	if now.Sub(s.soundSince) >= soundTime || len(s.sound) >= maxSoundKeys {
		s.sound, s.soundBefore, s.soundSince = map[string]bool{}, s.sound, now
	}
	s.sound[key] = true
}

// isSound reports whether endpoints have lasted lately after a request with a key.
func (s *Screener) isSound(key string) bool { return s.sound[key] || s.soundBefore[key] }

// areMostUnrelated reports whether so many endpoints crashed at the time of a key's crashes without the key that it is rather one of many
// that were on them: at least as many as with it, or unrelatedShare times as many once the key has doubtFactor times the limit.
func (s *Screener) areMostUnrelated(crashes []Crash, count, limit int) bool {
	r := &record{crashes: crashes}
	from, to := crashes[0].At.Add(-unrelatedWindow), crashes[len(crashes)-1].At.Add(unrelatedWindow)
	others := 0
	for _, c := range s.recentCrashes {
		if !c.At.Before(from) && !c.At.After(to) && !r.hasCrash(c) {
			others++
		}
	}
	if count >= doubtFactor*limit {
		return others >= unrelatedShare*len(crashes)
	}
	return others >= len(crashes)
}

// isOverLimit reports whether the crashes of a part that is not proven, or its late ones, suffice to refuse it.
func (s *Screener) isOverLimit(now time.Time, part string) bool {
	r := s.records[part]
	if !r.isProven(now) && now.Before(refusedUntil(now, r.earlyCrashes(), crashLimit)) {
		return true
	}
	return r.hasLateCrash() && now.Before(refusedUntil(now, r.knownCrashes(now), lateCrashLimit))
}

// isBeside reports whether a request was rather beside the cause of its crashes than the cause. With a few crashes it is a matter of doubt
// if they came at various moments of its answer, or another request was at the same ones.
func (s *Screener) isBeside(now time.Time, key string, r *record, areFew bool) bool {
	return areFew && (hasVariousMoments(r.crashes) || s.hasEqualRequest(now, key, r)) || s.isExplained(now, r)
}

// hasVariousMoments reports whether one late crash refutes that another came at the same moment of the answer.
func hasVariousMoments(crashes []Crash) bool {
	return slices.ContainsFunc(crashes, func(a Crash) bool {
		return a.IsLate && slices.ContainsFunc(crashes, func(b Crash) bool { return b.IsLate && a.isOutlived(b.Age) })
	})
}

// hasEqualRequest reports whether another request was at the same crashes as one, as far as all instances have reported on them, at moments that
// vary as little, and was sent again after each: streams move with it to the next endpoint.
func (s *Screener) hasEqualRequest(now time.Time, key string, r *record) bool {
	known, isVarious := r.knownCrashes(now), hasVariousMoments(r.crashes)
	isSingle := func(c Crash) bool { return !c.IsRepeat }
	for other, o := range s.repeatedRequests {
		if other == key || len(o.knownCrashes(now)) != len(known) || !isWithin(known, o) || slices.ContainsFunc(o.crashes[1:], isSingle) {
			continue
		}
		if isVarious || !hasVariousMoments(o.crashes) {
			return true
		}
	}
	return false
}

// isExplained reports whether a refused part or request was at all crashes of a request and at others.
func (s *Screener) isExplained(now time.Time, r *record) bool {
	for part := range s.suspectParts {
		if o := s.records[part]; len(o.crashes) > len(r.crashes) && isWithin(r.crashes, o) && s.isOverLimit(now, part) {
			return true
		}
	}
	for _, o := range s.repeatedRequests {
		if len(o.crashes) > len(r.crashes) && isWithin(r.crashes, o) && now.Before(refusedUntil(now, o.crashes, o.crashLimit())) {
			return true
		}
	}
	return false
}

// isOfOneRequest reports whether one request was at all crashes of a part: it is the cause rather than the part.
func (s *Screener) isOfOneRequest(crashes []Crash) bool {
	for _, o := range s.repeatedRequests {
		if isWithin(crashes, o) {
			return true
		}
	}
	return false
}

// isOfStrongerParts reports whether too few late crashes of a part are left that refused parts do not explain which are stronger suspects:
// they have more crashes, or as many, which are early or came at one moment where its own did not.
func (s *Screener) isOfStrongerParts(now time.Time, key string, crashes []Crash) bool {
	left := slices.Clone(crashes)
	for other := range s.suspectParts {
		o, more := s.records[other], len(s.records[other].crashes)-len(s.records[key].crashes)
		isStronger := more > 0 || more == 0 && (!o.hasLateCrash() || hasVariousMoments(crashes) && !hasVariousMoments(o.crashes))
		if other != key && isStronger && s.isOverLimit(now, other) {
			left = slices.DeleteFunc(left, o.hasCrash)
		}
	}
	return countApart(now, left, crashGap, true) < lateCrashLimit
}

// hasLateRival reports whether another part that a request with keys lacks was at all crashes of one of its parts, at moments that vary
// as little: the next crash tells them apart.
func (s *Screener) hasLateRival(now time.Time, key string, keys []string) bool {
	known := s.records[key].knownCrashes(now)
	if isRequestKey(key) || len(known) >= doubtFactor*lateCrashLimit {
		return false
	}
	for other := range s.suspectParts {
		o := s.records[other]
		isWeaker := hasVariousMoments(o.crashes) && !hasVariousMoments(known)
		if !slices.Contains(keys, other) && o.hasLateCrash() && !isWeaker && isWithin(known, o) {
			return true
		}
	}
	return false
}
