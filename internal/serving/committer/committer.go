// Package committer executes changes of the configuration against the table service.
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

// maxParallelReads bounds the concurrent reads of one step.
const maxParallelReads = 16

// Source is the configuration of the instance that executes the change.
type Source interface {
	LatestSnapshot() recorder.Snapshot
	LiveInstances(ctx context.Context) []accepter.Instance
	PublishDelta(delta recorder.Delta)
	Compact(ctx context.Context) error
}

// Committer executes commands. Its methods may be called from any goroutine.
type Committer struct {
	table          tabler.Table
	source         Source
	callTimeout    time.Duration
	commandTimeout time.Duration
	retryDelay     time.Duration
	logger         *slog.Logger
}

// Option changes a Committer on construction.
type Option func(*Committer)

// WithTimeout bounds each call to the store.
func WithTimeout(d time.Duration) Option { return func(c *Committer) { c.callTimeout = d } }

// WithCommandTimeout bounds a whole command. After it, a change whose response was lost is reported as not yet known.
func WithCommandTimeout(d time.Duration) Option { return func(c *Committer) { c.commandTimeout = d } }

// WithRetryDelay sets the wait before the outcome of a commit whose response was lost is read again.
func WithRetryDelay(d time.Duration) Option { return func(c *Committer) { c.retryDelay = d } }

// WithLogger sets the log.
func WithLogger(l *slog.Logger) Option { return func(c *Committer) { c.logger = l } }

// New returns a Committer.
func New(table tabler.Table, source Source, options ...Option) *Committer {
	c := &Committer{
		table:          table,
		source:         source,
		callTimeout:    2 * time.Second,
		commandTimeout: 10 * time.Second,
		retryDelay:     200 * time.Millisecond,
		logger:         slog.New(slog.DiscardHandler),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Do executes a command. It ignores cancellation of the context and runs to the end or to the command's timeout, since a
// commit may be in flight.
func (c *Committer) Do(ctx context.Context, command accepter.Command) accepter.Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.commandTimeout)
	defer cancel()
	var live []accepter.Instance
	if command.Action == accepter.ActionAccept {
		live = c.source.LiveInstances(ctx)
	}
	m := accepter.NewMutation(command, c.source.LatestSnapshot(), live)
	step := m.Begin(time.Now())
	for step.Result == nil {
		step = c.runStep(ctx, m, step)
	}
	r := *step.Result
	c.logger.Info("configuration change", "id", r.ID, "action", command.Action, "operator", command.Operator,
		"outcome", r.OutcomeName, "epoch", r.Epoch, "reason", r.Reason)
	if r.Outcome == classifier.Completed && r.Delta != nil {
		c.source.PublishDelta(*r.Delta)
		c.compact(ctx)
	}
	return r
}

// runStep executes one step and returns the next.
func (c *Committer) runStep(ctx context.Context, m *accepter.Mutation, step accepter.Step) accepter.Step {
	if step.Txn != nil {
		callCtx, cancel := context.WithTimeout(ctx, c.callTimeout)
		defer cancel()
		r, err := c.table.Commit(callCtx, *step.Txn)
		return m.HandleCommit(time.Now(), r, err)
	}
	if m.OutcomeUnknown && m.Tries > 0 {
		c.waitBeforeRetry(ctx)
	}
	return m.HandleRead(time.Now(), c.readKeys(ctx, step))
}

// waitBeforeRetry waits for the retry delay, or until the context ends.
func (c *Committer) waitBeforeRetry(ctx context.Context) {
	timer := time.NewTimer(c.retryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readKeys reads the keys of a step, and the deltas since its epoch if there are several keys. It reads concurrently, so
// that a slow store costs one round trip.
func (c *Committer) readKeys(ctx context.Context, step accepter.Step) accepter.ReadResult {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	rows := make([]tabler.Row, len(step.Keys))
	found := make([]bool, len(step.Keys))
	failures := make([]error, len(step.Keys)+1)
	r := accepter.ReadResult{Rows: map[string]tabler.Row{}}
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxParallelReads)
	if len(step.Keys) > 1 {
		wait.Go(func() { r.Deltas, failures[len(step.Keys)] = poller.Deltas(ctx, c.table, step.AfterEpoch) })
	}
	for i, key := range step.Keys {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
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

// compact stores a whole snapshot if one is due.
func (c *Committer) compact(ctx context.Context) {
	if err := c.source.Compact(ctx); err != nil {
		c.logger.Warn("snapshot of the configuration not stored", "error", err)
	}
}
