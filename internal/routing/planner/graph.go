package planner

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Class is a set of endpoints of one data centre that hold the same range of layers.
type Class struct {
	DataCentre string
	From       int
	To         int
	// Rate is the sum of the endpoints' rates, in layer steps a second.
	Rate float64
	// Endpoints holds the IDs, in order.
	Endpoints []string
}

// Graph is the layer graph of one version of a model. Its nodes are the layer boundaries in each data centre. Its
// arcs are the links, and the classes: each class has an arc for its range and for every part of it between two
// boundaries.
type Graph struct {
	Layers int
	// Boundaries holds the layers at which ranges begin or end, in order, including 0 and Layers.
	Boundaries []int
	// Centres holds the data centres, in order.
	Centres []string
	Classes []Class
	links   map[[2]int]Link
}

// Arc is a part of a class's range between two boundaries. All are given by their indices.
type Arc struct {
	Class int
	From  int
	To    int
}

// NewGraph builds the layer graph of a model's version from the endpoints that hold a part of it. Between data
// centres without a link in links there is neither a limit nor a delay.
func NewGraph(model, version string, layers int, endpoints []Endpoint, links []Link) *Graph {
	g := &Graph{Layers: layers, links: map[[2]int]Link{}}
	g.groupEndpoints(model, version, endpoints)
	g.Boundaries = append(g.Boundaries, 0, layers)
	for _, c := range g.Classes {
		g.Boundaries = append(g.Boundaries, c.From, c.To)
		g.Centres = append(g.Centres, c.DataCentre)
	}
	slices.Sort(g.Boundaries)
	g.Boundaries = slices.Compact(g.Boundaries)
	slices.Sort(g.Centres)
	g.Centres = slices.Compact(g.Centres)
	for _, l := range links {
		from, to := slices.Index(g.Centres, l.From), slices.Index(g.Centres, l.To)
		if from >= 0 && to >= 0 {
			g.links[[2]int{from, to}] = l
		}
	}
	return g
}

// Clone returns a copy of the graph that shares no data that Bound changes.
func (g *Graph) Clone() *Graph {
	c := *g
	c.Classes = slices.Clone(g.Classes)
	c.links = maps.Clone(g.links)
	return &c
}

// groupEndpoints groups the endpoints that hold a part of the model's version into classes.
func (g *Graph) groupEndpoints(model, version string, endpoints []Endpoint) {
	type key struct {
		centre   string
		from, to int
	}
	classes := map[key]*Class{}
	for _, e := range endpoints {
		for _, h := range e.Held {
			if h.Model != model || h.Version != version || h.From < 0 || h.To > g.Layers || h.From >= h.To {
				continue
			}
			k := key{e.DataCentre, h.From, h.To}
			c := classes[k]
			if c == nil {
				c = &Class{DataCentre: e.DataCentre, From: h.From, To: h.To}
				classes[k] = c
			}
			c.Rate += e.Rate
			c.Endpoints = append(c.Endpoints, e.ID)
		}
	}
	for _, c := range classes {
		slices.Sort(c.Endpoints)
		g.Classes = append(g.Classes, *c)
	}
	slices.SortFunc(g.Classes, func(a, b Class) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To), cmp.Compare(a.DataCentre, b.DataCentre))
	})
}

// Arcs returns the arcs of a class: its range, and every part of it between two boundaries.
func (g *Graph) Arcs(class int) []Arc {
	c := g.Classes[class]
	first, _ := slices.BinarySearch(g.Boundaries, c.From)
	last, _ := slices.BinarySearch(g.Boundaries, c.To)
	var arcs []Arc
	for i := first; i < last; i++ {
		for j := i + 1; j <= last; j++ {
			arcs = append(arcs, Arc{Class: class, From: i, To: j})
		}
	}
	return arcs
}

// Width returns the number of layers of an arc.
func (g *Graph) Width(a Arc) int {
	return g.Boundaries[a.To] - g.Boundaries[a.From]
}

// Covered reports whether endpoints hold every layer.
func (g *Graph) Covered() bool {
	next := 0
	for _, c := range g.Classes {
		if c.From > next {
			return false
		}
		next = max(next, c.To)
	}
	return next >= g.Layers && g.Layers > 0
}

// Lacking returns the ranges of layers that no endpoint holds.
func (g *Graph) Lacking() []Held {
	var lacking []Held
	next := 0
	for _, c := range g.Classes {
		if c.From > next {
			lacking = append(lacking, Held{From: next, To: c.From})
		}
		next = max(next, c.To)
	}
	if next < g.Layers {
		lacking = append(lacking, Held{From: next, To: g.Layers})
	}
	return lacking
}

// centreIndex returns the index of a data centre of the graph.
func (g *Graph) centreIndex(name string) int {
	return slices.Index(g.Centres, name)
}

// sortedLinks returns the links with the indices of their ends, in that order.
func (g *Graph) sortedLinks() iter.Seq2[[2]int, Link] {
	return func(yield func([2]int, Link) bool) {
		for from := range g.Centres {
			for to := range g.Centres {
				ends := [2]int{from, to}
				if l, ok := g.links[ends]; ok && !yield(ends, l) {
					return
				}
			}
		}
	}
}
