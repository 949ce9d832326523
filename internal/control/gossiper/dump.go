package gossiper

import "time"

// Dump is the state of an exchange as shown to operators.
type Dump struct {
	Self        Peer
	Incarnation int64
	Round       int
	Members     []MemberDump
	Streams     []StreamDump
}

// MemberDump is one instance. Silent is the time since it was last heard of, in seconds, or -1 if it never was.
type MemberDump struct {
	Peer   Peer
	State  string
	Silent float64
}

// StreamDump is what is held of one owner's entries of one scope. Entries counts them by topic.
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
	for _, id := range g.ids() {
		m := g.Members[id]
		silent := -1.0
		if !m.Seen.IsZero() {
			silent = now.Sub(m.Seen).Seconds()
		}
		d.Members = append(d.Members, MemberDump{Peer: m.Peer, State: g.State(now, m), Silent: silent})
	}
	for _, s := range g.Streams {
		d.Streams = append(d.Streams, s.dump())
	}
	return d
}

// dump returns the stream as shown to operators.
func (s *Stream) dump() StreamDump {
	entries := map[string]int{}
	for n, h := range s.Entries {
		if !h.Deleted {
			entries[n.Topic]++
		}
	}
	return StreamDump{
		Owner: s.Owner, Scope: s.Scope, Incarnation: s.Incarnation, Version: s.Version, Gone: s.Gone, Entries: entries,
	}
}
