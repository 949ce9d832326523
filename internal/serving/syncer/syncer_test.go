package syncer

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// none is a store that is not asked.
type none struct{}

// Rows fails.
func (none) Rows(context.Context, string) (replicator.Page, error) {
	return replicator.Page{}, ErrForgotten
}

// Changes fails.
func (none) Changes(context.Context, string, int64, time.Duration) (replicator.Page, error) {
	return replicator.Page{}, ErrForgotten
}

// Commit fails.
func (none) Commit(context.Context, Change) (int64, error) { return 0, ErrConflict }

// clock is a time that a test sets.
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

// add moves the time on.
func (c *clock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// newSyncer returns a syncer of one table that is not started, and the rows that it tells as news.
func newSyncer(c *clock, lapses bool) (*Syncer, *followed, *[]string) {
	var news []string
	x := exchanger.New(gossiper.Peer{ID: "self"})
	s := New(none{}, x, slog.New(slog.DiscardHandler), c.get, Table{Name: "t", Lapses: lapses, News: func(_ time.Time, rows []replicator.Row) {
		for _, r := range rows {
			sign := "+"
			if r.Deleted {
				sign = "-"
			}
			news = append(news, sign+r.Key)
		}
	}})
	return s, s.tables["t"], &news
}

// page returns a page of rows at a version.
func page(version int64, rows ...replicator.Row) replicator.Page {
	return replicator.Page{Rows: rows, Version: version}
}

// TestLapsedRowsAreKeptAWhile lets rows go while the store is away: one is written again in time, the other is gone after a
// while.
func TestLapsedRowsAreKeptAWhile(t *testing.T) {
	c := &clock{now: start}
	s, f, news := newSyncer(c, true)
	s.take(f, page(2, replicator.Row{Key: "a", Version: 1}, replicator.Row{Key: "b", Version: 2}), true, true)
	s.lost(f, ErrForgotten)
	c.add(5 * time.Second)
	s.lost(f, ErrForgotten)
	c.add(100 * time.Millisecond)
	s.take(f, page(4, replicator.Row{Key: "a", Version: 3, Deleted: true}, replicator.Row{Key: "b", Version: 4, Deleted: true}), false, true)
	c.add(time.Second)
	s.take(f, page(5, replicator.Row{Key: "a", Version: 5}), false, true)
	if diff := cmp.Diff([]string{"+a", "+b", "+a"}, *news); diff != "" {
		t.Errorf("news within the while (-want +got):\n%s", diff)
	}
	c.add(lapse)
	s.relay(f)
	if diff := cmp.Diff([]string{"+a", "+b", "+a", "-b"}, *news); diff != "" {
		t.Errorf("news after it (-want +got):\n%s", diff)
	}
}

// TestDeletionsCountAtOnce lets a row go while the store is well.
func TestDeletionsCountAtOnce(t *testing.T) {
	c := &clock{now: start}
	s, f, news := newSyncer(c, true)
	s.take(f, page(1, replicator.Row{Key: "a", Version: 1}), true, true)
	c.add(time.Second)
	s.take(f, page(2, replicator.Row{Key: "a", Version: 2, Deleted: true}), false, true)
	if diff := cmp.Diff([]string{"+a", "-a"}, *news); diff != "" {
		t.Errorf("news (-want +got):\n%s", diff)
	}
}

// TestOlderRowsAreNoNews takes a row from a peer that is behind.
func TestOlderRowsAreNoNews(t *testing.T) {
	c := &clock{now: start}
	s, f, news := newSyncer(c, false)
	s.take(f, page(9, replicator.Row{Key: "a", Version: 9}), true, true)
	s.take(f, page(4, replicator.Row{Key: "a", Version: 4}), false, false)
	s.take(f, page(4, replicator.Row{Key: "a", Version: 4}), true, true)
	if diff := cmp.Diff([]string{"+a"}, *news); diff != "" || f.copy.Version != 9 {
		t.Errorf("version %d, news (-want +got):\n%s", f.copy.Version, diff)
	}
}

// TestRestsWhileAPeerReads asks the store again once the peer that reads it is silent, or no longer reads it.
func TestRestsWhileAPeerReads(t *testing.T) {
	c := &clock{now: start}
	s, f, _ := newSyncer(c, false)
	peer := gossiper.Peer{ID: "home", Address: "127.0.0.1:1"}
	s.Follow(c.get(), peer, map[string]int64{"t": 0}, true)
	if s.rests(f) {
		t.Error("rests before anything is known of the table")
	}
	s.take(f, page(1, replicator.Row{Key: "a", Version: 1}), true, true)
	s.Follow(c.get(), peer, map[string]int64{"t": 1}, true)
	if !s.rests(f) {
		t.Error("does not rest beside a peer that reads the store")
	}
	if _, fresh := s.Heads(); fresh {
		t.Error("counts as reading the store while it rests")
	}
	s.Follow(c.get(), peer, map[string]int64{"t": 1}, false)
	c.add(attachTime + time.Millisecond)
	if s.rests(f) {
		t.Error("rests after the peer no longer reads the store")
	}
}

// busy is a store whose table changes all the time. A peer tells of each change just before the store does.
type busy struct {
	none
	syncer  *Syncer
	table   *followed
	version int64
	asked   chan time.Time
}

// Changes returns the next change at once, and hangs once five have been asked for.
func (b *busy) Changes(ctx context.Context, _ string, _ int64, _ time.Duration) (replicator.Page, error) {
	if len(b.asked) == cap(b.asked) {
		<-ctx.Done()
		return replicator.Page{}, ctx.Err()
	}
	b.asked <- time.Now()
	b.version++
	p := page(b.version, replicator.Row{Key: "a", Version: b.version})
	b.syncer.take(b.table, p, false, false)
	return p, nil
}

// TestChangesKnownFromPeersCostNoMoreCalls follows a table whose changes come one after the other, and each from a peer first: the
// store is asked no more often than if nobody told.
func TestChangesKnownFromPeersCostNoMoreCalls(t *testing.T) {
	s, f, _ := newSyncer(&clock{now: start}, false)
	s.take(f, page(1, replicator.Row{Key: "a", Version: 1}), true, true)
	b := &busy{syncer: s, table: f, version: 1, asked: make(chan time.Time, 5)}
	s.store = b
	s.Start()
	defer s.Close()
	first := <-b.asked
	for range cap(b.asked) {
		last := <-b.asked
		if least := first.Add(coalesce); last.Before(least) {
			t.Fatalf("asked again after %v, want %v at least", last.Sub(first), coalesce)
		}
		first = last
	}
}
