package exchanger

import (
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

// options are the intervals, limits and dependencies of an Exchanger.
type options struct {
	roundInterval time.Duration
	listInterval  time.Duration
	timeout       time.Duration
	idleTimeout   time.Duration
	maxSessions   int
	messageBytes  int64
	lister        lister.Lister
	serverTLS     *tls.Config
	clientTLS     *tls.Config
	seed          uint64
	logger        *slog.Logger
	scope         tally.Scope
	gossip        []gossiper.Option
}

// Option changes an Exchanger under construction.
type Option func(*options)

// WithInterval sets the time between gossip rounds.
func WithInterval(d time.Duration) Option {
	return func(o *options) { o.roundInterval = d }
}

// WithLister sets the platform's instance list, from which peers are discovered, and the time between reads of it.
func WithLister(l lister.Lister, interval time.Duration) Option {
	return func(o *options) { o.lister, o.listInterval = l, interval }
}

// WithTimeout sets the timeout of a call, its dial included, of a TLS handshake, of a write and of a read of the list.
func WithTimeout(d time.Duration) Option {
	return func(o *options) { o.timeout = d }
}

// WithIdleTimeout sets how long a connection without traffic is kept.
func WithIdleTimeout(d time.Duration) Option {
	return func(o *options) { o.idleTimeout = d }
}

// WithBounds bounds the connections of peers and the bytes of the messages that arrive on them at a time.
func WithBounds(sessions int, messageBytes int64) Option {
	return func(o *options) { o.maxSessions, o.messageBytes = sessions, messageBytes }
}

// WithTLS sets the TLS settings of the listener and of connections to peers. Nil leaves TLS off.
func WithTLS(server, client *tls.Config) Option {
	return func(o *options) { o.serverTLS, o.clientTLS = server, client }
}

// WithSeed sets the seed of the random choice of peers and of the jitter of reads of the list.
func WithSeed(seed uint64) Option {
	return func(o *options) { o.seed = seed }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(o *options) { o.logger = l }
}

// WithMetrics sets the scope of the metrics.
func WithMetrics(s tally.Scope) Option {
	return func(o *options) { o.scope = s }
}

// WithGossip adds options of the gossiper.
func WithGossip(g ...gossiper.Option) Option {
	return func(o *options) { o.gossip = append(o.gossip, g...) }
}

// defaultOptions returns the default options of an Exchanger.
func defaultOptions() options {
	return options{
		roundInterval: time.Second,
		listInterval:  5 * time.Second,
		timeout:       2 * time.Second,
		idleTimeout:   5 * time.Minute,
		maxSessions:   1024,
		messageBytes:  defaultMessageBytes,
		logger:        slog.New(slog.DiscardHandler),
		scope:         tally.NoopScope,
	}
}
