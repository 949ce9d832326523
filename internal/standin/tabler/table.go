// Package tabler is a stand-in for the platform's transactional table service, in memory and over HTTP.
package tabler

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/time/rate"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	"github.com/heatherrock/heatherrock/internal/standin/limiter"
)

// The names of the calls for which faults can be set.
const (
	CallGet    = "GET " + tabler.PathRow
	CallScan   = "GET " + tabler.PathScan
	CallCommit = "POST " + tabler.PathCommit
)

// maxScanRows bounds the number of rows of one scan.
const maxScanRows = 1000

// Table is a table service in memory.
type Table struct {
	clock  func() time.Time
	faults *faulter.Faults
	writes *rate.Limiter
	reads  *rate.Limiter

	mu   sync.Mutex
	rows map[rowKey]tabler.Row
	// keys holds the sorted keys of each table.
	keys       map[string][]string
	version    int64
	lateWrites []lateWrite
	usage      Usage
}

var _ tabler.Table = (*Table)(nil)

// rowKey identifies a row.
type rowKey struct{ table, key string }

// lateWrite is a transaction that is applied after it has failed for its caller.
type lateWrite struct {
	txn   tabler.Txn
	dueAt time.Time
}

// Usage counts what the table has served. Commits counts each commit that was run once, however many rows it writes.
type Usage struct {
	Reads   int64 `json:"reads"`
	Commits int64 `json:"commits"`
	Writes  int64 `json:"writes"`
	// RateLimited counts the calls rejected by the rate limit.
	RateLimited int64 `json:"limited"`
}

// Option sets one property of a Table.
type Option func(*Table)

// WithClock sets the clock of the rate limits and late writes. The default is time.Now.
func WithClock(clock func() time.Time) Option { return func(t *Table) { t.clock = clock } }

// WithFaults sets the faults that are injected into calls.
func WithFaults(f *faulter.Faults) Option { return func(t *Table) { t.faults = f } }

// WithRates limits the commits and the reads per second. Without it, or with 0, there is no limit.
func WithRates(writes, reads float64) Option {
	return func(t *Table) {
		t.writes = limiter.New(writes)
		t.reads = limiter.New(reads)
	}
}

// New returns an empty table service.
func New(options ...Option) *Table {
	t := &Table{
		clock: time.Now, writes: limiter.New(0), reads: limiter.New(0),
		rows: map[rowKey]tabler.Row{}, keys: map[string][]string{},
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Get returns a row and whether it exists.
func (t *Table) Get(ctx context.Context, table, key string) (tabler.Row, bool, error) {
	if err := t.admitRead(ctx, CallGet); err != nil {
		return tabler.Row{}, false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyDueWrites(t.clock())
	t.usage.Reads++
	row, ok := t.rows[rowKey{table, key}]
	return cloneRow(row), ok, nil
}

// Scan returns at most limit rows, in key order, whose keys begin with prefix and are greater than after.
func (t *Table) Scan(ctx context.Context, table, prefix, after string, limit int) ([]tabler.Row, error) {
	if err := t.admitRead(ctx, CallScan); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyDueWrites(t.clock())
	t.usage.Reads++
	rows := []tabler.Row{}
	keys := t.keys[table]
	first, _ := slices.BinarySearch(keys, max(prefix, after))
	for _, key := range keys[first:] {
		if len(rows) >= min(limit, maxScanRows) || !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, cloneRow(t.rows[rowKey{table, key}]))
		}
	}
	return rows, nil
}

// Commit applies a transaction. The error explains an outcome other than Completed.
func (t *Table) Commit(ctx context.Context, txn tabler.Txn) (tabler.Result, error) {
	f, err := t.faults.Inject(ctx, CallCommit)
	if err != nil {
		return t.failedResult(f, txn), err
	}
	result, err := t.commitLimited(txn)
	switch {
	case f.Kind == faulter.DropResponse:
		return tabler.Result{Outcome: classifier.Unknown}, f.CallError()
	case f.Kind == faulter.Repeat && err == nil:
		return t.commitLimited(txn)
	default:
		return result, err
	}
}

// failedResult returns the result of a commit that failed by an injected fault before it ran. A late one is stored
// until it is due.
func (t *Table) failedResult(f faulter.Fault, txn tabler.Txn) tabler.Result {
	if f.Kind == faulter.Refuse {
		return tabler.Result{Outcome: classifier.Refused}
	}
	if f.Kind == faulter.RunLate {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.lateWrites = append(t.lateWrites, lateWrite{txn, t.clock().Add(f.DelayDuration())})
	}
	return tabler.Result{Outcome: classifier.Unknown}
}

// admitRead returns an error if a fault or the rate limit makes a read fail.
func (t *Table) admitRead(ctx context.Context, call string) error {
	f, err := t.faults.Inject(ctx, call)
	if err == nil && f.Kind == faulter.DropResponse {
		err = f.CallError()
	}
	if err != nil {
		return err
	}
	if !t.reads.AllowN(t.clock(), 1) {
		t.countRateLimited()
		return errRateLimited
	}
	return nil
}

// commitLimited runs a transaction unless it exceeds the rate limit of writes.
func (t *Table) commitLimited(txn tabler.Txn) (tabler.Result, error) {
	if !t.writes.AllowN(t.clock(), 1) {
		t.countRateLimited()
		return tabler.Result{Outcome: classifier.Refused}, errRateLimited
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyDueWrites(t.clock())
	return t.commitLocked(txn), nil
}

func (t *Table) countRateLimited() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usage.RateLimited++
}

// commitLocked runs a transaction. t.mu must be held.
func (t *Table) commitLocked(txn tabler.Txn) tabler.Result {
	t.usage.Commits++
	result := tabler.Result{Outcome: classifier.Completed}
	for _, c := range txn.Conditions {
		row, ok := t.rows[rowKey{c.Table, c.Key}]
		if row.Version == c.Version {
			continue
		}
		if !ok {
			row = tabler.Row{Table: c.Table, Key: c.Key}
		}
		result.Conflicts = append(result.Conflicts, cloneRow(row))
	}
	if len(result.Conflicts) > 0 {
		return result
	}
	result.Applied = true
	for _, w := range txn.Writes {
		result.Versions = append(result.Versions, t.writeRow(w))
	}
	return result
}

// writeRow sets or removes a row and returns its new version. All rows share one version counter, so that a row that is
// removed and written again never returns to an old version.
func (t *Table) writeRow(w tabler.Write) int64 {
	t.usage.Writes++
	k := rowKey{w.Table, w.Key}
	keys := t.keys[w.Table]
	index, found := slices.BinarySearch(keys, w.Key)
	if w.Delete {
		delete(t.rows, k)
		if found {
			t.keys[w.Table] = slices.Delete(keys, index, index+1)
		}
		return 0
	}
	if !found {
		t.keys[w.Table] = slices.Insert(keys, index, w.Key)
	}
	t.version++
	t.rows[k] = cloneRow(tabler.Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: t.version})
	return t.version
}

// applyDueWrites applies the late writes that are due. t.mu must be held.
func (t *Table) applyDueWrites(now time.Time) {
	var pending []lateWrite
	for _, l := range t.lateWrites {
		if l.dueAt.After(now) {
			pending = append(pending, l)
			continue
		}
		t.commitLocked(l.txn)
	}
	t.lateWrites = pending
}

// ApplyLateWrites applies all late writes now, whether or not they are due, and returns their number.
func (t *Table) ApplyLateWrites() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.lateWrites)
	for _, l := range t.lateWrites {
		t.commitLocked(l.txn)
	}
	t.lateWrites = nil
	return n
}

// Usage returns what the table has served so far.
func (t *Table) Usage() Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usage
}

// cloneRow returns a row that shares no memory with another.
func cloneRow(row tabler.Row) tabler.Row {
	row.Value = append([]byte(nil), row.Value...)
	return row
}

// errRateLimited is the error of a call that exceeds the rate limit.
var errRateLimited = merry.New("rate of the table service is spent", merry.WithHTTPCode(http.StatusTooManyRequests))
