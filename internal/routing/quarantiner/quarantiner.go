// Package quarantiner keeps requests that crash the endpoints which run them away from further endpoints.
package quarantiner

import (
	"slices"
	"sort"
	"time"
)

// Fingerprint identifies a request by its content, so that a resend has the same one.
type Fingerprint uint64

// Ruling says how a request may run.
type Ruling int

// The rulings.
const (
	// Allow means that the request runs as any other.
	Allow Ruling = iota
	// Trial means that the request may run once more, apart from other suspects.
	Trial
	// Wait means that the same request is on trial now: ask again later.
	Wait
	// Refuse means that the request must not run.
	Refuse
)

// strikeLimit is the number of crashed endpoints at which a request is refused.
const strikeLimit = 2

// Case is what is known of one request that was running when an endpoint crashed.
type Case struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Endpoints lists the endpoints that crashed while they ran the request.
	Endpoints []string `json:"endpoints"`
	// Failed is set once a trial has ended with a crash, be it of an endpoint that had crashed before.
	Failed bool `json:"failed,omitempty"`
	// Trial lists the endpoints of the trial in progress, and Until is the time at which the trial counts as lost.
	Trial []string  `json:"trial,omitempty"`
	Until time.Time `json:"until,omitzero"`
	// Expires is when the case is forgotten.
	Expires time.Time `json:"expires"`
}

// Quarantiner holds the cases known to one instance.
type Quarantiner struct {
	Cases map[Fingerprint]Case
	// Term is how long a case is kept after its last crash.
	Term time.Duration
	// Patience bounds a trial.
	Patience time.Duration
}

// Option changes a Quarantiner under construction.
type Option func(*Quarantiner)

// WithTerm sets how long a case is kept after its last crash.
func WithTerm(d time.Duration) Option {
	return func(q *Quarantiner) { q.Term = d }
}

// WithPatience bounds a trial.
func WithPatience(d time.Duration) Option {
	return func(q *Quarantiner) { q.Patience = d }
}

// New returns a quarantiner without cases.
func New(options ...Option) *Quarantiner {
	q := &Quarantiner{Cases: map[Fingerprint]Case{}, Term: 10 * time.Minute, Patience: time.Minute}
	for _, o := range options {
		o(q)
	}
	return q
}

// Check returns how a request may run at now.
func (q *Quarantiner) Check(now time.Time, f Fingerprint) Ruling {
	c, ok := q.Cases[f]
	if !ok || !now.Before(c.Expires) {
		return Allow
	}
	if c.refused() {
		return Refuse
	}
	if c.onTrial(now) {
		return Wait
	}
	return Trial
}

// refused reports whether the request must not run.
func (c Case) refused() bool {
	return c.Failed || len(c.Endpoints) >= strikeLimit
}

// onTrial reports whether the case has a trial in progress at now.
func (c Case) onTrial(now time.Time) bool {
	return len(c.Trial) > 0 && now.Before(c.Until)
}

// Open begins a trial of a suspect at now on the endpoints given. It reports false, and begins none, if another
// suspect's trial uses one of them: a crash would not tell which of the two to blame. The case is to be published.
func (q *Quarantiner) Open(now time.Time, f Fingerprint, endpoints []string) (Case, bool) {
	c := q.Cases[f]
	for _, busy := range q.Busy(now, f) {
		if slices.Contains(endpoints, busy) {
			return c, false
		}
	}
	c.Trial = endpoints
	c.Until = now.Add(q.Patience)
	q.Cases[f] = c
	return c, true
}

// Withdraw ends a trial that another instance objected to, without a finding. The case is to be published.
func (q *Quarantiner) Withdraw(f Fingerprint) Case {
	c := q.Cases[f]
	c.Trial = nil
	c.Until = time.Time{}
	q.Cases[f] = c
	return c
}

// Object takes in at now that another instance is about to begin a trial, and reports whether this instance knows of a
// trial that goes before it: one that uses one of its endpoints, of a suspect with a lower fingerprint. Of two trials
// that begin at once on different instances, at most one is begun.
func (q *Quarantiner) Object(now time.Time, c Case) bool {
	for g, own := range q.Cases {
		if g < c.Fingerprint && own.onTrial(now) && overlap(own.Trial, c.Trial) {
			return true
		}
	}
	q.Merge(now, c)
	return false
}

// overlap reports whether two lists share a name.
func overlap(a, b []string) bool {
	return slices.ContainsFunc(a, func(name string) bool { return slices.Contains(b, name) })
}

// Busy returns the endpoints on which other suspects than f are on trial at now, ordered by name.
func (q *Quarantiner) Busy(now time.Time, f Fingerprint) []string {
	var busy []string
	for g, c := range q.Cases {
		if g != f && c.onTrial(now) {
			busy = append(busy, c.Trial...)
		}
	}
	sort.Strings(busy)
	return busy
}

// Crash records at now that an endpoint crashed while it ran a request. A suspect on trial elsewhere, and a suspect that
// has no trial, is not struck again by the crash of an endpoint that it merely shared. It returns the case to publish.
func (q *Quarantiner) Crash(now time.Time, f Fingerprint, endpoint string) Case {
	c, ok := q.Cases[f]
	if !ok || !now.Before(c.Expires) {
		c = Case{Fingerprint: f}
	}
	if len(c.Endpoints) > 0 && !slices.Contains(c.Trial, endpoint) {
		return c
	}
	c.Failed = c.Failed || len(c.Endpoints) > 0
	c.Endpoints = union(c.Endpoints, []string{endpoint})
	c.Trial = nil
	c.Until = time.Time{}
	c.Expires = now.Add(q.Term)
	q.Cases[f] = c
	return c
}

// Clear forgets a suspect whose trial ended without a crash. It returns the case to publish, without endpoints.
func (q *Quarantiner) Clear(now time.Time, f Fingerprint) Case {
	delete(q.Cases, f)
	return Case{Fingerprint: f, Expires: now.Add(q.Term)}
}

// Merge takes in at now a case that another instance published. Strikes add up; a case without endpoints clears a
// suspect that is not yet refused.
func (q *Quarantiner) Merge(now time.Time, c Case) {
	if !now.Before(c.Expires) {
		return
	}
	own, ok := q.Cases[c.Fingerprint]
	if len(c.Endpoints) == 0 {
		if ok && !own.refused() {
			delete(q.Cases, c.Fingerprint)
		}
		return
	}
	c.Endpoints = union(own.Endpoints, c.Endpoints)
	c.Failed = c.Failed || own.Failed
	if own.Expires.After(c.Expires) {
		c.Expires = own.Expires
	}
	q.Cases[c.Fingerprint] = c
}

// Expire forgets the cases whose term has passed at now.
func (q *Quarantiner) Expire(now time.Time) {
	for f, c := range q.Cases {
		if !now.Before(c.Expires) {
			delete(q.Cases, f)
		}
	}
}

// union returns the names in either list, each once, in order.
func union(a, b []string) []string {
	seen := map[string]bool{}
	var all []string
	for _, s := range append(append([]string{}, a...), b...) {
		if !seen[s] {
			seen[s] = true
			all = append(all, s)
		}
	}
	sort.Strings(all)
	return all
}
