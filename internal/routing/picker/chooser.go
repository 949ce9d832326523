package picker

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// chooser is the choice of one plan.
type chooser struct {
	picker *Picker
	graph  *graph
	query  Query
	now    time.Time
	random *rand.Rand
	// ejected allows endpoints that are ejected.
	ejected bool
}

// stage is a member of a class for an arc.
type stage struct {
	arc  planner.Arc
	load *load
}

// path is a way through the layers.
type path struct {
	stages []stage
	// cost is the sum of the stages' costs and the time on links, in seconds.
	cost float64
	// crowd is the highest crowd of an endpoint, in seconds.
	crowd float64
}

const (
	// walks bounds the draws for each path that is wanted, as a draw may end where no endpoint is usable.
	walks = 4
	// promptWeight is the cost of a prompt that waits, in steps of one token.
	promptWeight = 4
	// fewRequests is the number of requests that an endpoint may have however slow it is.
	fewRequests = 4
	// prefixGain is the part of a stage's cost that a fully cached prompt saves.
	prefixGain = 0.5
	// lowPart and highPart are the parts of the pace that bound requests below and above priority 0.
	lowPart  = 0.8
	highPart = 1.25
	// reservation is how long an endpoint is kept free for a request that runs alone.
	reservation = 30 * time.Second
)

// bound returns the busiest that an endpoint may be for the query, in seconds.
func (c *chooser) bound() float64 {
	pace := c.picker.pace.Seconds()
	if c.query.Slack > 0 {
		pace *= c.query.Slack
	}
	switch {
	case c.query.Priority < 0:
		return pace * lowPart
	case c.query.Priority > 0:
		return pace * highPart
	default:
		return pace
	}
}

// draw draws paths until there are as many as wanted that are not too busy, and returns the one of them with the
// least cost.
func (c *chooser) draw() (path, bool) {
	best, drawn := path{cost: math.Inf(1)}, 0
	for range c.picker.choices * walks {
		p, ok := c.walk()
		if !ok || p.crowd > c.bound() {
			continue
		}
		if p.cost < best.cost {
			best = p
		}
		drawn++
		if drawn == c.picker.choices {
			break
		}
	}
	return best, drawn > 0
}

// walk draws one path: at each boundary a move and an arc by their flows, then the better of two endpoints.
func (c *chooser) walk() (path, bool) {
	var p path
	centre := -1
	for at := 0; at < len(c.graph.Boundaries)-1; {
		a, ok := c.drawArc(at, centre)
		if !ok {
			return path{}, false
		}
		s, ok := c.drawMember(a)
		if !ok {
			return path{}, false
		}
		c.extend(&p, s)
		at, centre = a.To, c.graph.centres[c.graph.Classes[a.Class].DataCentre]
	}
	return p, true
}

// drawArc draws the arc that follows a boundary in a data centre, or the first one if the data centre is negative.
func (c *chooser) drawArc(boundary, centre int) (planner.Arc, bool) {
	arcs := c.graph.starts[boundary]
	weights := make([]float64, len(arcs))
	entered := map[int]float64{}
	for _, a := range arcs {
		entered[c.graph.centres[c.graph.Classes[a.Class].DataCentre]] += c.graph.spread.Flows[a]
	}
	total := 0.0
	for i, a := range arcs {
		to := c.graph.centres[c.graph.Classes[a.Class].DataCentre]
		flow := c.graph.spread.Flows[a]
		if centre >= 0 && entered[to] > 0 {
			flow *= c.graph.spread.Moves[planner.Move{Boundary: boundary, From: centre, To: to}] / entered[to]
		}
		weights[i] = flow
		total += flow
	}
	if total <= 0 {
		return planner.Arc{}, false
	}
	return arcs[c.weighted(weights, total)], true
}

// drawMember draws two endpoints of a class by their weights, and takes a third that has the prompt's prefix cached
// unless it is too busy. It returns the one of least cost.
func (c *chooser) drawMember(a planner.Arc) (stage, bool) {
	members := c.graph.members[a.Class]
	weights := make([]float64, len(members))
	total := 0.0
	for i, l := range members {
		weights[i] = c.weight(l)
		total += weights[i]
	}
	if total <= 0 {
		return stage{}, false
	}
	first := c.weighted(weights, total)
	best := stage{arc: a, load: members[first]}
	if rest := total - weights[first]; rest > 0 {
		kept := weights[first]
		weights[first] = 0
		second := members[c.weighted(weights, rest)]
		weights[first] = kept
		if c.cost(a, second) < c.cost(a, best.load) {
			best.load = second
		}
	}
	if l := c.warm(a, members, weights); l != nil && c.cost(a, l) < c.cost(a, best.load) {
		best.load = l
	}
	return best, true
}

// warm returns the endpoint with the longest cached prefix whose load is within the imbalance over the mean (after
// Mirrokni, Thorup and Zadimoghaddam, Consistent Hashing with Bounded Loads, 2018), or nil.
func (c *chooser) warm(a planner.Arc, members []*load, weights []float64) *load {
	if len(c.query.Prefixes) == 0 {
		return nil
	}
	var best *load
	longest, running, rate := 0.0, 0.0, 0.0
	for i, l := range members {
		if weights[i] <= 0 {
			continue
		}
		running += c.picker.running(c.now, l) + 1
		rate += c.picker.rate(c.now, l)
		if cached := l.cached(c.now, c.query.Prefixes); cached > longest {
			best, longest = l, cached
		}
	}
	if best == nil || rate <= 0 {
		return nil
	}
	mean := running / rate * c.picker.rate(c.now, best)
	if c.picker.running(c.now, best) > (1+c.picker.imbalance)*mean {
		return nil
	}
	return best
}

// weighted draws an index by weights with a sum above zero.
func (c *chooser) weighted(weights []float64, total float64) int {
	at := c.random.Float64() * total
	last := 0
	for i, w := range weights {
		if w <= 0 {
			continue
		}
		last = i
		at -= w
		if at < 0 {
			break
		}
	}
	return last
}

// weight returns the weight of an endpoint for the query, zero if it must not be used.
func (c *chooser) weight(l *load) float64 {
	if l.leaving || slices.Contains(c.query.Avoid, l.endpoint.ID) {
		return 0
	}
	if c.query.Adapter != "" && !slices.Contains(l.endpoint.Adapters, c.query.Adapter) {
		return 0
	}
	if c.now.Before(l.reserved) && !c.query.Alone && !c.ejected {
		return 0
	}
	w := c.picker.weight(c.now, l)
	if w <= 0 && c.ejected {
		return max(l.endpoint.Rate, 1) * minWeight
	}
	return w
}

// busy returns the time, in seconds, in which an endpoint runs a step of each request it has, with this one. It is
// fullBusy for an endpoint that runs as many as it may.
func (c *chooser) busy(a planner.Arc, l *load) float64 {
	if c.full(l) {
		return fullBusy
	}
	return c.picker.step(c.now, l, c.graph.Width(a), c.rate(l)).Seconds()
}

// crowd returns how busy an endpoint is as far as the bound goes. An instance that has less than its part of the
// bound there is not held back by what others have: they are, until it has its part. A request with less than the usual
// slack has no such claim. An endpoint with few requests is not crowded.
func (c *chooser) crowd(a planner.Arc, l *load) float64 {
	if c.full(l) {
		return fullBusy
	}
	if c.picker.running(c.now, l) < fewRequests {
		return 0
	}
	if c.query.Slack > 0 && c.query.Slack < 1 {
		return c.busy(a, l)
	}
	own := float64((l.steps+c.graph.Width(a))*c.picker.peers) / c.rate(l)
	return min(c.busy(a, l), own)
}

// rate returns the rate of an endpoint, the nominal one if it is ejected.
func (c *chooser) rate(l *load) float64 {
	if rate := c.picker.rate(c.now, l); rate > 0 {
		return rate
	}
	return max(l.endpoint.Rate, 1)
}

// cost returns the cost of a stage in seconds.
func (c *chooser) cost(a planner.Arc, l *load) float64 {
	saved := prefixGain * l.cached(c.now, c.query.Prefixes)
	return (c.busy(a, l) + c.backlog(a, l)) * (1 - saved)
}

// backlog returns the cost, in seconds, of the requests whose prompts wait at an endpoint: those of its last report
// and the own ones that were started since.
func (c *chooser) backlog(a planner.Arc, l *load) float64 {
	waiting := l.report.Waiting
	for _, change := range l.changes {
		if change.delta > 0 && change.at.After(l.report.At) {
			waiting++
		}
	}
	return float64(waiting*c.graph.Width(a)) * promptWeight / c.rate(l)
}

// extend adds a stage to a path, and the link to it.
func (c *chooser) extend(p *path, s stage) {
	from := c.query.DataCentre
	if len(p.stages) > 0 {
		from = p.stages[len(p.stages)-1].load.endpoint.DataCentre
	}
	p.cost += c.cost(s.arc, s.load) + c.picker.crossing(c.now, from, s.load.endpoint.DataCentre).Seconds()
	p.crowd = max(p.crowd, c.crowd(s.arc, s.load))
	p.stages = append(p.stages, s)
}

// search finds the path of least cost over all arcs, with the better of two drawn endpoints of each.
func (c *chooser) search() (path, bool) {
	last := len(c.graph.Boundaries) - 1
	nodes := make([][]*path, last+1)
	for b := range nodes {
		nodes[b] = make([]*path, len(c.graph.Centres))
	}
	for b := range last {
		for _, a := range c.graph.starts[b] {
			c.reach(nodes, a)
		}
	}
	var best *path
	for _, p := range nodes[last] {
		if p != nil && (best == nil || p.cost < best.cost) {
			best = p
		}
	}
	if best == nil {
		return path{}, false
	}
	return *best, true
}

// reach extends the best paths at the start of an arc over it.
func (c *chooser) reach(nodes [][]*path, a planner.Arc) {
	s, ok := c.drawMember(a)
	if !ok {
		return
	}
	starts := nodes[a.From]
	if a.From == 0 {
		starts = []*path{{}}
	}
	to := c.graph.centres[s.load.endpoint.DataCentre]
	for _, start := range starts {
		if start == nil {
			continue
		}
		p := path{stages: slices.Clone(start.stages), cost: start.cost, crowd: start.crowd}
		c.extend(&p, s)
		if known := nodes[a.To][to]; known == nil || p.cost < known.cost {
			nodes[a.To][to] = &p
		}
	}
}

// alone returns a plan over endpoints that run nothing. If there is none, it keeps new work off a path, so that one
// becomes free.
func (c *chooser) alone() (planner.Plan, Refusal) {
	best, found := c.search()
	if !found {
		return planner.Plan{}, Refusal{Reason: ReasonCover, RetryAfter: retryAfterCover}
	}
	idle := true
	for _, s := range best.stages {
		s.load.reserved = c.now.Add(reservation)
		if c.picker.running(c.now, s.load) > 0 {
			idle = false
		}
	}
	if !idle {
		return planner.Plan{}, Refusal{Reason: ReasonBusy, RetryAfter: retryAfterBusy}
	}
	return c.plan(best), Refusal{}
}

// plan returns a path as a plan. Neighbouring arcs of one endpoint become one stage.
func (c *chooser) plan(p path) planner.Plan {
	plan := planner.Plan{Model: c.query.Model, Version: c.query.Version}
	for _, s := range p.stages {
		e := s.load.endpoint
		from, to := c.graph.Boundaries[s.arc.From], c.graph.Boundaries[s.arc.To]
		if n := len(plan.Stages); n > 0 && plan.Stages[n-1].Endpoint == e.ID {
			plan.Stages[n-1].To = to
			continue
		}
		plan.Stages = append(plan.Stages, planner.Stage{Endpoint: e.ID, Address: e.Address, From: from, To: to})
	}
	return plan
}
