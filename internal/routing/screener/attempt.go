package screener

import (
	"maps"
	"slices"
	"time"
)

// attempt is one send of a request whose result is not known yet.
type attempt struct {
	number    uint64
	keys      []string
	endpoints []string
	sentAt    time.Time
	// begunAt is the time of the first event, and endedAt that of the end; both are zero until then.
	begunAt time.Time
	endedAt time.Time
	// isTrial is true if the attempt is a trial, and hasCrashed once it was recorded with a crash.
	isTrial    bool
	hasCrashed bool
	// isSettled is true once the endpoint has lasted for SettleTime after the first event. result is set at the end.
	isSettled bool
	result    Result
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	// NotRun means that the endpoint did not run the request, as far as is known.
	NotRun Result = iota
	// Whole means that a whole response arrived.
	Whole
	// Broken means that the request was sent and no whole response arrived.
	Broken
)

// age returns how long the attempt has lasted since its first event, at now or at its end.
func (a *attempt) age(now time.Time) time.Duration {
	if a.begunAt.IsZero() {
		return 0
	}
	if !a.endedAt.IsZero() {
		now = a.endedAt
	}
	return now.Sub(a.begunAt)
}

// Begin records at now that a request with keys is sent along endpoints, and returns the number of the attempt and the
// keys of which it is the trial, which the other instances are to be told. The number is 0 if there are no keys.
func (s *Screener) Begin(now time.Time, keys []string, endpoints []string) (uint64, []string) {
	if len(keys) == 0 {
		return 0, nil
	}
	s.lastAttempt++
	a := &attempt{number: s.lastAttempt, keys: keys, endpoints: endpoints, sentAt: now}
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
	s.begun = append(s.begun, a)
	return a.isTrial
}

// End records the end of an attempt, and reports whether the attempt is a trial whose result Settle finds after SettleTime.
func (s *Screener) End(now time.Time, number uint64, result Result) bool {
	a := s.attempts[number]
	if a == nil || !a.endedAt.IsZero() {
		return false
	}
	a.endedAt, a.result = now, result
	s.ended = append(s.ended, a)
	if result == Whole && !a.begunAt.IsZero() {
		s.whole = append(s.whole, a)
		return a.isTrial
	}
	if !a.isTrial {
		return false
	}
	for _, key := range a.keys {
		if a.isSettled && !isRequestKey(key) {
			continue
		}
		if r := s.records[key]; r != nil && now.Before(r.trialUntil) {
			r.trialUntil = now.Add(newsTime)
		}
	}
	return false
}

// Settle handles the attempts whose result is known at now, and returns the keys that they cleared of a suspicion, which
// the other instances are to be told. An endpoint that lasts after the first event proves the parts of a prompt, and one that
// lasts after a whole response the request.
func (s *Screener) Settle(now time.Time) []string {
	var cleared []string
	for len(s.begun) > 0 {
		a := s.begun[0]
		if now.Sub(a.begunAt) < SettleTime {
			break
		}
		s.begun = s.begun[1:]
		if a.result != Whole && a.age(now) < SettleTime {
			continue // Its endpoint may have ended it by a crash.
		}
		a.isSettled = true
		cleared = append(cleared, s.proveKeys(now, a, false)...)
	}
	for len(s.whole) > 0 {
		a := s.whole[0]
		if now.Sub(a.endedAt) < SettleTime {
			break
		}
		s.whole = s.whole[1:]
		cleared = append(cleared, s.proveKeys(now, a, true)...)
	}
	for len(s.ended) > 0 {
		a := s.ended[0]
		if now.Sub(a.endedAt) < lossWindow {
			break
		}
		delete(s.attempts, a.number)
		s.ended = s.ended[1:]
		if a.result == Broken && !a.hasCrashed {
			s.broken = append(s.broken, a)
		}
	}
	for len(s.broken) > 0 && now.Sub(s.broken[0].endedAt) >= silenceWindow {
		s.broken = s.broken[1:]
	}
	return cleared
}

// proveKeys records that an attempt has proven its request, or the parts of its prompt, and returns those of these keys that were
// suspected. An attempt whose endpoint has crashed proves none.
func (s *Screener) proveKeys(now time.Time, a *attempt, isRequest bool) []string {
	var cleared []string
	for _, key := range a.keys {
		if a.hasCrashed || isRequestKey(key) != isRequest {
			continue
		}
		if ruling, _ := s.checkKey(now, key); ruling != Allow {
			cleared = append(cleared, key)
		}
		// Nearly all requests are sent once, so there is mostly nothing to keep of their own keys.
		if s.records[key] != nil || !isRequest {
			s.prove(now, key, a.begunAt)
		}
	}
	return cleared
}

// RecordLoss records at now that an endpoint has crashed, and returns the report on the requests in progress on it. The
// crash counts against the parts of prompts only if the request had not begun or had begun less than SettleTime before.
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
		hasBegun, isSettled := !a.begunAt.IsZero(), a.age(now) >= SettleTime
		if !a.endedAt.IsZero() && now.Sub(a.endedAt) >= lossWindow || isSettled && a.result == Whole && now.Sub(a.endedAt) >= SettleTime {
			continue
		}
		s.addCrash(&report, a, hasBegun, isSettled)
	}
	return s.finishReport(now, report)
}

// RecordDisappearance records at now that the row of an endpoint has gone without an announcement, as after a crash that left its
// connections silent, and returns the report on the requests that it had left without a whole response before. Only the
// requests themselves are held to account for it.
func (s *Screener) RecordDisappearance(now time.Time, endpoint string) Report {
	report := Report{Endpoint: endpoint}
	for _, a := range slices.AppendSeq(slices.Clone(s.broken), maps.Values(s.attempts)) {
		isBroken := !a.hasCrashed && a.result == Broken && now.Sub(a.endedAt) < silenceWindow
		if isBroken && slices.Contains(a.endpoints, endpoint) {
			s.addCrash(&report, a, true, true)
		}
	}
	return s.finishReport(now, report)
}

// addCrash adds the keys of an attempt under which an endpoint crashed to a report. The parts of its prompt are left out if it had
// settled.
func (s *Screener) addCrash(report *Report, a *attempt, hasBegun, isSettled bool) {
	a.hasCrashed = true
	for _, key := range a.keys {
		isRequest := isRequestKey(key)
		if isSettled && !isRequest {
			continue
		}
		addKey(&report.Crashed, key)
		if hasBegun && isRequest {
			addKey(&report.Late, key)
		}
		if r := s.records[key]; r != nil && r.isRepeat(report.Endpoint, a.sentAt) {
			addKey(&report.Repeated, key)
		}
	}
}

// finishReport records a report of this instance, and returns it.
func (s *Screener) finishReport(now time.Time, report Report) Report {
	slices.Sort(report.Crashed)
	report.Proven = s.Proven(now, report.Crashed)
	s.Merge(now, report)
	return report
}

// addKey adds a key to a list unless it is there.
func addKey(keys *[]string, key string) {
	if !slices.Contains(*keys, key) {
		*keys = append(*keys, key)
	}
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
		if !a.begunAt.IsZero() || !a.endedAt.IsZero() {
			continue
		}
		if ruling, _ := s.Check(now, a.keys); ruling == Refuse {
			out = append(out, number)
		}
	}
	return out
}
