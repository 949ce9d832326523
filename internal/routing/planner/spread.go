package planner

import (
	"math"
	"slices"
)

const (
	// spreadSlices is the number of equal slices in which a demand is spread over the graph.
	spreadSlices = 320
	// priceSlope is the growth of the price of a class or link with its use: at its capacity it costs e^priceSlope
	// times as much as unused.
	priceSlope = 16
)

// Spread is a division of a demand over the arcs of a graph.
type Spread struct {
	// Flows holds the rate over each arc in tokens a second.
	Flows map[Arc]float64
	// Transitions holds the rate of each transition into the data centre of an arc, in tokens a second.
	Transitions map[Transition]float64
	// PeakUse is the highest use of a class or link, as a share of its capacity.
	PeakUse float64
}

// Transition is the step, at a boundary, from one data centre to another or to the same one. From and To are the
// indices of the data centres. At boundary 0 they are equal.
type Transition struct {
	Boundary int
	From     int
	To       int
}

// Spread divides a demand in tokens a second over the arcs so that the highest use is low, and other uses are even
// too. It routes equal slices one by one over the cheapest path, at prices that grow exponentially with use (after
// Garg and Könemann, Faster and Simpler Algorithms for Multicommodity Flow, 2007). The price of a class covers all
// parts of its range, and the price of a link all boundaries, as these share one capacity.
func (g *Graph) Spread(demand float64) Spread {
	s := spreader{graph: g, slice: demand / spreadSlices}
	s.flows, s.moves = map[Arc]float64{}, map[Transition]float64{}
	s.buildIndex()
	if !g.Covered() || demand <= 0 || math.IsInf(demand, 1) {
		return Spread{Flows: s.flows, Transitions: s.moves}
	}
	for range spreadSlices {
		s.routeSlice()
	}
	peak := 0.0
	for _, use := range s.classUse {
		peak = max(peak, use)
	}
	for _, uses := range s.linkUse {
		peak = max(peak, slices.Max(uses))
	}
	return Spread{Flows: s.flows, Transitions: s.moves, PeakUse: peak}
}

// BalancedSpread spreads about the highest demand at which no class or link is used over its capacity. It begins with
// the rate of the segment between two boundaries that has the least capacity, and divides it by the peak use, which
// is cheaper than Rate.
func (g *Graph) BalancedSpread() Spread {
	demand := math.Inf(1)
	for segment := range len(g.Boundaries) - 1 {
		rate := 0.0
		for _, c := range g.Classes {
			if c.From <= g.Boundaries[segment] && g.Boundaries[segment+1] <= c.To {
				rate += c.Rate
			}
		}
		demand = min(demand, rate/float64(g.Boundaries[segment+1]-g.Boundaries[segment]))
	}
	s := g.Spread(demand)
	for range maxBalanceRounds {
		if s.PeakUse <= 1 {
			return s
		}
		demand /= s.PeakUse
		s = g.Spread(demand)
	}
	return s
}

// maxBalanceRounds bounds the corrections of the demand.
const maxBalanceRounds = 2

// spreader is the state of one spread. Uses are shares of capacity.
type spreader struct {
	graph    *Graph
	slice    float64
	arcsFrom [][]Arc
	// classCentres holds the index of each class's data centre.
	classCentres []int
	classUse     []float64
	linkRate     [][]float64
	linkUse      [][]float64
	// classPrice is the price of one layer of each class, and linkPrice that of each link, at their present use.
	classPrice []float64
	linkPrice  [][]float64
	nodes      [][]hop
	flows      map[Arc]float64
	moves      map[Transition]float64
}

// hop is the last hop of the cheapest path to a node: the arc to it, and the data centre before the arc. Where the
// two data centres differ, a link leads to the start of the arc.
type hop struct {
	price          float64
	arc            Arc
	previousCentre int
}

// buildIndex groups the arcs by the boundary at which they start, and collects what each slice needs.
func (s *spreader) buildIndex() {
	g := s.graph
	s.arcsFrom = make([][]Arc, len(g.Boundaries))
	s.classUse = make([]float64, len(g.Classes))
	for i, c := range g.Classes {
		s.classCentres = append(s.classCentres, g.centreIndex(c.DataCentre))
		s.classPrice = append(s.classPrice, 1)
		for _, a := range g.Arcs(i) {
			s.arcsFrom[a.From] = append(s.arcsFrom[a.From], a)
		}
	}
	for from := range g.Centres {
		s.linkRate = append(s.linkRate, nil)
		s.linkUse = append(s.linkUse, make([]float64, len(g.Centres)))
		s.linkPrice = append(s.linkPrice, slices.Repeat([]float64{crossingPrice}, len(g.Centres)))
		for to := range g.Centres {
			s.linkRate[from] = append(s.linkRate[from], g.linkRate(from, to))
		}
	}
	for range g.Boundaries {
		s.nodes = append(s.nodes, make([]hop, len(g.Centres)))
	}
}

// routeSlice routes one slice over the cheapest path, and raises the use of its classes and links.
func (s *spreader) routeSlice() {
	last := len(s.graph.Boundaries) - 1
	nodes := s.nodes
	for boundary := range nodes {
		for c := range nodes[boundary] {
			nodes[boundary][c] = hop{price: math.Inf(1)}
			if boundary == 0 {
				nodes[boundary][c].price = 0
			}
		}
	}
	for boundary := range last {
		for _, a := range s.arcsFrom[boundary] {
			centre := s.classCentres[a.Class]
			price, from := s.cheapestEntry(nodes[boundary], boundary, centre)
			price += float64(s.graph.Width(a)) * s.classPrice[a.Class]
			if price < nodes[a.To][centre].price {
				nodes[a.To][centre] = hop{price: price, arc: a, previousCentre: from}
			}
		}
	}
	centre := 0
	for c := range nodes[last] {
		if nodes[last][c].price < nodes[last][centre].price {
			centre = c
		}
	}
	for boundary := last; boundary > 0; {
		n := nodes[boundary][centre]
		s.addUse(n.arc, n.previousCentre, centre)
		boundary, centre = n.arc.From, n.previousCentre
	}
}

// cheapestEntry returns the lowest price at which a slice at a boundary can be in a data centre, and the data centre
// from which it enters.
func (s *spreader) cheapestEntry(nodes []hop, boundary, centre int) (float64, int) {
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

// crossingPrice is the price of an unused or unlimited link, in layers. It keeps paths from crossing without need.
const crossingPrice = 1

// addUse raises the use of an arc's class, and of the link that leads to the arc if there is one.
func (s *spreader) addUse(a Arc, from, to int) {
	s.flows[a] += s.slice
	s.moves[Transition{Boundary: a.From, From: from, To: to}] += s.slice
	s.classUse[a.Class] += s.slice * float64(s.graph.Width(a)) / s.graph.Classes[a.Class].Rate
	s.classPrice[a.Class] = math.Exp(priceSlope * s.classUse[a.Class])
	if from != to {
		s.linkUse[from][to] += s.slice / s.linkRate[from][to]
		s.linkPrice[from][to] = crossingPrice * math.Exp(priceSlope*s.linkUse[from][to])
	}
}
