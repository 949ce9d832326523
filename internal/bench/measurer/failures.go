package measurer

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

const (
	// failureInstances is the size of the fleet in which instances, data centres and regions fail.
	failureInstances = 80
	// apartTime is how long regions lose each other: longer than instances of other regions may be silent, so that
	// what happens next does not depend on it.
	apartTime = 300
	// longestTime bounds each measurement, in seconds.
	longestTime = 900
)

// failures measures how long a fleet takes to see that an instance, a data centre and a region are gone, and to be whole
// again.
func failures(r reporter.Result, seed uint64, p plan) {
	s := shape{instances: failureInstances, regions: p.regions, centres: p.centres}
	f := newFleet(seed, s)
	f.run(warmRounds)
	r.Set("lost_instance", f.until(f.lose(func(p gossiper.Peer) bool { return p.ID == "entry-003" })),
		"s until the instances of its region take it as gone")
	f.restore()
	r.Set("back_instance", f.until(f.whole), "s until all instances know it again")
	r.Set("lost_centre", f.until(f.lose(func(p gossiper.Peer) bool { return p.DataCentre == "centre-2" })),
		"s until the other instances of the region take all of it as gone")
	f.restore()
	r.Set("back_centre", f.until(f.whole), "s until all instances know all of it again")
	f.cut = func(a, b gossiper.Peer) bool { return (a.Region == "region-1") != (b.Region == "region-1") }
	f.run(apartTime)
	f.cut = nil
	r.Set("back_region", f.until(f.whole), "s until all instances know each other after regions were apart")
}

// lose takes instances away and returns a test whether those of their regions take them as gone.
func (f *fleet) lose(match func(gossiper.Peer) bool) func() bool {
	regions := map[string]bool{}
	for _, g := range f.nodes {
		if match(g.Self) {
			f.down[g.Self.ID] = true
			regions[g.Self.Region] = true
		}
	}
	return func() bool {
		for _, g := range f.nodes {
			if !f.down[g.Self.ID] && regions[g.Self.Region] && f.sees(g) {
				return false
			}
		}
		return true
	}
}

// sees reports whether an instance takes one as present that is down.
func (f *fleet) sees(g *gossiper.Gossiper) bool {
	for _, p := range g.LivePeers(f.now) {
		if f.down[p.ID] {
			return true
		}
	}
	return false
}

// restore starts the instances that are down again, as new processes.
func (f *fleet) restore() {
	for i, g := range f.nodes {
		if !f.down[g.Self.ID] {
			continue
		}
		delete(f.down, g.Self.ID)
		fresh := gossiper.New(f.now, g.Self)
		fresh.Seed(f.peers())
		f.nodes[i], f.index[g.Self.ID] = fresh, fresh
	}
}

// peers returns all instances.
func (f *fleet) peers() []gossiper.Peer {
	var out []gossiper.Peer
	for _, g := range f.nodes {
		out = append(out, g.Self)
	}
	return out
}

// whole reports whether all instances know all others.
func (f *fleet) whole() bool {
	for _, g := range f.nodes {
		if len(g.LivePeers(f.now)) != len(f.nodes)-1 {
			return false
		}
	}
	return true
}

// until lets time pass until a condition holds and returns the seconds.
func (f *fleet) until(condition func() bool) float64 {
	start := f.now
	for !condition() && f.now.Sub(start) < longestTime*time.Second {
		f.run(1)
	}
	return f.now.Sub(start).Seconds()
}
