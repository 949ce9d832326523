package gossiper

import "time"

// The topics of entries.
const (
	// TopicMember describes an instance; the key is its ID and the value a Peer.
	TopicMember = "member"
	// TopicHead carries the head of the configuration.
	TopicHead = "head"
	// TopicEndpoint describes an endpoint: what it holds and where it is.
	TopicEndpoint = "endpoint"
	// TopicLoad carries an endpoint's quantised load.
	TopicLoad = "load"
	// TopicListed carries endpoints that the platform's list shows anew.
	TopicListed = "listed"
	// TopicLeaving names an endpoint that is leaving.
	TopicLeaving = "leaving"
	// TopicQuarantine carries fingerprints of requests that crashed an endpoint.
	TopicQuarantine = "quarantine"
	// TopicLimit carries counters of the teams' use.
	TopicLimit = "limit"
)

// Scope is how far an entry spreads from its owner.
type Scope int

// The scopes of entries.
const (
	// ScopeFleet spreads an entry to every instance.
	ScopeFleet Scope = iota
	// ScopeRegion spreads an entry within the region of its owner.
	ScopeRegion
)

// scopes holds the topics that do not spread over the whole fleet.
var scopes = map[string]Scope{
	TopicEndpoint: ScopeRegion,
	TopicLoad:     ScopeRegion,
	TopicLimit:    ScopeRegion,
}

// urgent holds the topics whose entries are passed on at once.
var urgent = map[string]bool{
	TopicMember:     true,
	TopicHead:       true,
	TopicLeaving:    true,
	TopicQuarantine: true,
}

// ScopeOf returns the scope of a topic's entries.
func ScopeOf(topic string) Scope {
	return scopes[topic]
}

// Peer is an instance that takes part in the exchange.
type Peer struct {
	ID         string
	Address    string
	DataCentre string
	Region     string
	// Leaving is set once the instance has announced that it goes.
	Leaving bool
}

// Entry is one value that its owner shares. Owner, Topic and Key identify it; only the owner changes it.
type Entry struct {
	Owner string
	Topic string
	Key   string
	// Incarnation and Version order the owner's entries; Version counts within an incarnation.
	Incarnation int64
	Version     int64
	Value       []byte
	// TTL is the time left to live; 0 means as long as the owner.
	TTL time.Duration
	// Deleted is set once the owner has removed the entry, its time to live is over or the owner is gone.
	Deleted bool
}

// Mark is one line of a digest: how much of a stream the sender holds.
type Mark struct {
	// ID identifies the owner, scope and incarnation of the stream.
	ID uint64
	// Version is the version that the sender holds. Nothing at or below it is taken.
	Version int64
	// Whole is set if the sender needs the stream from its start, as it has dropped what it held.
	Whole bool
}

// Update is the part of one stream that follows From, up to To. With From 0 it is the whole stream up to To, and names
// its owner, scope and incarnation.
type Update struct {
	ID          uint64
	Owner       string
	Scope       Scope
	Incarnation int64
	From        int64
	To          int64
	// Purged is the highest version of a deletion that is no longer listed.
	Purged int64
	// Age is the time since the stream last advanced at the sender, in milliseconds.
	Age     int64
	Entries []Change
}

// Change is an entry within an update. TTL is the time left to live in milliseconds.
type Change struct {
	Topic   string
	Key     string
	Version int64
	Value   []byte
	TTL     int64
	Deleted bool
}

// Message is what one instance sends to another in an exchange.
type Message struct {
	// From is the sender. Only the first message of an exchange describes it in full.
	From Peer
	// Digest holds packed marks.
	Digest []byte
	Delta  []Update
}

// Empty reports whether the message tells and asks nothing.
func (m Message) Empty() bool {
	return len(m.Digest) == 0 && len(m.Delta) == 0
}
