package picker

import (
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// load is what is known of one endpoint.
type load struct {
	endpoint planner.Endpoint
	report   Report
	// inflight counts this instance's own requests on the endpoint.
	inflight int
	// steps counts the layers of the own requests' stages.
	steps int
	// changes holds the own starts and finishes that the last report may not show.
	changes []change
	// joined is when the endpoint came or came back.
	joined  time.Time
	leaving bool
	// reserved is until when a request that runs alone keeps others off.
	reserved time.Time
	out      bool
	prefixes prefixes
}

// change is an own start (1) or finish (-1).
type change struct {
	at    time.Time
	delta int
}

// maxChanges bounds the changes kept for an endpoint whose reports do not come.
const maxChanges = 4096

// Observe takes in an endpoint and its newest report. A report older than the last one is ignored. An endpoint that
// is new while others are known, or that comes back, starts slowly.
func (p *Picker) Observe(now time.Time, e planner.Endpoint, r Report) {
	l := p.loads[e.ID]
	if l == nil {
		l = &load{joined: now}
		if p.started.IsZero() {
			p.started = now
		}
		if now.Sub(p.started) < p.refresh {
			l.joined = now.Add(-p.ramp)
		}
		p.loads[e.ID] = l
		p.membership++
	} else if !sameHolding(l.endpoint, e) {
		p.membership++
	}
	if r.At.Before(l.report.At) {
		return
	}
	if !l.report.At.IsZero() && r.At.Sub(l.report.At) > p.stale {
		l.joined = now
	}
	l.endpoint = e
	l.report = r
	if r.Rate > 0 {
		l.endpoint.Rate = r.Rate
	}
	l.changes = slices.DeleteFunc(l.changes, func(c change) bool { return !c.at.After(r.At) })
}

// sameHolding reports whether two states of an endpoint put it at the same place in the layer graph.
func sameHolding(a, b planner.Endpoint) bool {
	return a.DataCentre == b.DataCentre && slices.Equal(a.Held, b.Held)
}

// Leave notes that an endpoint is leaving: it is not picked again, whatever reports follow.
func (p *Picker) Leave(_ time.Time, id string) {
	if l := p.loads[id]; l != nil && !l.leaving {
		l.leaving = true
		p.membership++
	}
}

// Remove forgets an endpoint.
func (p *Picker) Remove(_ time.Time, id string) {
	if p.loads[id] != nil {
		delete(p.loads, id)
		p.membership++
	}
}

// Start counts a request on the endpoints of its plan, and its prefixes as cached there soon.
func (p *Picker) Start(now time.Time, plan planner.Plan, _ int) {
	p.change(now, plan, 1)
}

// Finish takes a request off the endpoints of its plan and learns from its result.
func (p *Picker) Finish(now time.Time, plan planner.Plan, r Result) {
	p.change(now, plan, -1)
	for _, s := range plan.Stages {
		if l := p.loads[s.Endpoint]; l != nil && l.inflight == 0 {
			l.reserved = time.Time{}
		}
	}
	if !r.Failed {
		p.Progress(now, plan, r.Between)
	}
}

// change counts an own start or finish.
func (p *Picker) change(now time.Time, plan planner.Plan, delta int) {
	for _, s := range plan.Stages {
		l := p.loads[s.Endpoint]
		if l == nil {
			continue
		}
		l.inflight = max(0, l.inflight+delta)
		l.steps = max(0, l.steps+delta*(s.To-s.From))
		if len(l.changes) < maxChanges {
			l.changes = append(l.changes, change{at: now, delta: delta})
		}
	}
}

// running returns the requests believed to be on an endpoint: those of its last report, corrected by the own starts and
// finishes since, and at least the own ones. Without a fresh report the own ones stand for those of each peer too.
func (p *Picker) running(now time.Time, l *load) float64 {
	if l.report.At.IsZero() || now.Sub(l.report.At) > p.stale {
		return float64(l.inflight * p.peers)
	}
	count := l.report.Running + l.report.Waiting
	for _, c := range l.changes {
		if c.at.After(l.report.At) {
			count += c.delta
		}
	}
	return float64(max(count, l.inflight))
}

// work returns the layer steps in a round of one token for each request believed to be on an endpoint. A report counts
// requests only, so their stages are taken to be as wide as the own ones there, else as wide as a whole range.
func (p *Picker) work(now time.Time, l *load, width int) float64 {
	mean := float64(width)
	if l.inflight > 0 {
		mean = float64(l.steps) / float64(l.inflight)
	}
	return p.running(now, l)*mean + float64(width)
}

// rate returns the layer steps a second that an endpoint is believed to give.
func (p *Picker) rate(now time.Time, l *load) float64 {
	return l.endpoint.Rate * p.health.Share(now, l.endpoint.ID)
}

// weight returns the rate of an endpoint, less while it is new or back after an ejection.
func (p *Picker) weight(now time.Time, l *load) float64 {
	rate := p.rate(now, l)
	if rate <= 0 {
		l.out = true
		return 0
	}
	if l.out {
		l.out = false
		l.joined = now
	}
	age := now.Sub(l.joined)
	if age >= p.ramp {
		return rate
	}
	return rate * max(minRamp, age.Seconds()/p.ramp.Seconds())
}

// minRamp is the part of its weight with which an endpoint starts.
const minRamp = 0.1
