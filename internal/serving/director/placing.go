package director

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
)

// place gives the orders that are due.
func (d *Director) place() {
	orders := d.due()
	if len(orders) == 0 {
		return
	}
	var wait sync.WaitGroup
	for _, o := range orders {
		wait.Add(1)
		go d.run(&wait, o)
	}
	wait.Wait()
}

// holders returns the endpoints that may be placed on, with what each holds or has been ordered to hold. One that refused its
// order and whose row tells nothing carries out another holder's: it counts as unknown until that shows. The lock is held.
func (d *Director) holders(now time.Time) (out []placer.Holder, unknown int) {
	for _, e := range d.model.Endpoints {
		if e.Leaving {
			continue
		}
		h := e.Holder
		if p, ok := d.pending[e.ID]; ok {
			switch {
			case !now.Before(p.until):
				delete(d.pending, e.ID)
			case !p.refused:
				h.Held = p.order
			case h.Held.Empty():
				unknown++
				continue
			}
		}
		out = append(out, h)
	}
	return out, unknown
}

// due returns the orders that are due, and marks them as pending.
func (d *Director) due() []Order {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	m := d.model
	holders, unknown := d.holders(now)
	empty, held := 0, 0
	newest, oldest := time.Time{}, now
	for _, h := range holders {
		if h.Held.Empty() {
			empty++
		} else {
			held++
		}
		if t := d.first[h.ID]; t.After(newest) {
			newest = t
		}
		if t := d.first[h.ID]; t.Before(oldest) {
			oldest = t
		}
	}
	if empty == 0 {
		if unknown > 0 {
			return nil
		}
		return d.rebalance(now, holders)
	}
	if held == 0 && now.Sub(newest) < settled && now.Sub(oldest) < patience {
		return nil
	}
	d.divide(holders, held > 0)
	loading := 0
	for id := range d.pending {
		if now.Before(d.pending[id].until) {
			loading++
		}
	}
	var out []Order
	for _, a := range placer.Plan(m.Engine, d.grid, holders) {
		if held > 0 && m.Engine.MaxParallelLoads > 0 && loading >= m.Engine.MaxParallelLoads {
			break
		}
		loading++
		out = append(out, d.order(now, a))
	}
	return out
}

// divide divides the layers anew if no endpoint holds any, and otherwise finds the division that they were placed by. The lock
// is held.
func (d *Director) divide(holders []placer.Holder, held bool) {
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

// rebalance returns the order that moves an endpoint to layers that have become scarce, once the layout has stayed as it is for
// a while. The lock is held.
func (d *Director) rebalance(now time.Time, holders []placer.Holder) []Order {
	if len(holders) == 0 {
		return nil
	}
	if shape := layout(holders); shape != d.shape {
		d.shape, d.changed, d.weighed = shape, now, false
	}
	if d.weighed || now.Sub(d.changed) < rebalanceTime || now.Sub(d.moved) < moveTime {
		return nil
	}
	d.weighed = true
	d.divide(holders, true)
	a, ok := placer.BestMove(d.model.Engine, d.grid, holders)
	if !ok {
		return nil
	}
	d.moved = now
	d.log.Info("endpoint moved to scarce layers", "endpoint", a.ID, "from", a.Range.From, "to", a.Range.To)
	return []Order{d.order(now, a)}
}

// layout returns what endpoints hold as one text.
func layout(holders []placer.Holder) string {
	list := make([]string, len(holders))
	for i, h := range holders {
		list[i] = fmt.Sprint(h.ID, h.Held)
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// order returns the order of an assignment and marks it as pending. The lock is held.
func (d *Director) order(now time.Time, a placer.Assignment) Order {
	i := slices.IndexFunc(d.model.Endpoints, func(e Endpoint) bool { return e.ID == a.ID })
	e := d.model.Endpoints[i]
	load := time.Duration(d.model.Engine.LayerShare(a.Range) * float64(d.model.Engine.LoadTime))
	if b, ok := d.begun[a.ID]; !ok || b.born != e.Born {
		b = begun{born: e.Born}
		if !e.Held.Empty() {
			// One order at least has led to what it holds.
			b.orders = 1
		}
		d.begun[a.ID] = b
	}
	sequence := d.begun[a.ID].orders
	until := now.Add(2*load + showTime)
	if !e.Held.Empty() {
		until = until.Add(drainTime)
	}
	d.pending[a.ID] = pending{order: a.Range, born: e.Born, until: until, before: e.Held}
	return Order{Endpoint: a.ID, Address: e.Address, Range: a.Range, Token: d.elector.Duty.Token, Sequence: sequence}
}

// run gives one order and takes its outcome in.
func (d *Director) run(wait *sync.WaitGroup, o Order) {
	defer wait.Done()
	ctx, cancel := context.WithTimeout(context.Background(), orderTime)
	defer cancel()
	err := d.orders.Place(ctx, o)
	log := d.log.With("endpoint", o.Endpoint, "from", o.Range.From, "to", o.Range.To, "token", o.Token, "sequence", o.Sequence)
	switch {
	case err == nil:
		log.Info("order taken")
		d.count(o.Endpoint, o.Sequence+1)
	case errors.Is(err, ErrFenced):
		log.Warn("order refused: another instance has the duty")
		d.mu.Lock()
		d.elector.RecordTokenRejected(d.clock())
		d.mu.Unlock()
		d.exchange.Withdraw(topicDuty, d.service)
	case errors.Is(err, ErrStale):
		log.Warn("order refused: it does not fit the endpoint's state")
		d.ask(ctx, o)
	default:
		log.Warn("order not answered", "error", strings.TrimSpace(err.Error()))
		d.shorten(o.Endpoint)
	}
}

// count takes in how many orders an endpoint has begun.
func (d *Director) count(id string, orders int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.begun[id]
	b.orders = orders
	d.begun[id] = b
}

// unansweredTime is how long after an order without an answer the next one is given: it may begin late.
const unansweredTime = 2 * time.Second

// shorten lets the endpoint have another order soon.
func (d *Director) shorten(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.pending[id]; ok {
		p.until = d.clock().Add(unansweredTime)
		d.pending[id] = p
	}
}

// ask learns the state of an endpoint that refused an order, so that the next one fits.
func (d *Director) ask(ctx context.Context, o Order) {
	report, err := d.orders.Report(ctx, o.Endpoint, o.Address)
	if err != nil {
		d.log.Warn("endpoint's report not read", "endpoint", o.Endpoint, "error", err)
		d.shorten(o.Endpoint)
		return
	}
	d.count(o.Endpoint, report.Sequence)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.weighed = false
	if !report.Busy && report.Held != o.Range && report.Sequence != o.Sequence {
		// The next look decides anew, and its order fits.
		delete(d.pending, o.Endpoint)
		return
	}
	p := d.pending[o.Endpoint]
	p.order, p.refused = o.Range, report.Held != o.Range
	d.pending[o.Endpoint] = p
}
