package exchanger

import (
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

// options are the intervals, bounds and sources of an Exchanger.
type options struct {
	interval time.Duration
	list     time.Duration
	timeout  time.Duration
	idle     time.Duration
	sessions int
	lister   lister.Lister
	server   *tls.Config
	client   *tls.Config
	seed     uint64
	logger   *slog.Logger
	scope    tally.Scope
	gossip   []gossiper.Option
}

// Option changes how an Exchanger works.
type Option func(*options)

// WithInterval sets the time between rounds.
func WithInterval(d time.Duration) Option {
	return func(o *options) { o.interval = d }
}

// WithLister sets the platform's instance list, from which peers are learnt, and the time between reads of it.
func WithLister(l lister.Lister, every time.Duration) Option {
	return func(o *options) { o.lister, o.list = l, every }
}

// WithTimeout bounds a call whose context has no deadline, and a dial.
func WithTimeout(d time.Duration) Option {
	return func(o *options) { o.timeout = d }
}

// WithIdle sets how long a connection without traffic is kept.
func WithIdle(d time.Duration) Option {
	return func(o *options) { o.idle = d }
}

// WithTLS sets the TLS settings of the listener and of connections to peers. Nil leaves TLS off.
func WithTLS(server, client *tls.Config) Option {
	return func(o *options) { o.server, o.client = server, client }
}

// WithSeed sets the seed of the choice of peers.
func WithSeed(seed uint64) Option {
	return func(o *options) { o.seed = seed }
}

// WithLogger sets the log.
func WithLogger(l *slog.Logger) Option {
	return func(o *options) { o.logger = l }
}

// WithMetrics sets the scope of the metrics.
func WithMetrics(s tally.Scope) Option {
	return func(o *options) { o.scope = s }
}

// WithGossip sets options of the decisions on soft state.
func WithGossip(g ...gossiper.Option) Option {
	return func(o *options) { o.gossip = append(o.gossip, g...) }
}

// defaults returns the options of an Exchanger unless given otherwise.
func defaults() options {
	return options{
		interval: time.Second,
		list:     5 * time.Second,
		timeout:  2 * time.Second,
		idle:     5 * time.Minute,
		sessions: 1024,
		logger:   slog.New(slog.DiscardHandler),
		scope:    tally.NoopScope,
	}
}
