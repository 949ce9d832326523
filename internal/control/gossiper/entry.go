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
	// TopicListed carries endpoints that are new on the platform's list.
	TopicListed = "listed"
	// TopicLeaving carries an endpoint that is leaving.
	TopicLeaving = "leaving"
	// TopicQuarantine carries fingerprints of requests that crashed an endpoint.
	TopicQuarantine = "quarantine"
	// TopicLimit carries counters of the teams' usage.
	TopicLimit = "limit"
	// TopicThrottle carries the limit that an endpoint states on its requests.
	TopicThrottle = "throttle"
)

// Scope is the set of instances that an entry spreads to.
type Scope int

// The scopes of entries.
const (
	// ScopeFleet spreads an entry to every instance.
	ScopeFleet Scope = iota
	// ScopeRegion spreads an entry to the instances in the region of its owner.
	ScopeRegion
)

// topicScopes holds the scopes of the topics that do not spread to the whole fleet.
var topicScopes = map[string]Scope{
	TopicEndpoint: ScopeRegion,
	TopicLoad:     ScopeRegion,
	TopicLimit:    ScopeRegion,
	TopicThrottle: ScopeRegion,
}

// urgentTopics holds the topics whose entries are forwarded at once.
var urgentTopics = map[string]bool{
	TopicMember:     true,
	TopicHead:       true,
	TopicLeaving:    true,
	TopicQuarantine: true,
	TopicThrottle:   true,
}

// ScopeOf returns the scope of a topic's entries.
func ScopeOf(topic string) Scope {
	return topicScopes[topic]
}

// Peer is an instance that takes part in the exchange.
type Peer struct {
	ID         string
	Address    string
	DataCentre string
	Region     string
	// Leaving reports whether the instance has announced that it is leaving.
	Leaving bool
}

// Entry is one value that its owner shares. Owner, Topic and Key identify it. Only the owner changes it.
type Entry struct {
	Owner string
	Topic string
	Key   string
	// Incarnation and Version order the owner's entries; Version counts within an incarnation.
	Incarnation int64
	Version     int64
	Value       []byte
	// TTL is the remaining time to live. 0 means that the entry lives as long as its owner.
	TTL time.Duration
	// Deleted is true once the owner has deleted the entry, its time to live is over or the owner is gone.
	Deleted bool
}

// DigestEntry states in a digest how much of a stream the sender holds.
type DigestEntry struct {
	// ID identifies the owner, scope and incarnation of the stream.
	ID uint64
	// Version is the version that the sender holds. It accepts only higher versions.
	Version int64
	// FromStart is true if the sender needs the stream from its start, as it has dropped what it held.
	FromStart bool
}

// Update is the part of one stream that follows version From, up to version To. With From 0 it is the whole stream up
// to To, and names its owner, scope and incarnation.
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

// Change is an entry within an update. TTL is the remaining time to live in milliseconds, or 0 if it has no limit.
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
	// Digest holds encoded digest entries.
	Digest []byte
	Delta  []Update
}

// IsEmpty reports whether the message carries neither digest entries nor updates.
func (m Message) IsEmpty() bool {
	return len(m.Digest) == 0 && len(m.Delta) == 0
}
