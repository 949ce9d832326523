package picker

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// Repair returns a plan that keeps the stages of an earlier one, but replaces those whose endpoints must not be used.
// A kept stage still has the request's KV cache: only the layers of replaced stages run the prefix again. It reports
// false if a stage has no replacement, or if no stage would be kept.
func (p *Picker) Repair(now time.Time, q Query, old planner.Plan, r *rand.Rand) (planner.Plan, bool) {
	if old.Model != q.Model || old.Version != q.Version || len(old.Stages) == 0 {
		return planner.Plan{}, false
	}
	c := chooser{picker: p, graph: p.graph(now, q), query: q, now: now, random: r}
	plan := planner.Plan{Model: old.Model, Version: old.Version}
	kept := 0
	from := q.DataCentre
	for _, s := range old.Stages {
		l := p.loads[s.Endpoint]
		if l != nil && holds(l, q, s) && c.weight(l) > 0 {
			kept++
		} else {
			l = c.replacement(s, from)
		}
		if l == nil {
			return planner.Plan{}, false
		}
		plan.Stages = append(plan.Stages, planner.Stage{
			Endpoint: l.endpoint.ID, Address: l.endpoint.Address, From: s.From, To: s.To,
		})
		from = l.endpoint.DataCentre
	}
	return plan, kept > 0
}

// replacement returns the endpoint of least cost that can run a stage, given the data centre of the stage before it,
// or nil.
func (c *chooser) replacement(s planner.Stage, from string) *load {
	var best *load
	least := math.Inf(1)
	for _, id := range slices.Sorted(maps.Keys(c.picker.loads)) {
		l := c.picker.loads[id]
		if !holds(l, c.query, s) || c.weight(l) <= 0 {
			continue
		}
		step := c.picker.stepTime(c.now, l, s.To-s.From, max(c.picker.estimatedRate(c.now, l), 1))
		cost := step + c.picker.crossingTime(c.now, from, l.endpoint.DataCentre)
		if cost.Seconds() < least {
			best, least = l, cost.Seconds()
		}
	}
	return best
}

// holds reports whether an endpoint holds all layers of a stage.
func holds(l *load, q Query, s planner.Stage) bool {
	return slices.ContainsFunc(l.endpoint.Held, func(h planner.Held) bool {
		return h.Model == q.Model && h.Version == q.Version && h.From <= s.From && s.To <= h.To
	})
}
