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
			t.aheadPeer, t.aheadSince = peer, now.Add(-peerFetchDelay)
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
	t.aheadPeer = p
	if t.aheadSince.IsZero() {
		t.aheadSince = s.clock()
	}
}

// loopPeerFetch fetches changes from peers that the store does not return in time, until the syncer is closed.
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
			s.fetchFromPeer(t)
		}
	}
}

// fetchFromPeer reports the changes of a table whose delay has passed, and publishes a version that has not been
// published because a peer that no longer responds did so. Then, if a peer has had a newer version for
// peerFetchDelay, it fetches the changes from that peer.
func (s *Syncer) fetchFromPeer(t *followedTable) {
	s.mu.Lock()
	now := s.clock()
	if changed := t.delayDeletions(now, nil, nil); len(changed) > 0 {
		t.OnChange(now, changed)
	}
	s.publishHead(now, t)
	s.repeatRead(now, t)
	due := !t.aheadSince.IsZero() && now.Sub(t.aheadSince) >= peerFetchDelay
	peer, head := t.aheadPeer, t.replica.Head()
	if due {
		t.aheadSince = time.Time{}
	}
	s.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	var page replicator.Page
	if err := s.exchange.Call(ctx, peer, "Relay.Since", Query{t.Name, head.Version, head.Era}, &page); err != nil {
		s.log.Warn("table not fetched from peer", "peer", peer.ID, "table", t.Name, "error", err)
		return
	}
	s.apply(t, page, page.IsWhole, false)
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
