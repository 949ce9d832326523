package syncer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/replicator"
)

// scene is a syncer with one table of a row, and a peer that reads the store.
type scene struct {
	clock    *clock
	syncer   *Syncer
	table    *followedTable
	reported *[]string
	version  int64
}

// newScene returns a scene whose table has the row a.
func newScene() *scene {
	c := &clock{now: startTime}
	s, f, reported := newSyncer(c, true)
	s.apply(f, page(1, replicator.Row{Key: "a", Version: 1}), true, true)
	return &scene{clock: c, syncer: s, table: f, reported: reported, version: 1}
}

// hearPeer plays the replies of a peer for a time. It reads the store if fresh is true.
func (s *scene) hearPeer(d time.Duration, fresh bool) {
	for end := s.clock.get().Add(d); s.clock.get().Before(end); s.clock.advance(readPauseTime / 4) {
		s.syncer.RecordPeerHeads(s.clock.get(), gossiper.Peer{ID: "home"}, nil, fresh, fresh)
	}
}

// failRead plays a read of the store that fails.
func (s *scene) failRead() { s.syncer.recordFailure(s.table, ErrHistoryDropped) }

// readStore plays a read of the store without changes.
func (s *scene) readStore() { s.syncer.apply(s.table, page(s.version), false, true) }

// deleteRow plays the deletion of the row, which the store returns or a peer relays.
func (s *scene) deleteRow(fromStore bool, held map[string]time.Duration) {
	s.version++
	p := page(s.version, replicator.Row{Key: "a", Version: s.version, Deleted: true})
	p.Held = held
	s.syncer.apply(s.table, p, false, fromStore)
}

// TestNoDeletionIsDelayedLongAfterAnOutage guards against endpoints that get requests after they have left, because a failed read
// marks the table and only a read of this instance clears the mark, which its home has paused meanwhile. The cases play which
// instance reaches the store first, and which one relays the deletion.
func TestNoDeletionIsDelayedLongAfterAnOutage(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(s *scene)
		// wantDelay is how long the deletion is held back.
		wantDelay time.Duration
	}{
		{"the home reaches the store first", func(s *scene) {
			s.hearPeer(time.Second, true)
			s.failRead()
			s.hearPeer(3*time.Second, false)
			s.hearPeer(10*time.Second, true)
			s.deleteRow(false, nil)
		}, 0},
		{"the home reaches the store first, and a read of this instance follows much later", func(s *scene) {
			s.failRead()
			s.hearPeer(3*time.Second, false)
			s.hearPeer(10*time.Second, true)
			s.readStore()
			s.deleteRow(true, nil)
		}, 0},
		{"the home is back just now", func(s *scene) {
			s.failRead()
			s.hearPeer(3*time.Second, false)
			s.syncer.RecordPeerHeads(s.clock.get(), gossiper.Peer{ID: "home"}, nil, true, true)
			s.deleteRow(false, nil)
		}, deletionDelay},
		{"another peer holds the deletion back", func(s *scene) {
			s.deleteRow(false, map[string]time.Duration{"a": time.Second})
		}, time.Second},
		{"another peer holds it back for an odd time", func(s *scene) {
			s.deleteRow(false, map[string]time.Duration{"a": time.Hour})
		}, deletionDelay},
		{"the store rejects this instance alone", func(s *scene) {
			s.hearPeer(time.Second, true)
			for range 10 {
				s.failRead()
				s.hearPeer(time.Second, true)
			}
			s.deleteRow(false, nil)
		}, 0},
		{"the store rejects this instance and its home", func(s *scene) {
			for range 10 {
				s.failRead()
				s.hearPeer(time.Second, false)
			}
			s.deleteRow(false, nil)
		}, 0},
		{"a short outage, before the home has noticed it", func(s *scene) {
			s.hearPeer(time.Second, true)
			s.failRead()
			s.hearPeer(readPauseTime/4, true)
			s.readStore()
			s.deleteRow(true, nil)
		}, deletionDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScene()
			c.play(s)
			if c.wantDelay > 0 {
				s.clock.advance(c.wantDelay - time.Millisecond)
				s.syncer.fetchFromPeer(s.table)
				if diff := cmp.Diff([]string{"+a"}, *s.reported); diff != "" {
					t.Errorf("changes before the delay (-want +got):\n%s", diff)
				}
				s.clock.advance(2 * time.Millisecond)
				s.syncer.fetchFromPeer(s.table)
			}
			if diff := cmp.Diff([]string{"+a", "-a"}, *s.reported); diff != "" {
				t.Errorf("changes after %v (-want +got):\n%s", c.wantDelay, diff)
			}
		})
	}
}

// TestRelayedDeletionsAreHeldAsLong guards against an instance that takes an endpoint out of use before the one that relays the
// deletion, and after an outage before it is written again.
func TestRelayedDeletionsAreHeldAsLong(t *testing.T) {
	s := newScene()
	s.failRead()
	s.clock.advance(time.Second)
	s.readStore()
	s.clock.advance(time.Second)
	s.deleteRow(true, nil)
	var reply replicator.Page
	if err := (&Relay{s.syncer}).Since(Query{Table: "t", Version: 1}, &reply); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(map[string]time.Duration{"a": deletionDelay - time.Second}, reply.Held); diff != "" {
		t.Errorf("held (-want +got):\n%s", diff)
	}
	s.clock.advance(deletionDelay)
	s.syncer.fetchFromPeer(s.table)
	reply = replicator.Page{}
	if err := (&Relay{s.syncer}).Since(Query{Table: "t", Version: 1}, &reply); err != nil || reply.Held != nil {
		t.Errorf("held %v after the delay, error %v", reply.Held, err)
	}
}
