package gossiper

import "time"

// updateBytes and changeBytes are the approximate sizes of an update and of a change without their strings.
const (
	updateBytes = 24
	changeBytes = 12
)

// urgentMaxAge is the age up to which a change of an urgent topic speeds up the next rounds.
const urgentMaxAge = 5 * time.Second

// Open returns the first message of an exchange with a peer.
func (g *Gossiper) Open(now time.Time, peer Peer) Message {
	return Message{From: g.Self, Digest: packDigest(nil, g.Digest(peer)...)}
}

// Handle applies a message and returns the reply and the entries that changed here. Both ends handle the messages of
// the other in turn, until one is empty.
func (g *Gossiper) Handle(now time.Time, m Message) (Message, []Entry) {
	out := g.Expire(now)
	out = append(out, g.Merge(now, m.Delta)...)
	if m.From.Address != "" {
		g.Seed([]Peer{m.From})
	}
	digest := unpackDigest(m.Digest)
	reply := Message{From: Peer{ID: g.Self.ID, Region: g.Self.Region}, Delta: g.Delta(now, m.From, digest), Digest: packDigest(nil, g.wantedStreams(digest)...)}
	return reply, out
}

// Digest returns the digest entries of the streams that changed lately and of a slice of the others, which moves on
// each round. Streams of the region are left out for a peer of another region. A round of urgent changes lists only the
// changed streams of the fleet, as all urgent topics spread over the fleet.
func (g *Gossiper) Digest(peer Peer) []DigestEntry {
	var out []DigestEntry
	for i, s := range g.Streams {
		if !g.sharesWith(s, peer) || g.isUrgentRound && (s.Scope != ScopeFleet || s.HotRounds == 0) {
			continue
		}
		if s.HotRounds > 0 || i%g.options.digestSlices == g.Round%g.options.digestSlices {
			out = append(out, s.digestEntry())
		}
	}
	return out
}

// Delta returns the updates that the sender of a digest lacks, within the size limit of a message.
func (g *Gossiper) Delta(now time.Time, peer Peer, digest []DigestEntry) []Update {
	var out []Update
	size := 0
	for i := range digest {
		e := digest[(i+g.Round)%len(digest)]
		s, ok := g.byID[e.ID]
		if !ok || !g.sharesWith(s, peer) || !s.isAhead(e) {
			continue
		}
		u := s.updateSince(now, e, g.options.maxMessageBytes-size)
		size += u.size()
		out = append(out, u)
		if size >= g.options.maxMessageBytes {
			break
		}
	}
	return out
}

// Merge applies updates and returns the entries that changed here, deletions included.
func (g *Gossiper) Merge(now time.Time, delta []Update) []Entry {
	var out []Entry
	for _, u := range delta {
		if !g.fillStream(&u) {
			continue
		}
		if u.Owner == g.Self.ID {
			g.refute(now, u)
			continue
		}
		out = append(out, g.applyUpdate(now, u)...)
	}
	return out
}

// fillStream fills in the owner, scope and incarnation of an update that does not name them, and reports whether they
// are known.
func (g *Gossiper) fillStream(u *Update) bool {
	if u.Owner != "" {
		return true
	}
	s, ok := g.byID[u.ID]
	if ok {
		u.Owner, u.Scope, u.Incarnation = s.Owner, s.Scope, s.Incarnation
	}
	return ok
}

// sharesWith reports whether a stream is shared with a peer.
func (g *Gossiper) sharesWith(s *Stream, peer Peer) bool {
	return s.Scope == ScopeFleet || peer.Region == g.Self.Region
}

// wantedStreams returns digest entries of the streams of which the other end holds more.
func (g *Gossiper) wantedStreams(digest []DigestEntry) []DigestEntry {
	var out []DigestEntry
	for _, e := range digest {
		s, ok := g.byID[e.ID]
		switch {
		case e.FromStart || e.Version == 0:
		case !ok:
			out = append(out, DigestEntry{ID: e.ID, FromStart: true})
		case e.Version > max(s.Version, s.ExpiredVersion):
			out = append(out, s.digestEntry())
		}
	}
	return out
}

// refute raises the incarnation above one that other instances hold of an earlier run of this instance.
func (g *Gossiper) refute(now time.Time, u Update) {
	s := g.ownStream(u.Scope)
	if u.Incarnation < s.Incarnation || u.Incarnation == s.Incarnation && u.To <= s.Version {
		return
	}
	g.Incarnation = u.Incarnation + 1
	for _, scope := range []Scope{ScopeFleet, ScopeRegion} {
		g.advanceStream(now, g.ownStream(scope))
	}
}

// applyUpdate applies one update and returns the entries that changed.
func (g *Gossiper) applyUpdate(now time.Time, u Update) []Entry {
	s := g.ensureStream(u.Owner, u.Scope)
	if !s.accepts(u) {
		return nil
	}
	var out []Entry
	if u.Incarnation > s.Incarnation {
		out = s.dropAll()
		g.beginIncarnation(s, u.Incarnation)
	}
	if u.From == 0 && s.Version > 0 {
		out = append(out, s.dropUnlisted(u)...)
	}
	advancedAt := now.Add(-time.Duration(u.Age) * time.Millisecond)
	for _, c := range u.Entries {
		if c.Version > s.Version {
			out = append(out, g.storeChange(now, s, c))
			g.speedUpIfUrgent(c, u.Age)
		}
	}
	s.Version, s.PurgedVersion, s.OwnerGone = u.To, max(s.PurgedVersion, u.Purged), false
	s.AdvancedAt = advancedAt
	s.HotRounds = g.options.hotRounds
	g.recordSeen(u.Owner, advancedAt)
	return out
}

// speedUpIfUrgent speeds up the next rounds after an urgent change, unless the sender has held it for longer than
// urgentMaxAge. Age is in milliseconds.
func (g *Gossiper) speedUpIfUrgent(c Change, age int64) {
	if time.Duration(age)*time.Millisecond < urgentMaxAge {
		g.startUrgentRounds(c.Topic)
	}
}

// storeChange stores one change and returns it as an entry for subscribers.
func (g *Gossiper) storeChange(now time.Time, s *Stream, c Change) Entry {
	h := HeldEntry{Version: c.Version, Value: c.Value, Deleted: c.Deleted}
	if c.TTL > 0 {
		h.ExpiresAt = now.Add(time.Duration(c.TTL) * time.Millisecond)
	}
	n := EntryName{c.Topic, c.Key}
	s.Entries[n] = h
	if p, ok := decodePeer(c.Value); ok && c.Topic == TopicMember && c.Key == s.Owner {
		m := g.Members[s.Owner]
		m.Peer = p
		g.setMember(s.Owner, m)
	}
	return s.toEntry(now, n, h)
}

// digestEntry returns the digest entry of the stream.
func (s *Stream) digestEntry() DigestEntry {
	return DigestEntry{ID: s.ID, Version: max(s.Version, s.ExpiredVersion), FromStart: s.OwnerGone}
}

// isAhead reports whether the stream holds more than the sender of a digest entry.
func (s *Stream) isAhead(e DigestEntry) bool {
	return !s.OwnerGone && s.Version > e.Version
}

// accepts reports whether an update extends the stream without a gap.
func (s *Stream) accepts(u Update) bool {
	if u.Incarnation != s.Incarnation {
		return u.Incarnation > s.Incarnation && u.From == 0
	}
	return u.From <= s.Version && u.To > max(s.Version, s.ExpiredVersion)
}

// updateSince returns what follows a digest entry, within a limit in bytes. A stream that has purged deletions which
// the sender of the digest entry may not have received is sent as a whole.
func (s *Stream) updateSince(now time.Time, e DigestEntry, maxBytes int) Update {
	u := Update{ID: s.ID, From: e.Version, To: s.Version, Purged: s.PurgedVersion, Age: max(0, now.Sub(s.AdvancedAt).Milliseconds())}
	if e.FromStart || e.Version < s.PurgedVersion {
		u.From = 0
	}
	if u.From == 0 {
		u.Owner, u.Scope, u.Incarnation = s.Owner, s.Scope, s.Incarnation
	}
	u.Entries = s.changesSince(now, u.From)
	if u.From < s.PurgedVersion {
		return u
	}
	size := updateBytes
	for i, c := range u.Entries {
		size += c.size()
		if size > maxBytes && i+1 < len(u.Entries) {
			u.Entries, u.To = u.Entries[:i+1], c.Version
			break
		}
	}
	return u
}

// dropUnlisted drops the entries that an update with the whole stream no longer lists, and returns those that were not
// yet deleted.
func (s *Stream) dropUnlisted(u Update) []Entry {
	listed := map[EntryName]bool{}
	for _, c := range u.Entries {
		listed[EntryName{c.Topic, c.Key}] = true
	}
	var out []Entry
	for _, n := range s.sortedNames() {
		h := s.Entries[n]
		if listed[n] || h.Version > u.To {
			continue
		}
		delete(s.Entries, n)
		if !h.Deleted {
			out = append(out, s.toDeletedEntry(n, h))
		}
	}
	return out
}

// size returns the approximate size of the update in bytes.
func (u Update) size() int {
	size := updateBytes + len(u.Owner)
	for _, c := range u.Entries {
		size += c.size()
	}
	return size
}

// size returns the approximate size of the change in bytes.
func (c Change) size() int {
	return changeBytes + len(c.Topic) + len(c.Key) + len(c.Value)
}
