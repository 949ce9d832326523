package watcher

import (
	"log/slog"
	"time"
)

// options are the intervals and limits of a Watcher.
type options struct {
	listInterval        time.Duration
	reportInterval      time.Duration
	timeout             time.Duration
	maxListLag          time.Duration
	retention           time.Duration
	maxDirect           int
	maxEngines          int
	watchersPerEndpoint int
	listBytesPerSecond  int
	loadBytesPerSecond  int
	clock               func() time.Time
	logger              *slog.Logger
	eventReader         CacheEventReader
	cacheObserver       CacheObserver
}

// Option changes how a Watcher works.
type Option func(*options)

// WithIntervals sets the minimum times between reads of the list and between reads of one endpoint's load.
func WithIntervals(list, report time.Duration) Option {
	return func(o *options) { o.listInterval, o.reportInterval = list, report }
}

// WithTimeout sets the timeout of one read of the list or of a load.
func WithTimeout(d time.Duration) Option {
	return func(o *options) { o.timeout = d }
}

// WithListLag sets the maximum lag of the list, and how long the mark of a leaving endpoint is kept after the list stops
// showing it.
func WithListLag(lag, retention time.Duration) Option {
	return func(o *options) { o.maxListLag, o.retention = lag, retention }
}

// WithWatchers sets how many instances watch an endpoint, and the largest number of engines in a region for which each
// instance watches all of them itself.
func WithWatchers(count, maxDirect int) Option {
	return func(o *options) { o.watchersPerEndpoint, o.maxDirect = count, maxDirect }
}

// WithMaxEngines sets the number of engines that this instance routes to if its region has more.
func WithMaxEngines(count int) Option {
	return func(o *options) { o.maxEngines = count }
}

// WithMaxBytesPerSecond limits the rates of reads of the list and of reads of loads, each in bytes per second. A longer
// list, and the loads of more endpoints, are read less often.
func WithMaxBytesPerSecond(list, loads int) Option {
	return func(o *options) { o.listBytesPerSecond, o.loadBytesPerSecond = list, loads }
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(o *options) { o.clock = now }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(o *options) { o.logger = l }
}

// WithCacheEvents sets the reader of the watched endpoints' cache events and their observer. Without it no cache events
// are read.
func WithCacheEvents(e CacheEventReader, c CacheObserver) Option {
	return func(o *options) { o.eventReader, o.cacheObserver = e, c }
}
