package orderer

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/control/leaser"
	"github.com/heatherrock/heatherrock/internal/control/repairer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// State is an orderer's part of the state dump.
type State struct {
	Lease string
	Held  bool
	Fence int64
	// Holder is the holder in the row as last seen.
	Holder string
	// Unconfirmed are the orders whose engines get no other.
	Unconfirmed []leaser.Intent
	Missing     []Missing
	Loads       []repairer.Load
	// Events say what was done about missing ranges and why, the latest last.
	Events []repairer.Event
}

// Missing is a range that too few live endpoints hold.
type Missing struct {
	Range repairer.Range
	Since time.Time
}

// State returns a copy of the orderer's state.
func (o *Orderer) State() State {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := State{
		Lease: o.name, Held: o.lease.Held, Fence: o.lease.Row.Record.Fence, Holder: o.lease.Row.Record.Holder,
		Unconfirmed: slices.Clone(o.lease.Row.Record.Intents),
		Loads:       slices.Clone(o.repairer.Loads), Events: slices.Clone(o.repairer.Events),
	}
	for r, since := range o.repairer.MissingSince {
		s.Missing = append(s.Missing, Missing{Range: r, Since: since})
	}
	slices.SortFunc(s.Missing, func(a, b Missing) int { return a.Since.Compare(b.Since) })
	return s
}

// repair looks at the inventory, decides and gives orders until the orderer is closed.
func (o *Orderer) repair() {
	defer o.wait.Done()
	for o.sleep(o.interval) {
		needs, endpoints := o.inventory.Needs(), o.inventory.Endpoints()
		o.decide(needs, endpoints)
		for _, p := range o.ready() {
			o.wait.Add(1)
			go o.run(p)
		}
	}
}

// decide asks the repairer for orders while this instance holds the lease, and notes their intents.
func (o *Orderer) decide(needs []repairer.Need, endpoints []Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	if !o.lease.Held {
		o.drop()
		return
	}
	o.adopt(now)
	var known []repairer.Endpoint
	addresses := map[string]string{}
	for _, e := range endpoints {
		e.Busy = e.Busy || o.lease.Busy(now, e.ID)
		known = append(known, e.Endpoint)
		addresses[e.ID] = e.Address
	}
	for _, l := range o.repairer.NextLoads(now, needs, known) {
		intent := leaser.Intent{
			ID: l.ID, Endpoint: l.Endpoint, Order: streamer.OrderLoad,
			Model: l.Range.Model, Version: l.Range.Version, From: l.Range.From, To: l.Range.To,
		}
		if !o.lease.AddIntent(now, intent) {
			o.repairer.RecordFailure(now, l.ID, "the lease does not allow the order")
			continue
		}
		o.pending[l.ID] = order{load: l, address: addresses[l.Endpoint]}
	}
	o.settle(now)
	o.log()
}

// drop forgets the loads of a lease that is no longer held.
func (o *Orderer) drop() {
	o.repairer.Reset()
	clear(o.pending)
}

// adopt takes over the loads of the holders before.
func (o *Orderer) adopt(now time.Time) {
	for _, u := range o.lease.InheritedIntents {
		i := u.Intent
		r := repairer.Range{Model: i.Model, Version: i.Version, From: i.From, To: i.To}
		o.repairer.Adopt(repairer.Load{ID: i.ID, Endpoint: i.Endpoint, Range: r, Since: now})
	}
}

// settle removes the intents of loads that are confirmed. The engine of a failed one is left alone for as long as its
// order may start and run.
func (o *Orderer) settle(now time.Time) {
	for _, u := range slices.Clone(o.lease.InheritedIntents) {
		if o.repairer.WasLoaded(u.Intent.ID) {
			o.lease.RemoveIntent(u.Intent.ID)
		}
	}
	for _, i := range slices.Clone(o.lease.OwnIntents) {
		running := slices.ContainsFunc(o.repairer.Loads, func(l repairer.Load) bool { return l.ID == i.ID })
		switch {
		case o.repairer.WasLoaded(i.ID):
			o.lease.RemoveIntent(i.ID)
		case !running:
			delete(o.pending, i.ID)
			o.lease.MarkUnconfirmed(now, i.ID)
		}
	}
}

// ready returns the orders that may be given now.
func (o *Orderer) ready() []order {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ready []order
	for id, p := range o.pending {
		if _, ok := o.lease.OrderDeadline(o.now(), id); ok && !p.sending {
			p.sending = true
			o.pending[id] = p
			ready = append(ready, p)
		}
	}
	return ready
}

// run gives one order, after a last look at the lease. No byte of it leaves after the window.
func (o *Orderer) run(p order) {
	defer o.wait.Done()
	o.mu.Lock()
	limit, ok := o.lease.OrderDeadline(o.now(), p.load.ID)
	m := message(p.load, o.lease.Row.Record.Fence)
	travel := o.lease.Terms.OrderTimeout
	o.mu.Unlock()
	outcome := classifier.NotSent
	var reply *claimer.Reply
	var err error
	if ok {
		m.Until = limit
		ctx, cancel := context.WithDeadline(context.Background(), o.now().Add(travel))
		defer cancel()
		outcome, reply, err = o.sender.Send(ctx, p.address, m)
	}
	o.logger.Info("order given", "order", p.load.ID, "endpoint", p.load.Endpoint, "outcome", outcome.String(), "error", err)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pending, p.load.ID)
	switch {
	case outcome.NotRun():
		o.lease.RemoveIntent(p.load.ID)
		o.repairer.RecordFailure(o.now(), p.load.ID, "the order was not run: "+outcome.String())
	case reply != nil && reply.Status >= http.StatusMultipleChoices:
		o.repairer.RecordFailure(o.now(), p.load.ID, fmt.Sprintf("the engine answered with status %d", reply.Status))
	}
}

// log logs the events since the last look.
func (o *Orderer) log() {
	for _, d := range o.repairer.EventsSince(o.shown) {
		o.logger.Info("repair", "what", d.What, "model", d.Range.Model, "version", d.Range.Version,
			"from", d.Range.From, "to", d.Range.To, "endpoint", d.Endpoint, "order", d.Order, "why", d.Why)
	}
	o.shown = o.repairer.EventCount
}
