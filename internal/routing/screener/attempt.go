package screener

import (
	"slices"
	"time"
)

// attempt is one send of a request whose result is not known yet.
type attempt struct {
	keys      []string
	endpoints []string
	sentAt    time.Time
	// begunAt is the time of the first event, and endedAt that of the end before it; both are zero until then.
	begunAt time.Time
	endedAt time.Time
	// isTrial is true if the attempt is a trial, and hasCrashed once it was recorded with a crash.
	isTrial    bool
	hasCrashed bool
}

// Begin records at now that a request with keys is sent along endpoints, and returns the number of the attempt and the
// keys of which it is the trial, which the other instances are to be told. The number is 0 if there are no keys.
func (s *Screener) Begin(now time.Time, keys []string, endpoints []string) (uint64, []string) {
	if len(keys) == 0 {
		return 0, nil
	}
	s.lastAttempt++
	a := &attempt{keys: keys, endpoints: endpoints, sentAt: now}
	s.attempts[s.lastAttempt] = a
	var tried []string
	for _, key := range keys {
		if ruling, _ := s.Check(now, []string{key}); ruling == Trial {
			s.records[key].trialUntil = now.Add(trialTime)
			a.isTrial = true
			tried = append(tried, key)
		}
	}
	return s.lastAttempt, tried
}

// RecordFirstEvent records the first event of an attempt, and reports whether the attempt is a trial, whose result Settle
// finds after SettleTime.
func (s *Screener) RecordFirstEvent(now time.Time, number uint64) bool {
	a := s.attempts[number]
	if a == nil || !a.begunAt.IsZero() || !a.endedAt.IsZero() {
		return false
	}
	a.begunAt = now
	s.begun = append(s.begun, number)
	return a.isTrial
}

// End records the end of an attempt.
func (s *Screener) End(now time.Time, number uint64) {
	a := s.attempts[number]
	if a == nil || !a.begunAt.IsZero() || !a.endedAt.IsZero() {
		return
	}
	a.endedAt = now
	s.ended = append(s.ended, number)
	if !a.isTrial {
		return
	}
	for _, key := range a.keys {
		if r := s.records[key]; r != nil && now.Before(r.trialUntil) {
			r.trialUntil = now.Add(newsTime)
		}
	}
}

// Settle handles the attempts whose result is known at now, and returns the keys that they cleared of a suspicion, which
// the other instances are to be told.
func (s *Screener) Settle(now time.Time) []string {
	for len(s.ended) > 0 && now.Sub(s.attempts[s.ended[0]].endedAt) >= lossWindow {
		delete(s.attempts, s.ended[0])
		s.ended = s.ended[1:]
	}
	var cleared []string
	for len(s.begun) > 0 {
		a := s.attempts[s.begun[0]]
		if now.Sub(a.begunAt) < SettleTime {
			break
		}
		delete(s.attempts, s.begun[0])
		s.begun = s.begun[1:]
		if a.hasCrashed {
			continue
		}
		for _, key := range a.keys {
			if ruling, _ := s.checkKey(now, key); ruling != Allow {
				cleared = append(cleared, key)
			}
			// Nearly all requests are sent once, so there is mostly nothing to keep of their own keys.
			if s.records[key] != nil || !isRequestKey(key) {
				s.prove(now, key, a.begunAt)
			}
		}
	}
	return cleared
}

// RecordLoss records at now that an endpoint has crashed, and returns the report on the requests that waited for their
// first event on it.
func (s *Screener) RecordLoss(now time.Time, endpoint string) Report {
	for id, at := range s.losses {
		if now.Sub(at) >= sameCrashTime {
			delete(s.losses, id)
		}
	}
	s.losses[endpoint] = now
	report := Report{Endpoint: endpoint}
	for _, a := range s.attempts {
		if a.hasCrashed || !slices.Contains(a.endpoints, endpoint) {
			continue
		}
		if !a.endedAt.IsZero() && now.Sub(a.endedAt) >= lossWindow || !a.begunAt.IsZero() && now.Sub(a.begunAt) >= SettleTime {
			continue
		}
		a.hasCrashed = true
		for _, key := range a.keys {
			if !slices.Contains(report.Crashed, key) {
				report.Crashed = append(report.Crashed, key)
			}
			if r := s.records[key]; r != nil && r.isRepeat(endpoint, a.sentAt) && !slices.Contains(report.Repeated, key) {
				report.Repeated = append(report.Repeated, key)
			}
		}
	}
	slices.Sort(report.Crashed)
	report.Proven = s.Proven(now, report.Crashed)
	s.Merge(now, report)
	return report
}

// IsLost reports whether the loss of an endpoint was recorded so recently that it is the same one.
func (s *Screener) IsLost(now time.Time, endpoint string) bool {
	at, ok := s.losses[endpoint]
	return ok && now.Sub(at) < sameCrashTime
}

// RefusedAttempts returns the attempts in progress that have not begun and whose requests must not run.
func (s *Screener) RefusedAttempts(now time.Time) []uint64 {
	var out []uint64
	for number, a := range s.attempts {
		if ruling, _ := s.Check(now, a.keys); ruling == Refuse && a.begunAt.IsZero() && a.endedAt.IsZero() {
			out = append(out, number)
		}
	}
	return out
}
