package gossiper

import "time"

// options are the intervals and limits of a Gossiper.
type options struct {
	regionHeartbeat time.Duration
	fleetHeartbeat  time.Duration
	suspectAfter    time.Duration
	expireAfter     time.Duration
	retention       time.Duration
	tombstoneTTL    time.Duration
	nearPeers       int
	hotRounds       int
	digestSlices    int
	maxMessageBytes int
}

// defaults are the options of a Gossiper without other settings. They assume one round a second.
var defaults = options{
	regionHeartbeat: 4 * time.Second,
	fleetHeartbeat:  time.Minute,
	suspectAfter:    16 * time.Second,
	expireAfter:     40 * time.Second,
	retention:       2 * time.Hour,
	tombstoneTTL:    time.Minute,
	nearPeers:       1,
	hotRounds:       4,
	digestSlices:    16,
	maxMessageBytes: 16 << 10,
}

// otherRegionFactor is how much longer instances of other regions may be silent, since only the slower heartbeat over
// the fleet reaches them.
const otherRegionFactor = 6

// Option changes an option of a Gossiper.
type Option func(*options)

// WithHeartbeat sets the time between heartbeats within the region and over the whole fleet. 0 sends none.
func WithHeartbeat(region, fleet time.Duration) Option {
	return func(o *options) { o.regionHeartbeat, o.fleetHeartbeat = region, fleet }
}

// WithExpiry sets how long an instance of the same region may be silent before it is suspected and before it is
// considered gone. An instance of another region may be silent six times as long.
func WithExpiry(suspect, expire time.Duration) Option {
	return func(o *options) { o.suspectAfter, o.expireAfter = suspect, expire }
}

// WithRetention sets how long the state of an instance that is gone is kept.
func WithRetention(d time.Duration) Option {
	return func(o *options) { o.retention = d }
}

// WithTombstone sets how long a deletion is kept and listed.
func WithTombstone(d time.Duration) Option {
	return func(o *options) { o.tombstoneTTL = d }
}

// WithNearPeers sets with how many peers of the own data centre a round exchanges.
func WithNearPeers(count int) Option {
	return func(o *options) { o.nearPeers = count }
}

// WithMaxMessageBytes bounds the entries of one message. A message may exceed the bound by one entry, or by one stream
// that has to be sent as a whole.
func WithMaxMessageBytes(bytes int) Option {
	return func(o *options) { o.maxMessageBytes = bytes }
}
