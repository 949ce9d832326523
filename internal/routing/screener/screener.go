// Package screener decides which requests may be sent to endpoints. It looks for what requests have in common that are in
// progress when endpoints crash: a part of their prompts, or the whole request that is sent again.
//
// What a request has that others may share is a key. A request that begins shows that its parts crash no endpoint which begins to
// answer, and one that gets a whole response, whose endpoint lasts, that its keys crash none as early after the first event. A
// key under which endpoints crash and that no request clears is the cause, and the other keys of the same requests are not.
package screener

import (
	"math"
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
	// that a request has proven within provenTime, which is rather beside the cause than the cause.
	crashLimit       = 2
	provenCrashLimit = 3
	provenTime       = time.Minute
	// lateCrashLimit is the number of crashes of a whole request if one of them came after it had begun, or if many parts have as
	// many: the requests beside the cause move with it to the next endpoint, and have two crashes like it.
	lateCrashLimit = 3
	// refusalTime is how long requests are refused after crashLimit crashes, before one is tried. It doubles with each
	// further crash, up to crashRetention, which is how long a crash counts.
	refusalTime    = time.Minute
	crashRetention = 10 * time.Minute
	// trialTime bounds a trial, and newsTime is how long after the end of an attempt the loss of its endpoint may become
	// known.
	trialTime = 2 * time.Second
	newsTime  = 100 * time.Millisecond
	// lossWindow is how long before the news of a loss the attempts that it ended may have ended, and observationWindow how long
	// after the end of an attempt that ran a crash of its endpoint counts against it: a request may crash an endpoint after
	// its last event, as it is cleaned up.
	lossWindow        = 500 * time.Millisecond
	observationWindow = 3 * time.Second
	// ReviewTime is how long after a late crash rulings may change since other instances report on it.
	ReviewTime = newsTime
	// ageVariation is the share, as a divisor, by which the moment of the crashes under one key may vary, and maxAgeVariation
	// its bound: an endpoint that outlives the moment by more refutes that the key is the cause.
	ageVariation    = 4
	maxAgeVariation = time.Second
	// anyAge refutes crashes at any moment.
	anyAge = time.Duration(math.MaxInt64)
	// unrelatedWindow is how long before and after the crashes of a key others count as of the same time, and maxRecentCrashes bounds the
	// memory for them. If most crashes of that time are not under a key, endpoints crash by themselves, and it takes doubtFactor
	// times as many crashes to refuse requests with it. Nor is it refused then if unrelatedShare times as many are not under it.
	unrelatedWindow  = 5 * time.Second
	doubtFactor      = 2
	unrelatedShare   = 3
	maxRecentCrashes = 512
	// silenceWindow is how long before its row goes an endpoint that crashes silently may have ended attempts: the row outlasts the
	// endpoint by some of its heartbeats.
	silenceWindow = 10 * time.Second
	// SettleTime is how long an endpoint must last after the first event of a request to prove the parts of its prompt, and after
	// a whole response to prove the request.
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
	// soundTime is how long, at least, a key counts as sound, and maxSoundKeys bounds the keys of each such time.
	soundTime    = 30 * time.Second
	maxSoundKeys = 4096
	// maxRecords bounds the memory for keys, and pruneInterval the effort to stay within it.
	maxRecords    = 16384
	pruneInterval = time.Second
)

// PartKey returns the key of a part of prompts.
func PartKey(service, part string) string { return service + "/part/" + part }

// RequestKey returns the key of a request with a hash, which its resends have too.
func RequestKey(service, hash string) string { return service + requestInfix + hash }

// requestInfix stands in the keys of requests.
const requestInfix = "/request/"

// isRequestKey reports whether a key is that of a request.
func isRequestKey(key string) bool { return strings.Contains(key, requestInfix) }

// Screener holds what one instance knows of keys. It is not safe for concurrent use.
type Screener struct {
	records  map[string]*record
	attempts map[uint64]*attempt
	// suspectParts and suspectRequests hold the keys with crashes, and losses the times of the last losses of endpoints.
	suspectParts    map[string]bool
	suspectRequests map[string]bool
	losses          map[string]time.Time
	// sound holds the keys of the requests that have been observed until they refute crashes at any moment since soundSince, and
	// soundBefore those of the time before that.
	sound, soundBefore map[string]bool
	soundSince         time.Time
	// repeatedRequests holds the records of the requests with more than one crash.
	repeatedRequests map[string]*record
	// recentCrashes holds the last crashes of endpoints, whatever ran on them.
	recentCrashes []Crash
	// begun holds the attempts that have begun, ended those that have ended, and whole those of them that ended with a whole
	// response and are not settled, in the order of these times. outliving holds those that are settled and may refute further
	// crashes as their endpoints last, and broken those that ended without a whole response longer ago.
	begun       []*attempt
	ended       []*attempt
	whole       []*attempt
	outliving   []*attempt
	broken      []*attempt
	lastAttempt uint64
	prunedAt    time.Time
}

// New returns a screener that knows of no crash.
func New() *Screener {
	return &Screener{
		records: map[string]*record{}, attempts: map[uint64]*attempt{}, suspectParts: map[string]bool{}, suspectRequests: map[string]bool{},
		losses: map[string]time.Time{}, repeatedRequests: map[string]*record{}, sound: map[string]bool{},
	}
}

// suspects returns the set of suspects that a key belongs to.
func (s *Screener) suspects(key string) map[string]bool {
	if isRequestKey(key) {
		return s.suspectRequests
	}
	return s.suspectParts
}

// addSuspect adds a key with a record to the suspects.
func (s *Screener) addSuspect(key string, r *record) {
	s.suspects(key)[key] = true
	if isRequestKey(key) && len(r.crashes) > 1 {
		s.repeatedRequests[key] = r
	}
}

// Check returns the ruling on a request with keys at now, and the time after which a refused one may be tried.
func (s *Screener) Check(now time.Time, keys []string) (Ruling, time.Duration) {
	worst, retryAfter := s.CheckMoved(now, keys)
	for _, key := range keys {
		if isRequestKey(key) {
			continue
		}
		ruling, d := s.checkEarlyCrashes(now, key)
		if ruling == Refuse && s.hasRival(now, key, keys) {
			ruling, d = s.trialRuling(now, key), 0
		}
		worst, retryAfter = max(worst, ruling), max(retryAfter, d)
	}
	return worst, retryAfter
}

// CheckMoved is Check for a stream that has settled at another endpoint: only late crashes count against its parts.
func (s *Screener) CheckMoved(now time.Time, keys []string) (Ruling, time.Duration) {
	worst, retryAfter := Allow, time.Duration(0)
	for _, key := range keys {
		check := s.checkLateCrashes
		if isRequestKey(key) {
			check = s.checkEarlyCrashes
		}
		ruling, d := check(now, key)
		if ruling == Refuse && s.hasLateRival(now, key, keys) {
			ruling, d = Allow, 0
		}
		worst, retryAfter = max(worst, ruling), max(retryAfter, d)
	}
	return worst, retryAfter
}

// checkKey returns the ruling on one key, and for how long it is refused.
func (s *Screener) checkKey(now time.Time, key string) (Ruling, time.Duration) {
	early, earlyLeft := s.checkEarlyCrashes(now, key)
	late, lateLeft := s.checkLateCrashes(now, key)
	return max(early, late), max(earlyLeft, lateLeft)
}

// checkEarlyCrashes returns the ruling on a request by its crashes, or on a part by those that were not late, and for how long it is
// refused.
func (s *Screener) checkEarlyCrashes(now time.Time, key string) (Ruling, time.Duration) {
	r := s.records[key]
	switch {
	case r == nil || len(r.crashes) == 0:
		return Allow, 0
	case isRequestKey(key):
		return s.checkCrashes(now, key, r.crashes, r.crashLimit())
	}
	return s.checkCrashes(now, key, r.earlyCrashes(), crashLimit)
}

// checkCrashes returns the ruling on a key by some of its crashes, and for how long it is refused.
func (s *Screener) checkCrashes(now time.Time, key string, crashes []Crash, limit int) (Ruling, time.Duration) {
	r := s.records[key]
	left := refusedUntil(now, crashes, limit).Sub(now)
	count := countApart(now, crashes, crashGap, true)
	if r.isProven(now) {
		count, limit = s.unexplainedCrashes(now, key, crashes), provenCrashLimit
	}
	if count < limit-1 {
		return Allow, 0
	}
	if count < limit || left <= 0 {
		return s.trialRuling(now, key), 0
	}
	// A request whose prompt has many parts makes them equal suspects by itself.
	if s.equalSuspects(now, key) > maxEqualSuspects && (!isRequestKey(key) || count < lateCrashLimit) {
		return s.trialRuling(now, key), 0
	}
	if s.areMostUnrelated(crashes, count, limit) || isRequestKey(key) && s.isBeside(now, key, r, count < doubtFactor*limit) {
		return s.trialRuling(now, key), 0
	}
	return Refuse, left
}

// checkLateCrashes returns the ruling on a part by all its crashes if some of them were late, and for how long it is refused. There are
// no trials before a refusal: other requests with the part would wait for the whole of an answer. Crashes that have just become known
// do not count yet: other instances may have more to tell of them.
func (s *Screener) checkLateCrashes(now time.Time, key string) (Ruling, time.Duration) {
	r := s.records[key]
	if r == nil || isRequestKey(key) || !r.hasLateCrash() {
		return Allow, 0
	}
	known := r.knownCrashes(now)
	count := countApart(now, known, crashGap, true)
	if count < lateCrashLimit || s.areMostUnrelated(known, count, lateCrashLimit) {
		return Allow, 0
	}
	left := refusedUntil(now, known, lateCrashLimit).Sub(now)
	if left <= 0 {
		return s.trialRuling(now, key), 0
	}
	if s.isOfOneRequest(known) || s.isOfStrongerParts(now, key, known) {
		return Allow, 0
	}
	return Refuse, left
}

// equalSuspects returns the number of other parts with at least as many crashes as a key.
func (s *Screener) equalSuspects(now time.Time, key string) int {
	n, crashes := 0, s.records[key].crashCount(now)
	for other := range s.suspectParts {
		if other != key && countApart(now, s.records[other].earlyCrashes(), crashGap, true) >= crashes {
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
	for other := range s.suspectParts {
		if o := s.records[other]; !slices.Contains(keys, other) && !o.isProven(now) && isWithin(r.earlyCrashes(), o) {
			return true
		}
	}
	return false
}

// unexplainedCrashes returns the number of those crashes of a proven key that no refused part explains.
func (s *Screener) unexplainedCrashes(now time.Time, key string, crashes []Crash) int {
	var unexplained []Crash
	for _, c := range crashes {
		isExplained := false
		for other := range s.suspectParts {
			o := s.records[other]
			isExplained = isExplained || other != key && o.hasCrash(c) && s.isOverLimit(now, other)
		}
		if !isExplained {
			unexplained = append(unexplained, c)
		}
	}
	return countApart(now, unexplained, provenCrashGap, false)
}

// Suspects returns the number of keys with crashes at now, and how many of them are refused.
func (s *Screener) Suspects(now time.Time) (suspected, refused int) {
	for _, keys := range []map[string]bool{s.suspectParts, s.suspectRequests} {
		for key := range keys {
			if s.records[key].crashCount(now) == 0 {
				continue
			}
			suspected++
			if ruling, _ := s.checkKey(now, key); ruling == Refuse {
				refused++
			}
		}
	}
	return suspected, refused
}
