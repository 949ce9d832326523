// Package throttler keeps the requests that a fleet sends to an endpoint within the limit that the endpoint states.
//
// It is for limits of a few requests per second before hundreds of instances, whose even share would be less than one
// request. One instance, the owner of the endpoint, grants each request from a token bucket; the others ask it. Nothing is
// kept for pairs of instances and endpoints.
package throttler

import (
	"maps"
	"time"
)

// The parameters of a Throttler.
const (
	// burstTime is the time for which unused tokens are kept, and minBurst the number of tokens that a bucket holds besides.
	burstTime = 250 * time.Millisecond
	minBurst  = 1.0
	// minRate is the rate in requests per second at which an endpoint is tried whose limit is lower: only an answer tells
	// that the limit has ended.
	minRate = 0.1
	// standbyShare is the share of a limit that a standby grants. The owner may grant the whole limit at the same time.
	standbyShare = 0.4
	// maxTurnDelay bounds the time after which an instance is told to ask again.
	maxTurnDelay = time.Second
	// minTurnDelay is the least such time.
	minTurnDelay = 10 * time.Millisecond
	// statementAge is how long a statement of an endpoint to this instance goes before what others report: their reports
	// take some hundred milliseconds.
	statementAge = time.Second
	// maxIdleTime is how long an unused bucket is kept.
	maxIdleTime = time.Minute
	// ReportTTL is how long a report of another instance counts.
	ReportTTL = 10 * time.Second
)

// Throttler is what one instance knows of the endpoints' limits, and the buckets of the endpoints that it owns. It is not
// safe for concurrent use.
type Throttler struct {
	Limits  map[string]Limit
	Buckets map[string]Bucket
}

// Limit is what is known of an endpoint's limit.
type Limit struct {
	// IsLimited is false if the endpoint states no limit any more.
	IsLimited bool
	// PerSecond is the number of requests per second that the endpoint accepts from the whole fleet.
	PerSecond float64
	// StatedAt is when the endpoint last stated it to this instance; zero if other instances reported it.
	StatedAt time.Time
	// ExpiresAt is when a report of others no longer counts; zero for a limit that was stated to this instance.
	ExpiresAt time.Time
}

// Bucket is the token bucket of an endpoint.
type Bucket struct {
	Tokens    float64
	UpdatedAt time.Time
	// NextTurn is when the next instance that is denied a request may expect a token.
	NextTurn time.Time
}

// New returns a Throttler that knows of no limit.
func New() *Throttler {
	return &Throttler{Limits: map[string]Limit{}, Buckets: map[string]Bucket{}}
}

// RecordStatement records what an endpoint stated to this instance, and reports whether that is news.
func (t *Throttler) RecordStatement(now time.Time, endpoint string, isLimited bool, perSecond float64) bool {
	known, ok := t.get(now, endpoint)
	if !ok && !isLimited {
		return false
	}
	stated := Limit{IsLimited: isLimited, PerSecond: perSecond, StatedAt: now}
	if !isLimited {
		stated.ExpiresAt = now.Add(statementAge)
	}
	t.Limits[endpoint] = stated
	return !ok || known.IsLimited != isLimited || known.PerSecond != perSecond
}

// RecordReport records what another instance reports of an endpoint. What the endpoint has just stated to this instance goes
// before it.
func (t *Throttler) RecordReport(now time.Time, endpoint string, isLimited bool, perSecond float64) {
	known, ok := t.get(now, endpoint)
	switch {
	case ok && !known.StatedAt.IsZero() && now.Sub(known.StatedAt) < statementAge:
	case isLimited && ok && known.IsLimited && !known.StatedAt.IsZero():
		known.PerSecond = perSecond
		t.Limits[endpoint] = known
	case isLimited:
		t.Limits[endpoint] = Limit{IsLimited: true, PerSecond: perSecond, ExpiresAt: now.Add(ReportTTL)}
	default:
		t.Limits[endpoint] = Limit{ExpiresAt: now.Add(statementAge)}
	}
}

// get returns what is known of an endpoint's limit, and false if nothing is. It drops what has expired.
func (t *Throttler) get(now time.Time, endpoint string) (Limit, bool) {
	l, ok := t.Limits[endpoint]
	if ok && !l.ExpiresAt.IsZero() && !now.Before(l.ExpiresAt) {
		delete(t.Limits, endpoint)
		return Limit{}, false
	}
	return l, ok
}

// Limit returns an endpoint's limit in requests per second, and false if none is known.
func (t *Throttler) Limit(now time.Time, endpoint string) (float64, bool) {
	l, ok := t.get(now, endpoint)
	return l.PerSecond, ok && l.IsLimited
}

// IsLifted reports whether an endpoint has just ceased to state a limit.
func (t *Throttler) IsLifted(now time.Time, endpoint string) bool {
	l, ok := t.get(now, endpoint)
	return ok && !l.IsLimited
}

// Take grants up to count requests to an endpoint with a limit. If it grants fewer, it returns the time after which to ask
// again. A standby grants a part of the limit.
func (t *Throttler) Take(now time.Time, endpoint string, perSecond float64, isStandby bool, count int) (granted int, retryAfter time.Duration) {
	rate := max(minRate, perSecond)
	if isStandby {
		rate = max(minRate, standbyShare*perSecond)
	}
	b, ok := t.Buckets[endpoint]
	if !ok {
		maps.DeleteFunc(t.Buckets, func(_ string, b Bucket) bool { return now.Sub(b.UpdatedAt) > maxIdleTime })
		b = Bucket{Tokens: 1, UpdatedAt: now}
	}
	if elapsed := now.Sub(b.UpdatedAt); elapsed > 0 {
		b.Tokens += rate * elapsed.Seconds()
		b.UpdatedAt = now
	}
	b.Tokens = min(b.Tokens, minBurst+rate*burstTime.Seconds())
	granted = min(count, int(b.Tokens))
	b.Tokens -= float64(granted)
	if granted < count {
		retryAfter = b.takeTurn(now, rate)
	}
	t.Buckets[endpoint] = b
	return granted, retryAfter
}

// takeTurn returns the time after which to ask again. Instances are given turns one after the other, so that not all of them
// ask at once.
func (b *Bucket) takeTurn(now time.Time, rate float64) time.Duration {
	turn := now.Add(time.Duration((1 - b.Tokens) / rate * float64(time.Second)))
	if b.NextTurn.After(turn) {
		turn = b.NextTurn
	}
	delay := turn.Sub(now)
	if delay < maxTurnDelay {
		b.NextTurn = turn.Add(time.Duration(float64(time.Second) / rate))
	}
	return min(max(delay, minTurnDelay), maxTurnDelay)
}

// Forget drops all that is known of an endpoint.
func (t *Throttler) Forget(endpoint string) {
	delete(t.Limits, endpoint)
	delete(t.Buckets, endpoint)
}
