package gossiper

import (
	"cmp"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The states of a member.
const (
	StateAlive   = "alive"
	StateSuspect = "suspect"
	StateLeaving = "leaving"
	StateGone    = "gone"
)

// Member is another instance.
type Member struct {
	Peer Peer
	// LastSeenAt is the last time at which a stream of the instance advanced, by an exchange with it or through others.
	// It is zero if the instance is known only from a list.
	LastSeenAt time.Time
	// LastFailedAt is the last time at which an exchange with it failed. It is zero if none did.
	LastFailedAt time.Time
}

// memberIndex holds what is derived from the members, so that a call does not walk all of them.
type memberIndex struct {
	// ids holds the IDs of the members in order; nil if a member has been added or removed since.
	ids []string
	// live and known hold the live and the known peers in order of their IDs, and liveIDs the IDs of the live ones. They
	// hold until liveUntil, when the first of the live ones may be gone, unless isLiveKnown is false.
	live        []Peer
	known       []Peer
	liveIDs     map[string]bool
	liveUntil   time.Time
	isLiveKnown bool
	// near, region, far and gone hold the IDs of the members that rounds may exchange with, the preferred ones first: the
	// live ones of the own data centre, of the rest of the region and of other regions, and those that are not live.
	near, region, far, gone []string
}

const (
	// maxPartners is the number of members of each kind among which rounds choose.
	maxPartners = 8
	// randomPeerEvery is the number of rounds among which one also exchanges with a random live peer: an instance that few
	// have among their partners would learn of changes late.
	randomPeerEvery = 16
)

// retryAfter is the time without exchanges with a peer after one has failed.
const retryAfter = 3 * time.Second

// encodePeer returns the value of a TopicMember entry.
func encodePeer(p Peer) []byte {
	b, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return b
}

// decodePeer decodes the value of a TopicMember entry.
func decodePeer(b []byte) (Peer, bool) {
	var p Peer
	if err := json.Unmarshal(b, &p); err != nil {
		return Peer{}, false
	}
	return p, true
}

// Seed adds peers from a list. The state of a peer that is already a member is kept.
func (g *Gossiper) Seed(peers []Peer) {
	for _, p := range peers {
		if _, ok := g.Members[p.ID]; !ok && p.ID != g.Self.ID {
			g.setMember(p.ID, Member{Peer: p})
		}
	}
}

// SetListed applies the platform's list of instances: it adds those that are new and removes those that were known only
// from an earlier list.
func (g *Gossiper) SetListed(peers []Peer) {
	listed := map[string]bool{}
	for _, p := range peers {
		listed[p.ID] = true
	}
	for id, m := range g.Members {
		if m.LastSeenAt.IsZero() && !listed[id] {
			g.removeMember(id)
		}
	}
	g.Seed(peers)
}

// RecordFailure records that an exchange with a peer failed.
func (g *Gossiper) RecordFailure(now time.Time, id string) {
	if m, ok := g.Members[id]; ok {
		m.LastFailedAt = now
		g.setMember(id, m)
	}
}

// setMember stores a member.
func (g *Gossiper) setMember(id string, m Member) {
	before, ok := g.Members[id]
	g.Members[id] = m
	if !ok {
		g.index.ids = nil
	}
	cameBack := m.LastSeenAt.After(before.LastSeenAt) && !m.Peer.Leaving && !g.index.liveIDs[id]
	if !ok || before.Peer != m.Peer || cameBack {
		g.index.isLiveKnown = false
	}
}

// removeMember removes a member.
func (g *Gossiper) removeMember(id string) {
	delete(g.Members, id)
	g.index.ids, g.index.isLiveKnown = nil, false
}

// State returns the state of a member at now.
func (g *Gossiper) State(now time.Time, m Member) string {
	silence := now.Sub(m.LastSeenAt)
	factor := g.silenceFactor(m)
	switch {
	case silence > g.options.expireAfter*factor:
		return StateGone
	case m.Peer.Leaving:
		return StateLeaving
	case silence > g.options.suspectAfter*factor:
		return StateSuspect
	default:
		return StateAlive
	}
}

// silenceFactor returns by how much the silence allowed to a member of the own region is multiplied for a member.
func (g *Gossiper) silenceFactor(m Member) time.Duration {
	if m.Peer.Region == g.Self.Region {
		return 1
	}
	return otherRegionFactor
}

// LivePeers returns the other instances that are alive or suspected, ordered by ID. The caller must not change the
// result.
func (g *Gossiper) LivePeers(now time.Time) []Peer {
	g.refreshIndex(now)
	return g.index.live
}

// refreshIndex derives the index anew if it does not hold at now.
func (g *Gossiper) refreshIndex(now time.Time) {
	if !g.index.isLiveKnown || now.After(g.index.liveUntil) {
		g.indexLive(now)
	}
}

// LivePeer returns the instance with an ID, and whether it is among the live peers.
func (g *Gossiper) LivePeer(now time.Time, id string) (Peer, bool) {
	g.refreshIndex(now)
	return g.Members[id].Peer, g.index.liveIDs[id]
}

// indexLive determines the live peers at now.
func (g *Gossiper) indexLive(now time.Time) {
	g.index.live, g.index.known, g.index.liveIDs, g.index.isLiveKnown = nil, nil, map[string]bool{}, true
	g.index.liveUntil = now.Add(g.options.expireAfter)
	for _, id := range g.memberIDs() {
		m := g.Members[id]
		if !m.Peer.Leaving && m.Peer.Address != "" {
			g.index.known = append(g.index.known, m.Peer)
		}
		if s := g.State(now, m); s != StateAlive && s != StateSuspect {
			continue
		}
		g.index.live = append(g.index.live, m.Peer)
		g.index.liveIDs[id] = true
		if until := m.LastSeenAt.Add(g.options.expireAfter * g.silenceFactor(m)); until.Before(g.index.liveUntil) {
			g.index.liveUntil = until
		}
	}
	g.indexPartners(now)
}

// KnownPeers returns the other instances that have not announced that they are leaving, ordered by ID. It includes
// those that are gone and those known only from a list. The caller must not change the result.
func (g *Gossiper) KnownPeers(now time.Time) []Peer {
	g.refreshIndex(now)
	return g.index.known
}

// PickPeers returns the peers of a round: some of the partners of the own data centre, in one of three rounds one of
// those of another data centre of the region, in one of four one of another region, in one of eight a peer that is gone or
// only listed, so that partitions of the fleet merge again, and in one of randomPeerEvery any live peer. With urgent changes,
// each round reaches another data centre and every second one another region.
func (g *Gossiper) PickPeers(now time.Time, r *rand.Rand) []Peer {
	g.refreshIndex(now)
	near := g.reachable(now, g.index.near)
	region := g.reachable(now, g.index.region)
	far := g.reachable(now, g.index.far)
	gone := g.reachable(now, g.index.gone)
	count := len(near) + len(region) + len(far)
	regionEvery, farEvery := 3, 4
	if g.isUrgentRound {
		regionEvery, farEvery = 1, 2
	}
	picked := sample(r, near, g.options.nearPeers)
	picked = append(picked, sample(r, region, drawCount(r, regionEvery, len(near) == 0))...)
	picked = append(picked, sample(r, far, drawCount(r, farEvery, len(near)+len(region) == 0))...)
	picked = append(picked, sample(r, gone, drawCount(r, 8, count == 0))...)
	if live := g.index.live; len(live) > 0 && drawCount(r, randomPeerEvery, false) > 0 {
		picked = append(picked, g.reachable(now, []string{live[r.IntN(len(live))].ID})...)
	}
	out := make([]Peer, len(picked))
	for i, id := range picked {
		out[i] = g.Members[id].Peer
	}
	return out
}

// reachable returns the first maxPartners of the members in ids with which an exchange has not failed lately.
func (g *Gossiper) reachable(now time.Time, ids []string) []string {
	out := make([]string, 0, min(len(ids), maxPartners))
	for _, id := range ids {
		if m := g.Members[id]; now.Sub(m.LastFailedAt) >= retryAfter && len(out) < maxPartners {
			out = append(out, id)
		}
	}
	return out
}

// indexPartners orders the members that rounds may exchange with, by data centre and region. Each instance has its own
// order, by rendezvous hashing, and exchanges with the first of it: it keeps a connection to each, and the exchanges of
// all instances together still reach everyone.
func (g *Gossiper) indexPartners(now time.Time) {
	i := &g.index
	i.near, i.region, i.far, i.gone = nil, nil, nil, nil
	weights := make(map[string]uint64, len(g.Members))
	for _, id := range g.memberIDs() {
		m := g.Members[id]
		if m.Peer.Leaving || m.Peer.Address == "" {
			continue
		}
		weights[id] = partnerWeight(g.Self.ID, id)
		switch {
		case g.State(now, m) == StateGone:
			i.gone = append(i.gone, id)
		case m.Peer.DataCentre == g.Self.DataCentre && m.Peer.Region == g.Self.Region:
			i.near = append(i.near, id)
		case m.Peer.Region == g.Self.Region:
			i.region = append(i.region, id)
		default:
			i.far = append(i.far, id)
		}
	}
	for _, ids := range [][]string{i.near, i.region, i.far, i.gone} {
		slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b)) })
	}
}

// partnerWeight returns the rendezvous weight of a member for an instance.
func partnerWeight(self, member string) uint64 {
	return xxhash.Sum64String(self + "\x00" + member)
}

// drawCount returns 1 if always is set, and otherwise 1 at random in one of every rounds and 0 in the others.
func drawCount(r *rand.Rand, every int, always bool) int {
	if always || r.IntN(every) == 0 {
		return 1
	}
	return 0
}

// sample returns up to count IDs chosen at random. It shuffles the first of ids.
func sample(r *rand.Rand, ids []string, count int) []string {
	count = min(count, len(ids))
	for i := range count {
		j := i + r.IntN(len(ids)-i)
		ids[i], ids[j] = ids[j], ids[i]
	}
	return ids[:count]
}

// memberIDs returns the IDs of the members in order. The caller must not change the result.
func (g *Gossiper) memberIDs() []string {
	if g.index.ids == nil {
		g.index.ids = slices.Sorted(maps.Keys(g.Members))
	}
	return g.index.ids
}

// recordSeen records that a stream of a member advanced.
func (g *Gossiper) recordSeen(owner string, advancedAt time.Time) {
	m := g.Members[owner]
	m.Peer.ID = owner
	if advancedAt.After(m.LastSeenAt) {
		m.LastSeenAt = advancedAt
	}
	g.setMember(owner, m)
}

// dropIfOwnerGone drops the entries of a stream whose owner is gone, and returns them. Once the stream has not advanced
// for the retention, it removes the owner from the members.
func (g *Gossiper) dropIfOwnerGone(now time.Time, s *Stream) []Entry {
	m, ok := g.Members[s.Owner]
	if !ok || g.State(now, m) != StateGone {
		return nil
	}
	if !s.OwnerGone {
		return s.markOwnerGone()
	}
	if now.Sub(s.AdvancedAt) > g.options.retention {
		g.removeMember(s.Owner)
	}
	return nil
}
