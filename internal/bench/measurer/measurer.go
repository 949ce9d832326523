// Package measurer measures what control costs an instance by the size of the fleet, and computes the cost at the
// planned size.
package measurer

import (
	"github.com/heatherrock/heatherrock/internal/bench/reporter"
)

const (
	secondsPerDay = 86_400
	// bytesPerKB and bytesPerMB are the bytes of a KB and a MB.
	bytesPerKB = 1_000
	bytesPerMB = 1_000_000
	// The control budgets of an instance: share of a core, memory in MB, and KB a second.
	targetCore        = 0.021
	targetMemoryMB    = 256
	targetKBPerSecond = 20
	// activationBytes is the size of the activations of one token between two stages: 8,192 values of two bytes.
	activationBytes = 8_192 * 2
	// tokenLineBytes is the size of a token's line on a stream between engine and instance, and between instance and
	// caller.
	tokenLineBytes = 250
)

// plan is the size of a fleet that the design is for.
type plan struct {
	instances   int
	endpoints   int
	regions     int
	dataCentres int
	teams       int
	models      int
	// changesPerDay is the number of configuration changes a day.
	changesPerDay     float64
	requestsPerSecond float64
	tokensPerSecond   float64
}

// planned is the planned size.
var planned = plan{
	instances: 390, endpoints: 5_100, regions: 4, dataCentres: 10, teams: 1_300, models: 4,
	changesPerDay: 9_800, requestsPerSecond: 31_000, tokensPerSecond: 12e6,
}

// cost is the cost of a role for one instance at the planned size: share of a core, bytes a second, and bytes of memory.
type cost struct {
	core   float64
	bytes  float64
	memory float64
}

// recordFigures records the measured parts of a role's cost.
func (c cost) recordFigures(r reporter.Result, role string) {
	if c.core > 0 {
		r.Set(role+"_node_core", c.core, "share of a core at the planned size")
	}
	if c.bytes > 0 {
		r.Set(role+"_node_bytes", c.bytes/bytesPerKB, "KB a second at the planned size, both ways")
	}
	if c.memory > 0 {
		r.Set(role+"_node_memory", c.memory/bytesPerMB, "MB at the planned size")
	}
}

// Experiments returns the experiments of this package.
func Experiments() []reporter.Experiment {
	return []reporter.Experiment{{
		Name: "capacity",
		Help: "what control costs a node, by peers, endpoints, teams, records and changes, and at the planned size",
		Run:  runCapacity,
	}, {
		Name: "planned",
		Help: "the exchange of all instances of the planned size in one process, against the fit of capacity",
		Run:  runPlanned,
	}}
}

// runPlanned measures the exchange in a fleet of the planned size.
func runPlanned(seed uint64) (reporter.Result, error) {
	r := reporter.NewResult("planned", seed)
	measuredCost, f := measureFleet(seed, shape{
		instances: planned.instances, regions: planned.regions, dataCentres: planned.dataCentres, endpoints: planned.endpoints,
		loadsPerSecond: loadReportRate(seed), changesPerSecond: planned.changesPerDay / secondsPerDay, entryBytes: changeBytes,
	})
	f.shape.changesPerSecond = 2
	f.run(plannedRounds)
	sharedUntil := f.now
	f.shape.changesPerSecond = 0
	f.run(plannedRounds)
	longest, missing := f.spreadBefore(sharedUntil)
	r.Set("exchange_bytes", measuredCost.bytes/bytesPerKB, "KB a second and node, both ways")
	r.Set("exchange_core", measuredCost.core, "share of a core")
	r.Set("exchange_memory", measuredCost.memory/bytesPerMB, "MB")
	r.SetTarget("spread", longest.Seconds(), "s", spreadTargetSeconds)
	r.SetTarget("spread_missing", float64(missing), "entries", 0)
	return r, nil
}

// plannedRounds is the number of rounds in which entries are shared at the planned size, and of those that they then
// have to arrive.
const plannedRounds = 6

// spreadTargetSeconds is the time within which a configuration change has to be in force everywhere.
const spreadTargetSeconds = 5

// runCapacity measures the slopes and adds up the costs of the roles.
func runCapacity(seed uint64) (reporter.Result, error) {
	r := reporter.NewResult("capacity", seed)
	watcherCost, err := measureWatch(r, planned)
	if err != nil {
		return r, err
	}
	readerCost, err := measureRecords(r, planned)
	if err != nil {
		return r, err
	}
	metricsCost, err := measureMetrics(r, planned)
	if err != nil {
		return r, err
	}
	connectionsCost, err := measureConnections(r)
	if err != nil {
		return r, err
	}
	roles := []struct {
		name string
		cost cost
	}{
		{"connections", connectionsCost},
		{"watcher", watcherCost},
		{"reader", readerCost},
		{"metrics", metricsCost},
		{"planner", measurePicker(r, seed, planned)},
		{"limits", measureTeams(r, planned)},
		{"exchange", measureExchange(r, seed, planned)},
	}
	var total cost
	for _, role := range roles {
		role.cost.recordFigures(r, role.name)
		total.core += role.cost.core
		total.bytes += role.cost.bytes
		total.memory += role.cost.memory
	}
	r.SetTarget("core", total.core, "share of a core", targetCore)
	r.SetTarget("memory", total.memory/bytesPerMB, "MB", targetMemoryMB)
	r.SetTarget("bytes", total.bytes/bytesPerKB, "KB a second, both ways", targetKBPerSecond)
	measureFailures(r, seed, planned)
	recordRelayTraffic(r, planned)
	return r, nil
}

// recordRelayTraffic records the computed traffic through one entry instance: with activations relayed between
// stages, and with stages that pass them on directly.
func recordRelayTraffic(r reporter.Result, p plan) {
	tokens := p.tokensPerSecond / float64(p.instances)
	r.Set("tokens", tokens, "tokens a second and node")
	r.Set("relayed", tokens*activationBytes*2*(stagesPerRequest-1)/1e9, "GB a second and node if activations are relayed, both ways")
	r.Set("passed", tokens*tokenLineBytes*2/1e6, "MB a second and node if stages pass activations on, both ways")
}
