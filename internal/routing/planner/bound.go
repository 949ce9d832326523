package planner

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/graph/network"
	"gonum.org/v1/gonum/graph/simple"
)

const (
	// flowResolution is the unit of which capacities are whole multiples, in tokens or layer steps a second.
	flowResolution = 1e-4
	// probeSlowdown is the share of its rate by which a class or link is slowed down to find out whether it limits.
	probeSlowdown = 0.01
	// rateResolution is the unit to which a bound is rounded, in tokens a second.
	rateResolution = 1e-2
)

// Bound is the throughput that the endpoints and links allow, with what limits it.
type Bound struct {
	// Rate is the bound in tokens a second.
	Rate float64
	// Limits lists the classes and links in a minimum cut: the bound falls if one of them slows down.
	Limits []Limit
	// Lacking lists the ranges of layers that no endpoint holds. If there are any, Rate is zero.
	Lacking []Held
}

// Limit is a class of endpoints or a link that limits the throughput.
type Limit struct {
	Name string
	// Rate is its capacity: in layer steps a second for a class, in tokens a second for a link.
	Rate float64
	// Loss is the fall of the bound, in tokens a second, for each percent by which the class or link slows down.
	Loss float64
}

// Bound computes the bound and its minimum cut. It slows down each class and link in turn, and restores it: the graph
// must not be used by others meanwhile.
func (g *Graph) Bound() Bound {
	b := Bound{Lacking: g.Lacking()}
	if len(b.Lacking) > 0 {
		return b
	}
	b.Rate = g.Rate()
	for i := range g.Classes {
		c := &g.Classes[i]
		rate := c.Rate
		c.Rate *= 1 - probeSlowdown
		loss := b.Rate - g.Rate()
		c.Rate = rate
		b.Limits = appendLimit(b.Limits, c.Name(), rate, loss)
	}
	for ends, l := range g.sortedLinks() {
		if l.Rate <= 0 {
			continue
		}
		slowed := l
		slowed.Rate *= 1 - probeSlowdown
		g.links[ends] = slowed
		loss := b.Rate - g.Rate()
		g.links[ends] = l
		b.Limits = appendLimit(b.Limits, "link "+l.From+" to "+l.To, l.Rate, loss)
	}
	return b
}

// appendLimit adds a limit, unless its loss is below the rounding error of two bounds.
func appendLimit(limits []Limit, name string, rate, loss float64) []Limit {
	if loss < 2*rateResolution {
		return limits
	}
	return append(limits, Limit{Name: name, Rate: rate, Loss: loss})
}

// Rate returns the bound in tokens a second; it is zero if no endpoint holds some layer. It is the lower of two upper
// bounds. One is the maximum flow of the layer graph, where an endpoint's capacity counts again for each part of its
// range between two boundaries; it is exact if no range has a boundary inside it. The other is the rate at which the
// layer steps of all these parts can be placed on the endpoints that hold them; it is exact if no link limits.
func (g *Graph) Rate() float64 {
	if !g.Covered() {
		return 0
	}
	rate := g.maxFlow()
	if g.hasInnerBoundary() {
		rate = g.placeableRate(rate)
	}
	return math.Round(rate/rateResolution) * rateResolution
}

// hasInnerBoundary reports whether a range has a boundary inside it.
func (g *Graph) hasInnerBoundary() bool {
	for i := range g.Classes {
		if len(g.Arcs(i)) > 1 {
			return true
		}
	}
	return false
}

// source and sink are the ends of the flow networks; the identifiers of other nodes begin at firstNode.
const (
	source    = 0
	sink      = 1
	firstNode = 2
)

// maxFlow returns the maximum flow over classes and links, in tokens a second.
func (g *Graph) maxFlow() float64 {
	net := flowNetwork{}
	node := func(boundary, centre int) int64 { return int64(firstNode + boundary*len(g.Centres) + centre) }
	for centre := range g.Centres {
		net.add(source, node(0, centre), math.Inf(1))
		net.add(node(len(g.Boundaries)-1, centre), sink, math.Inf(1))
	}
	for i, c := range g.Classes {
		centre := g.centreIndex(c.DataCentre)
		for _, a := range g.Arcs(i) {
			if a.To == a.From+1 {
				net.add(node(a.From, centre), node(a.To, centre), c.Rate/float64(g.Width(a)))
			}
		}
	}
	for boundary := 1; boundary < len(g.Boundaries)-1; boundary++ {
		for from := range g.Centres {
			for to := range g.Centres {
				if from != to {
					net.add(node(boundary, from), node(boundary, to), g.linkRate(from, to))
				}
			}
		}
	}
	return net.max()
}

// linkRate returns the capacity of a link in tokens a second, infinite if it does not limit.
func (g *Graph) linkRate(from, to int) float64 {
	l, ok := g.links[[2]int{from, to}]
	if !ok || l.Rate <= 0 {
		return math.Inf(1)
	}
	return l.Rate
}

// flowNetwork holds the capacities of the arcs of a flow network, by the two ends of the arc.
type flowNetwork map[[2]int64]float64

// add adds an arc, or raises the capacity of the arc that has the same ends.
func (f flowNetwork) add(from, to int64, rate float64) {
	f[[2]int64{from, to}] += rate
}

// max returns the maximum flow from source to sink, to flowResolution for each arc. Capacities are whole multiples of
// flowResolution: sums and differences are then exact, so the algorithm does not stop early at a path whose remaining
// capacity is only a rounding error.
func (f flowNetwork) max() float64 {
	finiteSum := 1.0
	for _, rate := range f {
		if !math.IsInf(rate, 1) {
			finiteSum += rate
		}
	}
	net := simple.NewWeightedDirectedGraph(0, 0)
	for ends, rate := range f {
		units := math.Floor(min(rate, finiteSum) / flowResolution)
		net.SetWeightedEdge(simple.WeightedEdge{F: simple.Node(ends[0]), T: simple.Node(ends[1]), W: units})
	}
	return network.MaxFlowDinic(net, simple.Node(source), simple.Node(sink), 0) * flowResolution
}

// Name returns the name of a class in the bound's limits.
func (c Class) Name() string {
	return fmt.Sprintf("layers %d-%d in %s", c.From, c.To, c.DataCentre)
}
