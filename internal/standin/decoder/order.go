package decoder

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/standin/answerer"
)

// RoleLeaving is the role of an engine that takes no new streams.
const RoleLeaving = "leaving"

// Fetch fetches the weights of a range of layers, or of an adapter, by name. It takes as long as the weight store
// needs.
type Fetch func(ctx context.Context, name string) error

// orders is what an engine knows of its orders.
type orders struct {
	highest int64
	log     []streamer.Order
	ran     map[string]bool
}

// WeightName returns the name under which the weight store holds a range of layers.
func WeightName(h streamer.Held) string {
	return fmt.Sprintf("%s.%s.%d-%d", h.Model, h.Version, h.From, h.To)
}

// weights returns the name of what an order loads.
func weights(o streamer.Order) string {
	if o.Adapter != "" {
		return o.Adapter
	}
	return WeightName(o.Held)
}

// postOrder takes an order. The answer says that it was taken; what was loaded shows in the load report later.
func (d *Decoder) postOrder(w http.ResponseWriter, r *http.Request) {
	var o streamer.Order
	if err := read(r, &o); err != nil {
		d.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	status, reason := d.take(o)
	if status != http.StatusAccepted {
		d.refuse(w, status, reason)
		return
	}
	w.WriteHeader(status)
}

// take checks an order and begins it. An order with a known ID is not run again.
func (d *Decoder) take(o streamer.Order) (int, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Order != streamer.OrderLoad && o.Order != streamer.OrderUnload && o.Order != streamer.OrderRole {
		return http.StatusBadRequest, "unknown order"
	}
	if d.fenced && o.Fence < d.orders.highest {
		return http.StatusConflict, "old fencing number"
	}
	d.orders.highest = max(d.orders.highest, o.Fence)
	if o.ID != "" && d.orders.ran[o.ID] {
		return http.StatusAccepted, ""
	}
	d.orders.ran[o.ID] = true
	d.orders.log = append(d.orders.log, o)
	switch o.Order {
	case streamer.OrderLoad:
		go loader{d, o}.run(d.lifetime)
	case streamer.OrderUnload:
		d.unload(o)
	case streamer.OrderRole:
		d.role = o.Role
		d.leaving = o.Role == RoleLeaving
	}
	return http.StatusAccepted, ""
}

// loader carries out one order to load.
type loader struct {
	decoder *Decoder
	order   streamer.Order
}

// run fetches the weights and holds them then. Nothing is held if the store does not give them.
func (l loader) run(ctx context.Context) {
	if l.decoder.fetch != nil && l.decoder.fetch(ctx, weights(l.order)) != nil {
		return
	}
	l.decoder.hold(l.order)
}

// hold adds what an order loaded.
func (d *Decoder) hold(o streamer.Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Adapter != "" {
		if !contains(d.adapters, o.Adapter) {
			d.adapters = append(d.adapters, o.Adapter)
		}
		return
	}
	if !slices.Contains(d.held, o.Held) {
		d.held = append(d.held, o.Held)
	}
}

// unload drops a range of layers or an adapter. Running answers go on.
func (d *Decoder) unload(o streamer.Order) {
	if o.Adapter != "" {
		d.adapters = slices.DeleteFunc(slices.Clone(d.adapters), func(n string) bool { return n == o.Adapter })
		return
	}
	d.held = slices.DeleteFunc(slices.Clone(d.held), func(h streamer.Held) bool { return h == o.Held })
}

// Orders returns the orders that were run, in order.
func (d *Decoder) Orders() []streamer.Order {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.orders.log)
}

// getOrders answers with the orders that were run.
func (d *Decoder) getOrders(w http.ResponseWriter, _ *http.Request) {
	answerer.JSON(w, d.Orders())
}
