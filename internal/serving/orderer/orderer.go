// Package orderer repairs missing layer ranges: it holds the lease of its region, and gives the orders that the
// repairer decides on to engines.
package orderer

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/leaser"
	"github.com/heatherrock/heatherrock/internal/control/repairer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/serving/dispatcher"
)

// pathOrders is the path at which engines take orders.
const pathOrders = "/engine/orders"

// Defaults of the options.
const (
	defaultInterval = 500 * time.Millisecond
	defaultTimeout  = time.Second
)

// Endpoint is an engine and the address (host and port) at which it takes orders.
type Endpoint struct {
	repairer.Endpoint
	Address string
}

// Inventory is what an instance knows of the engines of its region and of the versions to be served.
type Inventory interface {
	Needs() []repairer.Need
	Endpoints() []Endpoint
}

// Orderer runs the repair loop.
type Orderer struct {
	name      string
	table     tabler.Table
	inventory Inventory
	sender    *dispatcher.Sender
	logger    *slog.Logger
	interval  time.Duration
	timeout   time.Duration
	now       func() time.Time

	mu       sync.Mutex
	lease    *leaser.Lease
	repairer *repairer.Repairer
	pending  map[string]order
	shown    int

	done chan struct{}
	wait sync.WaitGroup
	stop sync.Once
}

// order is a load whose order was not given yet.
type order struct {
	load    repairer.Load
	address string
	sending bool
}

// Option changes an Orderer.
type Option func(*Orderer)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(o *Orderer) { o.logger = l }
}

// WithInterval sets the time between looks at the inventory.
func WithInterval(d time.Duration) Option {
	return func(o *Orderer) { o.interval = d }
}

// WithTerms sets the times of the lease.
func WithTerms(t leaser.Terms) Option {
	return func(o *Orderer) { o.lease.Terms = t }
}

// WithSettings bounds the repairs.
func WithSettings(s repairer.Settings) Option {
	return func(o *Orderer) { o.repairer.Settings = s }
}

// WithSender sets the sender, for engines that are reached over TLS.
func WithSender(s *dispatcher.Sender) Option {
	return func(o *Orderer) { o.sender = s }
}

// New returns an orderer for a region. Self names this process and differs after a restart.
func New(self, region string, t tabler.Table, i Inventory, options ...Option) *Orderer {
	names := func(n int64) string { return fmt.Sprintf("%s/%d", self, n) }
	o := &Orderer{
		name:      "repair/" + region,
		table:     t,
		inventory: i,
		logger:    slog.Default(),
		interval:  defaultInterval,
		timeout:   defaultTimeout,
		now:       time.Now,
		lease:     leaser.New(self, leaser.DefaultTerms(), names),
		repairer:  repairer.New(repairer.DefaultSettings(), func(n int64) string { return fmt.Sprintf("%s/order-%d", self, n) }),
		pending:   map[string]order{},
		done:      make(chan struct{}),
	}
	for _, option := range options {
		option(o)
	}
	if o.sender == nil {
		o.sender = dispatcher.NewSender(nil)
	}
	return o
}

// Start starts the loops of the lease and of the repairs.
func (o *Orderer) Start() {
	o.wait.Add(2)
	go o.loop()
	go o.repair()
}

// Close gives the lease back and ends the loops.
func (o *Orderer) Close() {
	o.stop.Do(func() {
		close(o.done)
		o.wait.Wait()
		o.release()
		o.sender.Close()
	})
}

// loop takes the steps of the lease.
func (o *Orderer) loop() {
	defer o.wait.Done()
	for {
		o.mu.Lock()
		action := o.lease.Next(o.now())
		o.mu.Unlock()
		switch action.Step {
		case leaser.StepRead:
			o.read()
		case leaser.StepWrite:
			o.write(action)
		default:
			if !o.sleep(min(action.Until.Sub(o.now()), o.interval)) {
				return
			}
			continue
		}
		if !o.sleep(0) {
			return
		}
	}
}

// sleep waits for d and returns false once the orderer is closed.
func (o *Orderer) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-o.done:
		return false
	case <-timer.C:
		return true
	}
}

// read reads the lease's row.
func (o *Orderer) read() {
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	row, _, err := o.table.Get(ctx, leaser.Table, o.name)
	found, ok := decode(row)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil || !ok {
		o.lease.HandleReadError(o.now())
		o.logger.Warn("lease not read", "lease", o.name, "error", err)
		return
	}
	o.lease.HandleRead(o.now(), found)
}

// write writes the lease's row.
func (o *Orderer) write(a leaser.Action) {
	result, err := o.commit(a)
	o.mu.Lock()
	defer o.mu.Unlock()
	held := o.lease.Held
	switch {
	case result.Outcome == classifier.Completed && result.Applied:
		o.lease.HandleWrite(o.now(), result.Outcome, true, leaser.Row{Version: result.Versions[0]})
	case result.Outcome == classifier.Completed && len(result.Conflicts) > 0:
		found, ok := decode(result.Conflicts[0])
		if !ok {
			o.lease.HandleWrite(o.now(), classifier.Unknown, false, leaser.Row{})
			return
		}
		o.lease.HandleWrite(o.now(), result.Outcome, false, found)
	default:
		o.logger.Warn("lease not written", "lease", o.name, "outcome", result.Outcome.String(), "error", err)
		o.lease.HandleWrite(o.now(), result.Outcome, false, leaser.Row{})
	}
	if held != o.lease.Held {
		o.logger.Info("lease changed", "lease", o.name, "held", o.lease.Held, "fence", o.lease.Row.Record.Fence)
	}
}

// commit writes a record of the lease on condition of the row's version.
func (o *Orderer) commit(a leaser.Action) (tabler.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	value, err := json.Marshal(a.Record)
	if err != nil {
		panic("lease record cannot be encoded: " + err.Error())
	}
	return o.table.Commit(ctx, tabler.Txn{
		ID:         uuid.NewString(),
		Conditions: []tabler.Condition{{Table: leaser.Table, Key: o.name, Version: a.Version}},
		Writes:     []tabler.Write{{Table: leaser.Table, Key: o.name, Value: value}},
	})
}

// release gives the lease back.
func (o *Orderer) release() {
	o.mu.Lock()
	action, ok := o.lease.Release()
	o.mu.Unlock()
	if !ok {
		return
	}
	if _, err := o.commit(action); err != nil {
		o.logger.Warn("lease not given back", "lease", o.name, "error", err)
	}
}

// decode returns the lease in a row, or false if it cannot be read.
func decode(r tabler.Row) (leaser.Row, bool) {
	row := leaser.Row{Version: r.Version}
	if r.Version == 0 {
		return row, true
	}
	return row, json.Unmarshal(r.Value, &row.Record) == nil
}

// message returns an order as an engine takes it.
func message(l repairer.Load, fence int64) dispatcher.Message {
	body, err := json.Marshal(streamer.Order{
		ID: l.ID, Fence: fence, Order: streamer.OrderLoad,
		Held: streamer.Held{Model: l.Range.Model, Version: l.Range.Version, From: l.Range.From, To: l.Range.To},
	})
	if err != nil {
		panic("order cannot be encoded: " + err.Error())
	}
	return dispatcher.Message{
		Method: http.MethodPost, Path: pathOrders, Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
	}
}
