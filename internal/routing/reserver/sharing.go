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
	// leastShare is the least part that a priority gets of its even share of the room.
	leastShare = 0.4
	// slotCount is the number of slots of an endpoint's memory. A request uses the endpoints that accept its slot.
	slotCount = 32
	allSlots  = 1<<slotCount - 1
)

// Demand is the number of requests of a priority that arrive in a second.
type Demand struct {
	// Priority is 0 for the most urgent.
	Priority int
	Rate     float64
}

// SetPeerDemands sets the requests that the other instances receive, the most urgent first. They count from the next update of the usage
// of the others; without any, no endpoint is limited.
func (r *Reserver) SetPeerDemands(demands []Demand) {
	if r.peerDemands = demands; len(demands) == 0 {
		r.acceptedSlots, r.acceptedShares = nil, nil
	}
}

// shareRoom decides which slots the endpoints accept of each priority until the next update of the other instances' usage, and draws
// the slot of this instance's requests.
//
// All instances see the same free memory, and would take it at the same time: for as long as their usage is not known to each
// other, every request that arrives finds room that has long gone. An endpoint therefore accepts only the share of the
// requests for which it has room, if all that may arrive unseen were sent to it. What the urgent ones need goes to them first, beyond
// what is kept for each priority. The slots of the endpoints that hold the same layers differ as far as possible, so that most
// requests find one of them.
func (r *Reserver) shareRoom(now time.Time) {
	r.acceptedSlots, r.acceptedShares, r.slot = nil, nil, r.random.IntN(slotCount)
	if r.Engine == nil || len(r.peers) == 0 || len(r.peerDemands) == 0 {
		return
	}
	r.sharedDemands = r.peerDemands
	demands, total := r.centreDemands()
	spare := r.spareShares(now, total)
	var scarce []sharedEndpoint
	coverage := make([][][slotCount]uint8, len(demands))
	for i := range coverage {
		coverage[i] = make([][slotCount]uint8, max(0, len(r.boundaries)-1))
	}
	for _, e := range r.Endpoints {
		if !r.isUsable(now, e, nil) {
			continue
		}
		rate := r.acceptedRate(e)
		if e.DataCentre != r.DataCentre {
			// The callers of the endpoint's own data centre go first: the others get what those leave.
			from, to := r.blocksOf(e)
			share := 1.0
			for b := from; b < to; b++ {
				share = min(share, spare[e.DataCentre][b])
			}
			rate *= share / float64(len(spare)-1)
		}
		if rate >= total {
			for i := range coverage {
				r.addCoverage(coverage[i], e, allSlots)
			}
			continue
		}
		scarce = append(scarce, sharedEndpoint{e, acceptedShares(rate, total, demands)})
	}
	if len(scarce) == 0 {
		return
	}
	slices.SortFunc(scarce, func(a, b sharedEndpoint) int {
		return cmp.Or(cmp.Compare(b.endpoint.Held.Len(), a.endpoint.Held.Len()), cmp.Compare(a.endpoint.ID, b.endpoint.ID))
	})
	r.acceptedSlots = make(map[string][]uint32, len(scarce))
	r.acceptedShares = make([]float64, len(demands))
	for _, s := range scarce {
		accepted := make([]uint32, len(demands))
		for i, share := range s.shares {
			// Rounding at random keeps the mean: the room of many endpoints may be less than a slot each.
			n := int(share*slotCount + r.random.Float64())
			accepted[i] = r.leastCovered(coverage[i], s.endpoint, n)
			r.addCoverage(coverage[i], s.endpoint, accepted[i])
			r.acceptedShares[i] += share / float64(len(scarce))
		}
		r.acceptedSlots[s.endpoint.ID] = accepted
	}
}

// sharedEndpoint is an endpoint that accepts only a share of the requests of each priority.
type sharedEndpoint struct {
	endpoint Endpoint
	shares   []float64
}

// centreDemands returns the tokens a second that the other instances of one data centre ask for, by priority and in all. Most requests
// stay in their data centre.
func (r *Reserver) centreDemands() (demands []float64, total float64) {
	centres := map[string]bool{}
	for _, e := range r.Endpoints {
		centres[e.DataCentre] = true
	}
	tokens := float64(max(1, r.Engine.UsualPromptTokens+r.Engine.UsualAnswerTokens)) / float64(max(1, len(centres)))
	for _, d := range r.peerDemands {
		demands = append(demands, d.Rate*tokens)
		total += d.Rate * tokens
	}
	return demands, math.Max(1, total)
}

// acceptedShares returns the shares of the requests of each priority that an endpoint with room for a rate accepts, the most urgent
// first. Each priority gets at least leastShare of what it would get if none went first.
func acceptedShares(rate, total float64, demands []float64) []float64 {
	kept := leastShare * rate / total
	left := rate - kept*total
	shares := make([]float64, len(demands))
	for i, demand := range demands {
		shares[i] = kept
		if demand > 0 {
			shares[i] += min(1-kept, left/demand)
		}
		left = math.Max(0, left-(shares[i]-kept)*demand)
	}
	return shares
}

// acceptedRate returns the tokens a second for which an endpoint has room: those that end, and its free memory over time.
func (r *Reserver) acceptedRate(e Endpoint) float64 {
	reserved := r.reservedByAll(e.ID)
	free := MaxMemoryShare*r.memory(e) - reserved
	return math.Max(0, reserved/r.requestTime.Seconds()+free/fillTime.Seconds()) / float64(max(1, e.Held.Len()))
}

// spareShares returns, by data centre and block, the share of the room that its own callers leave.
func (r *Reserver) spareShares(now time.Time, demand float64) map[string][]float64 {
	rates := map[string][]float64{}
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

// leastCovered returns n slots that the fewest other endpoints accept for the blocks that an endpoint holds.
func (r *Reserver) leastCovered(coverage [][slotCount]uint8, e Endpoint, n int) uint32 {
	from, to := r.blocksOf(e)
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
	for _, i := range order[:min(n, slotCount)] {
		slots |= 1 << i
	}
	return slots
}

// SharedEndpoints returns the number of endpoints that accept only some of the slots.
func (r *Reserver) SharedEndpoints() int { return len(r.acceptedSlots) }

// AcceptedShare returns the mean share of the requests of a priority that the endpoints accept which have not room for all.
func (r *Reserver) AcceptedShare(priority int) float64 {
	if len(r.acceptedShares) == 0 {
		return 1
	}
	return r.acceptedShares[r.classOf(priority)]
}

// classOf returns the index of a priority among those of the other instances' requests. One that no other instance has counts like the
// next less urgent one.
func (r *Reserver) classOf(priority int) int {
	i := slices.IndexFunc(r.sharedDemands, func(d Demand) bool { return d.Priority >= priority })
	if i < 0 {
		return len(r.sharedDemands) - 1
	}
	return i
}

// acceptsSlot reports whether an endpoint accepts the requests of a priority that this instance sends now.
func (r *Reserver) acceptsSlot(id string, priority int) bool {
	slots, ok := r.acceptedSlots[id]
	return !ok || slots[r.classOf(priority)]&(1<<r.slot) != 0
}
