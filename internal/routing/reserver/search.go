package reserver

import (
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
)

// node is the cheapest way found to a layer boundary that ends at an endpoint of a data centre.
type node struct {
	cost   float64
	part   Part
	before *node
	parts  int
}

// search looks for the cheapest path of one request, boundary by boundary.
type search struct {
	r      *Reserver
	ask    Ask
	tokens int
	// usable holds the endpoints that may be used, with the noise on their costs.
	usable []candidate
	// ways holds the nodes at each boundary, by data centre.
	ways []map[string]*node
}

// candidate is an endpoint that may be used.
type candidate struct {
	endpoint Endpoint
	noise    float64
	// free is the memory left, in tokens times layers.
	free float64
}

// newSearch returns a search over the endpoints that may be used at now.
func newSearch(r *Reserver, now time.Time, a Ask, tokens int) *search {
	s := &search{r: r, ask: a, tokens: tokens, ways: make([]map[string]*node, len(r.cuts))}
	for _, e := range r.Endpoints {
		if !r.usable(now, e, a.Avoid) {
			continue
		}
		free := fillLimit*r.room(e) - r.used(e.ID)
		s.usable = append(s.usable, candidate{e, 1 + noise*(2*r.random.Float64()-1), free})
	}
	for i := range s.ways {
		s.ways[i] = map[string]*node{}
	}
	return s
}

// run returns the parts of the cheapest path.
func (s *search) run() ([]Part, bool) {
	start := &node{part: Part{Endpoint: Endpoint{DataCentre: s.r.DataCentre}}}
	s.ways[0][s.r.DataCentre] = start
	for i := range len(s.r.cuts) - 1 {
		for _, n := range s.ways[i] {
			s.extend(i, n)
		}
	}
	var best *node
	for _, n := range s.ways[len(s.ways)-1] {
		if best == nil || compareNodes(n, best) < 0 {
			best = n
		}
	}
	if best == nil {
		return nil, false
	}
	var parts []Part
	for n := best; n != start; n = n.before {
		parts = append(parts, n.part)
	}
	slices.Reverse(parts)
	return parts, true
}

// extend adds the ways that go on from a node at boundary i.
func (s *search) extend(i int, n *node) {
	if n.parts >= maxParts {
		return
	}
	from := s.r.cuts[i]
	for _, c := range s.usable {
		e := c.endpoint
		if e.Held.From > from || e.Held.To <= from || n.uses(e.ID) {
			continue
		}
		if n.before == nil && s.ask.First != nil && !s.ask.First[e.ID] {
			continue
		}
		for j := i + 1; j < len(s.r.cuts) && s.r.cuts[j] <= e.Held.To; j++ {
			s.offer(j, n, c, placer.Range{From: from, To: s.r.cuts[j]})
		}
	}
}

// uses reports whether the way to a node passes an endpoint.
func (n *node) uses(id string) bool {
	for m := n; m != nil; m = m.before {
		if m.part.Endpoint.ID == id {
			return true
		}
	}
	return false
}

// offer takes a way to boundary j if it is the cheapest one there in its data centre.
func (s *search) offer(j int, n *node, c candidate, r placer.Range) {
	need := float64(s.tokens * r.Len())
	if need > c.free {
		return
	}
	read, step := s.times(c.endpoint, r)
	weight := time.Duration(firstWeight)
	if s.ask.Late {
		weight = 1
	}
	seconds := (weight*(read+s.queue(c.endpoint, r)) + time.Duration(s.ask.Answer)*(step+hopDelay)).Seconds()
	// The last memory is kept for those that have no other way.
	room := s.r.room(c.endpoint)
	fill := 1 - (c.free-need)/room
	cost := n.cost + seconds*c.noise*(1+fill*fill*fill)
	if from := n.part.Endpoint.DataCentre; c.endpoint.DataCentre != from {
		crossing, ok := s.crossing(from, c.endpoint.DataCentre, n.before == nil)
		if !ok {
			return
		}
		cost += crossing.Seconds()
	}
	old := s.ways[j][c.endpoint.DataCentre]
	if old != nil && old.cost <= cost {
		return
	}
	s.ways[j][c.endpoint.DataCentre] = &node{cost: cost, part: Part{c.endpoint, r}, before: n, parts: n.parts + 1}
}

// times returns the time to read the prompt and the time of one token at an endpoint.
func (s *search) times(e Endpoint, r placer.Range) (read, step time.Duration) {
	engine := s.r.Engine
	card := engine.Cards[e.Card]
	usual := max(1, engine.Prompt+engine.Answer/2)
	writers := s.r.used(e.ID) / float64(max(1, e.Held.Len())) / float64(usual)
	factor := max(1, s.r.Factors[e.ID])
	read = time.Duration(factor * float64(engine.ReadTime(card, r.Len(), s.ask.Prompt)))
	step = time.Duration(factor * float64(engine.StepTime(card, r.Len(), writers)))
	return read, step
}

// queue returns how long the prompts that wait at an endpoint take. What other instances have sent there of late is not
// known yet: they are taken to send in proportion to what they have reserved.
func (s *search) queue(e Endpoint, r placer.Range) time.Duration {
	reading := s.r.Reading[e.ID]
	if reading <= 0 {
		return 0
	}
	if own := s.r.Own[e.ID]; own > 0 {
		reading *= s.r.used(e.ID) / own
	}
	engine := s.r.Engine
	return engine.ReadTime(engine.Cards[e.Card], r.Len(), int(reading))
}

// crossing returns the cost of a hop from one data centre to another, and false if the link has no rate left. The hop to
// the first endpoint carries only the request itself.
func (s *search) crossing(from, to string, first bool) (time.Duration, bool) {
	cost := crossCost + time.Duration(s.ask.Answer)*crossDelay
	engine := s.r.Engine
	if first || engine.PipeMB <= 0 {
		return cost, true
	}
	name := linkName(from, to)
	used := s.r.used(name) / engine.PipeMB
	if used+s.rate()/engine.PipeMB > linkLimit {
		return 0, false
	}
	transfer := float64(s.ask.Prompt+s.ask.Answer) * engine.ActivationMB / engine.PipeMB
	return cost + time.Duration(transfer/(1-used)*float64(time.Second)), true
}

// rate returns what the request sends over a link, in MB a second.
func (s *search) rate() float64 {
	took := max(usualStep*time.Duration(s.ask.Answer), time.Second)
	return float64(s.ask.Prompt+s.ask.Answer) * s.r.Engine.ActivationMB / took.Seconds()
}
