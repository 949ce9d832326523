// Package committer carries changes of the configuration out against the table service.
package committer

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/serving/poller"
)

// readsAtOnce bounds the reads of one step that are under way at the same time.
const readsAtOnce = 16

// Source is the configuration of the instance that carries the change out.
type Source interface {
	Base() recorder.Snapshot
	Live(ctx context.Context) []accepter.Instance
	Learn(delta recorder.Delta)
	Compact(ctx context.Context) error
}

// Committer carries commands out. Its methods may be called from any goroutine.
type Committer struct {
	table   tabler.Table
	source  Source
	timeout time.Duration
	bound   time.Duration
	pause   time.Duration
	logger  *slog.Logger
}

// Option changes a Committer on construction.
type Option func(*Committer)

// WithTimeout bounds each call to the store.
func WithTimeout(d time.Duration) Option { return func(c *Committer) { c.timeout = d } }

// WithBound bounds a whole command. After it, a lost answer is reported as not yet known.
func WithBound(d time.Duration) Option { return func(c *Committer) { c.bound = d } }

// WithPause sets the wait before a lost answer is looked for again.
func WithPause(d time.Duration) Option { return func(c *Committer) { c.pause = d } }

// WithLogger sets the log.
func WithLogger(l *slog.Logger) Option { return func(c *Committer) { c.logger = l } }

// New returns a Committer.
func New(table tabler.Table, source Source, options ...Option) *Committer {
	c := &Committer{
		table:   table,
		source:  source,
		timeout: 2 * time.Second,
		bound:   10 * time.Second,
		pause:   200 * time.Millisecond,
		logger:  slog.New(slog.DiscardHandler),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Do carries a command out. It goes on to the end or the bound when the context is cancelled, since a commit may be
// under way.
func (c *Committer) Do(ctx context.Context, command accepter.Command) accepter.Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.bound)
	defer cancel()
	var live []accepter.Instance
	if command.Action == accepter.ActionAccept {
		live = c.source.Live(ctx)
	}
	m := accepter.NewMutation(command, c.source.Base(), live)
	step := m.Begin(time.Now())
	for step.Result == nil {
		step = c.next(ctx, m, step)
	}
	r := *step.Result
	c.logger.Info("configuration change", "id", r.ID, "action", command.Action, "operator", command.Operator,
		"outcome", r.OutcomeName, "epoch", r.Epoch, "reason", r.Reason)
	if r.Outcome == classifier.Completed && r.Delta != nil {
		c.source.Learn(*r.Delta)
		c.compact(ctx)
	}
	return r
}

// next carries one step out.
func (c *Committer) next(ctx context.Context, m *accepter.Mutation, step accepter.Step) accepter.Step {
	if step.Txn != nil {
		call, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		r, err := c.table.Commit(call, *step.Txn)
		return m.HandleCommit(time.Now(), r, err)
	}
	if m.OutcomeUnknown && m.Tries > 0 {
		c.rest(ctx)
	}
	return m.HandleRead(time.Now(), c.read(ctx, step))
}

// rest waits before a lost answer is looked for again.
func (c *Committer) rest(ctx context.Context) {
	timer := time.NewTimer(c.pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// read answers a step with keys. It reads them side by side, so that a slow store costs one round trip.
func (c *Committer) read(ctx context.Context, step accepter.Step) accepter.ReadResult {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	rows := make([]tabler.Row, len(step.Keys))
	found := make([]bool, len(step.Keys))
	failures := make([]error, len(step.Keys)+1)
	r := accepter.ReadResult{Rows: map[string]tabler.Row{}}
	var wait sync.WaitGroup
	places := make(chan struct{}, readsAtOnce)
	if len(step.Keys) > 1 {
		wait.Go(func() { r.Deltas, failures[len(step.Keys)] = poller.Deltas(ctx, c.table, step.AfterEpoch) })
	}
	for i, key := range step.Keys {
		places <- struct{}{}
		wait.Go(func() {
			defer func() { <-places }()
			rows[i], found[i], failures[i] = c.table.Get(ctx, accepter.Table, key)
		})
	}
	wait.Wait()
	for i, key := range step.Keys {
		if found[i] {
			r.Rows[key] = rows[i]
		}
	}
	r.Err = errors.Join(failures...)
	return r
}

// compact stores a whole snapshot when one is due.
func (c *Committer) compact(ctx context.Context) {
	if err := c.source.Compact(ctx); err != nil {
		c.logger.Warn("snapshot of the configuration not stored", "error", err)
	}
}
