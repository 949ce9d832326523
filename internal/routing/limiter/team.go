package limiter

import (
	"math"
	"time"
)

// part is the part of a bucket that one instance may spend. alone is set if it hears of no peer, and its part is then
// one of the limit itself.
type part struct {
	share float64
	alone bool
}

// team is what one instance holds for one team.
type team struct {
	own      Count
	requests bucket
	tokens   bucket
	// mine and all are the decaying usage of this instance and of the fleet, in requests.
	mine    float64
	all     float64
	decayed time.Time
}

// newTeam returns full buckets.
func newTeam(now time.Time, l Limit, burst time.Duration) *team {
	return &team{requests: newBucket(now, l.Requests, burst), tokens: newBucket(now, l.Tokens, burst), decayed: now}
}

// spend counts an admission of this instance.
func (t *team) spend(now time.Time, c Count) {
	t.own.Requests += c.Requests
	t.own.Tokens += c.Tokens
	t.requests.spend(now, c.Requests)
	t.tokens.spend(now, c.Tokens)
	t.decay(now)
	t.mine += c.Requests
	t.all += c.Requests
}

// settle corrects the tokens of an admission. The own count never falls, so what is given back stays local.
func (t *team) settle(now time.Time, tokens float64) {
	t.own.Tokens += max(0, tokens)
	t.tokens.spend(now, tokens)
}

// drain counts admissions of a peer.
func (t *team) drain(now time.Time, c Count) {
	t.requests.drain(now, c.Requests)
	t.tokens.drain(now, c.Tokens)
	t.decay(now)
	t.all += c.Requests
}

// exchanged ends the time for which an instance's part holds.
func (t *team) exchanged(now time.Time) {
	t.requests.exchanged(now)
	t.tokens.exchanged(now)
}

// usage returns this instance's part of what the fleet admitted lately.
func (t *team) usage(now time.Time) float64 {
	t.decay(now)
	if t.all <= 0 {
		return 0
	}
	return t.mine / t.all
}

// decay lets usage fade.
func (t *team) decay(now time.Time) {
	passed := now.Sub(t.decayed)
	if passed <= 0 {
		return
	}
	keep := math.Exp(-passed.Seconds() / usageTime.Seconds())
	t.mine *= keep
	t.all *= keep
	t.decayed = now
}

// bucket is a token bucket. Its level may fall below zero as peers' admissions arrive.
type bucket struct {
	limit float64
	size  float64
	level float64
	// base is the level at the last exchange, and spent what this instance took since.
	base  float64
	spent float64
	since time.Time
	at    time.Time
	// alone is the level of the part's own bucket, which holds while no peer is heard.
	alone   float64
	aloneAt time.Time
}

// newBucket returns a full bucket.
func newBucket(now time.Time, limit float64, burst time.Duration) bucket {
	size := max(1, limit*burst.Seconds())
	return bucket{limit: limit, size: size, level: size, base: size, since: now, at: now}
}

// resize changes the limit and keeps the level within the new size.
func (b *bucket) resize(now time.Time, limit float64, burst time.Duration) {
	b.fill(now)
	b.limit = limit
	b.size = max(1, limit*burst.Seconds())
	b.level = min(b.level, b.size)
	b.exchanged(now)
}

// fill adds what has become free since the last call.
func (b *bucket) fill(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.level = min(b.size, b.level+b.limit*passed.Seconds())
		b.at = now
	}
}

// wait returns how long it takes until the bucket allows n within a part, zero if it does now. A request larger than
// the bucket is allowed when the bucket is full, and one larger than the part once in each exchange, so that neither is
// refused for ever.
func (b *bucket) wait(now time.Time, n float64, p part) time.Duration {
	if b.limit <= 0 || n <= 0 {
		return 0
	}
	b.fill(now)
	if p.alone {
		return b.waitAlone(now, n, p.share)
	}
	n = min(n, b.size)
	lacking := n - b.level
	if allowed := b.allowed(now, p.share); n > allowed && b.spent > 0 {
		lacking = max(lacking, n-allowed)
	}
	return duration(lacking, b.limit)
}

// waitAlone is wait for an instance that hears of no peer: it draws on a bucket of its part of the limit.
func (b *bucket) waitAlone(now time.Time, n, share float64) time.Duration {
	size := max(1, b.size*share)
	if b.aloneAt.IsZero() {
		b.alone, b.aloneAt = size, now
	}
	b.alone = min(size, b.alone+b.limit*share*now.Sub(b.aloneAt).Seconds())
	b.aloneAt = now
	return duration(min(n, size)-b.alone, b.limit*share)
}

// duration returns the time in which a rate gives what is lacking.
func duration(lacking, rate float64) time.Duration {
	if lacking <= 0 {
		return 0
	}
	return time.Duration(lacking / rate * float64(time.Second))
}

// allowed returns what is left of this instance's part.
func (b *bucket) allowed(now time.Time, share float64) float64 {
	room := max(0, b.base) + b.limit*now.Sub(b.since).Seconds()
	return share*room - b.spent
}

// spend takes n for this instance.
func (b *bucket) spend(now time.Time, n float64) {
	b.fill(now)
	b.level = min(b.size, b.level-n)
	b.spent += n
	b.alone -= n
}

// drain takes n for a peer.
func (b *bucket) drain(now time.Time, n float64) {
	b.fill(now)
	b.level -= n
}

// exchanged begins a new part.
func (b *bucket) exchanged(now time.Time) {
	b.fill(now)
	b.base, b.spent, b.since = b.level, 0, now
	b.aloneAt = time.Time{}
}
