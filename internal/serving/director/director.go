// Package director places the layers of a model on endpoints. One instance at a time does so: the holder of the
// placement duty, a leader role with a fencing token.
package director

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/uber-go/tally/v4"

	"github.com/heatherrock/heatherrock/internal/control/elector"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
	"github.com/heatherrock/heatherrock/internal/serving/syncer"
)

// The errors of an order.
var (
	// ErrFenced means that the endpoint has received an order with a higher fencing token.
	ErrFenced = merry.Sentinel("order with an old token")
	// ErrStale means that the endpoint has begun other orders since, or does not accept this one.
	ErrStale = merry.Sentinel("order does not fit the endpoint's state")
	// ErrWrongEndpoint means that another endpoint has the address.
	ErrWrongEndpoint = merry.Sentinel("another endpoint has the address")
)

// Order states the layers that an endpoint is to hold.
type Order struct {
	Endpoint string
	Address  string
	Range    placer.Range
	// Token is the fencing token, and Sequence the number of orders that the endpoint has begun before this one.
	Token    int64
	Sequence int64
}

// Report is an endpoint's own state.
type Report struct {
	Held     placer.Range
	Sequence int64
	// Busy is true while the endpoint carries out an order.
	Busy bool
}

// Orderer sends orders to endpoints.
type Orderer interface {
	// Place sends an order. It returns nil once the order has begun or is done. After an error other than those above
	// the order may have begun, or may begin later.
	Place(ctx context.Context, o Order) error
	// Report reads an endpoint's state.
	Report(ctx context.Context, endpoint, address string) (Report, error)
}

// Endpoint is an endpoint of any service, as its row in the store states it.
type Endpoint struct {
	placer.Holder
	Service string
	Address string
	Leaving bool
	// Born is the start time by the endpoint's own clock; it differs after a restart under the same id.
	Born int64
	// Slots is the number of calls that an endpoint of a plain service runs at once, 0 if it is not stated.
	Slots int
}

// Model is a model whose layers are placed.
type Model struct {
	Engine    *placer.Engine
	Endpoints []Endpoint
}

// The durations of a Director.
const (
	// checkInterval is the time between two checks of the duty and the layout.
	checkInterval = 200 * time.Millisecond
	// settleTime is how long no new endpoint has appeared before the first placement, so that it includes all of them.
	settleTime = 1300 * time.Millisecond
	// maxSettleTime bounds the wait for endpoints before the first placement.
	maxSettleTime = 5 * time.Second
	// rebalanceDelay is how long a layout has to stay unchanged before endpoints that hold layers are moved, so that
	// concurrent losses are handled together. minPlanInterval is the least time between the beginnings of two plans.
	rebalanceDelay  = 800 * time.Millisecond
	minPlanInterval = 3 * time.Second
	// orderTimeout bounds an order, and a takeover of the duty.
	orderTimeout = 1500 * time.Millisecond
	// reportDelay is how long an endpoint takes to report a change, in addition to the load time.
	reportDelay = 4 * time.Second
	// drainTime is how long an endpoint may take to finish the streams on layers that it gives up, before it loads
	// others: half as much again as the 8 s that one took under users' load.
	drainTime = 12 * time.Second
	// rowRetryDelay is the time between two attempts to write the duty's row again.
	rowRetryDelay = 2 * time.Second
	// dutyTable is the store's table of duties.
	dutyTable = "duty"
	// tokensPerEra is the difference between the first tokens of two eras of the store.
	tokensPerEra = 1 << 20
)

// pendingOrder is an order whose effect is not yet visible in the endpoint's row.
type pendingOrder struct {
	ordered placer.Range
	// born is the endpoint's Born when the order was sent, and expiresAt when the order counts as lost.
	born      int64
	expiresAt time.Time
	// heldBefore is what the endpoint's row stated when the order was sent, and refused is true if the endpoint did not
	// accept the order.
	heldBefore placer.Range
	refused    bool
	// isMove is true if the endpoint held layers when the order was sent.
	isMove bool
}

// isResolved reports whether an order is no longer pending according to the row of its endpoint: its effect is visible,
// the endpoint has restarted, or it refused the order and the effect of an order of another holder of the duty is
// visible.
func (p pendingOrder) isResolved(e Endpoint) bool {
	if p.born != e.Born || e.Held == p.ordered {
		return true
	}
	return p.refused && !e.Held.Empty() && e.Held != p.heldBefore
}

// orderCount is the number of orders that an endpoint has begun since it started, as far as this instance knows.
type orderCount struct {
	begun int64
	born  int64
}

// Director places the layers of one service's model while its instance holds the duty.
type Director struct {
	store    syncer.Store
	exchange *exchanger.Exchanger
	orderer  Orderer
	log      *slog.Logger
	clock    func() time.Time
	self     string
	service  string
	done     chan struct{}
	wait     sync.WaitGroup

	mu    sync.Mutex
	model Model
	grid  placer.Grid
	// firstSeenAt, pending and orderCounts are by endpoint id.
	firstSeenAt map[string]time.Time
	pending     map[string]pendingOrder
	orderCounts map[string]orderCount
	elector     *elector.Elector
	leaving     bool
	// rowLost is true while the duty's row may be missing or older, as the store has come back from a copy. rowRetryAt is when it is
	// written again next.
	rowLost    bool
	rowRetryAt time.Time
	rebalancing
	scope tally.Scope
}

// movesCounter is the name of the counter of moves.
const movesCounter = "layout_moves"

// Option changes a Director.
type Option func(*Director)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option {
	return func(d *Director) { d.scope = s }
}

// New returns a director of an instance for the model of a service.
func New(self, service string, store syncer.Store, x *exchanger.Exchanger, o Orderer, log *slog.Logger, clock func() time.Time, options ...Option) *Director {
	d := &Director{
		store: store, exchange: x, orderer: o, log: log, clock: clock, self: self, service: service, done: make(chan struct{}),
		firstSeenAt: map[string]time.Time{}, pending: map[string]pendingOrder{}, orderCounts: map[string]orderCount{},
		elector: elector.New(clock(), self), scope: tally.NoopScope,
	}
	for _, o := range options {
		o(d)
	}
	d.scope = d.scope.Tagged(map[string]string{"service": service})
	// The counter is exported before the first move.
	d.scope.Counter(movesCounter).Inc(0)
	x.Subscribe(topicDuty, d.handleDuty)
	return d
}

// topicDuty is the topic on which the holder publishes the duty.
const topicDuty = "duty"

// Start starts the loop.
func (d *Director) Start() {
	d.wait.Add(1)
	go d.loop()
}

// Close stops the loop and waits for it to end.
func (d *Director) Close() {
	close(d.done)
	d.wait.Wait()
}

// MarkLeaving makes the director not take the duty any more.
func (d *Director) MarkLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// UpdateModel replaces the model and its endpoints.
func (d *Director) UpdateModel(now time.Time, m Model) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.model = m
	seen := map[string]bool{}
	for _, e := range m.Endpoints {
		seen[e.ID] = true
		if _, ok := d.firstSeenAt[e.ID]; !ok {
			d.firstSeenAt[e.ID] = now
		}
		if p, ok := d.pending[e.ID]; ok && p.isResolved(e) {
			delete(d.pending, e.ID)
		}
	}
	for id := range d.firstSeenAt {
		if !seen[id] {
			delete(d.firstSeenAt, id)
			delete(d.pending, id)
			delete(d.orderCounts, id)
		}
	}
}

// loop takes the duty when it is vacant, and places layers while it holds the duty, until the director is closed.
func (d *Director) loop() {
	defer d.wait.Done()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.done:
			return
		case <-ticker.C:
		}
		if d.ensureDuty() && d.ensureRow() {
			d.placeLayers()
		}
	}
}
