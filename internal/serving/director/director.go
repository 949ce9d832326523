// Package director has the layers of a model placed on endpoints. One instance at a time has this duty.
package director

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/control/elector"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
	"github.com/heatherrock/heatherrock/internal/serving/syncer"
)

// The outcomes of an order.
var (
	// ErrFenced means that the endpoint has seen a higher token.
	ErrFenced = merry.Sentinel("order with an old token")
	// ErrStale means that the endpoint has begun other orders since, or does not take this one.
	ErrStale = merry.Sentinel("order does not fit the endpoint's state")
	// ErrElsewhere means that another endpoint has the address.
	ErrElsewhere = merry.Sentinel("another endpoint has the address")
)

// Order tells an endpoint what to hold.
type Order struct {
	Endpoint string
	Address  string
	Range    placer.Range
	// Token is the fencing token, and Sequence the number of orders that the endpoint has begun before.
	Token    int64
	Sequence int64
}

// Report is what an endpoint says of itself.
type Report struct {
	Held     placer.Range
	Sequence int64
	// Busy is set while it carries out an order.
	Busy bool
}

// Orderer gives orders to endpoints.
type Orderer interface {
	// Place gives an order. It returns nil once the order has begun or is done; after an error other than those above
	// it may have begun, or begin later.
	Place(ctx context.Context, o Order) error
	// Report asks an endpoint for its state.
	Report(ctx context.Context, endpoint, address string) (Report, error)
}

// Endpoint is an endpoint of any service as its row in the store tells it.
type Endpoint struct {
	placer.Holder
	Service string
	Address string
	Leaving bool
	// Born is when it started, by its own clock; a restart under the same id differs.
	Born int64
}

// Model is a model whose layers are placed.
type Model struct {
	Engine    *placer.Engine
	Endpoints []Endpoint
}

// The intervals of a Director.
const (
	// interval is the time between looks.
	interval = 200 * time.Millisecond
	// settled is how long no new endpoint has come before the first placement, so that it sees all of them.
	settled = 1300 * time.Millisecond
	// patience bounds the wait for endpoints before the first placement.
	patience = 5 * time.Second
	// rebalanceTime is how long a layout stays before an endpoint that holds layers is moved, so that losses that come
	// together are seen together; moveTime is the least time between two moves.
	rebalanceTime = 800 * time.Millisecond
	moveTime      = 3 * time.Second
	// orderTime bounds an order.
	orderTime = 1500 * time.Millisecond
	// showTime is how long an endpoint takes to tell of a change beyond the time of the load.
	showTime = 4 * time.Second
	// drainTime is how long an endpoint may take to finish the streams of layers that it gives up, before it loads others:
	// half as much again as the 8 s that one took on a day of the first users.
	drainTime = 12 * time.Second
	// tableName is the store's table of duties.
	tableName = "duty"
)

// pending is an order whose effect does not show yet.
type pending struct {
	order placer.Range
	born  int64
	until time.Time
	// before is what the endpoint's row told when the order was given, and refused is set if the endpoint did not take it.
	before  placer.Range
	refused bool
}

// over reports whether an order is no longer pending, by the row of its endpoint: it shows, the endpoint has started anew, or it
// was refused and what another holder of the duty ordered shows.
func (p pending) over(e Endpoint) bool {
	if p.born != e.Born || e.Held == p.order {
		return true
	}
	return p.refused && !e.Held.Empty() && e.Held != p.before
}

// begun is how many orders an endpoint has begun since it started, as far as this instance knows.
type begun struct {
	orders int64
	born   int64
}

// Director places layers if it is this instance's turn.
type Director struct {
	store    syncer.Store
	exchange *exchanger.Exchanger
	orders   Orderer
	log      *slog.Logger
	clock    func() time.Time
	self     string
	service  string
	done     chan struct{}
	wait     sync.WaitGroup

	mu      sync.Mutex
	model   Model
	grid    placer.Grid
	first   map[string]time.Time
	pending map[string]pending
	begun   map[string]begun
	elector *elector.Elector
	leaving bool
	// shape is the layout as last seen, since changed; weighed is set once a move in it has been weighed.
	shape   string
	changed time.Time
	weighed bool
	moved   time.Time
}

// New returns a director of an instance for the model of a service.
func New(self, service string, store syncer.Store, x *exchanger.Exchanger, o Orderer, log *slog.Logger, clock func() time.Time) *Director {
	d := &Director{
		store: store, exchange: x, orders: o, log: log, clock: clock, self: self, service: service, done: make(chan struct{}),
		first: map[string]time.Time{}, pending: map[string]pending{}, begun: map[string]begun{},
		elector: elector.New(clock(), self),
	}
	x.Subscribe(topicDuty, d.heard)
	return d
}

// topicDuty carries the duty as its holder has it.
const topicDuty = "duty"

// Start begins to look.
func (d *Director) Start() {
	d.wait.Add(1)
	go d.loop()
}

// Close ends the duty.
func (d *Director) Close() {
	close(d.done)
	d.wait.Wait()
}

// Leave makes the director take no duty any more.
func (d *Director) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// Update takes in the model and its endpoints.
func (d *Director) Update(now time.Time, m Model) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.model = m
	seen := map[string]bool{}
	for _, e := range m.Endpoints {
		seen[e.ID] = true
		if _, ok := d.first[e.ID]; !ok {
			d.first[e.ID] = now
		}
		if p, ok := d.pending[e.ID]; ok && p.over(e) {
			delete(d.pending, e.ID)
		}
	}
	for id := range d.first {
		if !seen[id] {
			delete(d.first, id)
			delete(d.pending, id)
			delete(d.begun, id)
		}
	}
}

// heard takes in the duty as a peer tells it.
func (d *Director) heard(e gossiper.Entry) {
	if e.Deleted || e.Key != d.service {
		return
	}
	duty, err := elector.Decode(e.Value)
	if err != nil {
		d.log.Warn("duty not read", "peer", e.Owner, "error", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.elector.Holds()
	d.elector.RecordDuty(d.clock(), duty)
	if held && !d.elector.Holds() {
		d.log.Warn("duty lost", "holder", duty.Holder, "token", duty.Token)
		d.exchange.Withdraw(topicDuty, d.service)
	}
}

// loop looks until the director is closed.
func (d *Director) loop() {
	defer d.wait.Done()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-d.done:
			return
		case <-ticker.C:
		}
		if d.elect() {
			d.place()
		}
	}
}

// elect takes the duty if it is vacant, and reports whether this instance has it.
func (d *Director) elect() bool {
	d.mu.Lock()
	now := d.clock()
	if d.elector.Holds() && !d.leaving {
		d.mu.Unlock()
		return true
	}
	var living []string
	for _, p := range d.exchange.Peers() {
		if !p.Leaving {
			living = append(living, p.ID)
		}
	}
	wants := !d.leaving && d.model.Engine != nil && d.elector.ShouldTakeOver(now, living)
	d.mu.Unlock()
	if !wants {
		return false
	}
	return d.take(living)
}

// take reads the duty's row and writes this instance into it unless its holder lives.
func (d *Director) take(living []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), orderTime)
	defer cancel()
	page, err := d.store.Rows(ctx, tableName)
	if err != nil {
		d.log.Warn("duty not read", "error", err)
		d.bar()
		return false
	}
	var version int64
	duty := elector.Duty{}
	for _, r := range page.Rows {
		if r.Key != d.service {
			continue
		}
		version = r.Version
		if duty, err = elector.Decode(r.Value); err != nil {
			d.log.Warn("duty's row not read", "error", err)
		}
	}
	now := d.clock()
	d.mu.Lock()
	d.elector.RecordDuty(now, duty)
	d.mu.Unlock()
	if slices.Contains(living, duty.Holder) && duty.Holder != d.self {
		return false
	}
	// A token is never used twice, also not after a write that was not answered.
	next := elector.Duty{Holder: d.self, Token: duty.Token + 1}
	_, err = d.store.Commit(ctx, syncer.Change{
		Table: tableName,
		If:    []syncer.Condition{{Key: d.service, Version: version}},
		Set:   []replicator.Row{{Key: d.service, Value: next.Encode()}},
	})
	if err != nil {
		d.log.Warn("duty not taken", "token", next.Token, "error", err)
		d.bar()
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.elector.RecordDuty(d.clock(), next)
	d.pending = map[string]pending{}
	d.log.Info("duty taken", "service", d.service, "token", next.Token, "before", duty.Holder)
	d.exchange.Publish(topicDuty, d.service, next.Encode(), 0)
	return true
}

// bar keeps this instance from trying again at once.
func (d *Director) bar() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.elector.CooldownUntil = d.clock().Add(interval * 3)
}

// Holds reports whether this instance has the duty.
func (d *Director) Holds() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.elector.Holds()
}
