package gateway

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/routing/screener"
	"github.com/heatherrock/heatherrock/internal/serving/syncer"
)

// recordingStore records the writes, and fails them while err is set.
type recordingStore struct {
	syncer.Store
	err     error
	set     []string
	removed []string
}

// Commit records a write.
func (s *recordingStore) Commit(_ context.Context, c syncer.Change) (int64, error) {
	if s.err != nil {
		return 0, s.err
	}
	for _, r := range c.Set {
		s.set = append(s.set, r.Key)
	}
	s.removed = append(s.removed, c.Remove...)
	return 1, nil
}

// TestEvidenceIsWrittenUntilItIsStored keeps and drops evidence while the store fails and afterwards.
func TestEvidenceIsWrittenUntilItIsStored(t *testing.T) {
	now := time.Unix(1000, 0)
	store := &recordingStore{err: errors.New("store down")}
	table := newEvidenceTable(store, slog.New(slog.DiscardHandler), func() time.Time { return now })
	old := replicator.Row{Key: "old", Value: []byte(`{"crashes":[{"endpoint":"e","at":"1970-01-01T00:00:00Z"}]}`)}
	if _, ok := table.recordRow(old); !ok {
		t.Error("a row is not read")
	}
	if _, ok := table.recordRow(replicator.Row{Key: "bad", Value: []byte("{")}); ok {
		t.Error("a row that is no evidence is read")
	}
	crashes := []screener.Crash{{Endpoint: "e", At: now}}
	table.Keep([]screener.Evidence{{Key: "a", Crashes: crashes}, {Key: "b", Crashes: crashes}})
	if table.write() {
		t.Error("a write that failed counts as done")
	}
	table.Drop([]string{"b", "never kept"})
	store.err = nil
	for n := range 2 {
		if !table.write() {
			t.Errorf("write %d leaves changes", n)
		}
	}
	if diff := cmp.Diff([]string{"a"}, store.set); diff != "" {
		t.Errorf("rows written (-want +got):\n%s", diff)
	}
	removed := map[string]bool{}
	for _, key := range store.removed {
		removed[key] = true
	}
	if diff := cmp.Diff(map[string]bool{"old": true, "b": true}, removed); diff != "" {
		t.Errorf("rows removed (-want +got):\n%s", diff)
	}
}
