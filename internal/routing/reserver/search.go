package reserver

import (
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
)

// node is the end of the cheapest path found to a layer boundary whose last endpoint is in a given data centre.
type node struct {
	cost       float64
	stage      Stage
	previous   *node
	stageCount int
}

// search finds the cheapest path for one request, boundary by boundary.
type search struct {
	reserver *Reserver
	now      time.Time
	request  PathRequest
	tokens   int
	// destination is the other data centre in which the path may begin at the cost of the way, "" if none.
	destination string
	// candidates holds the usable endpoints, with the noise on their costs.
	candidates []candidate
	// nodes holds, for each boundary, its nodes by data centre.
	nodes []map[string]*node
}

// candidate is a usable endpoint.
type candidate struct {
	endpoint    Endpoint
	noiseFactor float64
	// free is the memory left that may be reserved, and allowed what the request may take of it, in tokens times layers.
	free    float64
	allowed float64
}

// newSearch returns a search over the endpoints that are usable at now.
func newSearch(r *Reserver, now time.Time, req PathRequest, tokens int) *search {
	s := &search{reserver: r, now: now, request: req, tokens: tokens, nodes: make([]map[string]*node, len(r.boundaries))}
	s.destination = r.Spiller.Destination(now, r.random.Float64)
	for _, id := range r.endpointIDs {
		e, ok := r.Endpoints[id]
		if !ok || !r.isCandidate(now, req, e) || !req.InProgress && !r.acceptsSlot(id, req.Priority) {
			continue
		}
		memory, reserved := r.memory(e), r.reservedByAll(e.ID)
		c := candidate{endpoint: e, noiseFactor: 1 + maxNoise*(2*r.random.Float64()-1)}
		c.free = min(memory, MaxMemoryShare*memory-reserved-r.keptForOwn(e))
		c.allowed = c.free
		if req.MemoryShare > 0 {
			c.allowed = min(c.free, req.MemoryShare*memory-reserved)
		}
		s.candidates = append(s.candidates, c)
	}
	for i := range s.nodes {
		s.nodes[i] = map[string]*node{}
	}
	return s
}

// findPath returns the stages of the cheapest path, and false if there is none.
func (s *search) findPath() ([]Stage, bool) {
	start := &node{stage: Stage{Endpoint: Endpoint{DataCentre: s.reserver.DataCentre}}}
	s.nodes[0][s.reserver.DataCentre] = start
	for i := range len(s.reserver.boundaries) - 1 {
		for _, n := range s.nodes[i] {
			s.extend(i, n)
		}
	}
	var best *node
	for _, n := range s.nodes[len(s.nodes)-1] {
		if best == nil || compareNodes(n, best) < 0 {
			best = n
		}
	}
	if best == nil {
		return nil, false
	}
	var stages []Stage
	for n := best; n != start; n = n.previous {
		stages = append(stages, n.stage)
	}
	slices.Reverse(stages)
	return stages, true
}

// extend extends the path to a node at boundary i by each stage that can follow it.
func (s *search) extend(i int, n *node) {
	if n.stageCount >= maxStages {
		return
	}
	from := s.reserver.boundaries[i]
	for _, c := range s.candidates {
		e := c.endpoint
		if e.Held.From > from || e.Held.To <= from || n.passes(e.ID) {
			continue
		}
		if n.previous == nil && (!s.reserver.canBegin(s.now, s.request, e) || s.now.Before(s.reserver.HeldUntil[e.ID])) {
			continue
		}
		for j := i + 1; j < len(s.reserver.boundaries) && s.reserver.boundaries[j] <= e.Held.To; j++ {
			s.relax(j, n, c, placer.Range{From: from, To: s.reserver.boundaries[j]})
		}
	}
}

// passes reports whether the path to a node uses an endpoint.
func (n *node) passes(id string) bool {
	for m := n; m != nil; m = m.previous {
		if m.stage.Endpoint.ID == id {
			return true
		}
	}
	return false
}

// relax extends the path to a node by a stage that ends at boundary j, and keeps the result if it is the cheapest one
// there in its data centre.
func (s *search) relax(j int, n *node, c candidate, r placer.Range) {
	needed := float64(s.tokens * r.Len())
	if needed > c.allowed {
		return
	}
	read, step := s.stageTimes(c.endpoint, r)
	weight := time.Duration(firstEventWeight)
	if s.request.IgnoreFirstEventTime {
		weight = 1
	}
	seconds := (weight*(read+s.queueTime(c.endpoint, r)) + time.Duration(s.request.AnswerTokens)*(step+hopDelay)).Seconds()
	// An endpoint costs more as it fills up: its last memory is left to requests that have no other path.
	memory := s.reserver.memory(c.endpoint)
	fill := 1 - (c.free-needed)/memory
	cost := n.cost + seconds*c.noiseFactor*(1+fill*fill*fill)
	if from := n.stage.Endpoint.DataCentre; c.endpoint.DataCentre != from {
		linkCost, ok := s.crossingCost(from, c.endpoint.DataCentre, n.previous == nil)
		if !ok {
			return
		}
		cost += linkCost.Seconds()
	}
	old := s.nodes[j][c.endpoint.DataCentre]
	if old != nil && old.cost <= cost {
		return
	}
	s.nodes[j][c.endpoint.DataCentre] = &node{cost: cost, stage: Stage{c.endpoint, r}, previous: n, stageCount: n.stageCount + 1}
}

// stageTimes returns the time to read the prompt and the time per token of a stage at an endpoint.
func (s *search) stageTimes(e Endpoint, r placer.Range) (read, step time.Duration) {
	engine := s.reserver.Engine
	card := engine.Cards[e.Card]
	usualTokens := max(1, engine.UsualPromptTokens+engine.UsualAnswerTokens/2)
	runningRequests := s.reserver.reservedByAll(e.ID) / float64(max(1, e.Held.Len())) / float64(usualTokens)
	factor := max(1, s.reserver.SlowFactors[e.ID])
	read = time.Duration(factor * float64(engine.ReadTime(card, r.Len(), s.request.PromptTokens)))
	step = time.Duration(factor * float64(engine.StepTime(card, r.Len(), runningRequests)))
	return read, step
}

// queueTime returns how long the prompts that wait at an endpoint take to read. What other instances have sent there
// of late is not known yet: they are assumed to send in proportion to what they have reserved.
func (s *search) queueTime(e Endpoint, r placer.Range) time.Duration {
	waitingTokens := s.reserver.WaitingPromptTokens[e.ID]
	if waitingTokens <= 0 {
		return 0
	}
	if own := s.reserver.OwnUsage[e.ID]; own > 0 {
		waitingTokens *= s.reserver.reservedByAll(e.ID) / own
	}
	engine := s.reserver.Engine
	return engine.ReadTime(engine.Cards[e.Card], r.Len(), int(waitingTokens))
}

// linkRate returns what the request sends over a link between data centres, in MB a second.
func (s *search) linkRate() float64 {
	duration := max(usualTokenTime*time.Duration(s.request.AnswerTokens), time.Second)
	return float64(s.request.PromptTokens+s.request.AnswerTokens) * s.reserver.Engine.ActivationMB / duration.Seconds()
}
