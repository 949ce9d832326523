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

// crash is a crash of an endpoint.
type crash struct {
	endpoint string
	at       time.Time
}

// record is what is known of a key.
type record struct {
	// crashes holds the crashes since a request with the key last began, and provenAt is when one last began.
	crashes  []crash
	provenAt time.Time
	// trialUntil is when the trial in progress expires.
	trialUntil time.Time
}

// attempt is one send of a request whose result is not known yet.
type attempt struct {
	keys      []string
	endpoints []string
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
	// suspects holds the keys with crashes.
	suspects map[string]bool
	// begun holds the attempts that have begun, and ended those that ended before, in the order of these times.
	begun       []uint64
	ended       []uint64
	lastAttempt uint64
	prunedAt    time.Time
}

// New returns a screener that knows of no crash.
func New() *Screener {
	return &Screener{records: map[string]*record{}, attempts: map[uint64]*attempt{}, suspects: map[string]bool{}}
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
	if r == nil {
		return Allow, 0
	}
	crashes, limit := r.crashCount(now), crashLimit
	if r.isProven(now) {
		limit = provenCrashLimit
		if crashes >= limit-1 {
			crashes = s.unexplainedCrashes(now, key, r)
		}
	}
	if crashes < limit-1 {
		return Allow, 0
	}
	if left := r.refusedUntil().Sub(now); crashes >= limit && left > 0 {
		return Refuse, left
	}
	return s.trialRuling(now, key), 0
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
		if isRequestKey(other) || slices.Contains(keys, other) || o.isProven(now) || o.crashCount(now) < r.crashCount(now) {
			continue
		}
		if !slices.ContainsFunc(r.crashes, func(c crash) bool { return !o.hasCrash(c) }) {
			return true
		}
	}
	return false
}

// hasCrash reports whether a crash is known.
func (r *record) hasCrash(c crash) bool {
	return slices.ContainsFunc(r.crashes, func(known crash) bool {
		return known.endpoint == c.endpoint && c.at.Sub(known.at).Abs() < sameCrashTime
	})
}

// isProven reports whether a request with the key has begun within provenTime.
func (r *record) isProven(now time.Time) bool {
	return !r.provenAt.IsZero() && now.Sub(r.provenAt) < provenTime
}

// crashCount returns the number of crashes that count at now.
func (r *record) crashCount(now time.Time) int {
	n := len(r.crashes)
	if n > 0 && now.Sub(r.crashes[n-1].at) >= crashRetention {
		return 0
	}
	return n
}

// unexplainedCrashes returns the number of crashes of a proven key that no refused part explains.
func (s *Screener) unexplainedCrashes(now time.Time, key string, r *record) int {
	n := 0
	for _, c := range r.crashes {
		isExplained := false
		for other := range s.suspects {
			o := s.records[other]
			isExplained = isExplained || other != key && !isRequestKey(other) && !o.isProven(now) && now.Before(o.refusedUntil()) && o.hasCrash(c)
		}
		if !isExplained {
			n++
		}
	}
	return n
}

// refusedUntil returns when a request with the key may be tried after its last crash.
func (r *record) refusedUntil() time.Time {
	n := len(r.crashes)
	if n < crashLimit {
		return time.Time{}
	}
	return r.crashes[n-1].at.Add(min(crashRetention, refusalTime<<min(n-crashLimit, 10)))
}

// Begin records at now that a request with keys is sent along endpoints, and returns the number of the attempt and the
// keys of which it is the trial, which the other instances are to be told. The number is 0 if there are no keys.
func (s *Screener) Begin(now time.Time, keys []string, endpoints []string) (uint64, []string) {
	if len(keys) == 0 {
		return 0, nil
	}
	s.lastAttempt++
	a := &attempt{keys: keys, endpoints: endpoints}
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
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return !c.at.After(at) })
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
		}
	}
	slices.Sort(report.Crashed)
	report.Proven = s.Proven(now, report.Crashed)
	s.Merge(now, report)
	return report
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
			r.addCrash(crash{report.Endpoint, now})
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

// addCrash adds a crash unless it is known.
func (r *record) addCrash(c crash) {
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

// Evidence is why requests with a part are refused.
type Evidence struct {
	Key string
	// Endpoints holds the endpoints that crashed, and LastCrash is when the last one did.
	Endpoints []string
	LastCrash time.Time
}

// Evidence returns the evidence against those of the keys that are refused parts, which is to be kept beyond the life of
// this instance.
func (s *Screener) Evidence(now time.Time, keys []string) []Evidence {
	var out []Evidence
	for _, key := range keys {
		if ruling, _ := s.checkKey(now, key); ruling != Refuse || isRequestKey(key) {
			continue
		}
		e := Evidence{Key: key}
		for _, c := range s.records[key].crashes {
			e.Endpoints, e.LastCrash = append(e.Endpoints, c.endpoint), c.at
		}
		out = append(out, e)
	}
	return out
}

// Restore records evidence that was kept, unless more is known by now.
func (s *Screener) Restore(now time.Time, e Evidence) {
	if e.LastCrash.After(now) {
		// It was written by an instance whose clock is ahead.
		e.LastCrash = now
	}
	r := s.record(now, e.Key)
	if r == nil || r.provenAt.After(e.LastCrash) || len(r.crashes) >= len(e.Endpoints) {
		return
	}
	r.crashes = nil
	for _, endpoint := range e.Endpoints {
		r.crashes = append(r.crashes, crash{endpoint, e.LastCrash})
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
