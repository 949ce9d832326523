// Package gossiper decides how instances share soft state: versioned entries with one owner each, reconciled by
// digests and deltas. Nothing that must be agreed rests on it.
//
// The reconciliation follows van Renesse, Dumitriu, Gough and Thomas, "Efficient Reconciliation and Flow Control for
// Anti-Entropy Protocols" (LADIS 2008): each owner's entries form a stream ordered by version, a holder knows the
// stream up to one version, and a delta cut short is still a prefix of the rest.
package gossiper

import (
	"slices"
	"time"
)

// hurryRounds is the number of rounds in which urgent news is passed on, and hurryFactor how much sooner they follow
// each other.
const (
	hurryRounds = 3
	hurryFactor = 5
)

// expireInterval is the time between looks for expired entries.
const expireInterval = 500 * time.Millisecond

// Name identifies an entry within its owner's stream.
type Name struct {
	Topic string
	Key   string
}

// Held is an entry as held by one instance. Expires is zero if the entry lives as long as its owner.
type Held struct {
	Version int64
	Value   []byte
	Expires time.Time
	Deleted bool
}

// Stream is what is held of one owner's entries of one scope.
type Stream struct {
	// ID identifies the stream in digests.
	ID          uint64
	Owner       string
	Scope       Scope
	Incarnation int64
	// Version is the version up to which the stream is known.
	Version int64
	// Floor is the version that was known when the owner expired.
	Floor int64
	// Purged is the highest version of a deletion that is no longer held.
	Purged int64
	// Seen is the last time at which the stream advanced.
	Seen time.Time
	// Hot counts the rounds in which digests still list the stream as changed.
	Hot int
	// Gone is set once the owner has expired.
	Gone    bool
	Entries map[Name]Held
}

// streamID identifies a stream.
type streamID struct {
	owner string
	scope Scope
}

// Gossiper is the state of one instance. Its zero value is not usable; see New. It is not safe for concurrent use.
type Gossiper struct {
	Self        Peer
	Incarnation int64
	// Streams holds the streams in the order of their owners and scopes, the instance's own included.
	Streams []*Stream
	// Members holds the instances known, by ID.
	Members map[string]Member
	// Round counts the rounds, and Hurry those to come that follow each other at once, as there is urgent news.
	Round int
	Hurry int

	index   map[streamID]*Stream
	hashes  map[uint64]*Stream
	options options
	// hurried is set while the present round is one of urgent news.
	hurried bool
	// beaten holds the last heartbeats by scope, and expired is when expired entries were last looked for.
	beaten  [2]time.Time
	expired time.Time
}

// New returns the state of an instance that starts at now. The incarnation is taken from now, so that a restart is
// newer than what others remember.
func New(now time.Time, self Peer, settings ...Option) *Gossiper {
	o := defaults
	for _, s := range settings {
		s(&o)
	}
	g := &Gossiper{
		Self:        self,
		Incarnation: now.UnixMilli(),
		Members:     map[string]Member{},
		index:       map[streamID]*Stream{},
		hashes:      map[uint64]*Stream{},
		options:     o,
		beaten:      [2]time.Time{now, now},
	}
	g.announce(now)
	g.own(ScopeRegion)
	return g
}

// Put shares a value under a topic and key, until ttl has passed or as long as the instance lives if ttl is 0.
func (g *Gossiper) Put(now time.Time, topic, key string, value []byte, ttl time.Duration) {
	g.set(now, topic, key, Held{Value: value}, ttl)
}

// Delete removes a value shared before. The deletion spreads like a value.
func (g *Gossiper) Delete(now time.Time, topic, key string) {
	s := g.own(ScopeOf(topic))
	if _, ok := s.Entries[Name{topic, key}]; ok {
		g.set(now, topic, key, Held{Deleted: true}, g.options.tombstone)
	}
}

// Leave announces that the instance goes.
func (g *Gossiper) Leave(now time.Time) {
	g.Self.Leaving = true
	g.announce(now)
}

// Tick begins a round: it advances the heartbeat and drops what has expired. It returns the entries dropped.
func (g *Gossiper) Tick(now time.Time) []Entry {
	g.Round++
	g.beat(now)
	g.hurried = g.Hurry > 0
	if g.hurried {
		g.Hurry--
		return g.Expire(now)
	}
	for _, s := range g.Streams {
		if s.Hot > 0 {
			s.Hot--
		}
	}
	return g.Expire(now)
}

// Interval returns the time from one round to the next, given the usual one.
func (g *Gossiper) Interval(usual time.Duration) time.Duration {
	if g.Hurry > 0 {
		return usual / hurryFactor
	}
	return usual
}

// hurry lets the next rounds follow each other at once if a topic is urgent.
func (g *Gossiper) hurry(topic string) {
	if urgent[topic] {
		g.Hurry = hurryRounds
	}
}

// Expire drops the entries whose time to live is over and those of owners that have expired, and returns them.
func (g *Gossiper) Expire(now time.Time) []Entry {
	if now.Sub(g.expired) < expireInterval {
		return nil
	}
	g.expired = now
	var out []Entry
	kept := g.Streams[:0]
	for _, s := range g.Streams {
		out = append(out, s.expire(now)...)
		if s.Owner != g.Self.ID {
			out = append(out, g.judge(now, s)...)
		}
		if s.Gone && now.Sub(s.Seen) > g.options.retention {
			delete(g.index, streamID{s.Owner, s.Scope})
			delete(g.hashes, s.ID)
			continue
		}
		kept = append(kept, s)
	}
	clear(g.Streams[len(kept):])
	g.Streams = kept
	return out
}

// Entries returns the entries of a topic that are held, in the order of their owners and keys.
func (g *Gossiper) Entries(now time.Time, topic string) []Entry {
	var out []Entry
	scope := ScopeOf(topic)
	for _, s := range g.Streams {
		if s.Scope != scope {
			continue
		}
		for _, n := range s.names() {
			h := s.Entries[n]
			if n.Topic == topic && !h.Deleted && !h.over(now) {
				out = append(out, s.entry(now, n, h))
			}
		}
	}
	return out
}

// announce shares the instance's own description.
func (g *Gossiper) announce(now time.Time) {
	g.Put(now, TopicMember, g.Self.ID, encodePeer(g.Self), 0)
}

// beat advances the heartbeats of the instance's own streams when they are due.
func (g *Gossiper) beat(now time.Time) {
	for scope, every := range [...]time.Duration{ScopeFleet: g.options.far, ScopeRegion: g.options.beat} {
		if now.Sub(g.beaten[scope]) >= every {
			g.beaten[scope] = now
			g.advance(now, g.own(Scope(scope)))
		}
	}
}

// set writes an own entry as the newest of its stream.
func (g *Gossiper) set(now time.Time, topic, key string, h Held, ttl time.Duration) {
	s := g.own(ScopeOf(topic))
	g.advance(now, s)
	g.hurry(topic)
	h.Version = s.Version
	if ttl > 0 {
		h.Expires = now.Add(ttl)
	}
	s.Entries[Name{topic, key}] = h
}

// advance raises the version of an own stream.
func (g *Gossiper) advance(now time.Time, s *Stream) {
	s.Version++
	s.Seen = now
	s.Hot = g.options.hot
}

// own returns the instance's own stream of a scope.
func (g *Gossiper) own(scope Scope) *Stream {
	s := g.stream(g.Self.ID, scope)
	if s.Incarnation != g.Incarnation {
		g.rename(s, g.Incarnation)
	}
	return s
}

// stream returns the stream of an owner, creating it if it is absent.
func (g *Gossiper) stream(owner string, scope Scope) *Stream {
	id := streamID{owner, scope}
	if s, ok := g.index[id]; ok {
		return s
	}
	s := &Stream{Owner: owner, Scope: scope, Entries: map[Name]Held{}}
	g.index[id] = s
	g.rename(s, 0)
	i, _ := slices.BinarySearchFunc(g.Streams, s, compareStreams)
	g.Streams = slices.Insert(g.Streams, i, s)
	return s
}

// rename gives a stream the ID of an incarnation.
func (g *Gossiper) rename(s *Stream, incarnation int64) {
	if g.hashes[s.ID] == s {
		delete(g.hashes, s.ID)
	}
	s.Incarnation = incarnation
	s.ID = streamHash(s.Owner, s.Scope, incarnation)
	g.hashes[s.ID] = s
}

// renew begins a later incarnation of a stream.
func (g *Gossiper) renew(s *Stream, incarnation int64) {
	g.rename(s, incarnation)
	s.Version, s.Floor, s.Purged = 0, 0, 0
}
