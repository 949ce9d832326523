package gossiper

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
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
			g.Members[p.ID] = Member{Peer: p}
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
			delete(g.Members, id)
		}
	}
	g.Seed(peers)
}

// RecordFailure records that an exchange with a peer failed.
func (g *Gossiper) RecordFailure(now time.Time, id string) {
	if m, ok := g.Members[id]; ok {
		m.LastFailedAt = now
		g.Members[id] = m
	}
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

// LivePeers returns the other instances that are alive or suspected, ordered by ID.
func (g *Gossiper) LivePeers(now time.Time) []Peer {
	var out []Peer
	for _, id := range g.memberIDs() {
		m := g.Members[id]
		if s := g.State(now, m); s == StateAlive || s == StateSuspect {
			out = append(out, m.Peer)
		}
	}
	return out
}

// KnownPeers returns the other instances that have not announced that they are leaving, ordered by ID. It includes
// those that are gone and those known only from a list.
func (g *Gossiper) KnownPeers() []Peer {
	var out []Peer
	for _, id := range g.memberIDs() {
		if p := g.Members[id].Peer; !p.Leaving && p.Address != "" {
			out = append(out, p)
		}
	}
	return out
}

// PickPeers returns the peers of a round: some of the own data centre, in one of three rounds one of another data
// centre of the region, in one of four one of another region, and in one of eight one that is gone or only listed, so
// that partitions of the fleet merge again. With urgent changes, each round reaches another data centre and every
// second one another region.
func (g *Gossiper) PickPeers(now time.Time, r *rand.Rand) []Peer {
	var near, region, far, gone []Peer
	for _, id := range g.memberIDs() {
		m := g.Members[id]
		if now.Sub(m.LastFailedAt) < retryAfter || m.Peer.Leaving || m.Peer.Address == "" {
			continue
		}
		switch {
		case g.State(now, m) == StateGone:
			gone = append(gone, m.Peer)
		case m.Peer.DataCentre == g.Self.DataCentre && m.Peer.Region == g.Self.Region:
			near = append(near, m.Peer)
		case m.Peer.Region == g.Self.Region:
			region = append(region, m.Peer)
		default:
			far = append(far, m.Peer)
		}
	}
	reachable := len(near) + len(region) + len(far)
	out := sample(r, near, g.options.nearPeers)
	regionEvery, farEvery := 3, 4
	if g.isUrgentRound {
		regionEvery, farEvery = 1, 2
	}
	out = append(out, sample(r, region, drawCount(r, regionEvery, len(near) == 0))...)
	out = append(out, sample(r, far, drawCount(r, farEvery, len(near)+len(region) == 0))...)
	return append(out, sample(r, gone, drawCount(r, 8, reachable == 0))...)
}

// drawCount returns 1 if always is set, and otherwise 1 at random in one of every rounds and 0 in the others.
func drawCount(r *rand.Rand, every int, always bool) int {
	if always || r.IntN(every) == 0 {
		return 1
	}
	return 0
}

// sample returns up to count peers chosen at random. It shuffles peers.
func sample(r *rand.Rand, peers []Peer, count int) []Peer {
	r.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// memberIDs returns the IDs of the members in order.
func (g *Gossiper) memberIDs() []string {
	out := make([]string, 0, len(g.Members))
	for id := range g.Members {
		out = append(out, id)
	}
	slices.SortFunc(out, strings.Compare)
	return out
}

// recordSeen records that a stream of a member advanced.
func (g *Gossiper) recordSeen(owner string, advancedAt time.Time) {
	m := g.Members[owner]
	m.Peer.ID = owner
	if advancedAt.After(m.LastSeenAt) {
		m.LastSeenAt = advancedAt
	}
	g.Members[owner] = m
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
		delete(g.Members, s.Owner)
	}
	return nil
}
