package measurer

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

const (
	// planLayers is the number of layers of the model, and cuts the number of ranges of each of two ways to cut it.
	planLayers = 80
	planTime   = 2 * time.Second
	// passTime is the time between reports handed on of an endpoint.
	passTime = 500 * time.Millisecond
	// subset is the number of engines that a node routes to.
	subset = 400
)

// pool returns endpoints of a region that hold ranges of a model, cut in two ways.
func pool(count int) []planner.Endpoint {
	var out []planner.Endpoint
	for i := range count {
		parts := 4
		if i%3 == 0 {
			parts = 2
		}
		size := planLayers / parts
		from := i / 3 % parts * size
		out = append(out, planner.Endpoint{
			ID: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("10.20.%d.%d:8000", i/250, i%250),
			Kind: fmt.Sprint("kind-", parts), DataCentre: fmt.Sprint("centre-", i%3), Region: "region-0",
			Held: []planner.Held{{Model: "large", Version: "v12", From: from, To: from + size}}, Rate: 81_000,
		})
	}
	return out
}

// choose measures the picker by the endpoints that it knows: the upkeep of its graph with reports handed on, and plans.
func choose(r reporter.Result, seed uint64, p plan) cost {
	sizes := []float64{160, 320, 640, 1275}
	each := p.requests / float64(p.instances)
	var upkeep, plans, memory []float64
	for _, n := range sizes {
		c, held := chooseAt(seed, int(n), each)
		upkeep, plans, memory = append(upkeep, c.upkeep), append(plans, c.plan), append(memory, held)
	}
	up, pick, mem := fit(sizes, upkeep), fit(sizes, plans), fit(sizes, memory)
	region := float64(p.endpoints / p.regions)
	r.Set("planner_region_core", up.at(region), "share of a core for upkeep if a node routes to all endpoints of its region")
	r.Set("planner_upkeep_core", up.Slope, "share of a core for each endpoint routed to")
	r.Set("planner_upkeep_core_error", up.Error, "share of a core for each endpoint routed to")
	r.Set("planner_plan_core", pick.Slope, "core-seconds a plan for each endpoint routed to")
	r.Set("planner_plan", pick.at(subset), "core-seconds a plan at the planned size")
	r.Set("planner_plans_core", pick.at(subset)*each, "share of a core for the plans of a node at the planned size")
	r.Set("planner_memory", mem.Slope, "bytes for each endpoint routed to")
	return cost{core: up.at(subset), memory: mem.at(subset)}
}

// choice is the picker's cost at one size: share of a core for upkeep, and core-seconds for a plan.
type choice struct {
	upkeep float64
	plan   float64
}

// chooseAt measures the picker with a number of endpoints.
func chooseAt(seed uint64, count int, each float64) (choice, float64) {
	r := rand.New(rand.NewPCG(seed, 3))
	now := time.UnixMilli(1_700_000_000_000)
	var c *picker.Picker
	endpoints := pool(count)
	memory := grown(func() any {
		c = picker.New(picker.WithInstanceCount(40))
		observe(c, now, endpoints, r)
		return c
	})
	q := picker.Query{Model: "large", Version: "v12", Layers: planLayers, DataCentre: "centre-0", Tokens: 400}
	c.Pick(now, q, r)
	steps := int(planTime / passTime)
	upkeep := spent(func() {
		at := now
		for range steps {
			at = at.Add(passTime)
			observe(c, at, endpoints, r)
			c.Pick(at, q, r)
			c.Pick(at.Add(passTime/2), q, r)
		}
	}) / planTime.Seconds()
	at := now.Add(planTime)
	c.Pick(at, q, r)
	picks := max(1, int(each*planTime.Seconds()))
	plan := spent(func() {
		for range picks {
			c.Pick(at, q, r)
		}
	}) / float64(picks)
	runtime.KeepAlive(c)
	return choice{upkeep, plan}, memory
}

// observe hands a report of each endpoint on.
func observe(c *picker.Picker, now time.Time, endpoints []planner.Endpoint, r *rand.Rand) {
	for _, e := range endpoints {
		c.Observe(now, e, picker.Report{Running: 300 + r.IntN(200), Rate: e.Rate, At: now})
	}
}
