package limiter

import (
	"math"
	"time"
)

// bucketPart is the part of a bucket that one instance may spend. isIsolated is true if no peer is live; the part is
// then a share of the limit itself.
type bucketPart struct {
	share      float64
	isIsolated bool
}

// team is this instance's state of one team.
type team struct {
	own      Count
	requests bucket
	tokens   bucket
	// ownUsage and fleetUsage are the decaying usage of this instance and of the fleet, in requests.
	ownUsage   float64
	fleetUsage float64
	decayedAt  time.Time
}

// newTeam returns the state of a team with full buckets.
func newTeam(now time.Time, l Limit, burst time.Duration) *team {
	return &team{requests: newBucket(now, l.Requests, burst), tokens: newBucket(now, l.Tokens, burst), decayedAt: now}
}

// spend counts an admission of this instance.
func (t *team) spend(now time.Time, c Count) {
	t.own.Requests += c.Requests
	t.own.Tokens += c.Tokens
	t.requests.spend(now, c.Requests)
	t.tokens.spend(now, c.Tokens)
	t.decay(now)
	t.ownUsage += c.Requests
	t.fleetUsage += c.Requests
}

// settle corrects the tokens of an admission. The own count never falls, so only this instance's bucket gets unused
// tokens back.
func (t *team) settle(now time.Time, tokens float64) {
	t.own.Tokens += max(0, tokens)
	t.tokens.spend(now, tokens)
}

// drain counts admissions of a peer.
func (t *team) drain(now time.Time, c Count) {
	t.requests.drain(now, c.Requests)
	t.tokens.drain(now, c.Tokens)
	t.decay(now)
	t.fleetUsage += c.Requests
}

// beginExchange starts a new interval between exchanges, for which the instance's part of the buckets is computed
// anew.
func (t *team) beginExchange(now time.Time) {
	t.requests.beginExchange(now)
	t.tokens.beginExchange(now)
}

// ownShare returns this instance's share of what the fleet admitted lately.
func (t *team) ownShare(now time.Time) float64 {
	t.decay(now)
	if t.fleetUsage <= 0 {
		return 0
	}
	return t.ownUsage / t.fleetUsage
}

// decay reduces the usage by the time since the last call.
func (t *team) decay(now time.Time) {
	elapsed := now.Sub(t.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / usageDecayTime.Seconds())
	t.ownUsage *= factor
	t.fleetUsage *= factor
	t.decayedAt = now
}

// bucket is a token bucket. Its level may fall below zero when peers' admissions arrive.
type bucket struct {
	limit float64
	size  float64
	level float64
	// exchangeLevel is the level at the last exchange, and spent what this instance has spent since then.
	exchangeLevel float64
	spent         float64
	exchangedAt   time.Time
	filledAt      time.Time
	// isolatedLevel is the level of the bucket that applies while no peer is live. It holds this instance's share of
	// the limit.
	isolatedLevel    float64
	isolatedFilledAt time.Time
}

// newBucket returns a full bucket.
func newBucket(now time.Time, limit float64, burst time.Duration) bucket {
	size := max(1, limit*burst.Seconds())
	return bucket{limit: limit, size: size, level: size, exchangeLevel: size, exchangedAt: now, filledAt: now}
}

// resize changes the limit, and cuts the level to the new size.
func (b *bucket) resize(now time.Time, limit float64, burst time.Duration) {
	b.fill(now)
	b.limit = limit
	b.size = max(1, limit*burst.Seconds())
	b.level = min(b.level, b.size)
	b.beginExchange(now)
}

// fill adds what the limit allows since the last call.
func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.level = min(b.size, b.level+b.limit*elapsed.Seconds())
		b.filledAt = now
	}
}

// waitTime returns how long it takes until the bucket allows n within a part; it is zero if it does now. A request
// larger than the bucket is allowed when the bucket is full, and one larger than the part once in each interval
// between exchanges, so that neither is rejected forever.
func (b *bucket) waitTime(now time.Time, n float64, p bucketPart) time.Duration {
	if b.limit <= 0 || n <= 0 {
		return 0
	}
	b.fill(now)
	if p.isIsolated {
		return b.isolatedWaitTime(now, n, p.share)
	}
	n = min(n, b.size)
	lacking := n - b.level
	if left := b.partLeft(now, p.share); n > left && b.spent > 0 {
		lacking = max(lacking, n-left)
	}
	return timeToFill(lacking, b.limit)
}

// isolatedWaitTime is waitTime for an instance without a live peer: it uses a bucket of its share of the limit.
func (b *bucket) isolatedWaitTime(now time.Time, n, share float64) time.Duration {
	size := max(1, b.size*share)
	if b.isolatedFilledAt.IsZero() {
		b.isolatedLevel, b.isolatedFilledAt = size, now
	}
	b.isolatedLevel = min(size, b.isolatedLevel+b.limit*share*now.Sub(b.isolatedFilledAt).Seconds())
	b.isolatedFilledAt = now
	return timeToFill(min(n, size)-b.isolatedLevel, b.limit*share)
}

// timeToFill returns the time in which a rate makes up for what is lacking.
func timeToFill(lacking, rate float64) time.Duration {
	if lacking <= 0 {
		return 0
	}
	return time.Duration(lacking / rate * float64(time.Second))
}

// partLeft returns what is left of this instance's part.
func (b *bucket) partLeft(now time.Time, share float64) float64 {
	available := max(0, b.exchangeLevel) + b.limit*now.Sub(b.exchangedAt).Seconds()
	return share*available - b.spent
}

// spend takes n for an admission of this instance.
func (b *bucket) spend(now time.Time, n float64) {
	b.fill(now)
	b.level = min(b.size, b.level-n)
	b.spent += n
	b.isolatedLevel -= n
}

// drain takes n for admissions of a peer.
func (b *bucket) drain(now time.Time, n float64) {
	b.fill(now)
	b.level -= n
}

// beginExchange starts a new interval between exchanges.
func (b *bucket) beginExchange(now time.Time) {
	b.fill(now)
	b.exchangeLevel, b.spent, b.exchangedAt = b.level, 0, now
	b.isolatedFilledAt = time.Time{}
}
