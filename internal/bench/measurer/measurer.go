// Package measurer measures what an instance spends on control, by the size of the fleet, and works out what it spends
// at the planned size.
package measurer

import (
	"github.com/heatherrock/heatherrock/internal/bench/reporter"
)

const (
	daySeconds = 86_400
	// kilo and mega are the bytes of a KB and a MB.
	kilo = 1_000
	mega = 1_000_000
	// The budgets of a node for control: share of a core, memory in MB, and KB a second.
	targetCore   = 0.021
	targetMemory = 256
	targetBytes  = 20
	// activationBytes is the size of the activations of one token between two stages: 8,192 values of two bytes.
	activationBytes = 8_192 * 2
	// lineBytes is the size of a token's line on a stream between engine and instance, and between instance and
	// caller, in bytes.
	lineBytes = 250
)

// plan is the size that the design is for.
type plan struct {
	instances int
	endpoints int
	regions   int
	centres   int
	teams     int
	models    int
	// changes is the number of changes of the configuration a day, requests and tokens those a second.
	changes  float64
	requests float64
	tokens   float64
}

// planned is the size of the project's plan.
var planned = plan{
	instances: 390, endpoints: 5_100, regions: 4, centres: 10, teams: 1_300, models: 4,
	changes: 9_800, requests: 31_000, tokens: 12e6,
}

// cost is what one node spends on a role at the planned size: share of a core, bytes a second, and bytes of memory.
type cost struct {
	core   float64
	bytes  float64
	memory float64
}

// report records the measured parts of a role's cost.
func (c cost) report(r reporter.Result, role string) {
	if c.core > 0 {
		r.Set(role+"_node_core", c.core, "share of a core at the planned size")
	}
	if c.bytes > 0 {
		r.Set(role+"_node_bytes", c.bytes/kilo, "KB a second at the planned size, both ways")
	}
	if c.memory > 0 {
		r.Set(role+"_node_memory", c.memory/mega, "MB at the planned size")
	}
}

// Experiments returns the experiments of this package.
func Experiments() []reporter.Experiment {
	return []reporter.Experiment{{
		Name: "capacity",
		Help: "what control costs a node, by peers, endpoints, teams, records and changes, and at the planned size",
		Run:  run,
	}, {
		Name: "planned",
		Help: "the exchange of all instances of the planned size in one process, against the fit of capacity",
		Run:  runPlanned,
	}}
}

// runPlanned measures the exchange at the planned size itself.
func runPlanned(seed uint64) (reporter.Result, error) {
	r := reporter.NewResult("planned", seed)
	l, f := measure(seed, shape{
		instances: planned.instances, regions: planned.regions, centres: planned.centres, endpoints: planned.endpoints,
		loads: toldRate(seed), changes: planned.changes / daySeconds, size: changeBytes,
	})
	f.shape.changes = 2
	f.run(plannedRounds)
	end := f.now
	f.shape.changes = 0
	f.run(plannedRounds)
	longest, missing := f.spread(end)
	r.Set("exchange_bytes", l.bytes/kilo, "KB a second and node, both ways")
	r.Set("exchange_core", l.core, "share of a core")
	r.Set("exchange_memory", l.memory/mega, "MB")
	r.SetTarget("spread", longest.Seconds(), "s", spreadTarget)
	r.SetTarget("spread_missing", float64(missing), "entries", 0)
	return r, nil
}

// plannedRounds is how many rounds entries are shared at the planned size, and how many they then have to arrive.
const plannedRounds = 6

// spreadTarget is the time in which a change of the configuration is to be in force everywhere, in seconds.
const spreadTarget = 5

// run measures the slopes and adds up the roles.
func run(seed uint64) (reporter.Result, error) {
	r := reporter.NewResult("capacity", seed)
	watching, err := watch(r, planned)
	if err != nil {
		return r, err
	}
	configuration, err := records(r, planned)
	if err != nil {
		return r, err
	}
	measured, err := metrics(r, planned)
	if err != nil {
		return r, err
	}
	connected, err := connections(r)
	if err != nil {
		return r, err
	}
	roles := []struct {
		name string
		cost cost
	}{
		{"connections", connected},
		{"watcher", watching},
		{"reader", configuration},
		{"metrics", measured},
		{"planner", choose(r, seed, planned)},
		{"limits", teams(r, planned)},
		{"exchange", exchange(r, seed, planned)},
	}
	var total cost
	for _, role := range roles {
		role.cost.report(r, role.name)
		total.core += role.cost.core
		total.bytes += role.cost.bytes
		total.memory += role.cost.memory
	}
	r.SetTarget("core", total.core, "share of a core", targetCore)
	r.SetTarget("memory", total.memory/mega, "MB", targetMemory)
	r.SetTarget("bytes", total.bytes/kilo, "KB a second, both ways", targetBytes)
	failures(r, seed, planned)
	relay(r, planned)
	return r, nil
}

// relay works out the bytes through one entry instance: with activations relayed between stages, and with stages that
// pass them on.
func relay(r reporter.Result, p plan) {
	tokens := p.tokens / float64(p.instances)
	r.Set("tokens", tokens, "tokens a second and node")
	r.Set("relayed", tokens*activationBytes*2*(stagesEach-1)/1e9, "GB a second and node if activations are relayed, both ways")
	r.Set("passed", tokens*lineBytes*2/1e6, "MB a second and node if stages pass activations on, both ways")
}
