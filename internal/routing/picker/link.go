package picker

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/detector"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// linkCost is what is known of a link.
type linkCost struct {
	link planner.Link
}

const (
	// linkGrain is the time that a step over a link is taken to need at least, when times are compared. It is of the order
	// of an endpoint's, so that a link's part of an error is seen as fast as an endpoint's.
	linkGrain = 10 * time.Millisecond
	// linkDelay is the time that a step takes between data centres of which no link is known.
	linkDelay = time.Millisecond
)

// ObserveLink takes in a link between data centres: its nominal capacity and delay.
func (p *Picker) ObserveLink(_ time.Time, l planner.Link) {
	p.links[way{l.From, l.To}] = &linkCost{link: l}
	p.membership++
}

// linkName is the name under which a link's health is kept.
func linkName(from, to string) string {
	return "link " + from + " to " + to
}

// crossing returns the time that a step is expected to take from one data centre to another.
func (p *Picker) crossing(now time.Time, from, to string) time.Duration {
	if from == to || from == "" {
		return 0
	}
	delay := linkDelay
	if l := p.links[way{from, to}]; l != nil {
		delay = l.link.Delay
	}
	share := p.health.Share(now, linkName(from, to))
	if share >= 1 {
		return delay
	}
	return time.Duration(float64(max(delay, linkGrain)) / max(share, minShare))
}

// minShare bounds the share of a link below.
const minShare = 0.001

// Progress learns from the mean time between the tokens of a running answer: the parts of its way are compared with
// all others.
func (p *Picker) Progress(now time.Time, plan planner.Plan, between time.Duration) {
	if between <= 0 {
		return
	}
	// A stage adds itself and the link to it.
	parts := make([]detector.Part, 0, 2*len(plan.Stages))
	before := ""
	for _, s := range plan.Stages {
		l := p.loads[s.Endpoint]
		if l == nil {
			return
		}
		centre := l.endpoint.DataCentre
		if before != "" && before != centre {
			parts = append(parts, detector.Part{Name: linkName(before, centre), Expected: p.nominal(before, centre)})
		}
		before = centre
		expected := p.step(now, l, s.To-s.From, l.endpoint.Rate)
		parts = append(parts, detector.Part{Name: s.Endpoint, Expected: expected})
	}
	p.health.Compare(now, parts, between)
}

// nominal returns the time that a step takes over a healthy link.
func (p *Picker) nominal(from, to string) time.Duration {
	if l := p.links[way{from, to}]; l != nil {
		return max(l.link.Delay, linkGrain)
	}
	return linkGrain
}

// step returns the time in which an endpoint at a rate runs a step of each request that it is believed to have, with
// one more.
func (p *Picker) step(now time.Time, l *load, layers int, rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return time.Duration(p.work(now, l, layers) / rate * float64(time.Second))
}
