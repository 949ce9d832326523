package picker

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// graphKey names a layer graph.
type graphKey struct {
	model   string
	version string
	layers  int
}

// graph is the layer graph of one version of a model, with the flows of its arcs and the endpoints of its classes.
type graph struct {
	*planner.Graph
	spread planner.Spread
	// arcsFrom holds the arcs by the boundary at which they start.
	arcsFrom    [][]planner.Arc
	members     [][]*load
	centreIndex map[string]int
	builtAt     time.Time
	// endpoints and links are what the graph was built from.
	endpoints []planner.Endpoint
	links     []planner.Link
	// membershipVersion is the picker's membershipVersion at the time of the build.
	membershipVersion int
}

// graph returns the layer graph for a query. It is rebuilt when the endpoints, what they hold or the links change, and
// when it is old and a rate has changed, as rates and health vary over time.
func (p *Picker) graph(now time.Time, q Query) *graph {
	key := graphKey{q.Model, q.Version, q.Layers}
	g := p.graphs[key]
	if g != nil && g.membershipVersion == p.membershipVersion && now.Sub(g.builtAt) < p.refreshInterval {
		return g
	}
	endpoints, links := p.usableEndpoints(now), p.estimatedLinks(now)
	if g != nil && g.membershipVersion == p.membershipVersion && !ratesChanged(g.endpoints, endpoints) &&
		!linksChanged(g.links, links) {
		g.builtAt = now
		return g
	}
	g = p.buildGraph(now, key, endpoints, links)
	p.graphs[key] = g
	return g
}

// minRateChange is the relative change of a rate above which a graph is rebuilt.
const minRateChange = 0.02

// ratesChanged reports whether two lists differ in their endpoints or in the rate of one.
func ratesChanged(before, after []planner.Endpoint) bool {
	return !slices.EqualFunc(before, after, func(b, a planner.Endpoint) bool {
		return b.ID == a.ID && nearlyEqual(b.Rate, a.Rate)
	})
}

// linksChanged reports whether two lists differ in their links or in the rate of one.
func linksChanged(before, after []planner.Link) bool {
	return !slices.EqualFunc(before, after, func(b, a planner.Link) bool {
		return b.From == a.From && b.To == a.To && nearlyEqual(b.Rate, a.Rate)
	})
}

// nearlyEqual reports whether two rates differ by no more than minRateChange.
func nearlyEqual(b, a float64) bool {
	return math.Abs(a-b) <= minRateChange*b
}

// usableEndpoints returns the endpoints that are not leaving, with their estimated rates, in order of ID.
func (p *Picker) usableEndpoints(now time.Time) []planner.Endpoint {
	var endpoints []planner.Endpoint
	for _, id := range slices.Sorted(maps.Keys(p.loads)) {
		l := p.loads[id]
		if l.leaving {
			continue
		}
		e := l.endpoint
		e.Rate = max(p.weight(now, l), e.Rate*minWeightShare)
		endpoints = append(endpoints, e)
	}
	return endpoints
}

// buildGraph builds a layer graph and spreads the load over it.
func (p *Picker) buildGraph(now time.Time, key graphKey, endpoints []planner.Endpoint, links []planner.Link) *graph {
	g := &graph{
		Graph:   planner.NewGraph(key.model, key.version, key.layers, endpoints, links),
		builtAt: now, membershipVersion: p.membershipVersion, centreIndex: map[string]int{}, endpoints: endpoints, links: links,
	}
	for i, c := range g.Centres {
		g.centreIndex[c] = i
	}
	g.arcsFrom = make([][]planner.Arc, len(g.Boundaries))
	g.members = make([][]*load, len(g.Classes))
	for i, c := range g.Classes {
		for _, id := range c.Endpoints {
			g.members[i] = append(g.members[i], p.loads[id])
		}
		for _, a := range g.Arcs(i) {
			g.arcsFrom[a.From] = append(g.arcsFrom[a.From], a)
		}
	}
	g.spread = g.BalancedSpread()
	return g
}

// minWeightShare is the share of its rate with which an ejected endpoint stays in the graph, so that a range that only it
// holds stays covered.
const minWeightShare = 1e-3

// estimatedLinks returns the links with their estimated capacities, in order of their data centres.
func (p *Picker) estimatedLinks(now time.Time) []planner.Link {
	var links []planner.Link
	for ends, l := range p.links {
		link := l.link
		link.Rate *= p.health.Share(now, linkName(ends.from, ends.to))
		links = append(links, link)
	}
	slices.SortFunc(links, func(a, b planner.Link) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return links
}
