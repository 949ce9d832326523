package picker

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// State is the picker's state as printed in the state dump.
type State struct {
	Peers     int
	Endpoints []EndpointState
	Links     []LinkState
	Models    []ModelState
}

// EndpointState is the estimated state of one endpoint.
type EndpointState struct {
	ID         string
	Kind       string
	DataCentre string
	Held       []planner.Held
	// Rate is the estimated rate in layer steps a second, and Weight the same, reduced during a slow start.
	Rate   float64
	Weight float64
	// Running is the estimated number of requests on it, and Inflight the number of this instance's.
	Running  float64
	Inflight int
	// Age is the age of the last report.
	Age      time.Duration
	Leaving  bool
	Reserved bool
	Prefixes int
}

// LinkState is the estimated state of one link between data centres.
type LinkState struct {
	From string
	To   string
	// Rate is the nominal capacity in tokens a second; zero means no limit.
	Rate  float64
	Delay time.Duration
	Share float64
}

// ModelState is the layer graph of one version of a model.
type ModelState struct {
	Model   string
	Version string
	Layers  int
	Bound   planner.Bound
	Classes []planner.Class

	graph *planner.Graph
}

// WithBounds returns the state with the bound of each model and its limits. It takes long with many endpoints. It can
// run while the picker is in use: each model has its own copy of the graph.
func (s State) WithBounds() State {
	s.Models = slices.Clone(s.Models)
	for i := range s.Models {
		s.Models[i].Bound = s.Models[i].graph.Bound()
	}
	return s
}

// State returns the picker's state. WithBounds adds the bounds of the models that have been queried.
func (p *Picker) State(now time.Time) State {
	s := State{Peers: p.instanceCount}
	for id, l := range p.loads {
		s.Endpoints = append(s.Endpoints, EndpointState{
			ID: id, Kind: l.endpoint.Kind, DataCentre: l.endpoint.DataCentre, Held: l.endpoint.Held,
			Rate: p.estimatedRate(now, l), Weight: p.weight(now, l), Running: p.estimatedRequests(now, l), Inflight: l.inflight,
			Age: now.Sub(l.report.At), Leaving: l.leaving, Reserved: now.Before(l.reservedUntil), Prefixes: len(l.prefixes),
		})
	}
	for ends, l := range p.links {
		s.Links = append(s.Links, LinkState{
			From: ends.from, To: ends.to, Rate: l.link.Rate, Delay: l.link.Delay,
			Share: p.health.Share(now, linkName(ends.from, ends.to)),
		})
	}
	for key, g := range p.graphs {
		s.Models = append(s.Models, ModelState{
			Model: key.model, Version: key.version, Layers: key.layers, Classes: g.Classes, graph: g.Graph.Clone(),
		})
	}
	slices.SortFunc(s.Endpoints, func(a, b EndpointState) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Links, func(a, b LinkState) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	slices.SortFunc(s.Models, func(a, b ModelState) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return s
}
