package orderer

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/leaser"
	"github.com/heatherrock/heatherrock/internal/control/repairer"
	standin "github.com/heatherrock/heatherrock/internal/standin/tabler"
)

// fakeEngine accepts orders and records them. It loads nothing by itself.
type fakeEngine struct {
	server *httptest.Server
	orders chan streamer.Order
}

func newFakeEngine(t *testing.T) *fakeEngine {
	e := &fakeEngine{orders: make(chan streamer.Order, 16)}
	e.server = httptest.NewServer(e)
	t.Cleanup(e.server.Close)
	return e
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o streamer.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || r.URL.Path != ordersPath {
		http.Error(w, "no order", http.StatusBadRequest)
		return
	}
	e.orders <- o
	w.WriteHeader(http.StatusAccepted)
}

// fakeInventory is the inventory that all orderers of a test share.
type fakeInventory struct {
	mu        sync.Mutex
	endpoints []Endpoint
}

func (i *fakeInventory) Needs() []repairer.Need {
	return []repairer.Need{{Model: "oak", Version: "v1", Layers: 20}}
}

func (i *fakeInventory) Endpoints() []Endpoint {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Endpoint(nil), i.endpoints...)
}

func (i *fakeInventory) setHeld(id string, from, to int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n := range i.endpoints {
		if i.endpoints[n].ID == id {
			i.endpoints[n].Held = []repairer.Range{{Model: "oak", Version: "v1", From: from, To: to}}
		}
	}
}

// startOrderer starts an orderer with short intervals and no grace period.
func startOrderer(t *testing.T, self string, tb tabler.Table, i Inventory) *Orderer {
	t.Helper()
	terms := leaser.DefaultTerms()
	terms.RenewInterval, terms.PollInterval = 20*time.Millisecond, 10*time.Millisecond
	settings := repairer.DefaultSettings()
	settings.GracePeriod = 0
	discard := slog.New(slog.NewTextHandler(io.Discard, nil))
	o := New(self, "wales", tb, i, WithTerms(terms), WithSettings(settings), WithInterval(5*time.Millisecond), WithLogger(discard))
	o.Start()
	t.Cleanup(o.Close)
	return o
}

// waitFor waits until a condition on an orderer's state holds.
func waitFor(o *Orderer, f func(s State) bool) {
	for !f(o.State()) {
		time.Sleep(time.Millisecond)
	}
}

func TestRepairAndChangeOfHolder(t *testing.T) {
	spare, other := newFakeEngine(t), newFakeEngine(t)
	i := &fakeInventory{endpoints: []Endpoint{
		{Endpoint: repairer.Endpoint{ID: "e1", Kind: "a", Held: []repairer.Range{{Model: "oak", Version: "v1", To: 10}}}},
		{Endpoint: repairer.Endpoint{ID: "e2", Kind: "a", Rate: 2}, Address: spare.server.Listener.Addr().String()},
		{Endpoint: repairer.Endpoint{ID: "e3", Kind: "a", Rate: 1}, Address: other.server.Listener.Addr().String()},
	}}
	table := standin.New()
	firstHolder := startOrderer(t, "one", table, i)
	first := <-spare.orders
	want := streamer.Order{ID: first.ID, FencingToken: 1, Action: streamer.OrderLoad, Held: streamer.LayerRange{Model: "oak", Version: "v1", From: 10, To: 20}}
	if diff := cmp.Diff(want, first); diff != "" {
		t.Errorf("order mismatch (-want +got):\n%s", diff)
	}
	waitFor(firstHolder, func(s State) bool { return len(s.Unconfirmed) == 1 })

	// The next holder adopts the running load and does not order it again.
	secondHolder := startOrderer(t, "two", table, i)
	firstHolder.Close()
	waitFor(secondHolder, func(s State) bool { return s.Held && len(s.Loads) == 1 })
	i.setHeld("e2", 10, 20)
	waitFor(secondHolder, func(s State) bool { return len(s.Loads) == 0 && len(s.Unconfirmed) == 0 })
	events := secondHolder.State().Events
	if len(events) != 1 || events[0].What != repairer.EventLoaded || events[0].Order != first.ID {
		t.Errorf("events of the next holder are %+v", events)
	}

	// A later order carries the next holder's fencing token.
	i.setHeld("e1", 5, 10)
	second := <-other.orders
	if diff := cmp.Diff([]any{int64(2), 0, 5}, []any{second.FencingToken, second.Held.From, second.Held.To}); diff != "" {
		t.Errorf("second order mismatch (-want +got):\n%s", diff)
	}
	if len(spare.orders) != 0 {
		t.Error("the engine was ordered twice")
	}
}

func TestUnreachableEngineGetsNoIntent(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	address := closed.Listener.Addr().String()
	closed.Close()
	i := &fakeInventory{endpoints: []Endpoint{{Endpoint: repairer.Endpoint{ID: "e1", Kind: "a"}, Address: address}}}
	o := startOrderer(t, "one", standin.New(), i)
	waitFor(o, func(s State) bool {
		n := len(s.Events)
		return n > 1 && s.Events[n-1].What == repairer.EventWaiting && len(s.Unconfirmed) == 0
	})
	if e := o.State().Events[1]; e.What != repairer.EventFailed || e.Endpoint != "e1" {
		t.Errorf("second event is %+v", e)
	}
}

func TestTableDownMeansNoOrder(t *testing.T) {
	e := newFakeEngine(t)
	i := &fakeInventory{endpoints: []Endpoint{{Endpoint: repairer.Endpoint{ID: "e1"}, Address: e.server.Listener.Addr().String()}}}
	o := startOrderer(t, "one", tabler.NewClient("http://127.0.0.1:1"), i)
	for range 20 {
		o.planOrders(i.Needs(), i.Endpoints())
	}
	if len(e.orders) != 0 || o.State().Held {
		t.Error("an order was given without the lease")
	}
}
