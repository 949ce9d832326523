// Package assigner decides which instances watch which endpoints, which endpoints an instance routes to, and when a
// load has changed enough to be reported to other instances.
package assigner

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Node is an instance or endpoint with its location.
type Node struct {
	ID         string
	DataCentre string
	Region     string
}

// Assignment is an endpoint that an instance watches. Rank 0 is the first watcher, which reports to the other
// instances; those of the next ranks are standbys.
type Assignment struct {
	Endpoint string
	Rank     int
}

// score is the rendezvous weight of one candidate.
type score struct {
	id     string
	weight uint64
}

// Watchers returns the IDs of the instances that watch an endpoint, the first watcher first. It picks count of them by
// rendezvous hashing among the instances of the endpoint's data centre, or else of its region, or else among all. The
// hashing is that of Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998): when an instance
// leaves, only the endpoints that it watched move.
func Watchers(endpoint Node, instances []Node, count int) []string {
	near := nearest(endpoint, instances)
	scores := make([]score, 0, len(near))
	for _, n := range near {
		scores = append(scores, score{n.ID, Weight(endpoint.ID, n.ID)})
	}
	return best(scores, count)
}

// Assignments returns the endpoints that an instance watches among those given, in their order. Each is as Watchers
// states it.
func Assignments(self string, endpoints, instances []Node, count int) []Assignment {
	type place struct{ dataCentre, region string }
	nearby := map[place][]Node{}
	var out []Assignment
	for _, e := range endpoints {
		at := place{e.DataCentre, e.Region}
		near, ok := nearby[at]
		if !ok {
			near = nearest(e, instances)
			nearby[at] = near
		}
		if rank := rankOf(self, e, near, count); rank < count {
			out = append(out, Assignment{e.ID, rank})
		}
	}
	return out
}

// rankOf returns the rank of an instance among the watchers of an endpoint, or count if it is not one of the first count.
func rankOf(self string, endpoint Node, near []Node, count int) int {
	if !slices.ContainsFunc(near, func(n Node) bool { return n.ID == self }) {
		return count
	}
	own := Weight(endpoint.ID, self)
	rank := 0
	for _, n := range near {
		if w := Weight(endpoint.ID, n.ID); w > own || w == own && n.ID < self {
			if rank++; rank == count {
				break
			}
		}
	}
	return rank
}

// Subset returns the IDs, in order, of the count endpoints that an instance routes to. Endpoints of its data centre
// come first, then those of its region, then all others. Within each of these groups every instance has its own order,
// so that the instances together use all endpoints evenly. All endpoints are returned if there are no more than count.
func Subset(self Node, endpoints []Node, count int) []string {
	ordered := slices.Clone(endpoints)
	weights := map[string]uint64{}
	for _, e := range endpoints {
		weights[e.ID] = Weight(e.ID, self.ID)
	}
	slices.SortFunc(ordered, func(a, b Node) int {
		return cmp.Or(
			cmp.Compare(distance(self, a), distance(self, b)),
			cmp.Compare(weights[b.ID], weights[a.ID]),
			strings.Compare(a.ID, b.ID),
		)
	})
	var out []string
	for _, e := range ordered[:min(count, len(ordered))] {
		out = append(out, e.ID)
	}
	slices.Sort(out)
	return out
}

// nearest returns the instances of the endpoint's data centre, or else of its region, or else all.
func nearest(endpoint Node, instances []Node) []Node {
	for maxDistance := range 3 {
		var out []Node
		for _, n := range instances {
			if distance(endpoint, n) <= maxDistance {
				out = append(out, n)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// distance returns 0 within a data centre, 1 within a region and 2 between regions.
func distance(a, b Node) int {
	switch {
	case a.Region != b.Region:
		return 2
	case a.DataCentre != b.DataCentre:
		return 1
	default:
		return 0
	}
}

// Weight returns the rendezvous weight of an endpoint and an instance: of all instances, the one with the highest weight is
// the first to care for the endpoint.
func Weight(endpoint, instance string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(endpoint)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(instance)
	return d.Sum64()
}

// best returns the IDs of the count highest scores, the highest first.
func best(scores []score, count int) []string {
	slices.SortFunc(scores, func(a, b score) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), strings.Compare(a.id, b.id))
	})
	var out []string
	for _, s := range scores[:min(count, len(scores))] {
		out = append(out, s.id)
	}
	return out
}
