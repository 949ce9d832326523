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

// Router takes in what is known of engines.
type Router interface {
	Observe(now time.Time, e planner.Endpoint, r picker.Report)
	Leave(now time.Time, id string)
	Remove(now time.Time, id string)
	// Missed tells that an endpoint does not answer this instance's reads, and Answered that it does again.
	Missed(now time.Time, id string)
	Answered(now time.Time, id string)
}

// Registry keeps the engines of a region for the repairs, and passes on what it learns to a Router.
type Registry struct {
	next   Router
	region string
	view   func() recorder.View
	now    func() time.Time
	// stale is the age of the last report from which an engine counts as gone.
	stale time.Duration

	mu      sync.Mutex
	engines map[string]engineState
}

// engineState is what was last learned of an engine.
type engineState struct {
	endpoint planner.Endpoint
	leaving  bool
	at       time.Time
}

// NewRegistry returns a registry of a region's engines. An engine that was not heard of for stale counts as gone.
func NewRegistry(region string, stale time.Duration, view func() recorder.View, now func() time.Time, next Router) *Registry {
	return &Registry{next: next, region: region, view: view, now: now, stale: stale, engines: map[string]engineState{}}
}

// Observe takes in an engine's report.
func (g *Registry) Observe(now time.Time, e planner.Endpoint, r picker.Report) {
	g.mu.Lock()
	if e.Region == g.region {
		g.engines[e.ID] = engineState{endpoint: e, at: now}
	}
	g.mu.Unlock()
	g.next.Observe(now, e, r)
}

// Leave takes in that an engine is leaving.
func (g *Registry) Leave(now time.Time, id string) {
	g.mu.Lock()
	if e, ok := g.engines[id]; ok {
		e.leaving = true
		g.engines[id] = e
	}
	g.mu.Unlock()
	g.next.Leave(now, id)
}

// Remove forgets an engine.
func (g *Registry) Remove(now time.Time, id string) {
	g.mu.Lock()
	delete(g.engines, id)
	g.mu.Unlock()
	g.next.Remove(now, id)
}

// Missed passes on that an engine does not answer. The repairs go by the age of its last report.
func (g *Registry) Missed(now time.Time, id string) {
	g.next.Missed(now, id)
}

// Answered passes on that an engine answers again.
func (g *Registry) Answered(now time.Time, id string) {
	g.next.Answered(now, id)
}

// Needs returns the versions of models in force that get traffic, by name.
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

// needOf returns what a version of a model needs.
func needOf(name, version string, m recorder.Model) repairer.Need {
	n := repairer.Need{Model: name, Version: version, Layers: m.Layers}
	for _, s := range m.Stages {
		n.Stages = append(n.Stages, repairer.Stage(s))
	}
	return n
}

// Endpoints returns the engines of the region, by name.
func (g *Registry) Endpoints() []Endpoint {
	kinds := g.view().Endpoints
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []Endpoint
	for _, id := range slices.Sorted(maps.Keys(g.engines)) {
		s := g.engines[id]
		e := Endpoint{Address: s.endpoint.Address}
		e.ID, e.Kind, e.DataCentre, e.Rate = id, s.endpoint.Kind, s.endpoint.DataCentre, s.endpoint.Rate
		e.Unavailable = s.leaving || g.now().Sub(s.at) > g.stale
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
