package reserver

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

// The parameters by which instances share the last free memory of an endpoint.
const (
	// fillTime is the time in which the free memory of an endpoint is given out. The usage of other instances is up to 360 ms old, and
	// memory that is given out faster than that is given out twice.
	fillTime = 350 * time.Millisecond
	// defaultRequestTime is the time that a request holds its memory until some have been granted, and requestTimeWeight the weight of
	// the newest one in the mean.
	defaultRequestTime = 3 * time.Second
	requestTimeWeight  = 0.05
	// slotCount is the number of slots of an endpoint's memory. A request uses the endpoints that accept its slot.
	slotCount = 32
	allSlots  = 1<<slotCount - 1
)

// Demand is a number of requests a second that may fill a share of each endpoint's memory.
type Demand struct {
	Rate        float64
	MemoryShare float64
}

// SetPeerDemands sets the requests that the other instances receive.
func (r *Reserver) SetPeerDemands(demands ...Demand) { r.peerDemands = demands }

// shareRoom decides which slots the endpoints accept until the next update of the other instances' usage, and draws the slot of
// this instance's requests.
//
// All instances see the same free memory, and would take it at the same time: for as long as their usage is not known to each
// other, every request that arrives finds room that has long gone. An endpoint therefore accepts only the share of the
// requests for which it has room, if all that may arrive unseen were sent to it. The slots of the endpoints that hold
// the same layers differ as far as possible, so that most requests find one of them.
func (r *Reserver) shareRoom(now time.Time) {
	r.acceptedSlots, r.slot = nil, r.random.IntN(slotCount)
	if r.Engine == nil || len(r.peers) == 0 || len(r.peerDemands) == 0 {
		return
	}
	spare := r.spareShares(now)
	scarce := make([]sharedEndpoint, 0, len(r.Endpoints))
	coverage := make([][slotCount]uint8, max(0, len(r.boundaries)-1))
	for _, e := range r.Endpoints {
		if !r.isUsable(now, e, nil) {
			continue
		}
		accepted := r.acceptedRate(e) / r.peerDemand(r.reservedByAll(e.ID)/r.memory(e)) * slotCount
		if e.DataCentre != r.DataCentre {
			// The callers of the endpoint's own data centre go first: the others get what those leave.
			from, to := r.blocksOf(e)
			share := 1.0
			for b := from; b < to; b++ {
				share = min(share, spare[e.DataCentre][b])
			}
			accepted *= share / float64(len(spare)-1)
		}
		if accepted >= slotCount {
			r.addCoverage(coverage, e, allSlots)
			continue
		}
		// Rounding at random keeps the mean: the room of many endpoints may be less than a slot each.
		n := int(math.Max(0, accepted) + r.random.Float64())
		scarce = append(scarce, sharedEndpoint{e, n})
	}
	if len(scarce) == 0 {
		return
	}
	slices.SortFunc(scarce, func(a, b sharedEndpoint) int {
		return cmp.Or(cmp.Compare(b.endpoint.Held.Len(), a.endpoint.Held.Len()), cmp.Compare(a.endpoint.ID, b.endpoint.ID))
	})
	r.acceptedSlots = make(map[string]uint32, len(scarce))
	for _, s := range scarce {
		slots := r.leastCovered(coverage, s)
		r.acceptedSlots[s.endpoint.ID] = slots
		r.addCoverage(coverage, s.endpoint, slots)
	}
}

// sharedEndpoint is an endpoint that accepts only a number of slots.
type sharedEndpoint struct {
	endpoint Endpoint
	slots    int
}

// peerDemand returns the tokens a second that the other instances ask for in one data centre, of requests that may use endpoints of
// which a share is reserved. Most requests stay in their data centre.
func (r *Reserver) peerDemand(used float64) float64 {
	rate := 0.0
	for _, d := range r.peerDemands {
		if d.MemoryShare > used {
			rate += d.Rate
		}
	}
	centres := map[string]bool{}
	for _, e := range r.Endpoints {
		centres[e.DataCentre] = true
	}
	usualTokens := float64(max(1, r.Engine.UsualPromptTokens+r.Engine.UsualAnswerTokens))
	return math.Max(1, rate*usualTokens/float64(max(1, len(centres))))
}

// acceptedRate returns the tokens a second for which an endpoint has room: those that end, and its free memory over time.
func (r *Reserver) acceptedRate(e Endpoint) float64 {
	reserved := r.reservedByAll(e.ID)
	free := MaxMemoryShare*r.memory(e) - reserved
	return math.Max(0, reserved/r.requestTime.Seconds()+free/fillTime.Seconds()) / float64(max(1, e.Held.Len()))
}

// spareShares returns, by data centre and block, the share of the room that its own callers leave.
func (r *Reserver) spareShares(now time.Time) map[string][]float64 {
	rates, demand := map[string][]float64{}, r.peerDemand(0)
	for _, e := range r.Endpoints {
		if rates[e.DataCentre] == nil {
			rates[e.DataCentre] = make([]float64, max(0, len(r.boundaries)-1))
		}
		if !r.isUsable(now, e, nil) {
			continue
		}
		rate := r.acceptedRate(e)
		from, to := r.blocksOf(e)
		for b := from; b < to; b++ {
			rates[e.DataCentre][b] += rate
		}
	}
	for _, list := range rates {
		for b, rate := range list {
			list[b] = math.Max(0, 1-demand/math.Max(1, rate))
		}
	}
	return rates
}

// blocksOf returns the first and the last but one of the boundaries between which an endpoint holds layers.
func (r *Reserver) blocksOf(e Endpoint) (from, to int) {
	from, _ = slices.BinarySearch(r.boundaries, e.Held.From)
	to, _ = slices.BinarySearch(r.boundaries, e.Held.To)
	return from, min(to, len(r.boundaries)-1)
}

// addCoverage counts the slots that an endpoint accepts for the blocks that it holds.
func (r *Reserver) addCoverage(coverage [][slotCount]uint8, e Endpoint, slots uint32) {
	from, to := r.blocksOf(e)
	for b := from; b < to; b++ {
		for rest := slots; rest != 0; rest &= rest - 1 {
			coverage[b][bits.TrailingZeros32(rest)]++
		}
	}
}

// leastCovered returns the slots that the fewest other endpoints accept for the blocks that an endpoint holds.
func (r *Reserver) leastCovered(coverage [][slotCount]uint8, s sharedEndpoint) uint32 {
	from, to := r.blocksOf(s.endpoint)
	var counts [slotCount]int
	order := make([]int, slotCount)
	for i := range order {
		order[i] = i
		for b := from; b < to; b++ {
			counts[i] += int(coverage[b][i])
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(counts[a], counts[b]) })
	var slots uint32
	for _, i := range order[:min(s.slots, slotCount)] {
		slots |= 1 << i
	}
	return slots
}

// SharedEndpoints returns the number of endpoints that accept only some of the slots.
func (r *Reserver) SharedEndpoints() int { return len(r.acceptedSlots) }

// acceptsSlot reports whether an endpoint accepts the requests that this instance sends now.
func (r *Reserver) acceptsSlot(id string) bool {
	slots, ok := r.acceptedSlots[id]
	return !ok || slots&(1<<r.slot) != 0
}
