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
	if len(orders) == 0 {
		d.advanceSearch()
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
		if unknown > 0 {
			return nil
		}
		return d.rebalance(now, holders)
	}
	if held == 0 && now.Sub(newest) < settleTime && now.Sub(oldest) < maxSettleTime {
		return nil
	}
	d.divideLayers(holders, held > 0)
	loading := d.loadCount(now)
	var out []Order
	plan := placer.Plan
	if held == 0 {
		plan = placer.PlanAnew
	}
	for _, a := range plan(m.Engine, d.grid, holders) {
		if held > 0 && m.Engine.MaxParallelLoads > 0 && loading >= m.Engine.MaxParallelLoads {
			break
		}
		loading++
		out = append(out, d.newOrder(now, a))
	}
	return out
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

// divideLayers divides the layers into blocks anew if no endpoint holds any, and otherwise recovers the division that
// they were placed by. The lock is held.
func (d *Director) divideLayers(holders []placer.Holder, held bool) {
	if held && d.grid.BlockCount() > 0 {
		return
	}
	g, ok := placer.Grid{}, false
	if held {
		g, ok = placer.RecoverGrid(d.model.Engine, holders)
	}
	if !ok {
		g = placer.NewGrid(d.model.Engine, holders)
	}
	d.grid = g
	d.log.Info("layers divided", "blocks", g.BlockCount(), "widths", g.BlocksPerCard, "recovered", ok)
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
