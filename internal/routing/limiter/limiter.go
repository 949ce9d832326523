// Package limiter keeps teams within limits that all instances share, by counts that the instances exchange. It also
// bounds retries, for one instance and for the whole fleet.
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

// Count is what one instance has admitted for a team since the instance started. It never falls.
type Count struct {
	Requests float64 `json:"requests"`
	Tokens   float64 `json:"tokens"`
}

// Counts holds an instance's counts by team.
type Counts map[string]Count

// Decision is the result of an admission.
type Decision struct {
	Admitted bool
	// RetryAfter is the time until the team's limit allows the request, if it is not admitted.
	RetryAfter time.Duration
}

// Limiter holds a token bucket for each limited team. All instances' admissions drain it: this instance's at once,
// those of a peer when the peer's counts arrive. Between two exchanges an instance may spend only its part of what
// the bucket held at the last one: half of the bucket is divided evenly, half in proportion to what each instance
// admitted lately.
//
// The error is bounded: what the fleet admits in any time t is at most limit × (t + burst) plus what was admitted and
// not yet exchanged, which is at most (n+1)/2 buckets for n instances, and a bucket in debt admits nothing until the
// debt is paid. An instance that has received no peer's counts for the peer timeout falls back to 1/n of the limit, n
// being the last known number of instances: then the fleet admits at most the limit, and a team whose callers all
// reach one instance gets 1/n of its own. A Limiter is not safe for concurrent use.
type Limiter struct {
	burst         time.Duration
	peerTimeout   time.Duration
	limits        map[string]Limit
	teams         map[string]*team
	peers         map[string]*peer
	instanceCount int
}

// peer is the state kept for another instance.
type peer struct {
	lastReceivedAt time.Time
	counts         Counts
}

// Option changes a Limiter under construction.
type Option func(*Limiter)

const (
	// defaultBurst is the size of a bucket, as time at the limit.
	defaultBurst = 2 * time.Second
	// defaultPeerTimeout is the time after which a peer from which no counts arrive no longer counts as live.
	defaultPeerTimeout = 5 * time.Second
	// minRetryAfter is the shortest time after which a rejected caller is asked to retry.
	minRetryAfter = time.Second
	// evenShare is the share of a bucket that is divided evenly between instances.
	evenShare = 0.5
	// usageDecayTime is the time constant with which the recorded usage decays.
	usageDecayTime = 2 * time.Second
)

// WithBurst sets the size of a team's bucket, as time at its limit.
func WithBurst(burst time.Duration) Option {
	return func(l *Limiter) { l.burst = burst }
}

// WithPeerTimeout sets the time after which a peer from which no counts arrive no longer counts as live.
func WithPeerTimeout(timeout time.Duration) Option {
	return func(l *Limiter) { l.peerTimeout = timeout }
}

// New returns a limiter without limits.
func New(options ...Option) *Limiter {
	l := &Limiter{
		burst: defaultBurst, peerTimeout: defaultPeerTimeout, instanceCount: 1,
		limits: map[string]Limit{}, teams: map[string]*team{}, peers: map[string]*peer{},
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// SetInstanceCount sets the number of instances in the fleet, this one included, as the instance list gives it.
func (l *Limiter) SetInstanceCount(_ time.Time, instances int) {
	l.instanceCount = max(1, instances)
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

// Admit admits a request and counts it with its expected tokens, if the team's limits allow it.
func (l *Limiter) Admit(now time.Time, name string, requests, tokens int) Decision {
	t, ok := l.team(now, name)
	if !ok {
		return Decision{Admitted: true}
	}
	ownPart := l.ownPart(now, t)
	wait := max(t.requests.waitTime(now, float64(requests), ownPart), t.tokens.waitTime(now, float64(tokens), ownPart))
	if wait > 0 {
		return Decision{RetryAfter: max(minRetryAfter, wait)}
	}
	t.spend(now, Count{Requests: float64(requests), Tokens: float64(tokens)})
	return Decision{Admitted: true}
}

// Settle counts the tokens that a request used beyond those expected. A negative number returns tokens that were not
// used.
func (l *Limiter) Settle(now time.Time, name string, tokens int) {
	t, ok := l.team(now, name)
	if !ok {
		return
	}
	t.settle(now, float64(tokens))
}

// Counts returns a copy of this instance's counts, to be sent to peers.
func (l *Limiter) Counts(now time.Time) Counts {
	counts := Counts{}
	for name, t := range l.teams {
		if t.own != (Count{}) {
			counts[name] = t.own
		}
	}
	return counts
}

// MergePeerCounts merges the counts of a peer. They may arrive late, twice or out of order: as counts never fall, the
// highest applies. A peer that restarts has a new name.
func (l *Limiter) MergePeerCounts(now time.Time, name string, counts Counts) {
	p := l.peers[name]
	if p == nil {
		p = &peer{counts: Counts{}}
		l.peers[name] = p
		l.recordBaseline(counts, p)
	}
	p.lastReceivedAt = now
	for _, team := range slices.Sorted(maps.Keys(counts)) {
		l.mergeCount(now, p, team, counts[team])
	}
	for _, t := range l.teams {
		t.beginExchange(now)
	}
}

// recordBaseline records the first counts of a new peer without draining buckets: they were admitted before this
// instance could know of them.
func (l *Limiter) recordBaseline(counts Counts, p *peer) {
	for team, c := range counts {
		p.counts[team] = c
	}
}

// mergeCount merges a peer's count of one team, and drains the team's buckets by its increase.
func (l *Limiter) mergeCount(now time.Time, p *peer, name string, c Count) {
	old := p.counts[name]
	merged := Count{Requests: max(old.Requests, c.Requests), Tokens: max(old.Tokens, c.Tokens)}
	p.counts[name] = merged
	t, ok := l.team(now, name)
	if !ok {
		return
	}
	t.drain(now, Count{Requests: merged.Requests - old.Requests, Tokens: merged.Tokens - old.Tokens})
}

// RemovePeer drops a peer that has left.
func (l *Limiter) RemovePeer(_ time.Time, name string) {
	delete(l.peers, name)
}

// team returns a team's state, and false if the team has no limit.
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

// ownPart returns the part of a team's bucket that this instance may spend before the next exchange.
func (l *Limiter) ownPart(now time.Time, t *team) bucketPart {
	live := 1
	for _, p := range l.peers {
		if now.Sub(p.lastReceivedAt) <= l.peerTimeout {
			live++
		}
	}
	instances := max(l.instanceCount, live)
	if live == 1 {
		return bucketPart{share: 1 / float64(instances), isIsolated: true}
	}
	return bucketPart{share: evenShare/float64(instances) + (1-evenShare)*t.ownShare(now)}
}
