// Package dispatcher serves the callers' interface to plain services: idempotent calls are repeated within a budget,
// the others run at most once.
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

// View is the configuration in force.
type View interface {
	// Service returns the body of a service's record and whether there is one.
	Service(name string) (recorder.Service, bool)
	// Fleet returns the limits of the fleet.
	Fleet() recorder.Fleet
	// Members counts the live instances, this one included.
	Members() int
}

// Chooser chooses the endpoints of plain services.
type Chooser interface {
	// Choose returns the endpoints that may get work of a service, the best first.
	Choose(service string) []Endpoint
	// Report tells how an attempt on an endpoint went.
	Report(endpoint string, failed bool, latency time.Duration)
}

// Identifier knows which team a request comes from.
type Identifier interface {
	// Team returns the team of a request that was let in.
	Team(r *http.Request) string
}

// Quarantine knows the lookups that crash what runs them.
type Quarantine interface {
	// Check says how a request may run.
	Check(now time.Time, f quarantiner.Fingerprint) quarantiner.Ruling
	// Open begins a trial of a suspect on endpoints, and reports whether it may begin.
	Open(now time.Time, f quarantiner.Fingerprint, endpoints []string) bool
	// Crash tells that an endpoint broke off while it ran a request.
	Crash(now time.Time, f quarantiner.Fingerprint, endpoint string)
	// Clear tells that a suspect ran.
	Clear(now time.Time, f quarantiner.Fingerprint)
}

// unguarded holds no request suspect.
type unguarded struct{}

// Check allows every request.
func (unguarded) Check(time.Time, quarantiner.Fingerprint) quarantiner.Ruling {
	return quarantiner.Allow
}

// Open allows every trial.
func (unguarded) Open(time.Time, quarantiner.Fingerprint, []string) bool { return true }

// Crash does nothing.
func (unguarded) Crash(time.Time, quarantiner.Fingerprint, string) {}

// Clear does nothing.
func (unguarded) Clear(time.Time, quarantiner.Fingerprint) {}

// Defaults of the options.
const (
	defaultTimeout  = time.Second
	defaultDelay    = 5 * time.Millisecond
	defaultSize     = 32
	defaultParallel = 4
	defaultPatience = 250 * time.Millisecond
	defaultPoll     = 50 * time.Millisecond
	defaultSettle   = 30 * time.Second
	defaultBody     = 1 << 20
	defaultFailures = 3
	defaultProbe    = 500 * time.Millisecond
	defaultReserve  = 10
	defaultCollect  = time.Minute
	defaultFlight   = 4096
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

	mu     sync.Mutex
	claims map[string]*claimer.Claim
	calls  map[string]*repeats
	counts Counts
	// inFlight counts the requests of callers in flight.
	inFlight int
	// left is closed and replaced when a claim ends.
	left  chan struct{}
	close sync.Once
}

// settings are what the options set.
type settings struct {
	body   int64
	flight int
	poll   time.Duration
	settle time.Duration
	// collect is the time between looks for old rows.
	collect time.Duration
	now     func() time.Time
}

// repeats are the decisions about the repeats of one service's idempotent calls.
type repeats struct {
	budget retrier.Budget
	hedger retrier.Hedger
}

// Option changes a Dispatcher.
type Option func(*Dispatcher)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(d *Dispatcher) { d.logger = l }
}

// WithSender sets the sender, for services that are reached over TLS.
func WithSender(s *Sender) Option {
	return func(d *Dispatcher) { d.sender = s }
}

// WithQuarantine sets what is known of requests that crash endpoints.
func WithQuarantine(q Quarantine) Option {
	return func(d *Dispatcher) { d.quarantine = q }
}

// WithMetrics sets where answers are counted.
func WithMetrics(s tally.Scope) Option {
	return func(d *Dispatcher) { d.metrics = s }
}

// WithBody bounds the body of a call, in bytes.
func WithBody(n int64) Option {
	return func(d *Dispatcher) { d.settings.body = n }
}

// WithFlight bounds the callers' requests in flight.
func WithFlight(n int) Option {
	return func(d *Dispatcher) { d.settings.flight = n }
}

// WithSettle sets how long a call's result is tried to be written down.
func WithSettle(t time.Duration) Option {
	return func(d *Dispatcher) { d.settings.settle = t }
}

// WithCollect sets the time between looks for rows of keys that are older than the retention.
func WithCollect(d time.Duration) Option {
	return func(o *Dispatcher) { o.settings.collect = d }
}

// WithTable sets the timeout of one operation of the table service.
func WithTable(timeout time.Duration) Option {
	return func(d *Dispatcher) { d.writer.timeout = timeout }
}

// WithGroup sets how long a claim waits for others to share its transaction, and how many share one.
func WithGroup(delay time.Duration, size int) Option {
	return func(d *Dispatcher) { d.writer.group.Delay, d.writer.group.Size = delay, size }
}

// New returns a dispatcher and starts its writer. The owner names this process and differs after a restart. Close
// must be called.
func New(owner string, t tabler.Table, v View, c Chooser, i Identifier, options ...Option) *Dispatcher {
	d := &Dispatcher{
		owner:      owner,
		view:       v,
		chooser:    c,
		identifier: i,
		logger:     slog.Default(),
		metrics:    tally.NoopScope,
		quarantine: unguarded{},
		settings:   settings{body: defaultBody, flight: defaultFlight, poll: defaultPoll, settle: defaultSettle, collect: defaultCollect, now: time.Now},
		claims:     map[string]*claimer.Claim{},
		calls:      map[string]*repeats{},
		left:       make(chan struct{}),
		writer: &writer{
			table:   t,
			timeout: defaultTimeout,
			now:     time.Now,
			group: claimer.Group{
				Delay: defaultDelay, Size: defaultSize, Parallel: defaultParallel, Patience: defaultPatience,
			},
			breaker: claimer.Breaker{Limit: defaultFailures, Probe: defaultProbe},
			tickets: map[int64]*ticket{},
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
	go d.collector().loop()
	return d
}

// collector returns the part that removes the rows of old keys.
func (d *Dispatcher) collector() *collector {
	return &collector{writer: d.writer, view: d.view, logger: d.logger, every: d.settings.collect}
}

// Register adds the dispatcher's routes.
func (d *Dispatcher) Register(r *mux.Router) {
	r.PathPrefix(prefix + "{service}/").Handler(d)
}

// Drain waits until no claim is in flight, or until ctx ends. It returns the number of those left.
func (d *Dispatcher) Drain(ctx context.Context) int {
	for {
		d.mu.Lock()
		n, left := len(d.claims), d.left
		d.mu.Unlock()
		if n == 0 {
			return 0
		}
		select {
		case <-left:
		case <-ctx.Done():
			return n
		}
	}
}

// Close stops the writer. Claims still in flight end as if their instance had died: others answer that their outcome
// is unknown.
func (d *Dispatcher) Close() {
	d.close.Do(func() {
		d.writer.close()
		d.sender.Close()
	})
}

// closed reports whether Close was called.
func (d *Dispatcher) closed() bool {
	select {
	case <-d.writer.done:
		return true
	default:
		return false
	}
}
