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
	// planLayers is the number of layers of the model.
	planLayers = 80
	pickerTime = 2 * time.Second
	// reportInterval is the time between the load reports of an endpoint that reach the picker.
	reportInterval = 500 * time.Millisecond
	// routedEngines is the number of engines that an instance routes to.
	routedEngines = 400
)

// newEndpoints returns endpoints of a region that hold layer ranges of a model, which is cut into ranges in two ways.
func newEndpoints(count int) []planner.Endpoint {
	var out []planner.Endpoint
	for i := range count {
		rangeCount := 4
		if i%3 == 0 {
			rangeCount = 2
		}
		size := planLayers / rangeCount
		from := i / 3 % rangeCount * size
		out = append(out, planner.Endpoint{
			ID: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("10.20.%d.%d:8000", i/250, i%250),
			Kind: fmt.Sprint("kind-", rangeCount), DataCentre: fmt.Sprint("centre-", i%3), Region: "region-0",
			Held: []planner.Held{{Model: "large", Version: "v12", From: from, To: from + size}}, Rate: 81_000,
		})
	}
	return out
}

// measurePicker measures the picker by the number of endpoints: the upkeep of its graph under load reports, and plans.
func measurePicker(r reporter.Result, seed uint64, p plan) cost {
	sizes := []float64{160, 320, 640, 1275}
	plansPerSecond := p.requestsPerSecond / float64(p.instances)
	var upkeep, plans, memory []float64
	for _, n := range sizes {
		c, heapBytes := measurePickerAt(seed, int(n), plansPerSecond)
		upkeep, plans, memory = append(upkeep, c.upkeep), append(plans, c.planTime), append(memory, heapBytes)
	}
	upkeepFit, planFit, memoryFit := fitLine(sizes, upkeep), fitLine(sizes, plans), fitLine(sizes, memory)
	region := float64(p.endpoints / p.regions)
	r.Set("planner_region_core", upkeepFit.costAt(region), "share of a core for upkeep if a node routes to all endpoints of its region")
	r.Set("planner_upkeep_core", upkeepFit.Slope, "share of a core for each endpoint routed to")
	r.Set("planner_upkeep_core_error", upkeepFit.Error, "share of a core for each endpoint routed to")
	r.Set("planner_plan_core", planFit.Slope, "core-seconds a plan for each endpoint routed to")
	r.Set("planner_plan", planFit.costAt(routedEngines), "core-seconds a plan at the planned size")
	r.Set("planner_plans_core", planFit.costAt(routedEngines)*plansPerSecond, "share of a core for the plans of a node at the planned size")
	r.Set("planner_memory", memoryFit.Slope, "bytes for each endpoint routed to")
	return cost{core: upkeepFit.costAt(routedEngines), memory: memoryFit.costAt(routedEngines)}
}

// pickerCost is the picker's cost at one size: share of a core for upkeep, and core-seconds for a plan.
type pickerCost struct {
	upkeep   float64
	planTime float64
}

// measurePickerAt measures the picker with a number of endpoints, and returns its memory too.
func measurePickerAt(seed uint64, count int, plansPerSecond float64) (pickerCost, float64) {
	r := rand.New(rand.NewPCG(seed, 3))
	now := time.UnixMilli(1_700_000_000_000)
	var c *picker.Picker
	endpoints := newEndpoints(count)
	memory := heapGrowth(func() any {
		c = picker.New(picker.WithInstanceCount(40))
		observeAll(c, now, endpoints, r)
		return c
	})
	q := picker.Query{Model: "large", Version: "v12", Layers: planLayers, DataCentre: "centre-0", Tokens: 400}
	c.Pick(now, q, r)
	steps := int(pickerTime / reportInterval)
	upkeep := processorSeconds(func() {
		at := now
		for range steps {
			at = at.Add(reportInterval)
			observeAll(c, at, endpoints, r)
			c.Pick(at, q, r)
			c.Pick(at.Add(reportInterval/2), q, r)
		}
	}) / pickerTime.Seconds()
	at := now.Add(pickerTime)
	c.Pick(at, q, r)
	picks := max(1, int(plansPerSecond*pickerTime.Seconds()))
	plan := processorSeconds(func() {
		for range picks {
			c.Pick(at, q, r)
		}
	}) / float64(picks)
	runtime.KeepAlive(c)
	return pickerCost{upkeep, plan}, memory
}

// observeAll passes a load report of each endpoint to the picker.
func observeAll(c *picker.Picker, now time.Time, endpoints []planner.Endpoint, r *rand.Rand) {
	for _, e := range endpoints {
		c.Observe(now, e, picker.Report{Running: 300 + r.IntN(200), Rate: e.Rate, At: now})
	}
}
