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

// State is the orderer's state in the state dump.
type State struct {
	Lease string
	Held  bool
	Fence int64
	// Holder is the lease's holder in the row that was last read or written.
	Holder string
	// Unconfirmed are the intents of orders that may still run. Their engines receive no other order.
	Unconfirmed []leaser.Intent
	Missing     []Missing
	Loads       []repairer.Load
	// Events are the repair decisions with their reasons, the latest last.
	Events []repairer.Event
}

// Missing is a range that too few available endpoints hold, and since when.
type Missing struct {
	Range repairer.Range
	Since time.Time
}

// State returns a copy of the orderer's state.
func (o *Orderer) State() State {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := State{
		Lease: o.leaseKey, Held: o.lease.Held, Fence: o.lease.Row.Record.Fence, Holder: o.lease.Row.Record.Holder,
		Unconfirmed: slices.Clone(o.lease.Row.Record.Intents),
		Loads:       slices.Clone(o.repairer.Loads), Events: slices.Clone(o.repairer.Events),
	}
	for r, since := range o.repairer.MissingSince {
		s.Missing = append(s.Missing, Missing{Range: r, Since: since})
	}
	slices.SortFunc(s.Missing, func(a, b Missing) int { return a.Since.Compare(b.Since) })
	return s
}

// loopRepairs checks the inventory periodically and sends the resulting orders until the orderer is closed.
func (o *Orderer) loopRepairs() {
	defer o.wait.Done()
	for o.sleep(o.checkInterval) {
		needs, endpoints := o.inventory.Needs(), o.inventory.Endpoints()
		o.planOrders(needs, endpoints)
		for _, p := range o.claimReadyOrders() {
			o.wait.Add(1)
			go o.sendOrder(p)
		}
	}
}

// planOrders lets the repairer decide on loads while this instance holds the lease. It adds an intent to the lease and a
// pending order for each. Without the lease it discards all loads.
func (o *Orderer) planOrders(needs []repairer.Need, endpoints []Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	if !o.lease.Held {
		o.discardLoads()
		return
	}
	o.adoptInherited(now)
	var engines []repairer.Endpoint
	addresses := map[string]string{}
	for _, e := range endpoints {
		e.Busy = e.Busy || o.lease.Busy(now, e.ID)
		engines = append(engines, e.Endpoint)
		addresses[e.ID] = e.Address
	}
	for _, l := range o.repairer.NextLoads(now, needs, engines) {
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
	o.removeEndedIntents(now)
	o.logEvents()
}

// discardLoads discards the loads of a lease that is no longer held.
func (o *Orderer) discardLoads() {
	o.repairer.Reset()
	clear(o.pending)
}

// adoptInherited takes over the loads of earlier lease holders.
func (o *Orderer) adoptInherited(now time.Time) {
	for _, u := range o.lease.InheritedIntents {
		i := u.Intent
		r := repairer.Range{Model: i.Model, Version: i.Version, From: i.From, To: i.To}
		o.repairer.Adopt(repairer.Load{ID: i.ID, Endpoint: i.Endpoint, Range: r, Since: now})
	}
}

// removeEndedIntents removes the intents of loads that are confirmed. The intent of a failed load is kept as unconfirmed:
// its engine receives no other order for as long as this one may still start and run.
func (o *Orderer) removeEndedIntents(now time.Time) {
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

// claimReadyOrders returns the pending orders that may be sent now, and marks them as being sent.
func (o *Orderer) claimReadyOrders() []order {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ready []order
	for id, p := range o.pending {
		if _, ok := o.lease.OrderDeadline(o.now(), id); ok && !p.isSending {
			p.isSending = true
			o.pending[id] = p
			ready = append(ready, p)
		}
	}
	return ready
}

// sendOrder sends one order after a last check of the lease. No byte of it is sent after the lease's order window.
func (o *Orderer) sendOrder(p order) {
	defer o.wait.Done()
	o.mu.Lock()
	deadline, ok := o.lease.OrderDeadline(o.now(), p.load.ID)
	m := orderMessage(p.load, o.lease.Row.Record.Fence)
	orderTimeout := o.lease.Terms.OrderTimeout
	o.mu.Unlock()
	outcome := classifier.NotSent
	var reply *claimer.Reply
	var err error
	if ok {
		m.SendDeadline = deadline
		ctx, cancel := context.WithDeadline(context.Background(), o.now().Add(orderTimeout))
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

// logEvents logs the repairer's events since the last call.
func (o *Orderer) logEvents() {
	for _, e := range o.repairer.EventsSince(o.loggedEventCount) {
		o.logger.Info("repair", "what", e.What, "model", e.Range.Model, "version", e.Range.Version,
			"from", e.Range.From, "to", e.Range.To, "endpoint", e.Endpoint, "order", e.Order, "why", e.Why)
	}
	o.loggedEventCount = o.repairer.EventCount
}
