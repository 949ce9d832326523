package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/routing/screener"
	"github.com/heatherrock/heatherrock/internal/serving/syncer"
)

const (
	// evidenceTableName is the store's table of the evidence against refused parts of prompts and requests, by key.
	evidenceTableName = "evidence"
	// evidenceMaxDelay is how late an instance may learn of evidence from the table: others tell it sooner.
	evidenceMaxDelay = 30 * time.Second
	// evidenceWriteTimeout bounds one write, and evidenceRetryDelay is the pause after one that failed.
	evidenceWriteTimeout = 2 * time.Second
	evidenceRetryDelay   = time.Second
	// evidenceRetention is how long a row is kept after the last crash.
	evidenceRetention = 10 * time.Minute
	// maxKeyBytes is the length of the longest key that the store takes.
	maxKeyBytes = 200
)

// evidenceRow is a row of the table.
type evidenceRow struct {
	Crashes []screener.Crash `json:"crashes"`
}

// evidenceTable writes evidence to the store, so that instances that start later have it. Its methods may be called from
// any goroutine.
type evidenceTable struct {
	store  syncer.Store
	log    *slog.Logger
	clock  func() time.Time
	signal chan struct{}

	mu sync.Mutex
	// pending holds the changes to write, by key: nil removes the row.
	pending map[string]*evidenceRow
	// kept holds the times of the last crashes of the rows in the table.
	kept map[string]time.Time
}

// newEvidenceTable returns a table that is written once run is called.
func newEvidenceTable(store syncer.Store, log *slog.Logger, clock func() time.Time) *evidenceTable {
	return &evidenceTable{
		store: store, log: log, clock: clock, signal: make(chan struct{}, 1), pending: map[string]*evidenceRow{}, kept: map[string]time.Time{},
	}
}

// Keep writes evidence, and removes rows that are out of date.
func (t *evidenceTable) Keep(evidence []screener.Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range evidence {
		if len(e.Key) > maxKeyBytes {
			t.log.Warn("evidence not kept: its key is too long", "keys", e.Key)
			continue
		}
		t.pending[e.Key] = &evidenceRow{e.Crashes}
	}
	now := t.clock()
	for key, at := range t.kept {
		if now.Sub(at) >= evidenceRetention && t.pending[key] == nil {
			t.pending[key] = nil
		}
	}
	t.wake()
}

// Drop removes the rows of keys that are cleared.
func (t *evidenceTable) Drop(keys []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		_, isKept := t.kept[key]
		if _, isPending := t.pending[key]; isKept || isPending {
			t.pending[key] = nil
			t.wake()
		}
	}
}

// wake makes run write. The lock is held.
func (t *evidenceTable) wake() {
	select {
	case t.signal <- struct{}{}:
	default:
	}
}

// recordRow records a row of the table and returns its evidence. It returns false for a row that holds none.
func (t *evidenceTable) recordRow(r replicator.Row) (screener.Evidence, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var row evidenceRow
	if r.Deleted {
		delete(t.kept, r.Key)
		return screener.Evidence{}, false
	}
	if err := json.Unmarshal(r.Value, &row); err != nil {
		t.log.Warn("evidence not read", "keys", r.Key, "error", err)
		return screener.Evidence{}, false
	}
	e := screener.Evidence{Key: r.Key, Crashes: row.Crashes}
	t.kept[r.Key] = e.LastCrash()
	return e, true
}

// run writes pending changes until done is closed.
func (t *evidenceTable) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-t.signal:
		}
		for !t.write() {
			select {
			case <-done:
				return
			case <-time.After(evidenceRetryDelay):
			}
		}
	}
}

// write writes the pending changes, and reports whether none is left.
func (t *evidenceTable) write() bool {
	t.mu.Lock()
	written := t.pending
	t.pending = map[string]*evidenceRow{}
	t.mu.Unlock()
	if len(written) == 0 {
		return true
	}
	change := syncer.Change{Table: evidenceTableName}
	for key, row := range written {
		if row == nil {
			change.Remove = append(change.Remove, key)
			continue
		}
		b, err := json.Marshal(row)
		if err != nil {
			panic(err) // A row can always be encoded.
		}
		change.Set = append(change.Set, replicator.Row{Key: key, Value: b})
	}
	ctx, cancel := context.WithTimeout(context.Background(), evidenceWriteTimeout)
	defer cancel()
	_, err := t.store.Commit(ctx, change)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		return len(t.pending) == 0
	}
	t.log.Warn("evidence not written", "error", err)
	for key, row := range written {
		if _, isNewer := t.pending[key]; !isNewer {
			t.pending[key] = row
		}
	}
	return false
}

// handleEvidenceRows handles changes of the table of evidence.
func (g *Gateway) handleEvidenceRows(now time.Time, rows []replicator.Row) {
	for _, r := range rows {
		e, ok := g.evidence.recordRow(r)
		if !ok || now.Sub(e.LastCrash()) >= evidenceRetention {
			continue
		}
		g.forwarder.RestoreEvidence(now, e)
		g.log.Info("evidence read", "keys", e.Key, "row", r.Version)
	}
}

// runEvidence writes evidence until done is closed.
func (g *Gateway) runEvidence() {
	defer g.wait.Done()
	g.evidence.run(g.done)
}
