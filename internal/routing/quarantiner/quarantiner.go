// Package quarantiner quarantines requests that crash the endpoints which run them, so that they crash no further ones.
package quarantiner

import (
	"slices"
	"sort"
	"time"
)

// Fingerprint identifies a request by its content. A request that is sent again has the same fingerprint.
type Fingerprint uint64

// Ruling says how a request may run.
type Ruling int

// The rulings.
const (
	// Allow means that the request may run like any other.
	Allow Ruling = iota
	// Trial means that the request may run once more, on endpoints where no other suspect runs.
	Trial
	// Wait means that the same request is on trial now: check again later.
	Wait
	// Refuse means that the request must not run.
	Refuse
)

// crashLimit is the number of crashed endpoints at which a request is refused.
const crashLimit = 2

// Case is the record of one request, a suspect, that was running when an endpoint crashed.
type Case struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// CrashedEndpoints lists the endpoints that crashed while they ran the request.
	CrashedEndpoints []string `json:"endpoints"`
	// TrialFailed is true once a trial has ended with a crash, also of an endpoint that had crashed before.
	TrialFailed bool `json:"failed,omitempty"`
	// TrialEndpoints lists the endpoints of the trial in progress, and TrialUntil is the time at which the trial expires.
	TrialEndpoints []string  `json:"trial,omitempty"`
	TrialUntil     time.Time `json:"until,omitzero"`
	// ExpiresAt is when the case is removed.
	ExpiresAt time.Time `json:"expires"`
}

// Quarantiner holds the cases of one instance. It is not safe for concurrent use.
type Quarantiner struct {
	Cases map[Fingerprint]Case
	// Retention is how long a case is kept after its last crash.
	Retention time.Duration
	// TrialTimeout bounds the duration of a trial.
	TrialTimeout time.Duration
}

// Option configures a Quarantiner in New.
type Option func(*Quarantiner)

// WithRetention sets how long a case is kept after its last crash.
func WithRetention(d time.Duration) Option {
	return func(q *Quarantiner) { q.Retention = d }
}

// WithTrialTimeout bounds the duration of a trial.
func WithTrialTimeout(d time.Duration) Option {
	return func(q *Quarantiner) { q.TrialTimeout = d }
}

// New returns a quarantiner without cases. By default cases are kept for 10 minutes and trials last up to a minute.
func New(options ...Option) *Quarantiner {
	q := &Quarantiner{Cases: map[Fingerprint]Case{}, Retention: 10 * time.Minute, TrialTimeout: time.Minute}
	for _, o := range options {
		o(q)
	}
	return q
}

// Check returns how a request may run at now.
func (q *Quarantiner) Check(now time.Time, f Fingerprint) Ruling {
	c, ok := q.Cases[f]
	if !ok || !now.Before(c.ExpiresAt) {
		return Allow
	}
	if c.isRefused() {
		return Refuse
	}
	if c.isOnTrial(now) {
		return Wait
	}
	return Trial
}

// isRefused reports whether the request must not run.
func (c Case) isRefused() bool {
	return c.TrialFailed || len(c.CrashedEndpoints) >= crashLimit
}

// isOnTrial reports whether the case has a trial in progress at now.
func (c Case) isOnTrial(now time.Time) bool {
	return len(c.TrialEndpoints) > 0 && now.Before(c.TrialUntil)
}

// BeginTrial begins a trial of a suspect on the given endpoints at now. It reports false, and begins none, if another
// suspect's trial uses one of them: a crash would not show which of the two caused it. The returned case is to be
// published.
func (q *Quarantiner) BeginTrial(now time.Time, f Fingerprint, endpoints []string) (Case, bool) {
	c := q.Cases[f]
	for _, busy := range q.EndpointsOnTrial(now, f) {
		if slices.Contains(endpoints, busy) {
			return c, false
		}
	}
	c.TrialEndpoints = endpoints
	c.TrialUntil = now.Add(q.TrialTimeout)
	q.Cases[f] = c
	return c, true
}

// CancelTrial ends a trial without a result, such as one that conflicts with a trial on another instance. The returned
// case is to be published.
func (q *Quarantiner) CancelTrial(f Fingerprint) Case {
	c := q.Cases[f]
	c.TrialEndpoints = nil
	c.TrialUntil = time.Time{}
	q.Cases[f] = c
	return c
}

// RecordTrial records at now that another instance is about to begin a trial, and reports whether it conflicts with a
// trial recorded here that takes precedence: one of a suspect with a lower fingerprint that shares an endpoint with it. A
// trial in conflict is not recorded. Of two trials that begin at once on different instances, at most one runs.
func (q *Quarantiner) RecordTrial(now time.Time, c Case) bool {
	for g, local := range q.Cases {
		if g < c.Fingerprint && local.isOnTrial(now) && overlap(local.TrialEndpoints, c.TrialEndpoints) {
			return true
		}
	}
	q.Merge(now, c)
	return false
}

// overlap reports whether two lists have a name in common.
func overlap(a, b []string) bool {
	return slices.ContainsFunc(a, func(name string) bool { return slices.Contains(b, name) })
}

// EndpointsOnTrial returns the endpoints on which suspects other than f are on trial at now, ordered by name.
func (q *Quarantiner) EndpointsOnTrial(now time.Time, f Fingerprint) []string {
	var busy []string
	for g, c := range q.Cases {
		if g != f && c.isOnTrial(now) {
			busy = append(busy, c.TrialEndpoints...)
		}
	}
	sort.Strings(busy)
	return busy
}

// RecordCrash records at now that an endpoint crashed while it ran a request. For a suspect, only a crash of an endpoint
// of its trial counts: any other endpoint may have crashed for another request. It returns the case to publish.
func (q *Quarantiner) RecordCrash(now time.Time, f Fingerprint, endpoint string) Case {
	c, ok := q.Cases[f]
	if !ok || !now.Before(c.ExpiresAt) {
		c = Case{Fingerprint: f}
	}
	if len(c.CrashedEndpoints) > 0 && !slices.Contains(c.TrialEndpoints, endpoint) {
		return c
	}
	c.TrialFailed = c.TrialFailed || len(c.CrashedEndpoints) > 0
	c.CrashedEndpoints = union(c.CrashedEndpoints, []string{endpoint})
	c.TrialEndpoints = nil
	c.TrialUntil = time.Time{}
	c.ExpiresAt = now.Add(q.Retention)
	q.Cases[f] = c
	return c
}

// Clear removes a suspect whose trial ended without a crash. It returns the case to publish, which has no endpoints.
func (q *Quarantiner) Clear(now time.Time, f Fingerprint) Case {
	delete(q.Cases, f)
	return Case{Fingerprint: f, ExpiresAt: now.Add(q.Retention)}
}

// Merge merges at now a case that another instance published. Crashes recorded by different instances add up; a case
// without endpoints clears a suspect that is not yet refused.
func (q *Quarantiner) Merge(now time.Time, c Case) {
	if !now.Before(c.ExpiresAt) {
		return
	}
	local, ok := q.Cases[c.Fingerprint]
	if len(c.CrashedEndpoints) == 0 {
		if ok && !local.isRefused() {
			delete(q.Cases, c.Fingerprint)
		}
		return
	}
	c.CrashedEndpoints = union(local.CrashedEndpoints, c.CrashedEndpoints)
	c.TrialFailed = c.TrialFailed || local.TrialFailed
	if local.ExpiresAt.After(c.ExpiresAt) {
		c.ExpiresAt = local.ExpiresAt
	}
	q.Cases[c.Fingerprint] = c
}

// Expire removes the cases that have expired at now.
func (q *Quarantiner) Expire(now time.Time) {
	for f, c := range q.Cases {
		if !now.Before(c.ExpiresAt) {
			delete(q.Cases, f)
		}
	}
}

// union returns the names in either list, each once, sorted.
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
