package picker

import (
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// load is the state kept for one endpoint.
type load struct {
	endpoint planner.Endpoint
	report   Report
	// inflight is the number of this instance's requests on the endpoint.
	inflight int
	// ownLayers is the number of layers over all stages of this instance's requests there.
	ownLayers int
	// ownChanges holds the starts and finishes of this instance's requests that the last report may not include.
	ownChanges []inflightChange
	// joinedAt is when the endpoint joined or last rejoined.
	joinedAt time.Time
	leaving  bool
	// reservedUntil is the time until which the endpoint takes only requests with Exclusive set, and others only if no other
	// path is left.
	reservedUntil time.Time
	wasEjected    bool
	prefixes      prefixCache
}

// inflightChange is the start (1) or finish (-1) of one of this instance's requests.
type inflightChange struct {
	at    time.Time
	delta int
}

// maxChanges bounds the changes kept for an endpoint from which no reports arrive.
const maxChanges = 4096

// Observe records an endpoint and its newest report. A report older than the last one is ignored. An endpoint that
// joins later than the first ones, or that rejoins after its report went stale, begins a slow start.
func (p *Picker) Observe(now time.Time, e planner.Endpoint, r Report) {
	l := p.loads[e.ID]
	if l == nil {
		l = &load{joinedAt: now}
		if p.startedAt.IsZero() {
			p.startedAt = now
		}
		if now.Sub(p.startedAt) < p.refreshInterval {
			l.joinedAt = now.Add(-p.slowStart)
		}
		p.loads[e.ID] = l
		p.membershipVersion++
	} else if !sameHolding(l.endpoint, e) {
		p.membershipVersion++
	}
	if r.At.Before(l.report.At) {
		return
	}
	if !l.report.At.IsZero() && r.At.Sub(l.report.At) > p.staleAfter {
		l.joinedAt = now
	}
	l.endpoint = e
	l.report = r
	if r.Rate > 0 {
		l.endpoint.Rate = r.Rate
	}
	l.ownChanges = slices.DeleteFunc(l.ownChanges, func(c inflightChange) bool { return !c.at.After(r.At) })
}

// sameHolding reports whether two states of an endpoint have the same place in the layer graph.
func sameHolding(a, b planner.Endpoint) bool {
	return a.DataCentre == b.DataCentre && slices.Equal(a.Held, b.Held)
}

// MarkLeaving records that an endpoint is leaving: it is not picked again, whatever its reports say.
func (p *Picker) MarkLeaving(_ time.Time, id string) {
	if l := p.loads[id]; l != nil && !l.leaving {
		l.leaving = true
		p.membershipVersion++
	}
}

// Remove removes an endpoint.
func (p *Picker) Remove(_ time.Time, id string) {
	if p.loads[id] != nil {
		delete(p.loads, id)
		p.membershipVersion++
	}
}

// StartRequest counts a request on the endpoints of its plan.
func (p *Picker) StartRequest(now time.Time, plan planner.Plan, _ int) {
	p.changeInflight(now, plan, 1)
}

// FinishRequest removes a request from the counts of its plan's endpoints, and reports its token interval to the
// detector unless it failed.
func (p *Picker) FinishRequest(now time.Time, plan planner.Plan, r Result) {
	p.changeInflight(now, plan, -1)
	for _, s := range plan.Stages {
		if l := p.loads[s.Endpoint]; l != nil && l.inflight == 0 {
			l.reservedUntil = time.Time{}
		}
	}
	if !r.Failed {
		p.ObserveTokenInterval(now, plan, r.TokenInterval)
	}
}

// changeInflight counts the start or finish of one of this instance's requests.
func (p *Picker) changeInflight(now time.Time, plan planner.Plan, delta int) {
	for _, s := range plan.Stages {
		l := p.loads[s.Endpoint]
		if l == nil {
			continue
		}
		l.inflight = max(0, l.inflight+delta)
		l.ownLayers = max(0, l.ownLayers+delta*(s.To-s.From))
		if len(l.ownChanges) < maxChanges {
			l.ownChanges = append(l.ownChanges, inflightChange{at: now, delta: delta})
		}
	}
}

// estimatedRequests returns the number of requests that an endpoint is estimated to have: those of its last report,
// corrected by this instance's starts and finishes since then, and at least its own in-flight ones. Without a fresh
// report, every instance is assumed to have as many there as this one.
func (p *Picker) estimatedRequests(now time.Time, l *load) float64 {
	if l.report.At.IsZero() || now.Sub(l.report.At) > p.staleAfter {
		return float64(l.inflight * p.instanceCount)
	}
	count := l.report.Running + l.report.Waiting
	for _, c := range l.ownChanges {
		if c.at.After(l.report.At) {
			count += c.delta
		}
	}
	return float64(max(count, l.inflight))
}

// roundSteps returns the layer steps of a round on an endpoint: one token of each request that it is estimated to
// have, and of one more whose stage has width layers. A report only counts requests, so their stages are assumed to
// have the mean width of this instance's stages there, or width if it has none.
func (p *Picker) roundSteps(now time.Time, l *load, width int) float64 {
	meanWidth := float64(width)
	if l.inflight > 0 {
		meanWidth = float64(l.ownLayers) / float64(l.inflight)
	}
	return p.estimatedRequests(now, l)*meanWidth + float64(width)
}

// estimatedRate returns the rate of an endpoint, in layer steps a second, scaled by its health.
func (p *Picker) estimatedRate(now time.Time, l *load) float64 {
	return l.endpoint.Rate * p.health.Share(now, l.endpoint.ID)
}

// weight returns the estimated rate of an endpoint, reduced during a slow start. The slow start begins when an
// endpoint joins, or when it is no longer ejected.
func (p *Picker) weight(now time.Time, l *load) float64 {
	rate := p.estimatedRate(now, l)
	if rate <= 0 {
		l.wasEjected = true
		return 0
	}
	if l.wasEjected {
		l.wasEjected = false
		l.joinedAt = now
	}
	age := now.Sub(l.joinedAt)
	if age >= p.slowStart {
		return rate
	}
	return rate * max(minSlowStartShare, age.Seconds()/p.slowStart.Seconds())
}

// minSlowStartShare is the share of its rate with which an endpoint begins a slow start.
const minSlowStartShare = 0.1
