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

// graph is the layer graph of one version of a model with the weights of its arcs.
type graph struct {
	*planner.Graph
	spread planner.Spread
	// starts holds the arcs by the boundary at which they start.
	starts  [][]planner.Arc
	members [][]*load
	centres map[string]int
	built   time.Time
	// endpoints and links are what it was built from.
	endpoints []planner.Endpoint
	links     []planner.Link
	// membership is the picker's count of changes of membership at the build.
	membership int
}

// graph returns the layer graph for a query. It is built anew when endpoints come or go, and when it is old, since
// rates and health change.
func (p *Picker) graph(now time.Time, q Query) *graph {
	key := graphKey{q.Model, q.Version, q.Layers}
	g := p.graphs[key]
	if g != nil && g.membership == p.membership && now.Sub(g.built) < p.refresh {
		return g
	}
	endpoints, links := p.usable(now), p.believed(now)
	if g != nil && g.membership == p.membership && !moved(g.endpoints, endpoints) && !changed(g.links, links) {
		g.built = now
		return g
	}
	g = p.build(now, key, endpoints, links)
	p.graphs[key] = g
	return g
}

// rateChange is the relative change of a rate below which the weights stay.
const rateChange = 0.02

// moved reports whether a rate of the same endpoints has changed.
func moved(before, after []planner.Endpoint) bool {
	return !slices.EqualFunc(before, after, func(b, a planner.Endpoint) bool {
		return b.ID == a.ID && near(b.Rate, a.Rate)
	})
}

// changed reports whether a link has changed.
func changed(before, after []planner.Link) bool {
	return !slices.EqualFunc(before, after, func(b, a planner.Link) bool {
		return b.From == a.From && b.To == a.To && near(b.Rate, a.Rate)
	})
}

// near reports whether two rates are about the same.
func near(b, a float64) bool {
	return math.Abs(a-b) <= rateChange*b
}

// usable returns the endpoints that are not leaving, at the rates believed, in order.
func (p *Picker) usable(now time.Time) []planner.Endpoint {
	var endpoints []planner.Endpoint
	for _, id := range slices.Sorted(maps.Keys(p.loads)) {
		l := p.loads[id]
		if l.leaving {
			continue
		}
		e := l.endpoint
		e.Rate = max(p.weight(now, l), e.Rate*minWeight)
		endpoints = append(endpoints, e)
	}
	return endpoints
}

// build builds a layer graph.
func (p *Picker) build(now time.Time, key graphKey, endpoints []planner.Endpoint, links []planner.Link) *graph {
	g := &graph{
		Graph: planner.NewGraph(key.model, key.version, key.layers, endpoints, links),
		built: now, membership: p.membership, centres: map[string]int{}, endpoints: endpoints, links: links,
	}
	for i, c := range g.Centres {
		g.centres[c] = i
	}
	g.starts = make([][]planner.Arc, len(g.Boundaries))
	g.members = make([][]*load, len(g.Classes))
	for i, c := range g.Classes {
		for _, id := range c.Endpoints {
			g.members[i] = append(g.members[i], p.loads[id])
		}
		for _, a := range g.Arcs(i) {
			g.starts[a.From] = append(g.starts[a.From], a)
		}
	}
	g.spread = g.Balance()
	return g
}

// minWeight is the share of its rate with which an ejected endpoint stays in the graph, so that a range which only
// it holds stays covered.
const minWeight = 1e-3

// believed returns the links with the capacity that they are believed to give, in order.
func (p *Picker) believed(now time.Time) []planner.Link {
	var links []planner.Link
	for w, l := range p.links {
		link := l.link
		link.Rate *= p.health.Share(now, linkName(w.from, w.to))
		links = append(links, link)
	}
	slices.SortFunc(links, func(a, b planner.Link) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return links
}
