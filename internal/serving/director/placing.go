package director

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
)

// placeLayers sends the orders that are due.
func (d *Director) placeLayers() {
	orders := d.dueOrders()
	if len(orders) == 0 && d.advance() {
		orders = d.dueOrders()
	}
	if len(orders) == 0 {
		return
	}
	var wait sync.WaitGroup
	for _, o := range orders {
		wait.Add(1)
		go d.runOrder(&wait, o)
	}
	wait.Wait()
}

// holders returns the endpoints that layers may be placed on, with what each holds or has been ordered to hold. One
// that refused its order and whose row states no layers is carrying out an order of another holder of the duty: it
// counts as unknown until the effect is visible. The lock is held.
func (d *Director) holders(now time.Time) (out []placer.Holder, unknown int) {
	for _, e := range d.model.Endpoints {
		if e.Leaving {
			continue
		}
		h := e.Holder
		if p, ok := d.pending[e.ID]; ok {
			switch {
			case !now.Before(p.expiresAt):
				delete(d.pending, e.ID)
			case !p.refused:
				h.Held = p.ordered
			case h.Held.Empty():
				unknown++
				continue
			}
		}
		out = append(out, h)
	}
	return out, unknown
}

// dueOrders returns the orders to send now, and marks them as pending.
func (d *Director) dueOrders() []Order {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	m := d.model
	holders, unknown := d.holders(now)
	d.recordLayout(now, holders)
	empty, held := 0, 0
	newest, oldest := time.Time{}, now
	for _, h := range holders {
		switch {
		case !h.Held.Empty():
			held++
		case d.grid.BlockCount() < 1 || d.grid.BlocksPerCard[h.Card] > 0:
			// An endpoint whose card holds no block stays empty, and the others are moved all the same.
			empty++
		}
		if t := d.firstSeenAt[h.ID]; t.After(newest) {
			newest = t
		}
		if t := d.firstSeenAt[h.ID]; t.Before(oldest) {
			oldest = t
		}
	}
	if empty == 0 {
		d.fillSince = time.Time{}
		if unknown > 0 {
			return nil
		}
		return d.rebalance(now, holders)
	}
	if held == 0 && now.Sub(newest) < settleTime && now.Sub(oldest) < maxSettleTime {
		// The division begins meanwhile; it begins again with each further endpoint.
		d.beginDivision(holders, func() *placer.Division { return placer.NewDivision(m.Engine, holders) })
		return nil
	}
	limit := len(holders)
	if held > 0 && m.Engine.MaxParallelLoads > 0 {
		limit = m.Engine.MaxParallelLoads - d.loadCount(now)
	}
	if limit <= 0 {
		d.fillSince = time.Time{}
		return nil
	}
	if d.fillSince.IsZero() {
		d.fillSince = now
	}
	assignments, ok := d.assignEmpty(now, holders, held > 0)
	if !ok {
		return nil
	}
	d.fillSince = time.Time{}
	var out []Order
	for _, a := range assignments[:min(limit, len(assignments))] {
		out = append(out, d.newOrder(now, a))
	}
	return out
}

// assignEmpty returns what the empty endpoints are to hold, and false if that is not computed yet. The lock is held.
func (d *Director) assignEmpty(now time.Time, holders []placer.Holder, held bool) ([]placer.Assignment, bool) {
	if held && !d.divideLayers(holders) {
		return nil, false
	}
	division, ok := d.divide(holders, func() *placer.Division {
		if held {
			return placer.NewFilling(d.model.Engine, d.grid, holders)
		}
		return placer.NewDivision(d.model.Engine, holders)
	})
	switch {
	case !ok && held && now.Sub(d.fillSince) >= maxFillDelay:
		return placer.Plan(d.model.Engine, d.grid, holders), true
	case !ok:
		return nil, false
	case !held:
		d.setGrid(division.Grid(), false)
	}
	return division.Assignments(), true
}

// loadCount returns the number of endpoints that carry out an order. The lock is held.
func (d *Director) loadCount(now time.Time) int {
	n := 0
	for _, p := range d.pending {
		if now.Before(p.expiresAt) {
			n++
		}
	}
	return n
}

// divideLayers ensures that the division is known by which the layers were placed, or a new one if it cannot be recovered from what
// endpoints hold. It returns false if that is not computed yet. The lock is held.
func (d *Director) divideLayers(holders []placer.Holder) bool {
	if d.grid.BlockCount() > 0 {
		return true
	}
	if g, ok := placer.RecoverGrid(d.model.Engine, holders); ok {
		d.setGrid(g, true)
		return true
	}
	division, ok := d.divide(holders, func() *placer.Division { return placer.NewDivision(d.model.Engine, holders) })
	if ok {
		d.setGrid(division.Grid(), false)
	}
	return ok
}

// beginDivision begins a division among the holders, which advance computes, unless that has begun already. The lock is held.
func (d *Director) beginDivision(holders []placer.Holder, begin func() *placer.Division) {
	if key := layoutKey(holders); d.division == nil || key != d.divisionOf {
		d.division, d.divisionOf = begin(), key
	}
}

// divide returns a division among the holders, and false while it is being computed. The lock is held.
func (d *Director) divide(holders []placer.Holder, begin func() *placer.Division) (*placer.Division, bool) {
	d.beginDivision(holders, begin)
	if !d.division.Done() {
		return nil, false
	}
	division := d.division
	d.division = nil
	return division, true
}

// setGrid sets the division of the layers. The lock is held.
func (d *Director) setGrid(g placer.Grid, recovered bool) {
	d.grid = g
	d.log.Info("layers divided", "blocks", g.BlockCount(), "widths", g.BlocksPerCard, "recovered", recovered)
}

// newOrder returns the order for an assignment and marks it as pending. The lock is held.
func (d *Director) newOrder(now time.Time, a placer.Assignment) Order {
	i := slices.IndexFunc(d.model.Endpoints, func(e Endpoint) bool { return e.ID == a.ID })
	e := d.model.Endpoints[i]
	loadTime := time.Duration(d.model.Engine.LayerShare(a.Range) * float64(d.model.Engine.LoadTime))
	if count, ok := d.orderCounts[a.ID]; !ok || count.born != e.Born {
		count = orderCount{born: e.Born}
		if !e.Held.Empty() {
			// What the endpoint holds is the result of at least one order.
			count.begun = 1
		}
		d.orderCounts[a.ID] = count
	}
	sequence := d.orderCounts[a.ID].begun
	expiresAt := now.Add(2*loadTime + reportDelay)
	if !e.Held.Empty() {
		expiresAt = expiresAt.Add(drainTime)
	}
	d.pending[a.ID] = pendingOrder{ordered: a.Range, born: e.Born, expiresAt: expiresAt, heldBefore: e.Held, isMove: !e.Held.Empty()}
	return Order{Endpoint: a.ID, Address: e.Address, Range: a.Range, Token: d.elector.Duty.Token, Sequence: sequence}
}

// runOrder sends one order and handles its result.
func (d *Director) runOrder(wait *sync.WaitGroup, o Order) {
	defer wait.Done()
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	err := d.orderer.Place(ctx, o)
	log := d.log.With("endpoint", o.Endpoint, "from", o.Range.From, "to", o.Range.To, "token", o.Token, "sequence", o.Sequence)
	switch {
	case err == nil:
		log.Info("order taken")
		d.setOrderCount(o.Endpoint, o.Sequence+1)
	case errors.Is(err, ErrFenced):
		log.Warn("order refused: another instance has the duty")
		d.mu.Lock()
		d.elector.RecordTokenRejected(d.clock())
		d.mu.Unlock()
		d.exchange.Withdraw(topicDuty, d.service)
	case errors.Is(err, ErrStale):
		log.Warn("order refused: it does not fit the endpoint's state")
		d.readReport(ctx, o)
	default:
		log.Warn("order not answered", "error", strings.TrimSpace(err.Error()))
		d.shortenPending(o.Endpoint)
	}
}

// setOrderCount records how many orders an endpoint has begun.
func (d *Director) setOrderCount(id string, orders int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := d.orderCounts[id]
	count.begun = orders
	d.orderCounts[id] = count
}

// unansweredDelay is the time between an order without an answer and the next one to the endpoint: the first may begin
// late.
const unansweredDelay = 2 * time.Second

// shortenPending allows another order to the endpoint after unansweredDelay.
func (d *Director) shortenPending(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unansweredAt[id] = d.clock()
	if p, ok := d.pending[id]; ok {
		p.expiresAt = d.clock().Add(unansweredDelay)
		d.pending[id] = p
	}
}

// readReport reads the state of an endpoint that refused an order, so that the next one is accepted.
func (d *Director) readReport(ctx context.Context, o Order) {
	report, err := d.orderer.Report(ctx, o.Endpoint, o.Address)
	if err != nil {
		d.log.Warn("endpoint's report not read", "endpoint", o.Endpoint, "error", err)
		d.shortenPending(o.Endpoint)
		return
	}
	d.setOrderCount(o.Endpoint, report.Sequence)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.layoutConsidered = false
	if !report.Busy && report.Held != o.Range && report.Sequence != o.Sequence {
		// The next check decides anew, with the sequence number just read.
		delete(d.pending, o.Endpoint)
		return
	}
	p := d.pending[o.Endpoint]
	p.ordered, p.refused = o.Range, report.Held != o.Range
	// The first order of an endpoint fills it, and each later one moves it.
	p.isMove = p.isMove || report.Sequence > 1
	d.pending[o.Endpoint] = p
}
