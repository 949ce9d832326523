package syncer

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
)

// startTime is the time at which the tests begin.
var startTime = time.Unix(1000, 0)

// unusedStore is a store that a test does not read.
type unusedStore struct{}

// Rows fails.
func (unusedStore) Rows(context.Context, string) (replicator.Page, error) {
	return replicator.Page{}, ErrHistoryDropped
}

// Changes fails.
func (unusedStore) Changes(context.Context, string, int64, time.Duration) (replicator.Page, error) {
	return replicator.Page{}, ErrHistoryDropped
}

// Commit fails.
func (unusedStore) Commit(context.Context, Change) (int64, error) { return 0, ErrConflict }

// clock is a clock that a test sets.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

// get returns the time.
func (c *clock) get() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// advance advances the time.
func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// newSyncer returns a syncer of one table that is not started, and the changes that it reports.
func newSyncer(c *clock, delaysDeletions bool) (*Syncer, *followedTable, *[]string) {
	var reported []string
	x := exchanger.New(gossiper.Peer{ID: "self"})
	s := New(unusedStore{}, x, slog.New(slog.DiscardHandler), c.get, Table{Name: "t", DelaysDeletions: delaysDeletions, OnChange: func(_ time.Time, rows []replicator.Row) {
		for _, r := range rows {
			sign := "+"
			if r.Deleted {
				sign = "-"
			}
			reported = append(reported, sign+r.Key)
		}
	}})
	return s, s.tables["t"], &reported
}

// page returns a page of rows at a version.
func page(version int64, rows ...replicator.Row) replicator.Page {
	return replicator.Page{Rows: rows, Version: version}
}

// TestDeletionsAfterAnOutageAreDelayed deletes two rows during an outage of the store: one is written again in time and
// kept, and the other is deleted after the delay.
func TestDeletionsAfterAnOutageAreDelayed(t *testing.T) {
	c := &clock{now: startTime}
	s, f, reported := newSyncer(c, true)
	s.apply(f, page(2, replicator.Row{Key: "a", Version: 1}, replicator.Row{Key: "b", Version: 2}), true, true)
	s.recordFailure(f, ErrHistoryDropped)
	c.advance(5 * time.Second)
	s.recordFailure(f, ErrHistoryDropped)
	c.advance(100 * time.Millisecond)
	s.apply(f, page(4, replicator.Row{Key: "a", Version: 3, Deleted: true}, replicator.Row{Key: "b", Version: 4, Deleted: true}), false, true)
	c.advance(time.Second)
	s.apply(f, page(5, replicator.Row{Key: "a", Version: 5}), false, true)
	if diff := cmp.Diff([]string{"+a", "+b", "+a"}, *reported); diff != "" {
		t.Errorf("changes before the delay (-want +got):\n%s", diff)
	}
	c.advance(deletionDelay)
	s.fetchFromPeer(f)
	if diff := cmp.Diff([]string{"+a", "+b", "+a", "-b"}, *reported); diff != "" {
		t.Errorf("changes after the delay (-want +got):\n%s", diff)
	}
}

// TestDeletionAfterTheStoreIsBackIsNotDelayedAnew guards against an endpoint that gets requests for longer than it may
// because its row was removed some time after the store was back.
func TestDeletionAfterTheStoreIsBackIsNotDelayedAnew(t *testing.T) {
	c := &clock{now: startTime}
	s, f, reported := newSyncer(c, true)
	s.apply(f, page(1, replicator.Row{Key: "a", Version: 1}), true, true)
	s.recordFailure(f, ErrHistoryDropped)
	c.advance(100 * time.Millisecond)
	s.apply(f, page(1), false, true)
	c.advance(deletionDelay - time.Millisecond)
	s.apply(f, page(2, replicator.Row{Key: "a", Version: 2, Deleted: true}), false, true)
	if diff := cmp.Diff([]string{"+a"}, *reported); diff != "" {
		t.Errorf("changes before the delay (-want +got):\n%s", diff)
	}
	c.advance(2 * time.Millisecond)
	s.fetchFromPeer(f)
	if diff := cmp.Diff([]string{"+a", "-a"}, *reported); diff != "" {
		t.Errorf("changes after the delay (-want +got):\n%s", diff)
	}
}

// TestRowsOfARestoredStoreAreNotUsedAtOnce guards against endpoints that are used again although they have left, or no longer used,
// because the store has come back from a copy: their rows are written again within the delay.
func TestRowsOfARestoredStoreAreNotUsedAtOnce(t *testing.T) {
	row := func(key, value string, version int64) replicator.Row {
		return replicator.Row{Key: key, Value: []byte(value), Version: version}
	}
	c := &clock{now: startTime}
	s, f, reported := newSyncer(c, true)
	first := page(4, row("changed", "1", 1), row("gone", "1", 2), row("kept", "1", 3), row("lost", "1", 4))
	first.Era = 1
	s.apply(f, first, true, true)
	later := page(6, row("changed", "2", 5), replicator.Row{Key: "gone", Version: 6, Deleted: true})
	later.Era = 1
	s.apply(f, later, false, true)
	*reported = nil
	c.advance(time.Second)
	restored := page(4, row("changed", "1", 1), row("gone", "1", 2), row("kept", "1", 3), row("new", "1", 4))
	restored.Era = 2
	s.apply(f, restored, true, true)
	if diff := cmp.Diff([]string{"+new"}, *reported); diff != "" {
		t.Errorf("changes at once (-want +got):\n%s", diff)
	}
	c.advance(time.Second)
	again := page(5, row("changed", "2", 5))
	again.Era = 2
	s.apply(f, again, false, true)
	if diff := cmp.Diff([]string{"+new", "+changed"}, *reported); diff != "" {
		t.Errorf("changes once a row is written again (-want +got):\n%s", diff)
	}
	c.advance(deletionDelay)
	s.fetchFromPeer(f)
	slices.Sort(*reported)
	if diff := cmp.Diff([]string{"+changed", "+gone", "+new", "-lost"}, *reported); diff != "" {
		t.Errorf("changes after the delay (-want +got):\n%s", diff)
	}
}

// TestSecondRestorationStartsTheDelayAnew guards against rows of a copy that are used because the store has come back twice: what was
// lost is written again after the second time.
func TestSecondRestorationStartsTheDelayAnew(t *testing.T) {
	row := func(key, value string) replicator.Row {
		return replicator.Row{Key: key, Value: []byte(value), Version: 1}
	}
	c := &clock{now: startTime}
	s, f, reported := newSyncer(c, true)
	for era, rows := range [][]replicator.Row{
		{row("changed", "2"), row("lost", "1"), row("back", "1")},
		{row("changed", "1")},
		{row("changed", "1"), row("back", "1")},
	} {
		p := page(1, rows...)
		p.Era = int64(era + 1)
		s.apply(f, p, true, true)
		c.advance(deletionDelay - time.Millisecond)
		s.fetchFromPeer(f)
	}
	if diff := cmp.Diff([]string{"+changed", "+lost", "+back"}, *reported); diff != "" {
		t.Errorf("changes within the delay (-want +got):\n%s", diff)
	}
	*reported = nil
	c.advance(2 * time.Millisecond)
	s.fetchFromPeer(f)
	slices.Sort(*reported)
	if diff := cmp.Diff([]string{"+back", "+changed", "-lost"}, *reported); diff != "" {
		t.Errorf("changes after the delay (-want +got):\n%s", diff)
	}
}

// TestDeletionsAreReportedAtOnce deletes a row while the store is reachable.
func TestDeletionsAreReportedAtOnce(t *testing.T) {
	c := &clock{now: startTime}
	s, f, reported := newSyncer(c, true)
	s.apply(f, page(1, replicator.Row{Key: "a", Version: 1}), true, true)
	c.advance(time.Second)
	s.apply(f, page(2, replicator.Row{Key: "a", Version: 2, Deleted: true}), false, true)
	if diff := cmp.Diff([]string{"+a", "-a"}, *reported); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// TestOlderRowsAreIgnored applies an older row from a peer that is behind, and from the store.
func TestOlderRowsAreIgnored(t *testing.T) {
	c := &clock{now: startTime}
	s, f, reported := newSyncer(c, false)
	s.apply(f, page(9, replicator.Row{Key: "a", Version: 9}), true, true)
	s.apply(f, page(4, replicator.Row{Key: "a", Version: 4}), false, false)
	s.apply(f, page(4, replicator.Row{Key: "a", Version: 4}), true, true)
	if diff := cmp.Diff([]string{"+a"}, *reported); diff != "" || f.replica.Version != 9 {
		t.Errorf("version %d, changes (-want +got):\n%s", f.replica.Version, diff)
	}
}

// TestReadsArePausedWhileAPeerReads checks that reads of the store are paused while a peer reads it, and resume once
// the peer no longer reads it.
func TestReadsArePausedWhileAPeerReads(t *testing.T) {
	c := &clock{now: startTime}
	s, f, _ := newSyncer(c, false)
	peer := gossiper.Peer{ID: "home", Address: "127.0.0.1:1"}
	s.RecordPeerHeads(c.get(), peer, map[string]replicator.Head{"t": {}}, true, true)
	if s.readsPaused(f) {
		t.Error("reads are paused before the table was read")
	}
	s.apply(f, page(1, replicator.Row{Key: "a", Version: 1}), true, true)
	s.RecordPeerHeads(c.get(), peer, map[string]replicator.Head{"t": {Version: 1}}, true, true)
	if !s.readsPaused(f) {
		t.Error("reads are not paused while a peer reads the store")
	}
	if _, fresh := s.Heads(); fresh {
		t.Error("counts as reading the store while reads are paused")
	}
	s.RecordPeerHeads(c.get(), peer, map[string]replicator.Head{"t": {Version: 1}}, false, false)
	c.advance(readPauseTime + time.Millisecond)
	if s.readsPaused(f) {
		t.Error("reads are paused after the peer no longer reads the store")
	}
}

// TestOthersThanReadersWaitAfterTheFirstRead checks that the first read is never paused, that an instance which is no
// reader follows the store only once no peer has relayed changes for a while after the start, and that it publishes no
// version meanwhile.
func TestOthersThanReadersWaitAfterTheFirstRead(t *testing.T) {
	c := &clock{now: startTime}
	s, f, _ := newSyncer(c, false)
	s.startedAt = startTime
	if s.readsPaused(f) {
		t.Error("the first read is paused")
	}
	s.apply(f, page(1, replicator.Row{Key: "a", Version: 1}), true, true)
	if !s.readsPaused(f) || f.published.Version != 0 {
		t.Errorf("paused %v, version %d published, want a pause and none", s.readsPaused(f), f.published.Version)
	}
	c.advance(maxStartDelay)
	s.fetchFromPeer(f)
	if s.readsPaused(f) || f.published.Version != 1 {
		t.Errorf("paused %v, version %d published without a peer that relays changes", s.readsPaused(f), f.published.Version)
	}
	s.startedAt = c.get()
	s.SetReader(true)
	if s.readsPaused(f) {
		t.Error("a reader is paused at the start")
	}
}

// changingStore is a store whose table changes all the time. A peer relays each change just before the store returns
// it.
type changingStore struct {
	unusedStore
	syncer   *Syncer
	table    *followedTable
	version  int64
	calledAt chan time.Time
}

// Changes returns the next change at once, and hangs after five calls.
func (cs *changingStore) Changes(ctx context.Context, _ string, _ int64, _ time.Duration) (replicator.Page, error) {
	if len(cs.calledAt) == cap(cs.calledAt) {
		<-ctx.Done()
		return replicator.Page{}, ctx.Err()
	}
	cs.calledAt <- time.Now()
	cs.version++
	p := page(cs.version, replicator.Row{Key: "a", Version: cs.version})
	cs.syncer.apply(cs.table, p, false, false)
	return p, nil
}

// TestChangesFromPeersCauseNoMoreReads reads a table that changes all the time, and whose changes arrive from a peer
// first: the store is read no more often than without the peer.
func TestChangesFromPeersCauseNoMoreReads(t *testing.T) {
	s, f, _ := newSyncer(&clock{now: startTime}, false)
	s.apply(f, page(1, replicator.Row{Key: "a", Version: 1}), true, true)
	cs := &changingStore{syncer: s, table: f, version: 1, calledAt: make(chan time.Time, 5)}
	s.store = cs
	s.SetReader(true)
	s.Start()
	defer s.Close()
	first := <-cs.calledAt
	for range cap(cs.calledAt) {
		last := <-cs.calledAt
		if earliest := first.Add(coalesceInterval); last.Before(earliest) {
			t.Fatalf("read again after %v, want %v at least", last.Sub(first), coalesceInterval)
		}
		first = last
	}
}

// silentStore is a store that does not respond to reads of changes.
type silentStore struct {
	unusedStore
	called chan struct{}
}

// Changes waits for the end of the context.
func (ss *silentStore) Changes(ctx context.Context, _ string, _ int64, _ time.Duration) (replicator.Page, error) {
	ss.called <- struct{}{}
	<-ctx.Done()
	return replicator.Page{}, ctx.Err()
}

// TestStatusTellsAnUnansweredReadFromAPause checks what the status says of a read without a response, and of a table that
// a peer reads.
func TestStatusTellsAnUnansweredReadFromAPause(t *testing.T) {
	c := &clock{now: startTime}
	s, f, _ := newSyncer(c, false)
	if _, ok := s.Status(c.get(), "t"); ok {
		t.Error("there is a status before the first read")
	}
	s.apply(f, page(3, replicator.Row{Key: "a", Version: 3}), true, true)
	store := &silentStore{called: make(chan struct{}, 1)}
	s.store = store
	s.SetReader(true)
	s.Start()
	<-store.called
	c.advance(4 * time.Second)
	want := Status{Head: replicator.Head{Version: 3}, Age: 4 * time.Second, Reached: true, Pending: 4 * time.Second}
	if got, _ := s.Status(c.get(), "t"); got != want {
		t.Errorf("status of an unanswered read: %+v, want %+v", got, want)
	}
	s.Close()
	s.RecordPeerHeads(c.get(), gossiper.Peer{ID: "home"}, map[string]replicator.Head{"t": {Version: 3}}, true, true)
	if got, _ := s.Status(c.get(), "t"); !got.Paused {
		t.Errorf("status while a peer reads: %+v, want a pause", got)
	}
}

// heldRead is a read of changes that a holdingStore holds.
type heldRead struct {
	hold    time.Duration
	respond chan replicator.Page
}

// holdingStore is a store that holds each read of changes until the test responds.
type holdingStore struct {
	unusedStore
	reads chan heldRead
}

// Changes waits for the response of the test, or the end of the context.
func (hs *holdingStore) Changes(ctx context.Context, _ string, _ int64, hold time.Duration) (replicator.Page, error) {
	r := heldRead{hold, make(chan replicator.Page, 1)}
	hs.reads <- r
	select {
	case p := <-r.respond:
		return p, nil
	case <-ctx.Done():
		return replicator.Page{}, ctx.Err()
	}
}

// TestLostLongReadIsRepeatedOnceNoPeerReads guards against changes that stay hidden behind a long read that was lost after the
// peer that read the store has stopped.
func TestLostLongReadIsRepeatedOnceNoPeerReads(t *testing.T) {
	c := &clock{now: startTime}
	s, f, reported := newSyncer(c, false)
	s.apply(f, page(1, replicator.Row{Key: "a", Version: 1}), true, true)
	store := &holdingStore{reads: make(chan heldRead, 1)}
	s.store = store
	s.SetReader(true)
	peer := gossiper.Peer{ID: "home"}
	confirm := func(fresh bool) {
		s.RecordPeerHeads(c.get(), peer, map[string]replicator.Head{"t": {Version: 1}}, fresh, false)
	}
	confirm(true)
	s.Start()
	defer s.Close()
	if r := <-store.reads; r.hold != confirmedHold {
		t.Errorf("a read is held for %v while a peer reads, want %v", r.hold, confirmedHold)
	}
	for range 5 {
		c.advance(readPauseTime - time.Millisecond)
		confirm(true)
	}
	time.Sleep(peerFetchDelay)
	if status, _ := s.Status(c.get(), "t"); status.Pending < 2*time.Second || len(store.reads) > 0 {
		t.Errorf("the read was repeated while a peer reads: %+v", status)
	}
	confirm(false)
	r := <-store.reads
	if status, _ := s.Status(c.get(), "t"); r.hold != 0 || !status.Reached {
		t.Errorf("the repeated read is held for %v, and the store counts as reached: %v; want 0 and true", r.hold, status.Reached)
	}
	r.respond <- page(2, replicator.Row{Key: "b", Version: 2})
	if r := <-store.reads; r.hold != defaultMaxDelay/2 {
		t.Errorf("a read is held for %v without a peer, want %v", r.hold, defaultMaxDelay/2)
	}
	s.Close()
	if diff := cmp.Diff([]string{"+a", "+b"}, *reported); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}
