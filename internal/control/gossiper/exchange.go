package gossiper

import "time"

// updateBytes and changeBytes are the parts of an update's and an entry's size that do not depend on its strings.
const (
	updateBytes = 24
	changeBytes = 12
)

// newsTime is how long an entry is news.
const newsTime = 5 * time.Second

// Open returns the first message of an exchange with a peer.
func (g *Gossiper) Open(now time.Time, peer Peer) Message {
	return Message{From: g.Self, Digest: pack(nil, g.Digest(peer)...)}
}

// Handle takes a message in and returns the answer and the entries that are new here. Both ends handle the other's
// messages in turn, until one is empty.
func (g *Gossiper) Handle(now time.Time, m Message) (Message, []Entry) {
	out := g.Expire(now)
	out = append(out, g.Merge(now, m.Delta)...)
	if m.From.Address != "" {
		g.Seed([]Peer{m.From})
	}
	marks := unpack(m.Digest)
	reply := Message{From: Peer{ID: g.Self.ID, Region: g.Self.Region}, Delta: g.Delta(now, m.From, marks), Digest: pack(nil, g.wanted(marks)...)}
	return reply, out
}

// Digest returns the marks of the streams that changed lately and of a slice of the others, which moves on each
// round. Streams of the region are left out for a peer of another region. A round of urgent news lists only what changed
// in the fleet's streams, as all urgent topics spread over the fleet.
func (g *Gossiper) Digest(peer Peer) []Mark {
	var out []Mark
	for i, s := range g.Streams {
		if !g.shares(s, peer) || g.hurried && (s.Scope != ScopeFleet || s.Hot == 0) {
			continue
		}
		if s.Hot > 0 || i%g.options.slice == g.Round%g.options.slice {
			out = append(out, s.mark())
		}
	}
	return out
}

// Delta returns what the sender of a digest lacks, within the bound of a message.
func (g *Gossiper) Delta(now time.Time, peer Peer, digest []Mark) []Update {
	var out []Update
	size := 0
	for i := range digest {
		m := digest[(i+g.Round)%len(digest)]
		s, ok := g.hashes[m.ID]
		if !ok || !g.shares(s, peer) || !s.ahead(m) {
			continue
		}
		u := s.update(now, m, g.options.limit-size)
		size += u.size()
		out = append(out, u)
		if size >= g.options.limit {
			break
		}
	}
	return out
}

// Merge takes updates in and returns the entries that are new here, deletions included.
func (g *Gossiper) Merge(now time.Time, delta []Update) []Entry {
	var out []Entry
	for _, u := range delta {
		if !g.named(&u) {
			continue
		}
		if u.Owner == g.Self.ID {
			g.refute(now, u)
			continue
		}
		out = append(out, g.apply(now, u)...)
	}
	return out
}

// named fills in the owner, scope and incarnation of an update that does not name them, and reports whether they are
// known.
func (g *Gossiper) named(u *Update) bool {
	if u.Owner != "" {
		return true
	}
	s, ok := g.hashes[u.ID]
	if ok {
		u.Owner, u.Scope, u.Incarnation = s.Owner, s.Scope, s.Incarnation
	}
	return ok
}

// shares reports whether a peer takes part in a stream.
func (g *Gossiper) shares(s *Stream, peer Peer) bool {
	return s.Scope == ScopeFleet || peer.Region == g.Self.Region
}

// wanted returns the marks of the listed streams of which the other end holds more.
func (g *Gossiper) wanted(digest []Mark) []Mark {
	var out []Mark
	for _, m := range digest {
		s, ok := g.hashes[m.ID]
		switch {
		case m.Whole || m.Version == 0:
		case !ok:
			out = append(out, Mark{ID: m.ID, Whole: true})
		case m.Version > max(s.Version, s.Floor):
			out = append(out, s.mark())
		}
	}
	return out
}

// refute raises the incarnation above one that others remember of this instance from an earlier life.
func (g *Gossiper) refute(now time.Time, u Update) {
	s := g.own(u.Scope)
	if u.Incarnation < s.Incarnation || u.Incarnation == s.Incarnation && u.To <= s.Version {
		return
	}
	g.Incarnation = u.Incarnation + 1
	for _, scope := range []Scope{ScopeFleet, ScopeRegion} {
		g.advance(now, g.own(scope))
	}
}

// apply takes one update in.
func (g *Gossiper) apply(now time.Time, u Update) []Entry {
	s := g.stream(u.Owner, u.Scope)
	if !s.takes(u) {
		return nil
	}
	var out []Entry
	if u.Incarnation > s.Incarnation {
		out = s.drop()
		g.renew(s, u.Incarnation)
	}
	if u.From == 0 && s.Version > 0 {
		out = append(out, s.prune(u)...)
	}
	seen := now.Add(-time.Duration(u.Age) * time.Millisecond)
	for _, c := range u.Entries {
		if c.Version > s.Version {
			out = append(out, g.take(now, s, c))
			g.pressing(c, u.Age)
		}
	}
	s.Version, s.Purged, s.Gone = u.To, max(s.Purged, u.Purged), false
	s.Seen = seen
	s.Hot = g.options.hot
	g.heard(u.Owner, seen)
	return out
}

// pressing lets the next rounds follow each other at once for urgent news, unless the sender has had it for long.
func (g *Gossiper) pressing(c Change, age int64) {
	if time.Duration(age)*time.Millisecond < newsTime {
		g.hurry(c.Topic)
	}
}

// take stores one entry and returns it as told to subscribers.
func (g *Gossiper) take(now time.Time, s *Stream, c Change) Entry {
	h := Held{Version: c.Version, Value: c.Value, Deleted: c.Deleted}
	if c.TTL > 0 {
		h.Expires = now.Add(time.Duration(c.TTL) * time.Millisecond)
	}
	n := Name{c.Topic, c.Key}
	s.Entries[n] = h
	if p, ok := decodePeer(c.Value); ok && c.Topic == TopicMember && c.Key == s.Owner {
		m := g.Members[s.Owner]
		m.Peer = p
		g.Members[s.Owner] = m
	}
	return s.entry(now, n, h)
}

// mark returns the stream's line of a digest.
func (s *Stream) mark() Mark {
	return Mark{ID: s.ID, Version: max(s.Version, s.Floor), Whole: s.Gone}
}

// ahead reports whether the stream holds more than a mark tells.
func (s *Stream) ahead(m Mark) bool {
	return !s.Gone && s.Version > m.Version
}

// takes reports whether an update adds to the stream without a gap.
func (s *Stream) takes(u Update) bool {
	if u.Incarnation != s.Incarnation {
		return u.Incarnation > s.Incarnation && u.From == 0
	}
	return u.From <= s.Version && u.To > max(s.Version, s.Floor)
}

// update returns what follows a mark, within a bound in bytes. A stream that has purged deletions which the mark's
// sender may not know is sent as a whole.
func (s *Stream) update(now time.Time, m Mark, bound int) Update {
	u := Update{ID: s.ID, From: m.Version, To: s.Version, Purged: s.Purged, Age: max(0, now.Sub(s.Seen).Milliseconds())}
	if m.Whole || m.Version < s.Purged {
		u.From = 0
	}
	if u.From == 0 {
		u.Owner, u.Scope, u.Incarnation = s.Owner, s.Scope, s.Incarnation
	}
	u.Entries = s.since(now, u.From)
	if u.From < s.Purged {
		return u
	}
	size := updateBytes
	for i, c := range u.Entries {
		size += c.size()
		if size > bound && i+1 < len(u.Entries) {
			u.Entries, u.To = u.Entries[:i+1], c.Version
			break
		}
	}
	return u
}

// prune drops the entries that a whole stream no longer lists, and returns them.
func (s *Stream) prune(u Update) []Entry {
	listed := map[Name]bool{}
	for _, c := range u.Entries {
		listed[Name{c.Topic, c.Key}] = true
	}
	var out []Entry
	for _, n := range s.names() {
		h := s.Entries[n]
		if listed[n] || h.Version > u.To {
			continue
		}
		delete(s.Entries, n)
		if !h.Deleted {
			out = append(out, s.deleted(n, h))
		}
	}
	return out
}

// size returns the update's size in bytes, nearly.
func (u Update) size() int {
	size := updateBytes + len(u.Owner)
	for _, c := range u.Entries {
		size += c.size()
	}
	return size
}

// size returns the entry's size in bytes, nearly.
func (c Change) size() int {
	return changeBytes + len(c.Topic) + len(c.Key) + len(c.Value)
}
