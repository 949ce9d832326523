// Package dispatcher serves the callers' HTTP interface to plain services. Idempotent calls are retried within a retry
// budget; all others run at most once.
package dispatcher

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/retrier"
	"github.com/heatherrock/heatherrock/internal/routing/quarantiner"
)

// Endpoint is one server of a plain service.
type Endpoint struct {
	ID string
	// Address is the host and port to connect to.
	Address string
}

// View reads the active configuration.
type View interface {
	// Service returns a service's record and reports whether there is one.
	Service(name string) (recorder.Service, bool)
	// Fleet returns the fleet-wide limits.
	Fleet() recorder.Fleet
	// Members returns the number of live instances, this one included.
	Members() int
}

// Chooser selects the endpoints of plain services.
type Chooser interface {
	// Choose returns the endpoints that may receive calls of a service, the best first.
	Choose(service string) []Endpoint
	// RecordResult records the result and latency of an attempt at an endpoint.
	RecordResult(endpoint string, failed bool, latency time.Duration)
}

// Identifier maps a request to its team.
type Identifier interface {
	// Team returns the team of an authenticated request.
	Team(r *http.Request) string
}

// Quarantine tracks idempotent calls that crash the endpoints that run them.
type Quarantine interface {
	// Check decides whether a request may run, must wait, runs on trial or is refused.
	Check(now time.Time, f quarantiner.Fingerprint) quarantiner.Ruling
	// BeginTrial begins a trial of a suspected request on endpoints, and reports whether it may begin.
	BeginTrial(now time.Time, f quarantiner.Fingerprint, endpoints []string) bool
	// RecordCrash records that an endpoint closed the connection while it ran a request.
	RecordCrash(now time.Time, f quarantiner.Fingerprint, endpoint string)
	// Clear records that a suspected request ran without a crash.
	Clear(now time.Time, f quarantiner.Fingerprint)
}

// noQuarantine is a Quarantine that suspects no request.
type noQuarantine struct{}

// Check allows every request.
func (noQuarantine) Check(time.Time, quarantiner.Fingerprint) quarantiner.Ruling {
	return quarantiner.Allow
}

// BeginTrial allows every trial.
func (noQuarantine) BeginTrial(time.Time, quarantiner.Fingerprint, []string) bool { return true }

// RecordCrash does nothing.
func (noQuarantine) RecordCrash(time.Time, quarantiner.Fingerprint, string) {}

// Clear does nothing.
func (noQuarantine) Clear(time.Time, quarantiner.Fingerprint) {}

// Defaults of the options.
const (
	defaultTableTimeout    = time.Second
	defaultGroupDelay      = 5 * time.Millisecond
	defaultGroupSize       = 32
	defaultMaxTransactions = 4
	defaultMaxBudgetWait   = 250 * time.Millisecond
	defaultPollInterval    = 50 * time.Millisecond
	defaultSettleTimeout   = 30 * time.Second
	defaultMaxBodyBytes    = 1 << 20
	defaultBreakerFailures = 3
	defaultProbeInterval   = 500 * time.Millisecond
	defaultRetryReserve    = 10
	defaultCollectInterval = time.Minute
	defaultMaxInFlight     = 4096
)

// Dispatcher serves /v1/services/.
type Dispatcher struct {
	owner      string
	view       View
	chooser    Chooser
	identifier Identifier
	quarantine Quarantine
	logger     *slog.Logger
	metrics    tally.Scope
	sender     *Sender
	writer     *writer
	settings   settings

	mu          sync.Mutex
	claims      map[string]*claimer.Claim
	retryStates map[string]*retryState
	counts      Counts
	// inFlight is the number of callers' requests in flight.
	inFlight int
	// claimEnded is closed and replaced when a claim ends.
	claimEnded chan struct{}
	closeOnce  sync.Once
}

// settings are the values set by options.
type settings struct {
	maxBodyBytes  int64
	maxInFlight   int
	pollInterval  time.Duration
	settleTimeout time.Duration
	// collectInterval is the time between searches for expired rows.
	collectInterval time.Duration
	now             func() time.Time
}

// retryState is the retry budget and the hedging state of one service's idempotent calls.
type retryState struct {
	budget retrier.Budget
	hedger retrier.Hedger
}

// Option changes a Dispatcher.
type Option func(*Dispatcher)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(d *Dispatcher) { d.logger = l }
}

// WithSender sets the sender, for example one that connects to services over TLS.
func WithSender(s *Sender) Option {
	return func(d *Dispatcher) { d.sender = s }
}

// WithQuarantine sets the quarantine of requests that crash endpoints.
func WithQuarantine(q Quarantine) Option {
	return func(d *Dispatcher) { d.quarantine = q }
}

// WithMetrics sets the scope in which answers are counted.
func WithMetrics(s tally.Scope) Option {
	return func(d *Dispatcher) { d.metrics = s }
}

// WithMaxBodyBytes bounds the body of a call, in bytes.
func WithMaxBodyBytes(n int64) Option {
	return func(d *Dispatcher) { d.settings.maxBodyBytes = n }
}

// WithMaxInFlight bounds the callers' requests in flight.
func WithMaxInFlight(n int) Option {
	return func(d *Dispatcher) { d.settings.maxInFlight = n }
}

// WithSettleTimeout sets how long, after the caller's deadline, writing a call's result is retried.
func WithSettleTimeout(timeout time.Duration) Option {
	return func(d *Dispatcher) { d.settings.settleTimeout = timeout }
}

// WithCollectInterval sets the time between searches for rows of keys that are older than the retention.
func WithCollectInterval(interval time.Duration) Option {
	return func(d *Dispatcher) { d.settings.collectInterval = interval }
}

// WithTableTimeout sets the timeout of one operation of the table service.
func WithTableTimeout(timeout time.Duration) Option {
	return func(d *Dispatcher) { d.writer.timeout = timeout }
}

// WithGroup sets how long a claim waits for others to share its transaction, and how many may share one.
func WithGroup(delay time.Duration, size int) Option {
	return func(d *Dispatcher) { d.writer.group.Delay, d.writer.group.Size = delay, size }
}

// New returns a dispatcher and starts its writer and its collector. The owner identifies this process and differs after
// a restart. Close must be called.
func New(owner string, t tabler.Table, v View, c Chooser, i Identifier, options ...Option) *Dispatcher {
	d := &Dispatcher{
		owner:       owner,
		view:        v,
		chooser:     c,
		identifier:  i,
		logger:      slog.Default(),
		metrics:     tally.NoopScope,
		quarantine:  noQuarantine{},
		settings:    settings{maxBodyBytes: defaultMaxBodyBytes, maxInFlight: defaultMaxInFlight, pollInterval: defaultPollInterval, settleTimeout: defaultSettleTimeout, collectInterval: defaultCollectInterval, now: time.Now},
		claims:      map[string]*claimer.Claim{},
		retryStates: map[string]*retryState{},
		claimEnded:  make(chan struct{}),
		writer: &writer{
			table:   t,
			timeout: defaultTableTimeout,
			now:     time.Now,
			group: claimer.Group{
				Delay: defaultGroupDelay, Size: defaultGroupSize, Parallel: defaultMaxTransactions, Patience: defaultMaxBudgetWait,
			},
			breaker: claimer.Breaker{Limit: defaultBreakerFailures, Probe: defaultProbeInterval},
			pending: map[int64]*pendingWrite{},
			wake:    make(chan struct{}, 1),
			done:    make(chan struct{}),
		},
	}
	for _, option := range options {
		option(d)
	}
	if d.sender == nil {
		d.sender = NewSender(nil)
	}
	d.writer.logger = d.logger
	d.writer.wait.Add(1)
	go d.writer.loop()
	d.writer.wait.Add(1)
	go d.newCollector().loop()
	return d
}

// newCollector returns the collector that removes the rows of expired keys.
func (d *Dispatcher) newCollector() *collector {
	return &collector{writer: d.writer, view: d.view, logger: d.logger, interval: d.settings.collectInterval}
}

// Register adds the dispatcher's routes to a router.
func (d *Dispatcher) Register(r *mux.Router) {
	r.PathPrefix(pathPrefix + "{service}/").Handler(d)
}

// Drain waits until no claim is in flight or ctx ends. It returns the number of claims still in flight.
func (d *Dispatcher) Drain(ctx context.Context) int {
	for {
		d.mu.Lock()
		n, ended := len(d.claims), d.claimEnded
		d.mu.Unlock()
		if n == 0 {
			return 0
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return n
		}
	}
}

// Close stops the writer and the collector, and closes the idle connections to services. Claims still in flight end as
// if their instance had died: other instances answer that their outcome is unknown.
func (d *Dispatcher) Close() {
	d.closeOnce.Do(func() {
		d.writer.close()
		d.sender.Close()
	})
}

// isClosed reports whether Close was called.
func (d *Dispatcher) isClosed() bool {
	select {
	case <-d.writer.done:
		return true
	default:
		return false
	}
}
