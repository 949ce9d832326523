// Package gossiper decides how instances share soft state: versioned entries with one owner each, reconciled by digests
// and deltas. State that needs consensus must not depend on it.
//
// The reconciliation follows van Renesse, Dumitriu, Gough and Thomas, "Efficient Reconciliation and Flow Control for
// Anti-Entropy Protocols" (LADIS 2008): the entries of each owner form a stream ordered by version, a holder has the
// stream up to one version, and a delta cut short is still a prefix of the rest.
package gossiper

import (
	"slices"
	"time"
)

// urgentRoundCount is the number of rounds that forward an urgent change, and urgentSpeedup divides the interval
// between them.
const (
	urgentRoundCount = 3
	urgentSpeedup    = 5
	// maxUrgentBurst is the number of urgent rounds in a row. After that, one is allowed for each usual round: while a
	// large fleet starts, changes come all the time, and each round carries those of many instances.
	maxUrgentBurst = 12
)

// expireInterval is the time between scans for expired entries.
const expireInterval = 500 * time.Millisecond

// EntryName identifies an entry within the stream of its owner.
type EntryName struct {
	Topic string
	Key   string
}

// HeldEntry is an entry as held by one instance. ExpiresAt is zero if the entry lives as long as its owner.
type HeldEntry struct {
	Version   int64
	Value     []byte
	ExpiresAt time.Time
	Deleted   bool
}

// Stream is the entries of one owner and one scope, as far as this instance holds them.
type Stream struct {
	// ID identifies the stream in digests.
	ID          uint64
	Owner       string
	Scope       Scope
	Incarnation int64
	// Version is the version up to which the stream is held.
	Version int64
	// ExpiredVersion is the version that was held when the owner expired.
	ExpiredVersion int64
	// PurgedVersion is the highest version of a deletion that is no longer held.
	PurgedVersion int64
	// AdvancedAt is the last time at which the stream advanced.
	AdvancedAt time.Time
	// HotRounds counts the remaining rounds in which digests list the stream as changed.
	HotRounds int
	// OwnerGone reports whether the owner has expired.
	OwnerGone bool
	Entries   map[EntryName]HeldEntry
}

// streamKey identifies the stream of an owner and a scope over all its incarnations.
type streamKey struct {
	owner string
	scope Scope
}

// Gossiper is the state of one instance. Its zero value is not usable; see New. It is not safe for concurrent use.
type Gossiper struct {
	Self        Peer
	Incarnation int64
	// Streams holds the streams ordered by owner and scope, those of this instance included.
	Streams []*Stream
	// Members holds the other instances, by ID.
	Members map[string]Member
	// Round counts the rounds so far, and UrgentRounds those to come at the shorter interval, as there are urgent
	// changes.
	Round        int
	UrgentRounds int

	byOwner map[streamKey]*Stream
	byID    map[uint64]*Stream
	index   memberIndex
	options options
	// urgentAllowance is the number of urgent rounds that may follow now.
	urgentAllowance int
	// isUrgentRound reports whether the present round is one for urgent changes.
	isUrgentRound bool
	// heartbeatAt holds the times of the last heartbeats by scope, and lastExpireAt is when expired entries were last
	// dropped.
	heartbeatAt  [2]time.Time
	lastExpireAt time.Time
}

// New returns the state of an instance that starts at now. The incarnation is the Unix time of now in milliseconds, so
// that a restarted instance supersedes the state of its earlier run that others hold.
func New(now time.Time, self Peer, settings ...Option) *Gossiper {
	o := defaults
	for _, s := range settings {
		s(&o)
	}
	g := &Gossiper{
		Self:        self,
		Incarnation: now.UnixMilli(),
		Members:     map[string]Member{},
		byOwner:     map[streamKey]*Stream{},
		byID:        map[uint64]*Stream{},
		options:     o,
		heartbeatAt: [2]time.Time{now, now},

		urgentAllowance: maxUrgentBurst,
	}
	g.announceSelf(now)
	g.ownStream(ScopeRegion)
	return g
}

// Put shares a value under a topic and key until ttl has passed, or as long as the instance lives if ttl is 0.
func (g *Gossiper) Put(now time.Time, topic, key string, value []byte, ttl time.Duration) {
	g.setOwnEntry(now, topic, key, HeldEntry{Value: value}, ttl)
}

// Delete deletes a value shared before. The deletion spreads like a value.
func (g *Gossiper) Delete(now time.Time, topic, key string) {
	s := g.ownStream(ScopeOf(topic))
	if _, ok := s.Entries[EntryName{topic, key}]; ok {
		g.setOwnEntry(now, topic, key, HeldEntry{Deleted: true}, g.options.tombstoneTTL)
	}
}

// Leave announces that the instance is leaving.
func (g *Gossiper) Leave(now time.Time) {
	g.Self.Leaving = true
	g.announceSelf(now)
}

// BeginRound begins a round: it advances the heartbeat and drops what has expired. It returns the dropped entries.
func (g *Gossiper) BeginRound(now time.Time) []Entry {
	g.Round++
	g.advanceHeartbeats(now)
	g.isUrgentRound = g.HasUrgentRound()
	if g.isUrgentRound {
		g.UrgentRounds--
		g.urgentAllowance--
		return g.Expire(now)
	}
	g.urgentAllowance = min(g.urgentAllowance+1, maxUrgentBurst)
	for _, s := range g.Streams {
		if s.HotRounds > 0 {
			s.HotRounds--
		}
	}
	return g.Expire(now)
}

// RoundInterval returns the time until the next round, given the usual interval.
func (g *Gossiper) RoundInterval(usual time.Duration) time.Duration {
	if g.HasUrgentRound() {
		return usual / urgentSpeedup
	}
	return usual
}

// HasUrgentRound reports whether the next round is one for urgent changes.
func (g *Gossiper) HasUrgentRound() bool { return g.UrgentRounds > 0 && g.urgentAllowance > 0 }

// startUrgentRounds shortens the interval of the next rounds if a topic is urgent.
func (g *Gossiper) startUrgentRounds(topic string) {
	if urgentTopics[topic] {
		g.UrgentRounds = urgentRoundCount
	}
}

// Expire drops the entries whose time to live is over and those of owners that have expired, and returns them. It does
// nothing if it did so less than expireInterval ago.
func (g *Gossiper) Expire(now time.Time) []Entry {
	if now.Sub(g.lastExpireAt) < expireInterval {
		return nil
	}
	g.lastExpireAt = now
	var out []Entry
	kept := g.Streams[:0]
	for _, s := range g.Streams {
		out = append(out, s.dropExpired(now)...)
		if s.Owner != g.Self.ID {
			out = append(out, g.dropIfOwnerGone(now, s)...)
		}
		if s.OwnerGone && now.Sub(s.AdvancedAt) > g.options.retention {
			delete(g.byOwner, streamKey{s.Owner, s.Scope})
			delete(g.byID, s.ID)
			continue
		}
		kept = append(kept, s)
	}
	clear(g.Streams[len(kept):])
	g.Streams = kept
	return out
}

// Entries returns the held entries of a topic, ordered by owner and key.
func (g *Gossiper) Entries(now time.Time, topic string) []Entry {
	var out []Entry
	scope := ScopeOf(topic)
	for _, s := range g.Streams {
		if s.Scope != scope {
			continue
		}
		for _, n := range s.sortedNames() {
			h := s.Entries[n]
			if n.Topic == topic && !h.Deleted && !h.hasExpired(now) {
				out = append(out, s.toEntry(now, n, h))
			}
		}
	}
	return out
}

// announceSelf shares the description of this instance.
func (g *Gossiper) announceSelf(now time.Time) {
	g.Put(now, TopicMember, g.Self.ID, encodePeer(g.Self), 0)
}

// advanceHeartbeats advances the streams of this instance whose heartbeats are due.
func (g *Gossiper) advanceHeartbeats(now time.Time) {
	for scope, interval := range [...]time.Duration{ScopeFleet: g.options.fleetHeartbeat, ScopeRegion: g.options.regionHeartbeat} {
		if interval > 0 && now.Sub(g.heartbeatAt[scope]) >= interval {
			g.heartbeatAt[scope] = now
			g.advanceStream(now, g.ownStream(Scope(scope)))
		}
	}
}

// setOwnEntry stores an entry of this instance as the newest of its stream.
func (g *Gossiper) setOwnEntry(now time.Time, topic, key string, h HeldEntry, ttl time.Duration) {
	s := g.ownStream(ScopeOf(topic))
	g.advanceStream(now, s)
	g.startUrgentRounds(topic)
	h.Version = s.Version
	if ttl > 0 {
		h.ExpiresAt = now.Add(ttl)
	}
	s.Entries[EntryName{topic, key}] = h
}

// advanceStream raises the version of a stream of this instance.
func (g *Gossiper) advanceStream(now time.Time, s *Stream) {
	s.Version++
	s.AdvancedAt = now
	s.HotRounds = g.options.hotRounds
}

// ownStream returns the stream of this instance for a scope.
func (g *Gossiper) ownStream(scope Scope) *Stream {
	s := g.ensureStream(g.Self.ID, scope)
	if s.Incarnation != g.Incarnation {
		g.setIncarnation(s, g.Incarnation)
	}
	return s
}

// ensureStream returns the stream of an owner, creating it if it is absent.
func (g *Gossiper) ensureStream(owner string, scope Scope) *Stream {
	key := streamKey{owner, scope}
	if s, ok := g.byOwner[key]; ok {
		return s
	}
	s := &Stream{Owner: owner, Scope: scope, Entries: map[EntryName]HeldEntry{}}
	g.byOwner[key] = s
	g.setIncarnation(s, 0)
	i, _ := slices.BinarySearchFunc(g.Streams, s, compareStreams)
	g.Streams = slices.Insert(g.Streams, i, s)
	return s
}

// setIncarnation gives a stream an incarnation and the ID that follows from it.
func (g *Gossiper) setIncarnation(s *Stream, incarnation int64) {
	if g.byID[s.ID] == s {
		delete(g.byID, s.ID)
	}
	s.Incarnation = incarnation
	s.ID = streamHash(s.Owner, s.Scope, incarnation)
	g.byID[s.ID] = s
}

// beginIncarnation begins a later incarnation of a stream at version 0.
func (g *Gossiper) beginIncarnation(s *Stream, incarnation int64) {
	g.setIncarnation(s, incarnation)
	s.Version, s.ExpiredVersion, s.PurgedVersion = 0, 0, 0
}
