// Package screener decides which requests may be sent to endpoints. It looks for what requests have in common that wait
// for their first event when endpoints crash: a part of their prompts, or the whole request that is sent again.
//
// What a request has that others may share is a key. A request that begins clears its keys, so a key under which
// endpoints crash and no request begins is the cause, and the other keys of the same requests are not.
package screener

import (
	"slices"
	"strings"
	"time"
)

// Ruling says how a request may run. Of the rulings on several keys, the greatest applies.
type Ruling int

// The rulings.
const (
	// Allow means that the request may run.
	Allow Ruling = iota
	// Trial means that the request may run if no other one with the key begins before its result is known.
	Trial
	// Wait means that another request with the key is on trial.
	Wait
	// Refuse means that the request must not run.
	Refuse
)

// The limits of a Screener.
const (
	// crashLimit is the number of crashes under a key at which requests with it are refused, and provenCrashLimit that of a key
	// with which a request has begun within provenTime: it was rather next to the cause.
	crashLimit       = 2
	provenCrashLimit = 3
	provenTime       = time.Minute
	// refusalTime is how long requests are refused after crashLimit crashes, before one is tried. It doubles with each
	// further crash, up to crashRetention, which is how long a crash counts.
	refusalTime    = time.Minute
	crashRetention = 10 * time.Minute
	// trialTime bounds a trial, and newsTime is how long after the end of an attempt the loss of its endpoint may become
	// known.
	trialTime = 2 * time.Second
	newsTime  = 100 * time.Millisecond
	// lossWindow is how long before the news of a loss the attempts that it ended may have ended.
	lossWindow = 500 * time.Millisecond
	// SettleTime is how long an endpoint must last after the first event of a request.
	SettleTime = 100 * time.Millisecond
	// crashGap and provenCrashGap are the least times between two crashes under a key that count as two: endpoints that are
	// lost together, as with a rack, tell no more than one. Under an unproven key a crash that repeats another counts at once.
	crashGap       = 50 * time.Millisecond
	provenCrashGap = time.Second
	// maxEqualSuspects is the number of other parts with as many crashes as one that is refused: with more of them, endpoints
	// crash by themselves, and each part is tried.
	maxEqualSuspects = 8
	// sameCrashTime is the time within which two reports on an endpoint are of the same crash.
	sameCrashTime = 2 * time.Second
	// maxRecords bounds the memory for keys, and pruneInterval the effort to stay within it.
	maxRecords    = 16384
	pruneInterval = time.Second
)

// Report is what an instance tells the others.
type Report struct {
	// Endpoint crashed while requests with the keys of Crashed waited for their first event.
	Endpoint string
	Crashed  []string
	// Repeated holds those of them with which a request was sent to the endpoint after the key's crash before.
	Repeated []string
	// Proven holds keys with which requests had begun before, and Cleared those with which one has begun since.
	Proven  []string
	Cleared []string
	// Tried holds the keys of which this instance begins a trial.
	Tried []string
}

// PartKey returns the key of a part of prompts.
func PartKey(service, part string) string { return service + "/part/" + part }

// RequestKey returns the key of a request with a hash, which its resends have too.
func RequestKey(service, hash string) string { return service + requestInfix + hash }

// requestInfix stands in the keys of requests.
const requestInfix = "/request/"

// isRequestKey reports whether a key is that of a request.
func isRequestKey(key string) bool { return strings.Contains(key, requestInfix) }

// IsEmpty reports whether there is nothing to tell.
func (r Report) IsEmpty() bool {
	return len(r.Crashed)+len(r.Proven)+len(r.Cleared)+len(r.Tried) == 0
}

// Crash is a crash of an endpoint.
type Crash struct {
	Endpoint string    `json:"endpoint"`
	At       time.Time `json:"at"`
	// IsRepeat is true if a request with the key was sent to the endpoint after the crash before.
	IsRepeat bool `json:"repeat,omitempty"`
}

// record is what is known of a key.
type record struct {
	// crashes holds the crashes since a request with the key last began, and provenAt is when one last began.
	crashes  []Crash
	provenAt time.Time
	// trialUntil is when the trial in progress expires.
	trialUntil time.Time
}

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

// Screener holds what one instance knows of keys. It is not safe for concurrent use.
type Screener struct {
	records  map[string]*record
	attempts map[uint64]*attempt
	// suspects holds the keys with crashes, and losses the times of the last losses of endpoints.
	suspects map[string]bool
	losses   map[string]time.Time
	// begun holds the attempts that have begun, and ended those that ended before, in the order of these times.
	begun       []uint64
	ended       []uint64
	lastAttempt uint64
	prunedAt    time.Time
}

// New returns a screener that knows of no crash.
func New() *Screener {
	return &Screener{records: map[string]*record{}, attempts: map[uint64]*attempt{}, suspects: map[string]bool{}, losses: map[string]time.Time{}}
}

// Check returns the ruling on a request with keys at now, and the time after which a refused one may be tried.
func (s *Screener) Check(now time.Time, keys []string) (Ruling, time.Duration) {
	worst, retryAfter := Allow, time.Duration(0)
	for _, key := range keys {
		ruling, d := s.checkKey(now, key)
		if ruling == Refuse && s.hasRival(now, key, keys) {
			ruling, d = s.trialRuling(now, key), 0
		}
		worst, retryAfter = max(worst, ruling), max(retryAfter, d)
	}
	return worst, retryAfter
}

// checkKey returns the ruling on one key, and for how long it is refused.
func (s *Screener) checkKey(now time.Time, key string) (Ruling, time.Duration) {
	r := s.records[key]
	if r == nil || len(r.crashes) == 0 {
		return Allow, 0
	}
	crashes, limit := r.crashCount(now), crashLimit
	if r.isProven(now) {
		crashes, limit = s.unexplainedCrashes(now, key, r), provenCrashLimit
	}
	if crashes < limit-1 {
		return Allow, 0
	}
	left := r.refusedUntil(now).Sub(now)
	if crashes < limit || left <= 0 || s.equalSuspects(now, key) > maxEqualSuspects {
		return s.trialRuling(now, key), 0
	}
	return Refuse, left
}

// equalSuspects returns the number of other parts with at least as many crashes as a key.
func (s *Screener) equalSuspects(now time.Time, key string) int {
	n, crashes := 0, s.records[key].crashCount(now)
	for other := range s.suspects {
		if other != key && !isRequestKey(other) && s.records[other].crashCount(now) >= crashes {
			n++
		}
	}
	return n
}

// trialRuling returns the ruling on a key that may be tried.
func (s *Screener) trialRuling(now time.Time, key string) Ruling {
	if now.Before(s.records[key].trialUntil) {
		return Wait
	}
	return Trial
}

// hasRival reports whether another part that a request with keys lacks may as well be the cause of the crashes of one of
// its parts: it was there each time, and neither is proven. Then the request is worth a trial, which tells them apart.
func (s *Screener) hasRival(now time.Time, key string, keys []string) bool {
	r := s.records[key]
	if isRequestKey(key) || r.isProven(now) {
		return false
	}
	for other := range s.suspects {
		o := s.records[other]
		if isRequestKey(other) || slices.Contains(keys, other) || o.isProven(now) {
			continue
		}
		if !slices.ContainsFunc(r.crashes, func(c Crash) bool { return !o.hasCrash(c) }) {
			return true
		}
	}
	return false
}

// hasCrash reports whether a crash is known.
func (r *record) hasCrash(c Crash) bool {
	return slices.ContainsFunc(r.crashes, func(known Crash) bool {
		return known.Endpoint == c.Endpoint && c.At.Sub(known.At).Abs() < sameCrashTime
	})
}

// isProven reports whether a request with the key has begun within provenTime.
func (r *record) isProven(now time.Time) bool {
	return !r.provenAt.IsZero() && now.Sub(r.provenAt) < provenTime
}

// crashCount returns the number of crashes at now, of which those that are close together count once.
func (r *record) crashCount(now time.Time) int { return countApart(now, r.crashes, crashGap, true) }

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

// unexplainedCrashes returns the number of crashes of a proven key that no refused part explains.
func (s *Screener) unexplainedCrashes(now time.Time, key string, r *record) int {
	var unexplained []Crash
	for _, c := range r.crashes {
		isExplained := false
		for other := range s.suspects {
			o := s.records[other]
			isExplained = isExplained || other != key && !isRequestKey(other) && !o.isProven(now) && now.Before(o.refusedUntil(now)) && o.hasCrash(c)
		}
		if !isExplained {
			unexplained = append(unexplained, c)
		}
	}
	return countApart(now, unexplained, provenCrashGap, false)
}

// refusedUntil returns when a request with the key may be tried after its last crash.
func (r *record) refusedUntil(now time.Time) time.Time {
	n := r.crashCount(now)
	if n < crashLimit {
		return time.Time{}
	}
	return r.crashes[len(r.crashes)-1].At.Add(min(crashRetention, refusalTime<<min(n-crashLimit, 10)))
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
		delete(s.suspects, key)
	}
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

// Proven returns those of the keys with which a request of this instance has begun.
func (s *Screener) Proven(now time.Time, keys []string) []string {
	var out []string
	for _, key := range keys {
		if r := s.records[key]; r != nil && r.isProven(now) {
			out = append(out, key)
		}
	}
	return out
}

// Merge records at now what this or another instance reports.
func (s *Screener) Merge(now time.Time, report Report) {
	for _, key := range report.Crashed {
		if r := s.record(now, key); r != nil {
			r.addCrash(Crash{report.Endpoint, now, slices.Contains(report.Repeated, key)})
			s.suspects[key] = true
		}
	}
	for _, key := range report.Proven {
		if r := s.record(now, key); r != nil && !r.isProven(now) {
			// It began before the crash, so the crash still counts.
			r.provenAt = now.Add(-SettleTime)
		}
	}
	for _, key := range report.Cleared {
		s.prove(now, key, now)
	}
	for _, key := range report.Tried {
		if r := s.record(now, key); r != nil {
			r.trialUntil = now.Add(trialTime)
		}
	}
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
				delete(s.suspects, other)
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

// Evidence is why requests with a part are refused: the crashes since one with it last began.
type Evidence struct {
	Key     string
	Crashes []Crash
}

// LastCrash returns when the last crash was.
func (e Evidence) LastCrash() time.Time {
	if len(e.Crashes) == 0 {
		return time.Time{}
	}
	return e.Crashes[len(e.Crashes)-1].At
}

// Evidence returns the evidence against those of the keys that are refused parts, which is to be kept beyond the life of
// this instance.
func (s *Screener) Evidence(now time.Time, keys []string) []Evidence {
	var out []Evidence
	for _, key := range keys {
		if ruling, _ := s.checkKey(now, key); ruling == Refuse && !isRequestKey(key) {
			out = append(out, Evidence{key, slices.Clone(s.records[key].crashes)})
		}
	}
	return out
}

// Restore records evidence that was kept, unless more is known by now.
func (s *Screener) Restore(now time.Time, e Evidence) {
	r := s.record(now, e.Key)
	if r == nil || r.provenAt.After(e.LastCrash()) || len(r.crashes) >= len(e.Crashes) {
		return
	}
	// It may have been written by an instance whose clock is ahead.
	ahead := max(0, e.LastCrash().Sub(now))
	r.crashes = nil
	for _, c := range e.Crashes {
		r.crashes = append(r.crashes, Crash{c.Endpoint, c.At.Add(-ahead), c.IsRepeat})
	}
	s.suspects[e.Key] = true
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

// Suspects returns the number of keys with crashes at now, and how many of them are refused.
func (s *Screener) Suspects(now time.Time) (suspected, refused int) {
	for key := range s.suspects {
		if s.records[key].crashCount(now) == 0 {
			continue
		}
		suspected++
		if ruling, _ := s.checkKey(now, key); ruling == Refuse {
			refused++
		}
	}
	return suspected, refused
}
