package measurer

import (
	"math"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/control/assigner"
	"github.com/heatherrock/heatherrock/internal/serving/watcher"
)

const (
	// warmRounds is the number of rounds before a measurement, in which instances discover each other, and measuredRounds
	// the number of rounds in it.
	warmRounds     = 50
	measuredRounds = 10
	// spreadRounds is the number of rounds within which an entry shared during a measurement has to arrive.
	spreadRounds = 15
)

// instanceCost is the cost of the gossip exchange for one instance: bytes a second, share of a core, and bytes of memory.
type instanceCost struct {
	bytes  float64
	core   float64
	memory float64
}

// measureFleet runs a fleet and returns the cost for one instance: bytes sent and received, processor time including the
// encoding, and memory.
func measureFleet(seed uint64, s shape) (instanceCost, *fleet) {
	var f *fleet
	memory := heapGrowth(func() any {
		f = newFleet(seed, s)
		f.run(warmRounds)
		return f
	})
	f.transferredBytes = 0
	core := processorSeconds(func() { f.run(measuredRounds) })
	seconds := float64(measuredRounds * s.instances)
	return instanceCost{2 * float64(f.transferredBytes) / seconds, core / seconds, memory / float64(s.instances)}, f
}

// costFits holds the fitted costs of the exchange.
type costFits struct {
	bytes  linearFit
	core   linearFit
	memory linearFit
}

// fitCosts measures fleets of several sizes and fits the costs.
func fitCosts(seed uint64, sizes []float64, shapeOf func(size float64) shape) costFits {
	var bytes, core, memory []float64
	for _, size := range sizes {
		c, f := measureFleet(seed, shapeOf(size))
		bytes, core, memory = append(bytes, c.bytes), append(core, c.core), append(memory, c.memory)
		runtime.KeepAlive(f)
	}
	return costFits{fitLine(sizes, bytes), fitLine(sizes, core), fitLine(sizes, memory)}
}

// measureExchange measures the cost of the exchange by peers, by endpoints of a region whose loads are reported, and by
// changes.
func measureExchange(r reporter.Result, seed uint64, p plan) cost {
	reportRate := loadReportRate(seed)
	r.Set("told", reportRate, "loads a second and endpoint")
	peers := fitCosts(seed, []float64{39, 78, 117, 156}, func(n float64) shape {
		return shape{instances: int(n), regions: p.regions, dataCentres: p.dataCentres}
	})
	perRegion := p.endpoints / p.regions
	endpoints := fitCosts(seed, []float64{0, 400, 800, 1275}, func(n float64) shape {
		return shape{instances: 40, regions: 1, dataCentres: 3, endpoints: int(n), loadsPerSecond: reportRate}
	})
	changes := fitCosts(seed, []float64{0, 1, 2, 4}, func(n float64) shape {
		return shape{instances: 40, regions: 1, dataCentres: 3, changesPerSecond: n, entryBytes: changeBytes}
	})
	recordSlopes(r, "exchange_peers", "peer", peers)
	recordSlopes(r, "exchange_endpoints", "endpoint of the region", endpoints)
	recordSlopes(r, "exchange_changes", "change a second", changes)
	changeRate := p.changesPerDay / secondsPerDay
	total := cost{
		core: peers.core.costAt(float64(p.instances)) + endpoints.core.Slope*float64(perRegion) + changes.core.Slope*changeRate,
		bytes: peers.bytes.costAt(float64(p.instances)) + endpoints.bytes.Slope*float64(perRegion) +
			changes.bytes.Slope*changeRate,
		memory: peers.memory.costAt(float64(p.instances)) + endpoints.memory.Slope*float64(perRegion) +
			changes.memory.Slope*changeRate,
	}
	measureSpread(r, seed, p)
	return total
}

// recordSlopes records the slopes of fits: bytes a second, share of a core and bytes of memory for each further unit.
func recordSlopes(r reporter.Result, name, unit string, s costFits) {
	r.Set(name+"_bytes", s.bytes.Slope, "bytes a second for each "+unit)
	r.Set(name+"_bytes_error", s.bytes.Error, "bytes a second for each "+unit)
	r.Set(name+"_core", s.core.Slope, "share of a core for each "+unit)
	r.Set(name+"_core_error", s.core.Error, "share of a core for each "+unit)
	r.Set(name+"_memory", s.memory.Slope, "bytes for each "+unit)
}

// measureSpread measures how long fleet-wide entries take to reach all instances of a large fleet with regions.
func measureSpread(r reporter.Result, seed uint64, p plan) {
	s := shape{instances: spreadInstances, regions: p.regions, dataCentres: p.dataCentres, changesPerSecond: 1, entryBytes: changeBytes}
	_, f := measureFleet(seed, s)
	measuredUntil := f.now
	f.shape.changesPerSecond = 0
	f.run(spreadRounds)
	longest, missing := f.spreadBefore(measuredUntil)
	r.Set("spread", longest.Seconds(), "s")
	r.Set("spread_missing", float64(missing), "entries")
}

// spreadInstances is the number of instances in the measurement of the spread.
const spreadInstances = 156

// The load of an endpoint at the planned size, for the rate of load reports: requests are in flight for flightTime
// and run through stagesPerRequest endpoints; the load swings by loadSwing over swingPeriod.
const (
	stagesPerRequest = 4
	flightTime       = 16600 * time.Millisecond
	loadSwing        = 0.3
	swingPeriod      = 10 * time.Minute
	loadReportTime   = 20 * time.Minute
)

// loadReportRate returns how many times a second an endpoint's load is reported, for Poisson arrivals at a varying rate.
func loadReportRate(seed uint64) float64 {
	r := rand.New(rand.NewPCG(seed, 11))
	arrivals := planned.requestsPerSecond * stagesPerRequest / float64(planned.endpoints)
	running := arrivals * flightTime.Seconds()
	start := time.Unix(0, 0).Add(time.Hour)
	var loadReporter assigner.LoadReporter
	reportCount := 0
	for t := time.Duration(0); t < loadReportTime; t += time.Second {
		phase := math.Sin(2 * math.Pi * t.Seconds() / swingPeriod.Seconds())
		in := drawPoisson(r, arrivals*(1+loadSwing*phase))
		out := drawPoisson(r, running/flightTime.Seconds())
		running = max(0, running+in-out)
		l := assigner.Load{Running: int(running), Rate: 4096}
		if loadReporter.RecordIfDue(start.Add(t), l, watcher.MinLoadInterval, watcher.MaxLoadInterval) {
			reportCount++
		}
	}
	return float64(reportCount) / loadReportTime.Seconds()
}

// drawPoisson returns a draw from the normal approximation of a Poisson distribution.
func drawPoisson(r *rand.Rand, mean float64) float64 {
	return max(0, mean+math.Sqrt(mean)*r.NormFloat64())
}
