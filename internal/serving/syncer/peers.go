package syncer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/replicator"
)

// RecordPeerHeads records a peer's heads of the tables, and fetches newer ones from it. Fresh states whether the peer
// reads the store. With pauseReads, this instance pauses its own reads until the peer stops responding.
func (s *Syncer) RecordPeerHeads(now time.Time, peer gossiper.Peer, heads map[string]replicator.Head, fresh, pauseReads bool) {
	s.mu.Lock()
	s.recordConfirmation(now, fresh)
	if pauseReads {
		s.readsPausedUntil = now.Add(readPauseTime)
	}
	var behind []*followedTable
	for name, head := range heads {
		if t, ok := s.tables[name]; ok && head.IsAfter(t.replica.Head()) {
			// With this time, the fetch is due at once.
			t.aheadPeer, t.aheadHead, t.aheadSince = peer, head, now.Add(-peerFetchDelay)
			behind = append(behind, t)
		}
	}
	s.mu.Unlock()
	for _, t := range behind {
		s.fetchFromPeer(t)
	}
}

// recordConfirmation records whether a peer that responds reads the store. The lock is held.
func (s *Syncer) recordConfirmation(now time.Time, fresh bool) {
	if !fresh {
		s.confirmedUntil = time.Time{}
		return
	}
	if !now.Before(s.confirmedUntil) {
		s.confirmedSince = now
	}
	s.confirmedUntil = now.Add(readPauseTime)
	for _, t := range s.tables {
		t.recordConfirmation(now, s.confirmedSince)
	}
}

// publishHead gossips the head of a table's copy if it has not been published, unless a peer that reads the store
// relays changes to this instance: such a peer publishes them, and a version from each instance would cost all others a
// message. The lock is held.
func (s *Syncer) publishHead(now time.Time, t *followedTable) {
	head := t.replica.Head()
	if !head.IsAfter(t.published) || s.isPaused(now, t) {
		return
	}
	t.published = head
	b, err := json.Marshal(head)
	if err != nil {
		panic(err) // A struct of integers can always be encoded as JSON.
	}
	s.exchange.Publish(gossiper.TopicHead, t.Name, b, 0)
}

// recordPeerHead records the head of a peer's copy of a table from gossip.
func (s *Syncer) recordPeerHead(e gossiper.Entry) {
	var head replicator.Head
	if e.Deleted {
		return
	}
	if err := json.Unmarshal(e.Value, &head); err != nil {
		s.log.Warn("invalid head of a table from peer", "peer", e.Owner, "table", e.Key, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tables[e.Key]
	if !ok || !head.IsAfter(t.replica.Head()) {
		return
	}
	p, ok := s.exchange.LivePeer(e.Owner)
	if !ok {
		return
	}
	t.aheadPeer, t.aheadHead = p, head
	if t.aheadSince.IsZero() {
		t.aheadSince = s.clock()
	}
}

// loopPeerFetch fetches changes from peers that the store does not return in time, until the syncer is closed. A peer that does not
// respond holds back nothing else.
func (s *Syncer) loopPeerFetch() {
	defer s.wait.Done()
	ticker := time.NewTicker(peerFetchDelay / 2)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, t := range s.tables {
			if f, due := s.nextFetch(t); due {
				s.wait.Add(1)
				go s.runFetch(f)
			}
		}
	}
}

// fetch is a fetch of the changes of a table since a head from a peer.
type fetch struct {
	table *followedTable
	peer  gossiper.Peer
	head  replicator.Head
}

// nextFetch reports the changes of a table whose delay has passed, and publishes a version that has not been published
// because a peer that no longer responds did so. It returns the fetch that is due if a peer has had a newer version for
// peerFetchDelay.
func (s *Syncer) nextFetch(t *followedTable) (fetch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if changed := t.delayDeletions(now, nil, nil); len(changed) > 0 {
		t.OnChange(now, changed)
	}
	s.publishHead(now, t)
	s.repeatRead(now, t)
	if !t.aheadHead.IsAfter(t.replica.Head()) {
		t.aheadSince = time.Time{}
	}
	if t.isFetching || t.aheadSince.IsZero() || now.Sub(t.aheadSince) < peerFetchDelay {
		return fetch{}, false
	}
	t.aheadSince, t.isFetching = time.Time{}, true
	return fetch{t, t.aheadPeer, t.replica.Head()}, true
}

// fetchFromPeer is nextFetch, and carries the fetch out.
func (s *Syncer) fetchFromPeer(t *followedTable) {
	if f, due := s.nextFetch(t); due {
		s.fetch(f)
	}
}

// runFetch carries out a fetch.
func (s *Syncer) runFetch(f fetch) {
	defer s.wait.Done()
	s.fetch(f)
}

// fetch fetches changes from a peer. If that fails, it is done again while the peer is live: each version is announced once.
func (s *Syncer) fetch(f fetch) {
	t := f.table
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	var page replicator.Page
	err := s.exchange.Call(ctx, f.peer, "Relay.Since", Query{t.Name, f.head.Version, f.head.Era}, &page)
	if err != nil {
		s.log.Warn("table not fetched from peer", "peer", f.peer.ID, "table", t.Name, "error", err)
	} else {
		s.apply(t, page, page.IsWhole, false)
	}
	_, isLive := s.exchange.LivePeer(f.peer.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.isFetching = false
	if err != nil && isLive && t.aheadSince.IsZero() {
		t.aheadSince = s.clock()
	}
}

// Query requests the rows of a table that are newer than a version of an era.
type Query struct {
	Table   string
	Version int64
	Era     int64
}

// Relay holds the methods that peers call over net/rpc.
type Relay struct {
	s *Syncer
}

// Since replies with the rows of a table that are newer than a version, or with the whole table if the version is of another era.
func (r *Relay) Since(q Query, reply *replicator.Page) error {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	t, ok := r.s.tables[q.Table]
	if !ok {
		return merry.Errorf("table %q is not followed", q.Table)
	}
	*reply = t.replica.Since(q.Version)
	if q.Era != t.replica.Era {
		*reply = t.replica.Whole()
	}
	reply.Held = t.heldDeletions(r.s.clock())
	return nil
}
