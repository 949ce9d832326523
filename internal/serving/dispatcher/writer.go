package dispatcher

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// horizonKey is the key of the row that holds the retention horizon, the day before which keys have expired. It sorts
// after every day.
const horizonKey = "horizon"

// pendingWrite is a queued mutation whose caller waits for its outcome.
type pendingWrite struct {
	mutation claimer.Mutation
	call     claimer.Call
	isResult bool
	queuedAt time.Time
	outcome  chan claimer.Commit
}

// writer groups the mutations of claims into transactions and commits them to the table service.
type writer struct {
	table   tabler.Table
	logger  *slog.Logger
	timeout time.Duration
	now     func() time.Time

	mu      sync.Mutex
	group   claimer.Group
	budget  claimer.Budget
	breaker claimer.Breaker
	horizon claimer.Horizon
	// latestDay is the latest day of a key received by this instance, future days excluded.
	latestDay  string
	pending    map[int64]*pendingWrite
	lastNumber int64

	wake chan struct{}
	done chan struct{}
	wait sync.WaitGroup
}

// tableAvailable reports whether the circuit breaker allows a request to the table service.
func (w *writer) tableAvailable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.breaker.Allow(w.now())
}

// checkKey returns the code of the reason why a key may not be claimed, or "".
func (w *writer) checkKey(k claimer.Key) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	code := w.horizon.Check(w.now(), k)
	if code != claimer.CodeKeyFuture {
		w.latestDay = max(w.latestDay, k.Day)
	}
	return code
}

// latestKeyDay returns the latest day of a key received by this instance, future days excluded.
func (w *writer) latestKeyDay() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latestDay
}

// setBudgetShare sets this instance's share of the fleet's write limit, given in transactions per second, as one of
// members instances.
func (w *writer) setBudgetShare(fleetWrites float64, members int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.budget.SetShare(w.now(), fleetWrites, members)
}

// submit writes a call's mutation and returns its outcome. Results, unlike claims, are never rejected for lack of
// budget.
func (w *writer) submit(m claimer.Mutation, c claimer.Call, isResult bool) claimer.Commit {
	p := &pendingWrite{mutation: m, call: c, isResult: isResult, queuedAt: w.now(), outcome: make(chan claimer.Commit, 1)}
	if !w.enqueue(p) {
		return claimer.Commit{Outcome: classifier.NotSent, Code: claimer.CodeTableBusy}
	}
	select {
	case commit := <-p.outcome:
		return commit
	case <-w.done:
		return claimer.Commit{Outcome: classifier.Unknown}
	}
}

// enqueue queues a write, or returns false if it would wait too long for the write budget.
func (w *writer) enqueue(p *pendingWrite) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastNumber++
	entry := claimer.Entry{Number: w.lastNumber, Key: p.mutation.Key, Team: p.call.Team, Since: p.queuedAt, First: p.isResult}
	if !w.group.Add(w.now(), entry, &w.budget) {
		return false
	}
	w.pending[w.lastNumber] = p
	w.signal()
	return true
}

// signal wakes the loop.
func (w *writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// loop starts the transactions that the group forms, until done is closed.
func (w *writer) loop() {
	defer w.wait.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		batch, retryAt := w.nextBatch()
		if batch != nil {
			w.wait.Add(1)
			go w.commitBatch(batch)
			continue
		}
		if !retryAt.IsZero() {
			timer.Reset(retryAt.Sub(w.now()))
		}
		select {
		case <-w.done:
			return
		case <-w.wake:
		case <-timer.C:
		}
	}
}

// nextBatch returns the writes of the next transaction, or the time at which to call it again.
func (w *writer) nextBatch() ([]*pendingWrite, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	numbers, retryAt := w.group.Next(w.now(), &w.budget)
	var batch []*pendingWrite
	for _, n := range numbers {
		batch = append(batch, w.pending[n])
		delete(w.pending, n)
	}
	return batch, retryAt
}

// commitBatch commits one transaction and reports the outcome of each write.
func (w *writer) commitBatch(batch []*pendingWrite) {
	defer w.wait.Done()
	batch, horizon := w.rejectExpired(batch)
	result := tabler.Result{Outcome: classifier.Completed}
	if len(batch) > 0 {
		result = w.commit(batchTxn(batch, horizon))
	}
	w.recordEnd(result)
	switch {
	case result.Outcome != classifier.Completed:
		reportAll(batch, claimer.Commit{Outcome: result.Outcome})
	case result.Applied:
		reportApplied(batch, result.Versions)
	default:
		w.handleConflict(batch, result.Conflicts)
	}
}

// rejectExpired rejects the claims whose keys are older than the horizon. It returns the other writes, and the version
// of the horizon's row that their transaction must be conditional on.
func (w *writer) rejectExpired(batch []*pendingWrite) ([]*pendingWrite, int64) {
	w.mu.Lock()
	horizon := w.horizon
	w.mu.Unlock()
	var valid []*pendingWrite
	for _, p := range batch {
		if !p.isResult && p.call.Key.Day < horizon.Day {
			p.outcome <- claimer.Commit{Outcome: classifier.NotSent, Code: claimer.CodeKeyExpired}
			continue
		}
		valid = append(valid, p)
	}
	return valid, horizon.Version
}

// commit commits a transaction within the table timeout.
func (w *writer) commit(txn tabler.Txn) tabler.Result {
	ctx, cancel := context.WithTimeout(context.Background(), w.timeout)
	defer cancel()
	result, err := w.table.Commit(ctx, txn)
	if err != nil {
		w.logger.Warn("claims not committed", "txn", txn.ID, "outcome", result.Outcome.String(), "error", err)
	}
	return result
}

// recordEnd records the end of a transaction in the group and the circuit breaker.
func (w *writer) recordEnd(r tabler.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.group.FinishTransaction()
	w.breaker.RecordResult(w.now(), r.Outcome == classifier.Completed)
	w.signal()
}

// batchTxn returns the transaction of a batch. Its first writes are the rows of the batch, in order, so that the
// versions in the result match the batch.
func batchTxn(batch []*pendingWrite, horizon int64) tabler.Txn {
	txn := tabler.Txn{ID: uuid.NewString()}
	txn.Conditions = append(txn.Conditions, tabler.Condition{Table: claimer.Table, Key: horizonKey, Version: horizon})
	var doubts []tabler.Write
	for _, p := range batch {
		m := p.mutation
		txn.Conditions = append(txn.Conditions, tabler.Condition{Table: claimer.Table, Key: m.Key, Version: m.Version})
		txn.Writes = append(txn.Writes, tabler.Write{Table: claimer.Table, Key: m.Key, Value: m.Record.Encode()})
		if m.Record.State == claimer.StateUnknown {
			doubts = append(doubts, tabler.Write{Table: claimer.DoubtsTable, Key: m.Key})
		}
	}
	txn.Writes = append(txn.Writes, doubts...)
	return txn
}

// reportApplied reports the new row versions to the writes of a transaction that was applied.
func reportApplied(batch []*pendingWrite, versions []int64) {
	for i, p := range batch {
		p.outcome <- claimer.Commit{Outcome: classifier.Completed, Applied: true, Version: versions[i]}
	}
}

// handleConflict reports a conflict to the writes whose rows did not have the expected version, and requeues the
// others: a transaction with a conflict writes nothing.
func (w *writer) handleConflict(batch []*pendingWrite, rows []tabler.Row) {
	conflicts := map[string]tabler.Row{}
	for _, r := range rows {
		conflicts[r.Key] = r
	}
	if len(conflicts) == 0 {
		reportAll(batch, claimer.Commit{Outcome: classifier.Unknown})
		return
	}
	if r, ok := conflicts[horizonKey]; ok {
		w.setHorizon(r)
	}
	for _, p := range batch {
		if r, ok := conflicts[p.mutation.Key]; ok {
			p.outcome <- conflictOf(r)
			continue
		}
		w.requeue(p)
	}
}

// requeue queues a write again after a transaction that was not applied.
func (w *writer) requeue(p *pendingWrite) {
	if !w.enqueue(p) {
		p.outcome <- claimer.Commit{Outcome: classifier.NotSent, Code: claimer.CodeTableBusy}
	}
}

// setHorizon stores the horizon as read from its row.
func (w *writer) setHorizon(r tabler.Row) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.horizon = claimer.Horizon{Day: string(r.Value), Version: r.Version}
}

// readClaim returns a claim's row, and reports whether it could be read.
func (w *writer) readClaim(key string) (claimer.Row, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), w.timeout)
	defer cancel()
	row, found, err := w.table.Get(ctx, claimer.Table, key)
	if err != nil {
		return claimer.Row{}, false
	}
	if !found {
		return claimer.Row{}, true
	}
	claim, err := claimer.Decode(row.Version, row.Value)
	return claim, err == nil
}

// listDoubt adds a claim to the operators' list of calls whose owner has not recorded an outcome.
func (w *writer) listDoubt(key string) {
	ctx, cancel := context.WithTimeout(context.Background(), w.timeout)
	defer cancel()
	txn := tabler.Txn{ID: uuid.NewString(), Writes: []tabler.Write{{Table: claimer.DoubtsTable, Key: key}}}
	if _, err := w.table.Commit(ctx, txn); err != nil {
		w.logger.Warn("open call not listed", "key", key, "error", err)
	}
}

// currentHorizon returns the horizon as last read.
func (w *writer) currentHorizon() claimer.Horizon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.horizon
}

// close stops the loop and waits for running transactions to end.
func (w *writer) close() {
	close(w.done)
	w.wait.Wait()
}

// reportAll reports the same outcome to every write of a batch.
func reportAll(batch []*pendingWrite, c claimer.Commit) {
	for _, p := range batch {
		p.outcome <- c
	}
}

// conflictOf returns the outcome of a mutation whose row did not have the expected version.
func conflictOf(r tabler.Row) claimer.Commit {
	row, err := claimer.Decode(r.Version, r.Value)
	if err != nil {
		return claimer.Commit{Outcome: classifier.Unknown}
	}
	return claimer.Commit{Outcome: classifier.Completed, Found: row}
}
