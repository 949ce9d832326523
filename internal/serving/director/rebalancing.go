package director

import (
	"hash/fnv"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
)

// The bounds of plans.
const (
	// minPlanGain is the relative gain of capacity below which no plan is begun. Layouts that were placed without losses differ by less
	// from the best one that moves reach.
	minPlanGain = 0.04
	// continuationTime is how long after the last load of a move its plan counts as under way: what is left of it is planned again
	// without minPlanGain, by the next holder of the duty too.
	continuationTime = 3 * time.Second
	// planHorizon is how long the gain of a plan is taken to last: it has to serve more requests within this time than its loads cost.
	planHorizon = 30 * time.Second
	// scarceShare is the share of the memory at the layer with the least free memory from which the layout counts as short of
	// memory, and scarcityTime how long it counts so after its demand was last that high.
	scarceShare  = 0.5
	scarcityTime = 30 * time.Second
	// searchBudget bounds the time of a search for moves at each check.
	searchBudget = 10 * time.Millisecond
)

// rebalancing is the state of moving endpoints that hold layers. All of it is derived from the layout: the next holder of the duty
// derives it anew.
type rebalancing struct {
	// layout identifies the layout with all orders at the last check, unchanged since layoutChangedAt but for moves of the plan.
	// layoutConsidered is true once moves in it have been considered.
	layout           uint64
	layoutChangedAt  time.Time
	layoutConsidered bool
	// search looks for moves in the layout. It is advanced by the loop without the lock.
	search *placer.Search
	// plan holds the moves that are still to be ordered. planBegun is true until the loads of the plan have ended.
	plan       placer.MovePlan
	planBegun  bool
	lastPlanAt time.Time
	// lastMoveAt is when a load of a move was last under way.
	lastMoveAt time.Time
	// scarceAt is when the layout was last short of memory. It counts as short before the demand is recorded for the first time.
	scarceAt         time.Time
	isDemandRecorded bool
	// serving identifies what endpoints serve, and capacity is its capacity.
	serving  uint64
	capacity float64
}

// layoutKey returns a value that identifies what the endpoints hold, whatever their order.
func layoutKey(holders []placer.Holder) uint64 {
	key := uint64(len(holders))
	for _, h := range holders {
		sum := fnv.New64a()
		_, _ = sum.Write([]byte(h.ID)) // never fails
		_, _ = sum.Write([]byte{0, byte(h.Held.From), byte(h.Held.From >> 8), byte(h.Held.To), byte(h.Held.To >> 8)})
		key ^= sum.Sum64()
	}
	return key
}

// servingHolders returns the holders with what they serve: nothing while they carry out an order. The lock is held.
func (d *Director) servingHolders(holders []placer.Holder) []placer.Holder {
	out := make([]placer.Holder, len(holders))
	for i, h := range holders {
		if _, ok := d.pending[h.ID]; ok {
			h.Held = placer.Range{}
		}
		out[i] = h
	}
	return out
}

// recordLayout records the layout at a check and sets its metrics. The lock is held.
func (d *Director) recordLayout(now time.Time, holders []placer.Holder) {
	for _, p := range d.pending {
		if p.isMove && now.Before(p.expiresAt) {
			d.lastMoveAt = now
		}
	}
	if key := layoutKey(holders); key != d.layout || d.layoutChangedAt.IsZero() {
		d.layout, d.layoutChangedAt, d.layoutConsidered, d.search = key, now, false, nil
		if len(d.plan.Moves) > 0 {
			d.log.Info("moves planned again: the layout has changed", "service", d.service, "moves", len(d.plan.Moves))
			d.plan = placer.MovePlan{}
		}
	}
	serving := d.servingHolders(holders)
	if key := layoutKey(serving); key != d.serving {
		d.serving = key
		d.recordCapacity(serving)
	}
	if d.planBegun && len(d.plan.Moves) == 0 && now.After(d.lastMoveAt) {
		d.planBegun = false
		d.log.Info("moves ended", "service", d.service, "capacity", d.capacity, "took", now.Sub(d.lastPlanAt).Seconds())
	}
}

// recordCapacity sets the metrics of what the endpoints serve. The lock is held.
func (d *Director) recordCapacity(serving []placer.Holder) {
	e := d.model.Engine
	d.capacity = placer.Capacity(e, serving)
	scarcest := placer.ScarcestLayer(e, serving)
	d.scope.Gauge("layout_capacity").Update(d.capacity)
	d.scope.Gauge("layout_memory").Update(scarcest.Tokens)
	d.scope.Gauge("layout_holders").Update(float64(placer.MinHolders(e, serving)))
}

// rebalance returns the orders that move endpoints to layers that have become scarce, once the layout has been stable
// for rebalanceDelay. The lock is held.
func (d *Director) rebalance(now time.Time, holders []placer.Holder) []Order {
	if len(holders) == 0 {
		return nil
	}
	if len(d.plan.Moves) > 0 {
		return d.nextMoves(now, holders)
	}
	if d.layoutConsidered || now.Sub(d.layoutChangedAt) < rebalanceDelay || now.Sub(d.lastPlanAt) < minPlanInterval {
		return nil
	}
	if d.search == nil && !d.isScarce(now, holders) {
		return nil
	}
	if d.search == nil {
		d.divideLayers(holders, true)
		d.search = placer.NewSearch(d.model.Engine, d.grid, holders)
	}
	if !d.search.Done() {
		return nil
	}
	d.layoutConsidered = true
	plan := d.search.Plan()
	d.search = nil
	if !d.isWorthwhile(now, plan) {
		return nil
	}
	d.plan, d.planBegun, d.lastPlanAt = plan, true, now
	d.log.Info("moves planned", "service", d.service, "moves", len(plan.Moves), "capacity", plan.Before, "planned", plan.After,
		"takes", plan.Duration.Seconds(), "lost", plan.LostRequests)
	return d.nextMoves(now, holders)
}

// RecordDemand records the share of the memory that requests have reserved at the layer with the least free memory, and the number of
// requests that wait for some.
func (d *Director) RecordDemand(now time.Time, share float64, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isDemandRecorded = true
	if share >= scarceShare || waiting > 0 {
		d.scarceAt = now
	}
}

// isScarce reports whether the layout calls for moves: requests take a large part of the memory, or the loss of one endpoint more may
// leave a layer without a holder. The lock is held.
func (d *Director) isScarce(now time.Time, holders []placer.Holder) bool {
	return !d.isDemandRecorded || now.Sub(d.scarceAt) < scarcityTime || placer.MinHolders(d.model.Engine, holders) < placer.MinServing
}

// isWorthwhile reports whether a plan is to be carried out. The lock is held.
func (d *Director) isWorthwhile(now time.Time, plan placer.MovePlan) bool {
	isContinued := !d.lastMoveAt.IsZero() && now.Sub(d.lastMoveAt) < continuationTime
	return plan.Pays(planHorizon) && (isContinued || plan.Gain() >= minPlanGain)
}

// nextMoves returns the orders for those moves of the plan that can begin now. The lock is held.
func (d *Director) nextMoves(now time.Time, holders []placer.Holder) []Order {
	e := d.model.Engine
	loading := d.loadCount(now)
	limit := len(d.plan.Moves)
	if e.MaxParallelLoads > 0 {
		limit = min(limit, e.MaxParallelLoads-loading)
	}
	safe := d.plan.SafeMoves(e, d.servingHolders(holders), limit)
	if len(safe) == 0 && loading == 0 {
		d.log.Warn("moves given up: none is safe", "service", d.service, "moves", len(d.plan.Moves))
		d.plan = placer.MovePlan{}
		return nil
	}
	var out []Order
	for _, m := range safe {
		d.log.Info("endpoint moved to scarce layers", "endpoint", m.ID, "from", m.Range.From, "to", m.Range.To)
		d.scope.Counter(movesCounter).Inc(1)
		out = append(out, d.newOrder(now, m))
	}
	d.plan = d.plan.Without(safe)
	// The orders change the layout as planned.
	holders, _ = d.holders(now)
	d.layout = layoutKey(holders)
	return out
}

// advanceSearch continues the search for moves, if there is one, within searchBudget.
func (d *Director) advanceSearch() {
	d.mu.Lock()
	s := d.search
	d.mu.Unlock()
	if s == nil {
		return
	}
	for start := d.clock(); !s.Done() && d.clock().Sub(start) < searchBudget; {
		s.Step()
	}
}
