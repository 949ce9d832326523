package gossiper

import "time"

// options are the intervals and bounds of an exchange.
type options struct {
	beat      time.Duration
	far       time.Duration
	suspect   time.Duration
	expire    time.Duration
	retention time.Duration
	tombstone time.Duration
	near      int
	hot       int
	slice     int
	limit     int
}

// defaults are the options of a Gossiper unless given otherwise. Rounds are a second apart.
var defaults = options{
	beat:      4 * time.Second,
	far:       time.Minute,
	suspect:   16 * time.Second,
	expire:    40 * time.Second,
	retention: 2 * time.Hour,
	tombstone: time.Minute,
	near:      1,
	hot:       4,
	slice:     16,
	limit:     16 << 10,
}

// farFactor is how much longer instances of other regions may be silent: they are heard of by slower heartbeats.
const farFactor = 6

// Option changes how a Gossiper works.
type Option func(*options)

// WithBeat sets the time between heartbeats within the region and over the whole fleet.
func WithBeat(region, fleet time.Duration) Option {
	return func(o *options) { o.beat, o.far = region, fleet }
}

// WithExpiry sets how long an instance of the same region may be silent before it is suspected and before it is taken
// as gone. One of another region may be silent six times as long.
func WithExpiry(suspect, expire time.Duration) Option {
	return func(o *options) { o.suspect, o.expire = suspect, expire }
}

// WithRetention sets how long an instance that is gone is remembered.
func WithRetention(d time.Duration) Option {
	return func(o *options) { o.retention = d }
}

// WithTombstone sets how long a deletion is listed.
func WithTombstone(d time.Duration) Option {
	return func(o *options) { o.tombstone = d }
}

// WithNear sets how many peers of the own data centre a round exchanges with.
func WithNear(count int) Option {
	return func(o *options) { o.near = count }
}

// WithLimit bounds the entries of one message, in bytes. A message may pass the bound by one entry, or by one stream
// that has to be sent as a whole.
func WithLimit(bytes int) Option {
	return func(o *options) { o.limit = bytes }
}
