package picker

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// chooser holds the state of one choice of a plan.
type chooser struct {
	picker *Picker
	graph  *graph
	query  Query
	now    time.Time
	random *rand.Rand
	// allowsEjected is true if ejected endpoints, and those reserved for exclusive requests, may be chosen.
	allowsEjected bool
}

// stage is an arc of the layer graph with the endpoint that runs it, a member of the arc's class.
type stage struct {
	arc  planner.Arc
	load *load
}

// path is a sequence of stages through the layers.
type path struct {
	stages []stage
	// cost is the sum of the stages' costs and the time on links, in seconds.
	cost float64
	// maxRoundSeconds is the highest boundedRoundSeconds of the path's endpoints.
	maxRoundSeconds float64
}

const (
	// drawsPerPath bounds the draws for each path that is compared, as a draw can reach a class without a usable
	// endpoint.
	drawsPerPath = 4
	// waitingPromptSteps is the cost of a waiting prompt, in steps of one token.
	waitingPromptSteps = 4
	// minCrowdedRequests is the number of requests from which an endpoint counts as crowded. Below it the endpoint
	// takes another one however slow it is.
	minCrowdedRequests = 4
	// prefixGain is the share of a stage's cost that a fully cached prompt saves.
	prefixGain = 0.5
	// lowPriorityFactor and highPriorityFactor multiply the longest round for requests below and above priority 0.
	lowPriorityFactor  = 0.8
	highPriorityFactor = 1.25
	// exclusiveReservation is how long an endpoint takes no other requests, so that one with Exclusive set can run
	// there.
	exclusiveReservation = 30 * time.Second
)

// roundLimit returns the longest round, in seconds, that an endpoint may have for the query. A round is one step of
// each request on the endpoint.
func (c *chooser) roundLimit() float64 {
	limit := c.picker.maxRoundTime.Seconds()
	if c.query.Slack > 0 {
		limit *= c.query.Slack
	}
	switch {
	case c.query.Priority < 0:
		return limit * lowPriorityFactor
	case c.query.Priority > 0:
		return limit * highPriorityFactor
	default:
		return limit
	}
}

// drawBest draws paths until it has as many as are to be compared whose endpoints are within the round limit, and
// returns the one of least cost.
func (c *chooser) drawBest() (path, bool) {
	best, drawn := path{cost: math.Inf(1)}, 0
	for range c.picker.choices * drawsPerPath {
		p, ok := c.drawPath()
		if !ok || p.maxRoundSeconds > c.roundLimit() {
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

// drawPath draws one path: at each boundary an arc by the flows and transitions of the spread, then the better of two
// endpoints of the arc's class.
func (c *chooser) drawPath() (path, bool) {
	var p path
	centre := -1
	for boundary := 0; boundary < len(c.graph.Boundaries)-1; {
		a, ok := c.drawArc(boundary, centre)
		if !ok {
			return path{}, false
		}
		s, ok := c.drawMember(a)
		if !ok {
			return path{}, false
		}
		c.extend(&p, s)
		boundary, centre = a.To, c.graph.centreIndex[c.graph.Classes[a.Class].DataCentre]
	}
	return p, true
}

// drawArc draws the arc that follows a boundary in a data centre. A negative data centre stands for the start of the
// path.
func (c *chooser) drawArc(boundary, centre int) (planner.Arc, bool) {
	arcs := c.graph.arcsFrom[boundary]
	weights := make([]float64, len(arcs))
	flowInto := map[int]float64{}
	for _, a := range arcs {
		flowInto[c.graph.centreIndex[c.graph.Classes[a.Class].DataCentre]] += c.graph.spread.Flows[a]
	}
	total := 0.0
	for i, a := range arcs {
		to := c.graph.centreIndex[c.graph.Classes[a.Class].DataCentre]
		flow := c.graph.spread.Flows[a]
		if centre >= 0 && flowInto[to] > 0 {
			flow *= c.graph.spread.Transitions[planner.Transition{Boundary: boundary, From: centre, To: to}] / flowInto[to]
		}
		weights[i] = flow
		total += flow
	}
	if total <= 0 {
		return planner.Arc{}, false
	}
	return arcs[c.drawIndex(weights, total)], true
}

// drawMember draws two endpoints of a class by their weights, and compares them with the one that has the longest
// prefix of the prompt cached, unless that one is loaded too far above the mean. It returns the one of least cost.
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
	first := c.drawIndex(weights, total)
	best := stage{arc: a, load: members[first]}
	if rest := total - weights[first]; rest > 0 {
		firstWeight := weights[first]
		weights[first] = 0
		second := members[c.drawIndex(weights, rest)]
		weights[first] = firstWeight
		if c.stageCost(a, second) < c.stageCost(a, best.load) {
			best.load = second
		}
	}
	if l := c.longestCached(a, members, weights); l != nil && c.stageCost(a, l) < c.stageCost(a, best.load) {
		best.load = l
	}
	return best, true
}

// longestCached returns the endpoint with the longest cached prefix, or nil if there is none or if its load exceeds
// the mean of the class, scaled by its rate, by more than the allowed imbalance (after Mirrokni, Thorup and
// Zadimoghaddam, Consistent Hashing with Bounded Loads, 2018).
func (c *chooser) longestCached(a planner.Arc, members []*load, weights []float64) *load {
	if len(c.query.Prefixes) == 0 {
		return nil
	}
	var best *load
	longest, requests, rate := 0.0, 0.0, 0.0
	for i, l := range members {
		if weights[i] <= 0 {
			continue
		}
		requests += c.picker.estimatedRequests(c.now, l) + 1
		rate += c.picker.estimatedRate(c.now, l)
		if cached := l.cachedShare(c.now, c.query.Prefixes); cached > longest {
			best, longest = l, cached
		}
	}
	if best == nil || rate <= 0 {
		return nil
	}
	expected := requests / rate * c.picker.estimatedRate(c.now, best)
	if c.picker.estimatedRequests(c.now, best) > (1+c.picker.maxImbalance)*expected {
		return nil
	}
	return best
}

// drawIndex draws an index by weights. Their sum, total, must be above zero.
func (c *chooser) drawIndex(weights []float64, total float64) int {
	remaining := c.random.Float64() * total
	last := 0
	for i, weight := range weights {
		if weight <= 0 {
			continue
		}
		last = i
		remaining -= weight
		if remaining < 0 {
			break
		}
	}
	return last
}

// weight returns the weight of an endpoint for the query; it is zero if the endpoint must not be used.
func (c *chooser) weight(l *load) float64 {
	if l.leaving || slices.Contains(c.query.Avoid, l.endpoint.ID) {
		return 0
	}
	if c.query.Adapter != "" && !slices.Contains(l.endpoint.Adapters, c.query.Adapter) {
		return 0
	}
	if c.now.Before(l.reservedUntil) && !c.query.Exclusive && !c.allowsEjected {
		return 0
	}
	rate := c.picker.weight(c.now, l)
	if rate <= 0 && c.allowsEjected {
		return max(l.endpoint.Rate, 1) * minWeightShare
	}
	return rate
}

// roundSeconds returns the length of an endpoint's round with one more request, in seconds. It is fullRoundSeconds
// for an endpoint that runs as many requests as it may.
func (c *chooser) roundSeconds(a planner.Arc, l *load) float64 {
	if c.isFull(l) {
		return fullRoundSeconds
	}
	return c.picker.stepTime(c.now, l, c.graph.Width(a), c.rateOrNominal(l)).Seconds()
}

// boundedRoundSeconds returns the length of an endpoint's round that is compared with the round limit, in seconds. It
// is at most the round that the endpoint would have if each instance used it as much as this one: an instance that
// uses less than its share of the limit is not held back by the requests of others. They are held back until it has
// its share. A request whose slack is below 1 does not get this advantage. The result is 0 for an endpoint that is
// not crowded.
func (c *chooser) boundedRoundSeconds(a planner.Arc, l *load) float64 {
	if c.isFull(l) {
		return fullRoundSeconds
	}
	if c.picker.estimatedRequests(c.now, l) < minCrowdedRequests {
		return 0
	}
	if c.query.Slack > 0 && c.query.Slack < 1 {
		return c.roundSeconds(a, l)
	}
	ownSeconds := float64((l.ownLayers+c.graph.Width(a))*c.picker.instanceCount) / c.rateOrNominal(l)
	return min(c.roundSeconds(a, l), ownSeconds)
}

// rateOrNominal returns the estimated rate of an endpoint, or the nominal one if the endpoint is ejected.
func (c *chooser) rateOrNominal(l *load) float64 {
	if rate := c.picker.estimatedRate(c.now, l); rate > 0 {
		return rate
	}
	return max(l.endpoint.Rate, 1)
}

// stageCost returns the cost of a stage in seconds.
func (c *chooser) stageCost(a planner.Arc, l *load) float64 {
	savedShare := prefixGain * l.cachedShare(c.now, c.query.Prefixes)
	return (c.roundSeconds(a, l) + c.backlogCost(a, l)) * (1 - savedShare)
}

// backlogCost returns the cost, in seconds, of the prompts that wait at an endpoint: those of its last report, and
// those of this instance's requests started since then.
func (c *chooser) backlogCost(a planner.Arc, l *load) float64 {
	waiting := l.report.Waiting
	for _, change := range l.ownChanges {
		if change.delta > 0 && change.at.After(l.report.At) {
			waiting++
		}
	}
	return float64(waiting*c.graph.Width(a)) * waitingPromptSteps / c.rateOrNominal(l)
}

// extend adds a stage and the link to it to a path.
func (c *chooser) extend(p *path, s stage) {
	from := c.query.DataCentre
	if len(p.stages) > 0 {
		from = p.stages[len(p.stages)-1].load.endpoint.DataCentre
	}
	p.cost += c.stageCost(s.arc, s.load) + c.picker.crossingTime(c.now, from, s.load.endpoint.DataCentre).Seconds()
	p.maxRoundSeconds = max(p.maxRoundSeconds, c.boundedRoundSeconds(s.arc, s.load))
	p.stages = append(p.stages, s)
}

// search finds the path of least cost over all arcs, with the better of two drawn endpoints for each arc.
func (c *chooser) search() (path, bool) {
	last := len(c.graph.Boundaries) - 1
	nodes := make([][]*path, last+1)
	for b := range nodes {
		nodes[b] = make([]*path, len(c.graph.Centres))
	}
	for b := range last {
		for _, a := range c.graph.arcsFrom[b] {
			c.relax(nodes, a)
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

// relax extends the best paths to the start of an arc by the arc, and keeps those that are cheaper than the best ones
// at its end.
func (c *chooser) relax(nodes [][]*path, a planner.Arc) {
	s, ok := c.drawMember(a)
	if !ok {
		return
	}
	starts := nodes[a.From]
	if a.From == 0 {
		starts = []*path{{}}
	}
	to := c.graph.centreIndex[s.load.endpoint.DataCentre]
	for _, start := range starts {
		if start == nil {
			continue
		}
		p := path{stages: slices.Clone(start.stages), cost: start.cost, maxRoundSeconds: start.maxRoundSeconds}
		c.extend(&p, s)
		if current := nodes[a.To][to]; current == nil || p.cost < current.cost {
			nodes[a.To][to] = &p
		}
	}
}

// planExclusive returns a plan over endpoints that run nothing. It reserves the endpoints of the best path in any case:
// if they are not idle yet, they will become so.
func (c *chooser) planExclusive() (planner.Plan, Refusal) {
	best, found := c.search()
	if !found {
		return planner.Plan{}, Refusal{Reason: ReasonUncovered, RetryAfter: retryAfterCover}
	}
	idle := true
	for _, s := range best.stages {
		s.load.reservedUntil = c.now.Add(exclusiveReservation)
		if c.picker.estimatedRequests(c.now, s.load) > 0 {
			idle = false
		}
	}
	if !idle {
		return planner.Plan{}, Refusal{Reason: ReasonBusy, RetryAfter: retryAfterBusy}
	}
	return c.toPlan(best), Refusal{}
}

// toPlan converts a path to a plan. Adjacent arcs on one endpoint become one stage.
func (c *chooser) toPlan(p path) planner.Plan {
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
