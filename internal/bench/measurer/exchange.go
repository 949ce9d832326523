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
	// warmRounds pass before a measurement, in which instances learn of each other, and measuredRounds in it.
	warmRounds     = 50
	measuredRounds = 10
	// spreadRounds is how many rounds an entry shared during a measurement has to arrive.
	spreadRounds = 15
)

// load is what the exchange costs one instance a second.
type load struct {
	bytes  float64
	core   float64
	memory float64
}

// measure runs a fleet and returns the cost for one instance: bytes sent and received, processor time including the
// encoding, and memory.
func measure(seed uint64, s shape) (load, *fleet) {
	var f *fleet
	memory := grown(func() any {
		f = newFleet(seed, s)
		f.run(warmRounds)
		return f
	})
	f.bytes = 0
	core := spent(func() { f.run(measuredRounds) })
	seconds := float64(measuredRounds * s.instances)
	return load{2 * float64(f.bytes) / seconds, core / seconds, memory / float64(s.instances)}, f
}

// slopes holds the fits of the exchange's cost.
type slopes struct {
	bytes  line
	core   line
	memory line
}

// sweep measures fleets of several sizes and fits the costs.
func sweep(seed uint64, sizes []float64, at func(size float64) shape) slopes {
	var bytes, core, memory []float64
	for _, size := range sizes {
		l, f := measure(seed, at(size))
		bytes, core, memory = append(bytes, l.bytes), append(core, l.core), append(memory, l.memory)
		runtime.KeepAlive(f)
	}
	return slopes{fit(sizes, bytes), fit(sizes, core), fit(sizes, memory)}
}

// exchange measures what the exchange costs by peers, by endpoints of a region whose loads are told, and by changes.
func exchange(r reporter.Result, seed uint64, p plan) cost {
	told := toldRate(seed)
	r.Set("told", told, "loads a second and endpoint")
	peers := sweep(seed, []float64{39, 78, 117, 156}, func(n float64) shape {
		return shape{instances: int(n), regions: p.regions, centres: p.centres}
	})
	perRegion := p.endpoints / p.regions
	endpoints := sweep(seed, []float64{0, 400, 800, 1275}, func(n float64) shape {
		return shape{instances: 40, regions: 1, centres: 3, endpoints: int(n), loads: told}
	})
	changes := sweep(seed, []float64{0, 1, 2, 4}, func(n float64) shape {
		return shape{instances: 40, regions: 1, centres: 3, changes: n, size: changeBytes}
	})
	put(r, "exchange_peers", "peer", peers)
	put(r, "exchange_endpoints", "endpoint of the region", endpoints)
	put(r, "exchange_changes", "change a second", changes)
	rate := p.changes / daySeconds
	total := cost{
		core: peers.core.at(float64(p.instances)) + endpoints.core.Slope*float64(perRegion) + changes.core.Slope*rate,
		bytes: peers.bytes.at(float64(p.instances)) + endpoints.bytes.Slope*float64(perRegion) +
			changes.bytes.Slope*rate,
		memory: peers.memory.at(float64(p.instances)) + endpoints.memory.Slope*float64(perRegion) +
			changes.memory.Slope*rate,
	}
	spread(r, seed, p)
	return total
}

// put records the slopes of a sweep: bytes a second, share of a core and bytes of memory for one more of a unit.
func put(r reporter.Result, name, unit string, s slopes) {
	r.Set(name+"_bytes", s.bytes.Slope, "bytes a second for each "+unit)
	r.Set(name+"_bytes_error", s.bytes.Error, "bytes a second for each "+unit)
	r.Set(name+"_core", s.core.Slope, "share of a core for each "+unit)
	r.Set(name+"_core_error", s.core.Error, "share of a core for each "+unit)
	r.Set(name+"_memory", s.memory.Slope, "bytes for each "+unit)
}

// spread measures how long fleet-wide entries take to reach all instances, with regions and at a large size.
func spread(r reporter.Result, seed uint64, p plan) {
	s := shape{instances: spreadInstances, regions: p.regions, centres: p.centres, changes: 1, size: changeBytes}
	_, f := measure(seed, s)
	end := f.now
	f.shape.changes = 0
	f.run(spreadRounds)
	longest, missing := f.spread(end)
	r.Set("spread", longest.Seconds(), "s")
	r.Set("spread_missing", float64(missing), "entries")
}

// spreadInstances is the number of instances of the spread's measurement.
const spreadInstances = 156

// The load of an endpoint at the planned size, for the rate at which loads are told: requests are in flight for
// flightTime and run through stagesEach endpoints; the load swings by swing over swingTime.
const (
	stagesEach = 4
	flightTime = 16600 * time.Millisecond
	swing      = 0.3
	swingTime  = 10 * time.Minute
	toldTime   = 20 * time.Minute
)

// toldRate returns how often a second an endpoint's load is told, with Poisson arrivals that swing.
func toldRate(seed uint64) float64 {
	r := rand.New(rand.NewPCG(seed, 11))
	arrivals := planned.requests * stagesEach / float64(planned.endpoints)
	running := arrivals * flightTime.Seconds()
	start := time.Unix(0, 0).Add(time.Hour)
	var teller assigner.LoadReporter
	told := 0
	for t := time.Duration(0); t < toldTime; t += time.Second {
		phase := math.Sin(2 * math.Pi * t.Seconds() / swingTime.Seconds())
		in := normal(r, arrivals*(1+swing*phase))
		out := normal(r, running/flightTime.Seconds())
		running = max(0, running+in-out)
		l := assigner.Load{Running: int(running), Rate: 4096}
		if teller.RecordIfDue(start.Add(t), l, watcher.MinLoadInterval, watcher.MaxLoadInterval) {
			told++
		}
	}
	return float64(told) / toldTime.Seconds()
}

// normal returns a draw from the normal approximation of a Poisson distribution.
func normal(r *rand.Rand, mean float64) float64 {
	return max(0, mean+math.Sqrt(mean)*r.NormFloat64())
}
