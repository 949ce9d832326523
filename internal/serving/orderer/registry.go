package orderer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/control/repairer"
	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// Router receives the state of engines.
type Router interface {
	Observe(now time.Time, e planner.Endpoint, r picker.Report)
	MarkLeaving(now time.Time, id string)
	Remove(now time.Time, id string)
	// RecordLoadReadFailure reports that an endpoint's load cannot be read, RecordLoadReadSuccess that it can be again.
	RecordLoadReadFailure(now time.Time, id string)
	RecordLoadReadSuccess(now time.Time, id string)
}

// Registry records the state of a region's engines for the repairs and passes every call on to a Router.
type Registry struct {
	router Router
	region string
	view   func() recorder.View
	now    func() time.Time
	// maxReportAge is the age of the last report beyond which an engine counts as unavailable.
	maxReportAge time.Duration

	mu      sync.Mutex
	engines map[string]engineState
}

// engineState is the last report of an engine, which was received at observedAt.
type engineState struct {
	endpoint   planner.Endpoint
	isLeaving  bool
	observedAt time.Time
}

// NewRegistry returns a registry of a region's engines. An engine whose last report is older than maxReportAge counts as
// unavailable.
func NewRegistry(region string, maxReportAge time.Duration, view func() recorder.View, now func() time.Time, next Router) *Registry {
	return &Registry{router: next, region: region, view: view, now: now, maxReportAge: maxReportAge, engines: map[string]engineState{}}
}

// Observe records an engine's report.
func (g *Registry) Observe(now time.Time, e planner.Endpoint, r picker.Report) {
	g.mu.Lock()
	if e.Region == g.region {
		g.engines[e.ID] = engineState{endpoint: e, observedAt: now}
	}
	g.mu.Unlock()
	g.router.Observe(now, e, r)
}

// MarkLeaving records that an engine is leaving.
func (g *Registry) MarkLeaving(now time.Time, id string) {
	g.mu.Lock()
	if e, ok := g.engines[id]; ok {
		e.isLeaving = true
		g.engines[id] = e
	}
	g.mu.Unlock()
	g.router.MarkLeaving(now, id)
}

// Remove removes an engine.
func (g *Registry) Remove(now time.Time, id string) {
	g.mu.Lock()
	delete(g.engines, id)
	g.mu.Unlock()
	g.router.Remove(now, id)
}

// RecordLoadReadFailure passes on that an engine's load cannot be read. The repairs ignore it and use the age of the last
// report instead.
func (g *Registry) RecordLoadReadFailure(now time.Time, id string) {
	g.router.RecordLoadReadFailure(now, id)
}

// RecordLoadReadSuccess passes on that an engine's load can be read again.
func (g *Registry) RecordLoadReadSuccess(now time.Time, id string) {
	g.router.RecordLoadReadSuccess(now, id)
}

// Needs returns the needs of the model versions in force that receive traffic, in the order of the models' names.
func (g *Registry) Needs() []repairer.Need {
	models := g.view().Models
	var needs []repairer.Need
	for _, name := range slices.Sorted(maps.Keys(models)) {
		for _, v := range models[name].Versions {
			if v.SharePercent > 0 {
				needs = append(needs, needOf(name, v.Name, models[name]))
			}
		}
	}
	return needs
}

// needOf returns the layers and stages that a version of a model needs.
func needOf(name, version string, m recorder.Model) repairer.Need {
	n := repairer.Need{Model: name, Version: version, Layers: m.Layers}
	for _, s := range m.Stages {
		n.Stages = append(n.Stages, repairer.Stage(s))
	}
	return n
}

// Endpoints returns the engines of the region in the order of their IDs.
func (g *Registry) Endpoints() []Endpoint {
	kinds := g.view().Endpoints
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []Endpoint
	for _, id := range slices.Sorted(maps.Keys(g.engines)) {
		s := g.engines[id]
		e := Endpoint{Address: s.endpoint.Address}
		e.ID, e.Kind, e.DataCentre, e.Rate = id, s.endpoint.Kind, s.endpoint.DataCentre, s.endpoint.Rate
		e.Unavailable = s.isLeaving || g.now().Sub(s.observedAt) > g.maxReportAge
		for _, a := range kinds[e.Kind].Ranges {
			e.Allowed = append(e.Allowed, repairer.Range{Model: a.Model, From: a.From, To: a.To})
		}
		for _, h := range s.endpoint.Held {
			e.Held = append(e.Held, repairer.Range(h))
		}
		all = append(all, e)
	}
	return all
}
