package picker

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/detector"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// linkRecord is the state kept for a link.
type linkRecord struct {
	link planner.Link
}

const (
	// minLinkTime is the least time that is assumed for a step over a link when times are compared. It is of the
	// order of an endpoint's step time, so that a slow link is detected as fast as a slow endpoint.
	minLinkTime = 10 * time.Millisecond
	// defaultLinkDelay is the time of a step between two data centres whose link is not known.
	defaultLinkDelay = time.Millisecond
)

// ObserveLink records a link between data centres with its nominal capacity and delay.
func (p *Picker) ObserveLink(_ time.Time, l planner.Link) {
	p.links[linkKey{l.From, l.To}] = &linkRecord{link: l}
	p.membershipVersion++
}

// linkName returns the name under which the health of a link is kept.
func linkName(from, to string) string {
	return "link " + from + " to " + to
}

// crossingTime returns the expected time of a step from one data centre to another.
func (p *Picker) crossingTime(now time.Time, from, to string) time.Duration {
	if from == to || from == "" {
		return 0
	}
	delay := defaultLinkDelay
	if l := p.links[linkKey{from, to}]; l != nil {
		delay = l.link.Delay
	}
	share := p.health.Share(now, linkName(from, to))
	if share >= 1 {
		return delay
	}
	return time.Duration(float64(max(delay, minLinkTime)) / max(share, minShare))
}

// minShare is the least share of its capacity that is assumed for a link.
const minShare = 0.001

// ObserveTokenInterval reports the mean time between the tokens of a running answer to the detector, which compares
// the endpoints and links of the plan with all others.
func (p *Picker) ObserveTokenInterval(now time.Time, plan planner.Plan, interval time.Duration) {
	if interval <= 0 {
		return
	}
	// Each stage adds its endpoint and the link to it.
	parts := make([]detector.Part, 0, 2*len(plan.Stages))
	previous := ""
	for _, s := range plan.Stages {
		l := p.loads[s.Endpoint]
		if l == nil {
			return
		}
		centre := l.endpoint.DataCentre
		if previous != "" && previous != centre {
			parts = append(parts, detector.Part{Name: linkName(previous, centre), ExpectedTime: p.nominalCrossingTime(previous, centre)})
		}
		previous = centre
		expected := p.stepTime(now, l, s.To-s.From, l.endpoint.Rate)
		parts = append(parts, detector.Part{Name: s.Endpoint, ExpectedTime: expected})
	}
	p.health.Compare(now, parts, interval)
}

// nominalCrossingTime returns the time of a step over a healthy link.
func (p *Picker) nominalCrossingTime(from, to string) time.Duration {
	if l := p.links[linkKey{from, to}]; l != nil {
		return max(l.link.Delay, minLinkTime)
	}
	return minLinkTime
}

// stepTime returns the time in which an endpoint with a rate runs one step of each request that it is estimated to
// have, and of one more. It is an hour if the rate is not positive.
func (p *Picker) stepTime(now time.Time, l *load, layers int, rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return time.Duration(p.roundSteps(now, l, layers) / rate * float64(time.Second))
}
