package gossiper

import "time"

// Dump is the state of a Gossiper as shown to operators.
type Dump struct {
	Self        Peer
	Incarnation int64
	Round       int
	Members     []MemberDump
	Streams     []StreamDump
}

// MemberDump is the state of one instance. Silent is the time in seconds since its streams last advanced, or -1 if they
// never did.
type MemberDump struct {
	Peer   Peer
	State  string
	Silent float64
}

// StreamDump is the state of one stream: the entries of one owner and one scope. Entries counts them by topic.
type StreamDump struct {
	Owner       string
	Scope       Scope
	Incarnation int64
	Version     int64
	Gone        bool
	Entries     map[string]int
}

// Dump returns the state at now.
func (g *Gossiper) Dump(now time.Time) Dump {
	d := Dump{Self: g.Self, Incarnation: g.Incarnation, Round: g.Round}
	for _, id := range g.memberIDs() {
		m := g.Members[id]
		silentSeconds := -1.0
		if !m.LastSeenAt.IsZero() {
			silentSeconds = now.Sub(m.LastSeenAt).Seconds()
		}
		d.Members = append(d.Members, MemberDump{Peer: m.Peer, State: g.State(now, m), Silent: silentSeconds})
	}
	for _, s := range g.Streams {
		d.Streams = append(d.Streams, s.dump())
	}
	return d
}

func (s *Stream) dump() StreamDump {
	entries := map[string]int{}
	for n, h := range s.Entries {
		if !h.Deleted {
			entries[n.Topic]++
		}
	}
	return StreamDump{
		Owner: s.Owner, Scope: s.Scope, Incarnation: s.Incarnation, Version: s.Version, Gone: s.OwnerGone, Entries: entries,
	}
}
