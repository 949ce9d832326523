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

// Member is an instance as known here.
type Member struct {
	Peer Peer
	// Seen is the last time at which the instance was heard of, directly or through others. It is zero if the
	// instance is known only from a list.
	Seen time.Time
	// Failed is the last time at which an exchange with it failed, if that was after Seen.
	Failed time.Time
}

// retryAfter is how long a peer is left alone after an exchange with it has failed.
const retryAfter = 3 * time.Second

// encodePeer returns the value of a TopicMember entry.
func encodePeer(p Peer) []byte {
	b, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return b
}

// decodePeer reads the value of a TopicMember entry.
func decodePeer(b []byte) (Peer, bool) {
	var p Peer
	if err := json.Unmarshal(b, &p); err != nil {
		return Peer{}, false
	}
	return p, true
}

// Seed adds peers that a list names. What the exchange knows of a peer is kept.
func (g *Gossiper) Seed(peers []Peer) {
	for _, p := range peers {
		if _, ok := g.Members[p.ID]; !ok && p.ID != g.Self.ID {
			g.Members[p.ID] = Member{Peer: p}
		}
	}
}

// List takes in the platform's list of instances: it adds those that are new and removes those that were known only
// from an earlier list.
func (g *Gossiper) List(peers []Peer) {
	listed := map[string]bool{}
	for _, p := range peers {
		listed[p.ID] = true
	}
	for id, m := range g.Members {
		if m.Seen.IsZero() && !listed[id] {
			delete(g.Members, id)
		}
	}
	g.Seed(peers)
}

// Failed records that an exchange with a peer failed.
func (g *Gossiper) Failed(now time.Time, id string) {
	if m, ok := g.Members[id]; ok {
		m.Failed = now
		g.Members[id] = m
	}
}

// State returns the state of a member at now.
func (g *Gossiper) State(now time.Time, m Member) string {
	silent := now.Sub(m.Seen)
	factor := g.factor(m)
	switch {
	case silent > g.options.expire*factor:
		return StateGone
	case m.Peer.Leaving:
		return StateLeaving
	case silent > g.options.suspect*factor:
		return StateSuspect
	default:
		return StateAlive
	}
}

// factor returns how much longer than one of the own region a member may be silent.
func (g *Gossiper) factor(m Member) time.Duration {
	if m.Peer.Region == g.Self.Region {
		return 1
	}
	return farFactor
}

// Peers returns the other instances that are alive or suspected, in the order of their IDs.
func (g *Gossiper) Peers(now time.Time) []Peer {
	var out []Peer
	for _, id := range g.ids() {
		m := g.Members[id]
		if s := g.State(now, m); s == StateAlive || s == StateSuspect {
			out = append(out, m.Peer)
		}
	}
	return out
}

// Known returns the other instances that have not announced that they go, in the order of their IDs: those that are
// gone and those known only from a list included.
func (g *Gossiper) Known() []Peer {
	var out []Peer
	for _, id := range g.ids() {
		if p := g.Members[id].Peer; !p.Leaving && p.Address != "" {
			out = append(out, p)
		}
	}
	return out
}

// Pick returns the peers of a round: some of the own data centre, in one of three rounds one of another data centre of
// the region, in one of four one of another region, and in one of eight one that is lost or only listed, so that parts of
// the fleet that lost each other meet again. With urgent news, each round reaches another data centre and every second
// another region.
func (g *Gossiper) Pick(now time.Time, r *rand.Rand) []Peer {
	var near, region, far, lost []Peer
	for _, id := range g.ids() {
		m := g.Members[id]
		if now.Sub(m.Failed) < retryAfter || m.Peer.Leaving || m.Peer.Address == "" {
			continue
		}
		switch {
		case g.State(now, m) == StateGone:
			lost = append(lost, m.Peer)
		case m.Peer.DataCentre == g.Self.DataCentre && m.Peer.Region == g.Self.Region:
			near = append(near, m.Peer)
		case m.Peer.Region == g.Self.Region:
			region = append(region, m.Peer)
		default:
			far = append(far, m.Peer)
		}
	}
	known := len(near) + len(region) + len(far)
	out := sample(r, near, g.options.near)
	regionEvery, farEvery := 3, 4
	if g.hurried {
		regionEvery, farEvery = 1, 2
	}
	out = append(out, sample(r, region, turn(r, regionEvery, len(near) == 0))...)
	out = append(out, sample(r, far, turn(r, farEvery, len(near)+len(region) == 0))...)
	return append(out, sample(r, lost, turn(r, 8, known == 0))...)
}

// turn returns 1 if it is always due, and else 1 in one of every rounds.
func turn(r *rand.Rand, every int, always bool) int {
	if always || r.IntN(every) == 0 {
		return 1
	}
	return 0
}

// sample returns count peers chosen at random.
func sample(r *rand.Rand, peers []Peer, count int) []Peer {
	r.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// ids returns the IDs of the members in order.
func (g *Gossiper) ids() []string {
	out := make([]string, 0, len(g.Members))
	for id := range g.Members {
		out = append(out, id)
	}
	slices.SortFunc(out, strings.Compare)
	return out
}

// heard records that a stream of a member advanced.
func (g *Gossiper) heard(owner string, seen time.Time) {
	m := g.Members[owner]
	m.Peer.ID = owner
	if seen.After(m.Seen) {
		m.Seen = seen
	}
	g.Members[owner] = m
}

// judge drops the stream of an owner that has expired, and returns the entries dropped.
func (g *Gossiper) judge(now time.Time, s *Stream) []Entry {
	m, ok := g.Members[s.Owner]
	if !ok || g.State(now, m) != StateGone {
		return nil
	}
	if !s.Gone {
		return s.lose()
	}
	if now.Sub(s.Seen) > g.options.retention {
		delete(g.Members, s.Owner)
	}
	return nil
}
