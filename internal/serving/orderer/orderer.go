// Package orderer repairs layer ranges that too few engines hold. The instance that holds its region's lease sends engines
// the load orders that the repairer decides on.
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

// ordersPath is the engines' HTTP path for orders.
const ordersPath = "/engine/orders"

// The default check interval, and the timeout of a table request.
const (
	defaultCheckInterval = 500 * time.Millisecond
	defaultTableTimeout  = time.Second
)

// Endpoint is an engine and the address (host and port) to which its orders are sent.
type Endpoint struct {
	repairer.Endpoint
	Address string
}

// Inventory returns the model versions to be served and the known engines of the region.
type Inventory interface {
	Needs() []repairer.Need
	Endpoints() []Endpoint
}

// Orderer runs the loops of the lease and of the repairs.
type Orderer struct {
	leaseKey      string
	table         tabler.Table
	inventory     Inventory
	sender        *dispatcher.Sender
	logger        *slog.Logger
	checkInterval time.Duration
	tableTimeout  time.Duration
	now           func() time.Time

	mu               sync.Mutex
	lease            *leaser.Lease
	repairer         *repairer.Repairer
	pending          map[string]order
	loggedEventCount int

	done      chan struct{}
	wait      sync.WaitGroup
	closeOnce sync.Once
}

// order is a load order that has not been sent yet, or is being sent.
type order struct {
	load      repairer.Load
	address   string
	isSending bool
}

// Option changes an Orderer.
type Option func(*Orderer)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(o *Orderer) { o.logger = l }
}

// WithInterval sets the time between checks of the inventory.
func WithInterval(d time.Duration) Option {
	return func(o *Orderer) { o.checkInterval = d }
}

// WithTerms sets the lease's durations.
func WithTerms(t leaser.Terms) Option {
	return func(o *Orderer) { o.lease.Terms = t }
}

// WithSettings sets the limits of the repairs.
func WithSettings(s repairer.Settings) Option {
	return func(o *Orderer) { o.repairer.Settings = s }
}

// WithSender sets the sender of orders. It is needed for engines that are reached over TLS.
func WithSender(s *dispatcher.Sender) Option {
	return func(o *Orderer) { o.sender = s }
}

// New returns an orderer for a region that is not started. Self identifies this process and must differ after a restart.
func New(self, region string, t tabler.Table, i Inventory, options ...Option) *Orderer {
	writeID := func(n int64) string { return fmt.Sprintf("%s/%d", self, n) }
	o := &Orderer{
		leaseKey:      "repair/" + region,
		table:         t,
		inventory:     i,
		logger:        slog.Default(),
		checkInterval: defaultCheckInterval,
		tableTimeout:  defaultTableTimeout,
		now:           time.Now,
		lease:         leaser.New(self, leaser.DefaultTerms(), writeID),
		repairer:      repairer.New(repairer.DefaultSettings(), func(n int64) string { return fmt.Sprintf("%s/order-%d", self, n) }),
		pending:       map[string]order{},
		done:          make(chan struct{}),
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
	go o.loopLease()
	go o.loopRepairs()
}

// Close stops the loops and releases the lease.
func (o *Orderer) Close() {
	o.closeOnce.Do(func() {
		close(o.done)
		o.wait.Wait()
		o.releaseLease()
		o.sender.Close()
	})
}

// loopLease reads, acquires and renews the lease until the orderer is closed.
func (o *Orderer) loopLease() {
	defer o.wait.Done()
	for {
		o.mu.Lock()
		action := o.lease.Next(o.now())
		o.mu.Unlock()
		switch action.Step {
		case leaser.StepRead:
			o.readLease()
		case leaser.StepWrite:
			o.writeLease(action)
		default:
			if !o.sleep(min(action.Until.Sub(o.now()), o.checkInterval)) {
				return
			}
			continue
		}
		if !o.sleep(0) {
			return
		}
	}
}

// sleep waits for d. It returns false as soon as the orderer is closed.
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

// readLease reads the lease's row.
func (o *Orderer) readLease() {
	ctx, cancel := context.WithTimeout(context.Background(), o.tableTimeout)
	defer cancel()
	row, _, err := o.table.Get(ctx, leaser.Table, o.leaseKey)
	leaseRow, ok := decodeRow(row)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil || !ok {
		o.lease.HandleReadError(o.now())
		o.logger.Warn("lease not read", "lease", o.leaseKey, "error", err)
		return
	}
	o.lease.HandleRead(o.now(), leaseRow)
}

// writeLease writes the lease's row and logs if this process has acquired or lost the lease.
func (o *Orderer) writeLease(a leaser.Action) {
	result, err := o.commitLease(a)
	o.mu.Lock()
	defer o.mu.Unlock()
	wasHeld := o.lease.Held
	switch {
	case result.Outcome == classifier.Completed && result.Applied:
		o.lease.HandleWrite(o.now(), result.Outcome, true, leaser.Row{Version: result.Versions[0]})
	case result.Outcome == classifier.Completed && len(result.Conflicts) > 0:
		current, ok := decodeRow(result.Conflicts[0])
		if !ok {
			o.lease.HandleWrite(o.now(), classifier.Unknown, false, leaser.Row{})
			return
		}
		o.lease.HandleWrite(o.now(), result.Outcome, false, current)
	default:
		o.logger.Warn("lease not written", "lease", o.leaseKey, "outcome", result.Outcome.String(), "error", err)
		o.lease.HandleWrite(o.now(), result.Outcome, false, leaser.Row{})
	}
	if wasHeld != o.lease.Held {
		o.logger.Info("lease changed", "lease", o.leaseKey, "held", o.lease.Held, "fence", o.lease.Row.Record.Fence)
	}
}

// commitLease writes the lease's record if the row still has the action's version.
func (o *Orderer) commitLease(a leaser.Action) (tabler.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), o.tableTimeout)
	defer cancel()
	value, err := json.Marshal(a.Record)
	if err != nil {
		panic("lease record cannot be encoded: " + err.Error())
	}
	return o.table.Commit(ctx, tabler.Txn{
		ID:         uuid.NewString(),
		Conditions: []tabler.Condition{{Table: leaser.Table, Key: o.leaseKey, Version: a.Version}},
		Writes:     []tabler.Write{{Table: leaser.Table, Key: o.leaseKey, Value: value}},
	})
}

// releaseLease releases the lease if this process holds it.
func (o *Orderer) releaseLease() {
	o.mu.Lock()
	action, ok := o.lease.Release()
	o.mu.Unlock()
	if !ok {
		return
	}
	if _, err := o.commitLease(action); err != nil {
		o.logger.Warn("lease not released", "lease", o.leaseKey, "error", err)
	}
}

// decodeRow decodes a row of the table into a lease's row. It returns false if the row cannot be decoded. A row with
// version 0 does not exist.
func decodeRow(r tabler.Row) (leaser.Row, bool) {
	row := leaser.Row{Version: r.Version}
	if r.Version == 0 {
		return row, true
	}
	return row, json.Unmarshal(r.Value, &row.Record) == nil
}

// orderMessage returns the request that orders an engine to load a range, with the lease's fencing token.
func orderMessage(l repairer.Load, fence int64) dispatcher.Message {
	body, err := json.Marshal(streamer.Order{
		ID: l.ID, FencingToken: fence, Action: streamer.OrderLoad,
		Held: streamer.LayerRange{Model: l.Range.Model, Version: l.Range.Version, From: l.Range.From, To: l.Range.To},
	})
	if err != nil {
		panic("order cannot be encoded: " + err.Error())
	}
	return dispatcher.Message{
		Method: http.MethodPost, Path: ordersPath, Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
	}
}
