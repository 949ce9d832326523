package dispatcher

import (
	"slices"
	"strings"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/dispatch/retrier"
)

// Counts holds the numbers of answers given to callers, by verdict.
type Counts struct {
	NotRun    int64
	Completed int64
	Unknown   int64
}

// State is the dispatcher's section of the state dump.
type State struct {
	// Claims are the claims in flight, sorted by row key.
	Claims  []claimer.Claim
	Group   claimer.Group
	Budget  claimer.Budget
	Breaker claimer.Breaker
	Horizon claimer.Horizon
	// Retries holds the retry budget of each service.
	Retries map[string]retrier.Budget
	Counts  Counts
}

// State returns a copy of the dispatcher's state.
func (d *Dispatcher) State() State {
	var s State
	d.mu.Lock()
	for _, c := range d.claims {
		s.Claims = append(s.Claims, *c)
	}
	s.Retries = map[string]retrier.Budget{}
	for name, rs := range d.retryStates {
		s.Retries[name] = rs.budget
	}
	s.Counts = d.counts
	d.mu.Unlock()
	slices.SortFunc(s.Claims, func(a, b claimer.Claim) int { return strings.Compare(a.Call.RowKey(), b.Call.RowKey()) })
	d.writer.mu.Lock()
	defer d.writer.mu.Unlock()
	s.Group = d.writer.group
	s.Group.Waiting = slices.Clone(s.Group.Waiting)
	s.Budget, s.Breaker, s.Horizon = d.writer.budget, d.writer.breaker, d.writer.horizon
	return s
}

// addClaim registers a claim in flight.
func (d *Dispatcher) addClaim(c *claimer.Claim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.claims[c.ID] = c
}

// removeClaim removes a claim that has ended and wakes Drain.
func (d *Dispatcher) removeClaim(c *claimer.Claim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.claims, c.ID)
	close(d.claimEnded)
	d.claimEnded = make(chan struct{})
}

// countAnswer counts an answer by verdict, in the metrics and in the state dump.
func (d *Dispatcher) countAnswer(a claimer.Answer) {
	d.metrics.Tagged(map[string]string{"outcome": a.Verdict.String(), "code": a.Code}).Counter("calls").Inc(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch a.Verdict {
	case classifier.VerdictNotRun:
		d.counts.NotRun++
	case classifier.VerdictCompleted:
		d.counts.Completed++
	default:
		d.counts.Unknown++
	}
}
