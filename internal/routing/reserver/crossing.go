package reserver

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/routing/spiller"
)

// The parameters of paths that leave the data centre.
const (
	// keptShare is the share of an endpoint's memory that is kept for the requests of its own data centre once it is that full:
	// its accounts are a fifth of a second old, in which its own callers ask for about as much.
	keptShare = 0.05
	// sparedLinkShare is the part of what may be reserved of a link that paths may use that do not need to cross.
	sparedLinkShare = 0.5
	// loadInterval is the least time between two updates of the data centres' loads.
	loadInterval = 200 * time.Millisecond
)

// CrossingReason states why a path crosses between data centres.
type CrossingReason string

// The reasons.
const (
	// ByShare means that the request was among those that may begin in another data centre.
	ByShare CrossingReason = "share"
	// ByLayers means that the endpoints of the own data centre do not hold all layers.
	ByLayers CrossingReason = "layers"
	// ByCost means that the path costs less in spite of the crossing, or that the own endpoints have no memory left.
	ByCost CrossingReason = "cost"
)

// MB returns what the request sends between data centres, in MB.
func (p Path) MB() float64 {
	mb := 0.0
	for _, c := range p.Crossings {
		mb += c.MB()
	}
	return mb
}

// describeLinks passes what the engine states of the links and of a usual request on to the spiller.
func (r *Reserver) describeLinks() {
	e := r.Engine
	r.Spiller.Links.Delays, r.Spiller.Links.MBPerSecond = e.CentreDelays, e.LinkMBPerSecond
	r.Spiller.RequestMB = spiller.TextMB(e.UsualPromptTokens, e.UsualAnswerTokens)
	r.Spiller.RequestTime = 0
	if len(e.CentreDelays) == 0 && e.LinkMBPerSecond <= 0 {
		return
	}
	// A usual request takes the mean of the cards, by the layers that they hold.
	card, layers := placer.Card{}, 0.0
	for _, id := range r.endpointIDs {
		endpoint := r.Endpoints[id]
		n, c := float64(endpoint.Held.Len()), e.Cards[endpoint.Card]
		card.StepFactor += n * c.StepFactor
		card.ReadFactor += n * c.ReadFactor
		layers += n
	}
	if layers == 0 {
		return
	}
	card.StepFactor /= layers
	card.ReadFactor /= layers
	r.Spiller.RequestTime = firstEventWeight*e.ReadTime(card, e.Layers, e.UsualPromptTokens) +
		time.Duration(e.UsualAnswerTokens)*e.StepTime(card, e.Layers, 1)
}

// updateLoads passes the loads of the data centres on to the spiller.
func (r *Reserver) updateLoads(now time.Time) {
	if r.Engine == nil || len(r.boundaries) < 2 || now.Sub(r.loadsAt) < loadInterval {
		return
	}
	r.loadsAt = now
	r.Spiller.Update(now, r.CentreLoads(now))
}

// CentreLoads returns the load of each data centre: that of the layers with the least memory left among its endpoints.
func (r *Reserver) CentreLoads(now time.Time) map[string]spiller.Load {
	segments := map[string][]spiller.Load{}
	for _, id := range r.endpointIDs {
		e, ok := r.Endpoints[id]
		if !ok || !r.isUsable(now, e, nil) {
			continue
		}
		if segments[e.DataCentre] == nil {
			segments[e.DataCentre] = make([]spiller.Load, len(r.boundaries)-1)
		}
		n := float64(e.Held.Len())
		memory, used := r.memory(e)/n, r.reservedByAll(e.ID)/n
		for i := range segments[e.DataCentre] {
			if e.Held.Covers(placer.Range{From: r.boundaries[i], To: r.boundaries[i+1]}) {
				segments[e.DataCentre][i].Capacity += memory
				segments[e.DataCentre][i].Used += used
			}
		}
	}
	out := make(map[string]spiller.Load, len(segments))
	for centre, list := range segments {
		fullest := list[0]
		for _, l := range list[1:] {
			if l.Fill() > fullest.Fill() || l.Capacity <= 0 {
				fullest = l
			}
		}
		out[centre] = fullest
	}
	return out
}

// keptForOwn returns the memory of an endpoint of another data centre that is kept for the requests from there.
func (r *Reserver) keptForOwn(e Endpoint) float64 {
	if e.DataCentre == r.DataCentre || r.Spiller.RequestTime <= 0 {
		return 0
	}
	return keptShare * r.memory(e)
}

// crossing returns the hop of the request from one data centre to another; it is first if it leads to the first stage.
func (s *search) crossing(from, to string, first bool) spiller.Crossing {
	c := spiller.Crossing{
		From: from, To: to, IsFirst: first, IsChosen: first && to == s.destination, PromptTokens: s.request.PromptTokens,
		AnswerTokens: s.request.AnswerTokens, TokenMB: s.reserver.Engine.ActivationMB,
	}
	if rate := s.reserver.Engine.LinkMBPerSecond; !first && rate > 0 {
		c.UsedShare = s.reserver.reservedByAll(linkName(from, to)) / rate
	}
	return c
}

// crossingCost returns the cost of a hop from one data centre to another, and false if the link has no rate left. The
// hop to the first endpoint carries only the request itself.
func (s *search) crossingCost(from, to string, first bool) (time.Duration, bool) {
	c := s.crossing(from, to, first)
	if rate := s.reserver.Engine.LinkMBPerSecond; !first && rate > 0 {
		limit := maxLinkShare / s.reserver.Spiller.Slowdown(s.now, c)
		if !s.reserver.Spiller.NeedsCrossing() {
			limit *= sparedLinkShare
		}
		// One request may always cross, so that a link that has become faster is noticed.
		if c.UsedShare > 0 && c.UsedShare+s.linkRate()/rate > limit {
			return 0, false
		}
	}
	return s.reserver.Spiller.CrossingCost(s.now, c), true
}

// addCrossings states the hops of a path between data centres, and adds their times to those of the path.
func (s *search) addCrossings(p *Path) {
	from := s.reserver.DataCentre
	for i, stage := range p.Stages {
		to := stage.Endpoint.DataCentre
		if to != from {
			c := s.crossing(from, to, i == 0)
			first, perToken := s.reserver.Spiller.Links.Times(c)
			p.Crossings = append(p.Crossings, c)
			p.TimeToFirstToken += first
			p.TimePerToken += perToken
		}
		from = to
	}
	switch {
	case len(p.Crossings) == 0:
	case p.Crossings[0].IsChosen:
		p.CrossingReason = ByShare
	case s.reserver.Spiller.LacksCapacity():
		p.CrossingReason = ByLayers
	default:
		p.CrossingReason = ByCost
	}
}

// RecordFirstEvent records how long after a request was sent along a path its first event came. How late it was counts for each
// way between data centres on the path.
func (r *Reserver) RecordFirstEvent(now time.Time, p Path, took time.Duration) {
	late := took - p.TimeToFirstToken
	if len(p.Crossings) == 0 {
		r.Spiller.RecordFirstEvent(now, spiller.Crossing{From: r.DataCentre, To: r.DataCentre, IsFirst: true}, late)
	}
	for _, c := range p.Crossings {
		r.Spiller.RecordFirstEvent(now, c, late)
		r.Spiller.RecordSuccess(now, c.To)
	}
}
