package measurer

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

const (
	// failureInstances is the size of the fleet in which instances, data centres and regions fail.
	failureInstances = 80
	// partitionSeconds is how long regions are partitioned: longer than instances of other regions may be silent, so that
	// the result does not depend on it.
	partitionSeconds = 300
	// maxWaitSeconds bounds each measurement.
	maxWaitSeconds = 900
)

// measureFailures measures how long a fleet takes to detect the failure of an instance, a data centre and a region, and
// to recover from it.
func measureFailures(r reporter.Result, seed uint64, p plan) {
	s := shape{instances: failureInstances, regions: p.regions, dataCentres: p.dataCentres}
	f := newFleet(seed, s)
	f.run(warmRounds)
	r.Set("lost_instance", f.secondsUntil(f.takeDown(func(p gossiper.Peer) bool { return p.ID == "entry-003" })),
		"s until the instances of its region take it as gone")
	f.restartDown()
	r.Set("back_instance", f.secondsUntil(f.allSeeAll), "s until all instances know it again")
	r.Set("lost_centre", f.secondsUntil(f.takeDown(func(p gossiper.Peer) bool { return p.DataCentre == "centre-2" })),
		"s until the other instances of the region take all of it as gone")
	f.restartDown()
	r.Set("back_centre", f.secondsUntil(f.allSeeAll), "s until all instances know all of it again")
	f.unreachable = func(a, b gossiper.Peer) bool { return (a.Region == "region-1") != (b.Region == "region-1") }
	f.run(partitionSeconds)
	f.unreachable = nil
	r.Set("back_region", f.secondsUntil(f.allSeeAll), "s until all instances know each other after regions were apart")
}

// takeDown stops the matching instances and returns a function that reports whether no other instance of their regions
// considers one of them live any more.
func (f *fleet) takeDown(match func(gossiper.Peer) bool) func() bool {
	regions := map[string]bool{}
	for _, g := range f.nodes {
		if match(g.Self) {
			f.down[g.Self.ID] = true
			regions[g.Self.Region] = true
		}
	}
	return func() bool {
		for _, g := range f.nodes {
			if !f.down[g.Self.ID] && regions[g.Self.Region] && f.seesDown(g) {
				return false
			}
		}
		return true
	}
}

// seesDown reports whether an instance still considers a stopped one live.
func (f *fleet) seesDown(g *gossiper.Gossiper) bool {
	for _, p := range g.LivePeers(f.now) {
		if f.down[p.ID] {
			return true
		}
	}
	return false
}

// restartDown restarts the stopped instances as new processes.
func (f *fleet) restartDown() {
	for i, g := range f.nodes {
		if !f.down[g.Self.ID] {
			continue
		}
		delete(f.down, g.Self.ID)
		restarted := gossiper.New(f.now, g.Self)
		restarted.Seed(f.allPeers())
		f.nodes[i], f.byID[g.Self.ID] = restarted, restarted
	}
}

// allPeers returns all instances.
func (f *fleet) allPeers() []gossiper.Peer {
	var out []gossiper.Peer
	for _, g := range f.nodes {
		out = append(out, g.Self)
	}
	return out
}

// allSeeAll reports whether each instance considers all others live.
func (f *fleet) allSeeAll() bool {
	for _, g := range f.nodes {
		if len(g.LivePeers(f.now)) != len(f.nodes)-1 {
			return false
		}
	}
	return true
}

// secondsUntil advances time until a condition holds and returns the seconds passed.
func (f *fleet) secondsUntil(condition func() bool) float64 {
	start := f.now
	for !condition() && f.now.Sub(start) < maxWaitSeconds*time.Second {
		f.run(1)
	}
	return f.now.Sub(start).Seconds()
}
