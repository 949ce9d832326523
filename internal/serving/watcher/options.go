package watcher

import (
	"log/slog"
	"time"
)

// options are the intervals and bounds of a Watcher.
type options struct {
	every         time.Duration
	report        time.Duration
	timeout       time.Duration
	lag           time.Duration
	retention     time.Duration
	direct        int
	subset        int
	watchers      int
	listAllowance int
	loadAllowance int
	clock         func() time.Time
	logger        *slog.Logger
	events        Events
	caches        Caches
}

// Option changes how a Watcher works.
type Option func(*options)

// WithIntervals sets the shortest time between reads of the list, and the time between reads of a load.
func WithIntervals(list, report time.Duration) Option {
	return func(o *options) { o.every, o.report = list, report }
}

// WithTimeout bounds the read of a list or load.
func WithTimeout(d time.Duration) Option {
	return func(o *options) { o.timeout = d }
}

// WithLag sets the longest time by which the list is behind, and how long leaving endpoints are remembered once they
// are listed no more.
func WithLag(lag, retention time.Duration) Option {
	return func(o *options) { o.lag, o.retention = lag, retention }
}

// WithWatchers sets how many instances watch an endpoint, and up to how many endpoints of a region an instance watches
// all by itself.
func WithWatchers(count, direct int) Option {
	return func(o *options) { o.watchers, o.direct = count, direct }
}

// WithSubset sets how many engines this instance routes to, if its region has more.
func WithSubset(count int) Option {
	return func(o *options) { o.subset = count }
}

// WithAllowance sets the bytes a second that reads of the list and reads of loads may take. A longer list, and the loads
// of more endpoints, are read less often.
func WithAllowance(list, loads int) Option {
	return func(o *options) { o.listAllowance, o.loadAllowance = list, loads }
}

// WithClock sets the source of the present time.
func WithClock(now func() time.Time) Option {
	return func(o *options) { o.clock = now }
}

// WithLogger sets the log.
func WithLogger(l *slog.Logger) Option {
	return func(o *options) { o.logger = l }
}

// WithCaches sets where the cache events of the endpoints that this instance watches are read, and what takes them
// in.
func WithCaches(e Events, c Caches) Option {
	return func(o *options) { o.events, o.caches = e, c }
}
