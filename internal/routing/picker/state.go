package picker

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// State is the picker as printed in the state dump.
type State struct {
	Peers     int
	Endpoints []EndpointState
	Links     []LinkState
	Models    []ModelState
}

// EndpointState is what is believed of one endpoint.
type EndpointState struct {
	ID         string
	Kind       string
	DataCentre string
	Held       []planner.Held
	// Rate is the believed rate in layer steps a second, and Weight the same during a slow start.
	Rate   float64
	Weight float64
	// Running is the number of requests believed to be on it, and Inflight the own ones.
	Running  float64
	Inflight int
	// Age is the age of the last report.
	Age      time.Duration
	Leaving  bool
	Reserved bool
	Prefixes int
}

// LinkState is what is believed of one link between data centres.
type LinkState struct {
	From string
	To   string
	// Rate is the nominal capacity in tokens a second, zero without limit.
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

// WithBounds returns the state with the bound of each model and what limits it. It takes long with many endpoints, and
// needs nothing of the picker: each model has a copy of its graph.
func (s State) WithBounds() State {
	s.Models = slices.Clone(s.Models)
	for i := range s.Models {
		s.Models[i].Bound = s.Models[i].graph.Bound()
	}
	return s
}

// State returns the picker's state. The bounds of the models that were asked for are left to WithBounds.
func (p *Picker) State(now time.Time) State {
	s := State{Peers: p.peers}
	for id, l := range p.loads {
		s.Endpoints = append(s.Endpoints, EndpointState{
			ID: id, Kind: l.endpoint.Kind, DataCentre: l.endpoint.DataCentre, Held: l.endpoint.Held,
			Rate: p.rate(now, l), Weight: p.weight(now, l), Running: p.running(now, l), Inflight: l.inflight,
			Age: now.Sub(l.report.At), Leaving: l.leaving, Reserved: now.Before(l.reserved), Prefixes: len(l.prefixes),
		})
	}
	for w, l := range p.links {
		s.Links = append(s.Links, LinkState{
			From: w.from, To: w.to, Rate: l.link.Rate, Delay: l.link.Delay,
			Share: p.health.Share(now, linkName(w.from, w.to)),
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
