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

// The names of the calls, by which faults are set.
const (
	CallGet    = "GET " + tabler.PathRow
	CallScan   = "GET " + tabler.PathScan
	CallCommit = "POST " + tabler.PathCommit
)

// maxScan bounds the rows of one scan.
const maxScan = 1000

// Table is a table service in memory.
type Table struct {
	clock  func() time.Time
	faults *faulter.Faults
	writes *rate.Limiter
	reads  *rate.Limiter

	mu   sync.Mutex
	rows map[rowKey]tabler.Row
	// keys holds the keys of each table in order.
	keys    map[string][]string
	version int64
	late    []lateWrite
	usage   Usage
}

var _ tabler.Table = (*Table)(nil)

// rowKey names a row.
type rowKey struct{ table, key string }

// lateWrite is a transaction that takes effect after its caller saw it fail.
type lateWrite struct {
	txn tabler.Txn
	due time.Time
}

// Usage counts what the table has served. A commit counts as one, whatever it writes.
type Usage struct {
	Reads   int64 `json:"reads"`
	Commits int64 `json:"commits"`
	Writes  int64 `json:"writes"`
	// Limited counts the calls refused for their rate.
	Limited int64 `json:"limited"`
}

// Option sets one property of a Table.
type Option func(*Table)

// WithClock sets the clock of rates and late writes. It is time.Now if not set.
func WithClock(clock func() time.Time) Option { return func(t *Table) { t.clock = clock } }

// WithFaults sets the faults that hit the calls.
func WithFaults(f *faulter.Faults) Option { return func(t *Table) { t.faults = f } }

// WithRates bounds the commits and the reads a second. Without it, or with 0, there is no bound.
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
	if err := t.read(ctx, CallGet); err != nil {
		return tabler.Row{}, false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.land(t.clock())
	t.usage.Reads++
	row, ok := t.rows[rowKey{table, key}]
	return copied(row), ok, nil
}

// Scan returns at most limit rows whose keys begin with prefix and come after the key given, in key order.
func (t *Table) Scan(ctx context.Context, table, prefix, after string, limit int) ([]tabler.Row, error) {
	if err := t.read(ctx, CallScan); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.land(t.clock())
	t.usage.Reads++
	rows := []tabler.Row{}
	keys := t.keys[table]
	first, _ := slices.BinarySearch(keys, max(prefix, after))
	for _, key := range keys[first:] {
		if len(rows) >= min(limit, maxScan) || !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, copied(t.rows[rowKey{table, key}]))
		}
	}
	return rows, nil
}

// Commit applies a transaction. The error explains an outcome other than Completed.
func (t *Table) Commit(ctx context.Context, txn tabler.Txn) (tabler.Result, error) {
	f, err := t.faults.Inject(ctx, CallCommit)
	if err != nil {
		return t.fail(f, txn), err
	}
	result, err := t.apply(txn)
	switch {
	case f.Kind == faulter.Lose:
		return tabler.Result{Outcome: classifier.Unknown}, f.Failure()
	case f.Kind == faulter.Repeat && err == nil:
		return t.apply(txn)
	default:
		return result, err
	}
}

// fail returns the result of a commit that a fault hit before it ran. A late one is kept until it is due.
func (t *Table) fail(f faulter.Fault, txn tabler.Txn) tabler.Result {
	if f.Kind == faulter.Refuse {
		return tabler.Result{Outcome: classifier.Refused}
	}
	if f.Kind == faulter.Late {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.late = append(t.late, lateWrite{txn, t.clock().Add(f.Wait())})
	}
	return tabler.Result{Outcome: classifier.Unknown}
}

// read carries out the faults and the rate of a read.
func (t *Table) read(ctx context.Context, call string) error {
	f, err := t.faults.Inject(ctx, call)
	if err == nil && f.Kind == faulter.Lose {
		err = f.Failure()
	}
	if err != nil {
		return err
	}
	if !t.reads.AllowN(t.clock(), 1) {
		t.limited()
		return errLimited
	}
	return nil
}

// apply runs a transaction unless the rate of writes is spent.
func (t *Table) apply(txn tabler.Txn) (tabler.Result, error) {
	if !t.writes.AllowN(t.clock(), 1) {
		t.limited()
		return tabler.Result{Outcome: classifier.Refused}, errLimited
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.land(t.clock())
	return t.commit(txn), nil
}

func (t *Table) limited() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usage.Limited++
}

// commit runs a transaction under the lock.
func (t *Table) commit(txn tabler.Txn) tabler.Result {
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
		result.Conflicts = append(result.Conflicts, copied(row))
	}
	if len(result.Conflicts) > 0 {
		return result
	}
	result.Applied = true
	for _, w := range txn.Writes {
		result.Versions = append(result.Versions, t.write(w))
	}
	return result
}

// write sets or removes a row and returns its new version. Versions rise over all rows, so that a row that is removed
// and written again does not return to an old version.
func (t *Table) write(w tabler.Write) int64 {
	t.usage.Writes++
	k := rowKey{w.Table, w.Key}
	keys := t.keys[w.Table]
	place, found := slices.BinarySearch(keys, w.Key)
	if w.Delete {
		delete(t.rows, k)
		if found {
			t.keys[w.Table] = slices.Delete(keys, place, place+1)
		}
		return 0
	}
	if !found {
		t.keys[w.Table] = slices.Insert(keys, place, w.Key)
	}
	t.version++
	t.rows[k] = copied(tabler.Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: t.version})
	return t.version
}

// land applies the late writes that are due.
func (t *Table) land(now time.Time) {
	var rest []lateWrite
	for _, l := range t.late {
		if l.due.After(now) {
			rest = append(rest, l)
			continue
		}
		t.commit(l.txn)
	}
	t.late = rest
}

// Land applies all late writes now, whether or not they are due, and returns how many there were.
func (t *Table) Land() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.late)
	for _, l := range t.late {
		t.commit(l.txn)
	}
	t.late = nil
	return n
}

// Usage returns what the table has served so far.
func (t *Table) Usage() Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usage
}

// copied returns a row that shares no memory with another.
func copied(row tabler.Row) tabler.Row {
	row.Value = append([]byte(nil), row.Value...)
	return row
}

// errLimited is the error of a call over the rate.
var errLimited = merry.New("rate of the table service is spent", merry.WithHTTPCode(http.StatusTooManyRequests))
