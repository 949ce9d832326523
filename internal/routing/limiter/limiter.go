// Package limiter keeps teams within limits that all instances share, by counters that the instances exchange.
package limiter

import (
	"maps"
	"slices"
	"time"
)

// Limit is a team's bound over the whole fleet. Zero means no bound.
type Limit struct {
	// Requests is the bound in requests a second.
	Requests float64
	// Tokens is the bound in tokens a second.
	Tokens float64
}

// Count is what one instance has admitted for a team since it started. It only grows.
type Count struct {
	Requests float64 `json:"requests"`
	Tokens   float64 `json:"tokens"`
}

// Counts are an instance's counts by team.
type Counts map[string]Count

// Decision is the answer to an admission.
type Decision struct {
	Admitted bool
	// RetryAfter is when the team's limit allows the request, if it is not admitted.
	RetryAfter time.Duration
}

// Limiter holds a token bucket for each limited team. All instances' admissions drain it: its own at once, those of a
// peer when the peer's counts arrive. Between two exchanges an instance may spend only its part of what the bucket
// held at the last one: half is divided evenly, half by what each instance admitted lately.
//
// The error is bounded: what the fleet admits in any time t is at most limit × (t + burst) plus what was admitted and
// not yet exchanged, which is at most (n+1)/2 buckets for n instances, and a bucket in debt admits nothing until the
// debt is paid. An instance that has heard of no peer for the silence limit falls back to the n-th part of the limit, n
// being the number of instances that it last knew: then the fleet admits at most the limit, and a team whose callers
// all reach one instance gets the n-th part of its own.
type Limiter struct {
	burst    time.Duration
	silence  time.Duration
	limits   map[string]Limit
	teams    map[string]*team
	peers    map[string]*peer
	expected int
}

// peer is what is known of another instance.
type peer struct {
	heard  time.Time
	counts Counts
}

// Option changes a Limiter under construction.
type Option func(*Limiter)

const (
	// defaultBurst is the size of a bucket, as time at the limit.
	defaultBurst = 2 * time.Second
	// defaultSilence is how long a peer may be silent before it no longer counts.
	defaultSilence = 5 * time.Second
	// minRetryAfter is the shortest time after which a refused caller is asked to try again.
	minRetryAfter = time.Second
	// evenPart is the part of a bucket that is divided evenly between instances.
	evenPart = 0.5
	// usageTime is the time over which the usage of an instance decays.
	usageTime = 2 * time.Second
)

// WithBurst sets the size of a team's bucket, as time at its limit.
func WithBurst(burst time.Duration) Option {
	return func(l *Limiter) { l.burst = burst }
}

// WithSilence sets how long a peer may be silent before it no longer counts.
func WithSilence(silence time.Duration) Option {
	return func(l *Limiter) { l.silence = silence }
}

// New returns a limiter without limits.
func New(options ...Option) *Limiter {
	l := &Limiter{
		burst: defaultBurst, silence: defaultSilence, expected: 1,
		limits: map[string]Limit{}, teams: map[string]*team{}, peers: map[string]*peer{},
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Expect sets the number of instances in the fleet, this one included, as the instance list tells it.
func (l *Limiter) Expect(_ time.Time, instances int) {
	l.expected = max(1, instances)
}

// SetLimits replaces the limits of all teams.
func (l *Limiter) SetLimits(now time.Time, limits map[string]Limit) {
	l.limits = maps.Clone(limits)
	for name, t := range l.teams {
		limit, ok := l.limits[name]
		if !ok {
			delete(l.teams, name)
			continue
		}
		t.requests.resize(now, limit.Requests, l.burst)
		t.tokens.resize(now, limit.Tokens, l.burst)
	}
}

// Admit counts a request with its expected tokens if the team's limits allow it.
func (l *Limiter) Admit(now time.Time, name string, requests, tokens int) Decision {
	t, ok := l.team(now, name)
	if !ok {
		return Decision{Admitted: true}
	}
	part := l.part(now, t)
	wait := max(t.requests.wait(now, float64(requests), part), t.tokens.wait(now, float64(tokens), part))
	if wait > 0 {
		return Decision{RetryAfter: max(minRetryAfter, wait)}
	}
	t.spend(now, Count{Requests: float64(requests), Tokens: float64(tokens)})
	return Decision{Admitted: true}
}

// Settle counts the tokens that a request used beyond those expected. A negative number gives back.
func (l *Limiter) Settle(now time.Time, name string, tokens int) {
	t, ok := l.team(now, name)
	if !ok {
		return
	}
	t.settle(now, float64(tokens))
}

// Counts returns a copy of this instance's own counts, to be sent to peers.
func (l *Limiter) Counts(now time.Time) Counts {
	counts := Counts{}
	for name, t := range l.teams {
		if t.own != (Count{}) {
			counts[name] = t.own
		}
	}
	return counts
}

// Merge takes in the counts of a peer, which may arrive late, twice or out of order: counts only grow, so the highest
// stands. A peer that starts anew has a new name.
func (l *Limiter) Merge(now time.Time, name string, counts Counts) {
	p := l.peers[name]
	if p == nil {
		p = &peer{counts: Counts{}}
		l.peers[name] = p
		l.adopt(counts, p)
	}
	p.heard = now
	for _, team := range slices.Sorted(maps.Keys(counts)) {
		l.learn(now, p, team, counts[team])
	}
	for _, t := range l.teams {
		t.exchanged(now)
	}
}

// adopt takes the counts of a peer heard for the first time as its past: they were admitted before this instance
// could know.
func (l *Limiter) adopt(counts Counts, p *peer) {
	for team, c := range counts {
		p.counts[team] = c
	}
}

// learn takes in one count of a peer.
func (l *Limiter) learn(now time.Time, p *peer, name string, c Count) {
	before := p.counts[name]
	after := Count{Requests: max(before.Requests, c.Requests), Tokens: max(before.Tokens, c.Tokens)}
	p.counts[name] = after
	t, ok := l.team(now, name)
	if !ok {
		return
	}
	t.drain(now, Count{Requests: after.Requests - before.Requests, Tokens: after.Tokens - before.Tokens})
}

// Forget drops a peer that has left.
func (l *Limiter) Forget(_ time.Time, name string) {
	delete(l.peers, name)
}

// team returns a team's buckets, and false if it has no limit.
func (l *Limiter) team(now time.Time, name string) (*team, bool) {
	if t := l.teams[name]; t != nil {
		return t, true
	}
	limit, ok := l.limits[name]
	if !ok || limit == (Limit{}) {
		return nil, false
	}
	t := newTeam(now, limit, l.burst)
	l.teams[name] = t
	return t, true
}

// part returns the part of a team's bucket that this instance may spend before the next exchange.
func (l *Limiter) part(now time.Time, t *team) part {
	live := 1
	for _, p := range l.peers {
		if now.Sub(p.heard) <= l.silence {
			live++
		}
	}
	n := max(l.expected, live)
	if live == 1 {
		return part{share: 1 / float64(n), alone: true}
	}
	return part{share: evenPart/float64(n) + (1-evenPart)*t.usage(now)}
}
