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
	// isMoved is true if an earlier attempt of the same stream had settled.
	isMoved bool
	// isSettled is true once the endpoint has lasted for SettleTime after the first event. result is set at the end.
	isSettled bool
	result    Result
	// refuted holds the crashes that this attempt has refuted by outliving them: they count again if it crashes later.
	refuted []Evidence
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

// age returns how long the endpoint has lasted since the first event of the attempt, at now or at the end of an attempt without a
// whole response: what the endpoint does later with such a request is not known.
func (a *attempt) age(now time.Time) time.Duration {
	if a.begunAt.IsZero() {
		return 0
	}
	if !a.endedAt.IsZero() && a.result != Whole {
		now = a.endedAt
	}
	return now.Sub(a.begunAt)
}

// isSound reports whether the endpoint has lasted for SettleTime after a whole response.
func (a *attempt) isSound(now time.Time) bool {
	return a.result == Whole && !a.begunAt.IsZero() && !a.hasCrashed && now.Sub(a.endedAt) >= SettleTime
}

// isObserved reports whether a crash of the endpoint at now counts against the attempt.
func (a *attempt) isObserved(now time.Time) bool {
	if a.endedAt.IsZero() {
		return true
	}
	if a.result == NotRun {
		return now.Sub(a.endedAt) < lossWindow
	}
	return now.Sub(a.endedAt) < observationWindow
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

// MarkMoved records that an attempt continues a stream that has settled at another endpoint: its parts have shown that they crash no
// endpoint that begins to answer.
func (s *Screener) MarkMoved(number uint64) {
	if a := s.attempts[number]; a != nil {
		a.isMoved = true
	}
}

// Settle handles the attempts whose result is known at now, and returns what they proved, which the other instances are to be told.
// An endpoint that lasts after the first event proves that the parts of a prompt crash no endpoint which begins to answer. One that
// lasts after a whole response refutes the crashes under its request and parts that came earlier in an answer.
func (s *Screener) Settle(now time.Time) Report {
	var news Report
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
		s.proveParts(now, a, &news)
	}
	s.outliving = slices.DeleteFunc(s.outliving, func(a *attempt) bool {
		return !a.isObserved(now) || !s.refute(now, a, &news)
	})
	for len(s.whole) > 0 {
		a := s.whole[0]
		if now.Sub(a.endedAt) < SettleTime {
			break
		}
		s.whole = s.whole[1:]
		if s.refute(now, a, &news) {
			s.outliving = append(s.outliving, a)
		}
	}
	for len(s.ended) > 0 {
		a := s.ended[0]
		if now.Sub(a.endedAt) < observationWindow {
			break
		}
		s.ended = s.ended[1:]
		s.refute(now, a, &news)
		delete(s.attempts, a.number)
		if a.result == Broken && !a.hasCrashed {
			s.broken = append(s.broken, a)
		}
	}
	for len(s.broken) > 0 && now.Sub(s.broken[0].endedAt) >= silenceWindow {
		s.broken = s.broken[1:]
	}
	return news
}

// proveParts records that an attempt has proven the parts of its prompt, and adds those that were suspected to the news. An attempt
// whose endpoint has crashed proves none.
func (s *Screener) proveParts(now time.Time, a *attempt, news *Report) {
	for _, key := range a.keys {
		if a.hasCrashed || isRequestKey(key) {
			continue
		}
		if ruling, _ := s.checkKey(now, key); ruling != Allow {
			news.Cleared = append(news.Cleared, key)
		}
		s.prove(now, key, a.begunAt, 0)
	}
}

// refute drops the crashes under the keys of an attempt that its endpoint has outlived, and reports whether there are others that it
// may outlive yet. The other instances are told only what no later crash can change.
func (s *Screener) refute(now time.Time, a *attempt, news *Report) bool {
	if !a.isSound(now) {
		return false
	}
	age, mayRefuteMore := a.age(now), false
	if !a.isObserved(now) {
		age = anyAge // No later moment would have been noticed.
	}
	for _, key := range a.keys {
		if age == anyAge {
			s.markSound(now, key)
		}
		// Nearly all requests are sent once, so there is mostly nothing to keep of their own keys.
		if isRequestKey(key) && s.records[key] == nil {
			continue
		}
		before := Allow
		if r := s.records[key]; r != nil && r.isRefutedBy(a.begunAt, age) {
			before, _ = s.checkKey(now, key)
		}
		refuted := s.prove(now, key, a.begunAt, age)
		if len(refuted) > 0 {
			a.refuted = append(a.refuted, Evidence{key, refuted})
		}
		switch {
		case age == anyAge && slices.ContainsFunc(refuted, func(c Crash) bool { return c.IsLate }):
			addString(&news.Sound, key)
		case before != Allow && len(refuted) > 0:
			news.Cleared = append(news.Cleared, key)
		}
		mayRefuteMore = mayRefuteMore || s.records[key] != nil && s.records[key].hasLateCrash()
	}
	return mayRefuteMore
}

// RecordLoss records at now that an endpoint has crashed, and returns the report on the requests that run or have run on it lately.
func (s *Screener) RecordLoss(now time.Time, endpoint string) Report {
	s.RecordDeparture(now, endpoint)
	s.recordAnyCrash(now, endpoint)
	report := Report{Endpoint: endpoint}
	for _, a := range s.attempts {
		if a.hasCrashed || !a.isObserved(now) || !slices.Contains(a.endpoints, endpoint) {
			continue
		}
		s.addCrash(now, &report, a)
	}
	return s.finishReport(now, report)
}

// RecordDeparture records at now that the process of an endpoint has ended as it had announced: no request is to blame.
func (s *Screener) RecordDeparture(now time.Time, endpoint string) {
	for id, at := range s.losses {
		if now.Sub(at) >= sameCrashTime {
			delete(s.losses, id)
		}
	}
	s.losses[endpoint] = now
}

// RecordDisappearance records at now that the row of an endpoint has gone without an announcement, as after a crash that left its
// connections silent, and returns the report on the requests that it had left without a whole response before. Only the
// requests themselves are held to account for it.
func (s *Screener) RecordDisappearance(now time.Time, endpoint string) Report {
	report := Report{Endpoint: endpoint}
	for _, a := range slices.AppendSeq(slices.Clone(s.broken), maps.Values(s.attempts)) {
		isBroken := !a.hasCrashed && a.result == Broken && now.Sub(a.endedAt) < silenceWindow
		if isBroken && slices.Contains(a.endpoints, endpoint) {
			a.hasCrashed = true
			for _, key := range a.keys {
				if isRequestKey(key) {
					s.addKey(&report, a, key, true, a.age(now))
				}
			}
		}
	}
	return s.finishReport(now, report)
}

// addCrash adds the keys of an attempt under which an endpoint crashed to a report. What the attempt has refuted counts again. A request has a late crash if it had
// begun, and a part of its prompt if the attempt had settled.
func (s *Screener) addCrash(now time.Time, report *Report, a *attempt) {
	age := a.age(now)
	a.hasCrashed = true
	for _, key := range a.keys {
		isLate := !a.begunAt.IsZero()
		if !isRequestKey(key) {
			isLate = age >= SettleTime || a.isMoved
		}
		s.addKey(report, a, key, isLate, age)
	}
	for _, e := range a.refuted {
		for _, c := range e.Crashes {
			s.addKeyCrash(now, e.Key, c)
		}
	}
	a.refuted = nil
}

// addKey adds a key of an attempt to a report. If several attempts with it were in progress, the one that was furthest in its answer
// counts: the endpoint had outlived the others' moments under it.
func (s *Screener) addKey(report *Report, a *attempt, key string, isLate bool, age time.Duration) {
	addString(&report.Crashed, key)
	if isLate {
		addString(&report.Late, key)
		if report.Ages == nil {
			report.Ages = map[string]time.Duration{}
		}
		report.Ages[key] = max(report.Ages[key], age)
	}
	if r := s.records[key]; r != nil && r.isRepeat(report.Endpoint, a.sentAt) {
		addString(&report.Repeated, key)
	}
}

// finishReport records a report of this instance, and returns it without the crashes that are refuted here.
func (s *Screener) finishReport(now time.Time, report Report) Report {
	slices.Sort(report.Crashed)
	report.drop(s.refutedKeys(now, report))
	report.Proven = s.Proven(now, report.Crashed)
	s.Merge(now, report)
	return report
}

// addString adds a string to a list unless it is there.
func addString(list *[]string, text string) {
	if !slices.Contains(*list, text) {
		*list = append(*list, text)
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
