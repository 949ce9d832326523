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

// horizonKey is the key of the row of the horizon. It sorts after every day.
const horizonKey = "horizon"

// ticket is a mutation that waits for its outcome.
type ticket struct {
	mutation claimer.Mutation
	call     claimer.Call
	first    bool
	since    time.Time
	commit   chan claimer.Commit
}

// writer groups the mutations of claims into transactions and commits them.
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
	// newest is the latest day of a key that was sent here.
	newest  string
	tickets map[int64]*ticket
	last    int64

	wake chan struct{}
	done chan struct{}
	wait sync.WaitGroup
}

// open reports whether the table service is believed to be up.
func (w *writer) open() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.breaker.Allow(w.now())
}

// check returns the code of what makes a key unfit for a claim, or "".
func (w *writer) check(k claimer.Key) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	code := w.horizon.Check(w.now(), k)
	if code != claimer.CodeKeyFuture {
		w.newest = max(w.newest, k.Day)
	}
	return code
}

// newestDay returns the latest day of a key that was sent here and does not lie ahead.
func (w *writer) newestDay() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newest
}

// share sets the part of the fleet's bound on writes, in transactions a second, that one of members may use.
func (w *writer) share(fleet float64, members int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.budget.SetShare(w.now(), fleet, members)
}

// submit writes a call's mutation and returns its outcome. First is set for results, which are never turned away.
func (w *writer) submit(m claimer.Mutation, c claimer.Call, first bool) claimer.Commit {
	t := &ticket{mutation: m, call: c, first: first, since: w.now(), commit: make(chan claimer.Commit, 1)}
	if !w.add(t) {
		return claimer.Commit{Outcome: classifier.NotSent, Code: claimer.CodeTableBusy}
	}
	select {
	case c := <-t.commit:
		return c
	case <-w.done:
		return claimer.Commit{Outcome: classifier.Unknown}
	}
}

// add queues a ticket, or returns false if it would wait too long.
func (w *writer) add(t *ticket) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	entry := claimer.Entry{Number: w.last, Key: t.mutation.Key, Team: t.call.Team, Since: t.since, First: t.first}
	if !w.group.Add(w.now(), entry, &w.budget) {
		return false
	}
	w.tickets[w.last] = t
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

// loop starts transactions as the group gives them out until done is closed.
func (w *writer) loop() {
	defer w.wait.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		batch, again := w.next()
		if batch != nil {
			w.wait.Add(1)
			go w.run(batch)
			continue
		}
		if !again.IsZero() {
			timer.Reset(again.Sub(w.now()))
		}
		select {
		case <-w.done:
			return
		case <-w.wake:
		case <-timer.C:
		}
	}
}

// next returns the tickets of the next transaction, or when to ask again.
func (w *writer) next() ([]*ticket, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	numbers, again := w.group.Next(w.now(), &w.budget)
	var batch []*ticket
	for _, n := range numbers {
		batch = append(batch, w.tickets[n])
		delete(w.tickets, n)
	}
	return batch, again
}

// run commits one transaction and reports to each ticket.
func (w *writer) run(batch []*ticket) {
	defer w.wait.Done()
	batch, horizon := w.fresh(batch)
	result := tabler.Result{Outcome: classifier.Completed}
	if len(batch) > 0 {
		result = w.commit(txnOf(batch, horizon))
	}
	w.ended(result)
	switch {
	case result.Outcome != classifier.Completed:
		report(batch, claimer.Commit{Outcome: result.Outcome})
	case result.Applied:
		applied(batch, result.Versions)
	default:
		w.conflict(batch, result.Conflicts)
	}
}

// fresh returns the tickets whose keys lie within the horizon, and the horizon's version that their transaction is to
// be conditional on. The others are turned away.
func (w *writer) fresh(batch []*ticket) ([]*ticket, int64) {
	w.mu.Lock()
	horizon := w.horizon
	w.mu.Unlock()
	var fresh []*ticket
	for _, t := range batch {
		if !t.first && t.call.Key.Day < horizon.Day {
			t.commit <- claimer.Commit{Outcome: classifier.NotSent, Code: claimer.CodeKeyExpired}
			continue
		}
		fresh = append(fresh, t)
	}
	return fresh, horizon.Version
}

// commit commits a transaction within the timeout.
func (w *writer) commit(t tabler.Txn) tabler.Result {
	ctx, cancel := context.WithTimeout(context.Background(), w.timeout)
	defer cancel()
	result, err := w.table.Commit(ctx, t)
	if err != nil {
		w.logger.Warn("claims not committed", "txn", t.ID, "outcome", result.Outcome.String(), "error", err)
	}
	return result
}

// ended notes the end of a transaction.
func (w *writer) ended(r tabler.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.group.FinishTransaction()
	w.breaker.RecordResult(w.now(), r.Outcome == classifier.Completed)
	w.signal()
}

// txnOf returns the transaction of a batch. It writes the row of each ticket first, in order.
func txnOf(batch []*ticket, horizon int64) tabler.Txn {
	txn := tabler.Txn{ID: uuid.NewString()}
	txn.Conditions = append(txn.Conditions, tabler.Condition{Table: claimer.Table, Key: horizonKey, Version: horizon})
	var doubts []tabler.Write
	for _, t := range batch {
		m := t.mutation
		txn.Conditions = append(txn.Conditions, tabler.Condition{Table: claimer.Table, Key: m.Key, Version: m.Version})
		txn.Writes = append(txn.Writes, tabler.Write{Table: claimer.Table, Key: m.Key, Value: m.Record.Encode()})
		if m.Record.State == claimer.StateUnknown {
			doubts = append(doubts, tabler.Write{Table: claimer.DoubtsTable, Key: m.Key})
		}
	}
	txn.Writes = append(txn.Writes, doubts...)
	return txn
}

// applied reports to the tickets of a transaction that was applied.
func applied(batch []*ticket, versions []int64) {
	for i, t := range batch {
		t.commit <- claimer.Commit{Outcome: classifier.Completed, Applied: true, Version: versions[i]}
	}
}

// conflict reports to the tickets whose rows were in the way and queues the others again: nothing of the transaction
// was written.
func (w *writer) conflict(batch []*ticket, rows []tabler.Row) {
	found := map[string]tabler.Row{}
	for _, r := range rows {
		found[r.Key] = r
	}
	if len(found) == 0 {
		report(batch, claimer.Commit{Outcome: classifier.Unknown})
		return
	}
	if r, ok := found[horizonKey]; ok {
		w.raise(r)
	}
	for _, t := range batch {
		if r, ok := found[t.mutation.Key]; ok {
			t.commit <- conflictOf(r)
			continue
		}
		w.again(t)
	}
}

// again queues a ticket once more.
func (w *writer) again(t *ticket) {
	if !w.add(t) {
		t.commit <- claimer.Commit{Outcome: classifier.NotSent, Code: claimer.CodeTableBusy}
	}
}

// raise takes the horizon's row as found.
func (w *writer) raise(r tabler.Row) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.horizon = claimer.Horizon{Day: string(r.Value), Version: r.Version}
}

// read returns a claim's row and whether the table could be reached.
func (w *writer) read(key string) (claimer.Row, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), w.timeout)
	defer cancel()
	row, ok, err := w.table.Get(ctx, claimer.Table, key)
	if err != nil {
		return claimer.Row{}, false
	}
	if !ok {
		return claimer.Row{}, true
	}
	found, err := claimer.Decode(row.Version, row.Value)
	return found, err == nil
}

// note lists a claim for the operators, whose owner does not tell what became of it.
func (w *writer) note(key string) {
	ctx, cancel := context.WithTimeout(context.Background(), w.timeout)
	defer cancel()
	txn := tabler.Txn{ID: uuid.NewString(), Writes: []tabler.Write{{Table: claimer.DoubtsTable, Key: key}}}
	if _, err := w.table.Commit(ctx, txn); err != nil {
		w.logger.Warn("open call not listed", "key", key, "error", err)
	}
}

// within returns the horizon as last seen.
func (w *writer) within() claimer.Horizon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.horizon
}

// close stops the loop and waits for the transactions that run.
func (w *writer) close() {
	close(w.done)
	w.wait.Wait()
}

// report gives every ticket the same outcome.
func report(batch []*ticket, c claimer.Commit) {
	for _, t := range batch {
		t.commit <- c
	}
}

// conflictOf returns the outcome of a mutation whose row was not at the version expected.
func conflictOf(r tabler.Row) claimer.Commit {
	row, err := claimer.Decode(r.Version, r.Value)
	if err != nil {
		return claimer.Commit{Outcome: classifier.Unknown}
	}
	return claimer.Commit{Outcome: classifier.Completed, Found: row}
}
