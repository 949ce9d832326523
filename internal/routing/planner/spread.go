package planner

import (
	"math"
	"slices"
)

const (
	// spreadSlices is the number of equal parts in which a demand is spread over the graph.
	spreadSlices = 320
	// spreadSlope is the growth of a part's price with its use: at its capacity it costs e^spreadSlope times as much as
	// unused.
	spreadSlope = 16
)

// Spread is a division of a demand over the arcs of a graph.
type Spread struct {
	// Flows holds the rate of each arc in tokens a second.
	Flows map[Arc]float64
	// Moves holds the rate of each way to enter an arc's data centre, in tokens a second.
	Moves map[Move]float64
	// Peak is the highest use of a class or link, as a share of its capacity.
	Peak float64
}

// Move is the way at a boundary from one data centre to another, or on in the same. Both are indices. At boundary 0
// From equals To.
type Move struct {
	Boundary int
	From     int
	To       int
}

// Spread divides a demand in tokens a second over the arcs so that the highest use is low, and uses elsewhere are even
// too. It routes equal slices one by one over the cheapest path, at prices that grow exponentially with use (after
// Garg and Könemann, Faster and Simpler Algorithms for Multicommodity Flow, 2007), so that the parts of one range and
// the boundaries of one link share their capacity.
func (g *Graph) Spread(demand float64) Spread {
	s := spreader{graph: g, slice: demand / spreadSlices}
	s.flows, s.moves = map[Arc]float64{}, map[Move]float64{}
	s.index()
	if !g.Covered() || demand <= 0 || math.IsInf(demand, 1) {
		return Spread{Flows: s.flows, Moves: s.moves}
	}
	for range spreadSlices {
		s.route()
	}
	peak := 0.0
	for _, use := range s.classUse {
		peak = max(peak, use)
	}
	for _, uses := range s.linkUse {
		peak = max(peak, slices.Max(uses))
	}
	return Spread{Flows: s.flows, Moves: s.moves, Peak: peak}
}

// Balance spreads the highest demand at which no class or link is used over its capacity. It begins with the rate of the
// part between boundaries that has the least capacity, and scales it by the peak use, which is cheaper than Rate.
func (g *Graph) Balance() Spread {
	demand := math.Inf(1)
	for part := range len(g.Boundaries) - 1 {
		rate := 0.0
		for _, c := range g.Classes {
			if c.From <= g.Boundaries[part] && g.Boundaries[part+1] <= c.To {
				rate += c.Rate
			}
		}
		demand = min(demand, rate/float64(g.Boundaries[part+1]-g.Boundaries[part]))
	}
	s := g.Spread(demand)
	for range balanceRounds {
		if s.Peak <= 1 {
			return s
		}
		demand /= s.Peak
		s = g.Spread(demand)
	}
	return s
}

// balanceRounds bounds the corrections of a demand.
const balanceRounds = 2

// spreader is the state of a spread: uses are shares of capacity.
type spreader struct {
	graph  *Graph
	slice  float64
	starts [][]Arc
	// centres holds the data centre of each class.
	centres  []int
	classUse []float64
	linkRate [][]float64
	linkUse  [][]float64
	// classPrice is the price of a layer of each class, and linkPrice that of each link, at their use.
	classPrice []float64
	linkPrice  [][]float64
	nodes      [][]step
	flows      map[Arc]float64
	moves      map[Move]float64
}

// step is the cheapest way to a node: over an arc from the boundary before, and over a link before it from another
// data centre.
type step struct {
	price  float64
	arc    Arc
	centre int
}

// index groups the arcs by the boundary at which they start, and looks up what each round needs.
func (s *spreader) index() {
	g := s.graph
	s.starts = make([][]Arc, len(g.Boundaries))
	s.classUse = make([]float64, len(g.Classes))
	for i, c := range g.Classes {
		s.centres = append(s.centres, g.centre(c.DataCentre))
		s.classPrice = append(s.classPrice, 1)
		for _, a := range g.Arcs(i) {
			s.starts[a.From] = append(s.starts[a.From], a)
		}
	}
	for from := range g.Centres {
		s.linkRate = append(s.linkRate, nil)
		s.linkUse = append(s.linkUse, make([]float64, len(g.Centres)))
		s.linkPrice = append(s.linkPrice, slices.Repeat([]float64{crossPrice}, len(g.Centres)))
		for to := range g.Centres {
			s.linkRate[from] = append(s.linkRate[from], g.linkRate(from, to))
		}
	}
	for range g.Boundaries {
		s.nodes = append(s.nodes, make([]step, len(g.Centres)))
	}
}

// route sends one slice over the cheapest path and raises the use of what it takes.
func (s *spreader) route() {
	last := len(s.graph.Boundaries) - 1
	nodes := s.nodes
	for b := range nodes {
		for c := range nodes[b] {
			nodes[b][c] = step{price: math.Inf(1)}
			if b == 0 {
				nodes[b][c].price = 0
			}
		}
	}
	for b := range last {
		for _, a := range s.starts[b] {
			centre := s.centres[a.Class]
			price, from := s.enter(nodes[b], b, centre)
			price += float64(s.graph.Width(a)) * s.classPrice[a.Class]
			if price < nodes[a.To][centre].price {
				nodes[a.To][centre] = step{price: price, arc: a, centre: from}
			}
		}
	}
	centre := 0
	for c := range nodes[last] {
		if nodes[last][c].price < nodes[last][centre].price {
			centre = c
		}
	}
	for b := last; b > 0; {
		n := nodes[b][centre]
		s.use(n.arc, n.centre, centre)
		b, centre = n.arc.From, n.centre
	}
}

// enter returns the cheapest price at which a slice at a boundary is in a data centre, and where it was before.
func (s *spreader) enter(nodes []step, boundary, centre int) (float64, int) {
	best, from := nodes[centre].price, centre
	if boundary == 0 {
		return best, from
	}
	for c := range nodes {
		if c == centre {
			continue
		}
		price := nodes[c].price + s.linkPrice[c][centre]
		if price < best {
			best, from = price, c
		}
	}
	return best, from
}

// crossPrice is the price of an unused or unlimited link, in layers: a path does not cross without need.
const crossPrice = 1

// use raises the use of an arc and of the link taken to reach it.
func (s *spreader) use(a Arc, from, to int) {
	s.flows[a] += s.slice
	s.moves[Move{Boundary: a.From, From: from, To: to}] += s.slice
	s.classUse[a.Class] += s.slice * float64(s.graph.Width(a)) / s.graph.Classes[a.Class].Rate
	s.classPrice[a.Class] = math.Exp(spreadSlope * s.classUse[a.Class])
	if from != to {
		s.linkUse[from][to] += s.slice / s.linkRate[from][to]
		s.linkPrice[from][to] = crossPrice * math.Exp(spreadSlope*s.linkUse[from][to])
	}
}
