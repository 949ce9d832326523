package decoder

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/standin/answerer"
)

// RoleLeaving is the role of an engine that accepts no new streams.
const RoleLeaving = "leaving"

// Fetch fetches the weights of a range of layers, or of an adapter, by name. It blocks until the weight store has sent
// them.
type Fetch func(ctx context.Context, name string) error

// orders holds the orders that an engine has accepted and the highest fencing token that it has received.
type orders struct {
	highestToken int64
	log          []streamer.Order
	seenIDs      map[string]bool
}

// WeightName returns the name under which the weight store holds a range of layers.
func WeightName(h streamer.LayerRange) string {
	return fmt.Sprintf("%s.%s.%d-%d", h.Model, h.Version, h.From, h.To)
}

// loadedName returns the weight store's name of what an order loads: an adapter or a range of layers.
func loadedName(o streamer.Order) string {
	if o.Adapter != "" {
		return o.Adapter
	}
	return WeightName(o.Held)
}

// postOrder accepts an order. The response confirms only that it was accepted; what it loads appears in a later load
// report.
func (d *Decoder) postOrder(w http.ResponseWriter, r *http.Request) {
	var o streamer.Order
	if err := readJSON(r, &o); err != nil {
		d.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	status, reason := d.acceptOrder(o)
	if status != http.StatusAccepted {
		d.refuse(w, status, reason)
		return
	}
	w.WriteHeader(status)
}

// acceptOrder validates an order and starts it. An order whose ID was accepted before is not run again.
func (d *Decoder) acceptOrder(o streamer.Order) (int, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Action != streamer.OrderLoad && o.Action != streamer.OrderUnload && o.Action != streamer.OrderRole {
		return http.StatusBadRequest, "unknown order"
	}
	if d.checksFencing && o.FencingToken < d.orders.highestToken {
		return http.StatusConflict, "old fencing number"
	}
	d.orders.highestToken = max(d.orders.highestToken, o.FencingToken)
	if o.ID != "" && d.orders.seenIDs[o.ID] {
		return http.StatusAccepted, ""
	}
	d.orders.seenIDs[o.ID] = true
	d.orders.log = append(d.orders.log, o)
	switch o.Action {
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

// loader runs one load order.
type loader struct {
	decoder *Decoder
	order   streamer.Order
}

// run fetches the weights and then marks them as loaded. If the fetch fails, nothing is loaded.
func (l loader) run(ctx context.Context) {
	if l.decoder.fetchWeights != nil && l.decoder.fetchWeights(ctx, loadedName(l.order)) != nil {
		return
	}
	l.decoder.addLoaded(l.order)
}

// addLoaded adds the adapter or layer range of a load order to what the engine holds.
func (d *Decoder) addLoaded(o streamer.Order) {
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

// unload removes a layer range or an adapter. Running streams that use it continue. The caller holds d.mu.
func (d *Decoder) unload(o streamer.Order) {
	if o.Adapter != "" {
		d.adapters = slices.DeleteFunc(slices.Clone(d.adapters), func(n string) bool { return n == o.Adapter })
		return
	}
	d.held = slices.DeleteFunc(slices.Clone(d.held), func(h streamer.LayerRange) bool { return h == o.Held })
}

// Orders returns the orders that were run, in the order in which they arrived.
func (d *Decoder) Orders() []streamer.Order {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.orders.log)
}

func (d *Decoder) getOrders(w http.ResponseWriter, _ *http.Request) {
	answerer.WriteJSON(w, d.Orders())
}
