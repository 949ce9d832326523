// Package forwarder passes callers' requests on to endpoints, and their answers back, without reading either's body. It
// serves routes of the operator's configuration: plain calls, and streams of events by an engine whose layers lie on
// several endpoints.
package forwarder

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/uber-go/tally/v4"

	"github.com/heatherrock/heatherrock/internal/routing/limiter"
	"github.com/heatherrock/heatherrock/internal/routing/matcher"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/routing/selector"
	"github.com/heatherrock/heatherrock/internal/serving/connector"
)

// Endpoint is an endpoint of any service as the discovery tells it.
type Endpoint struct {
	reserver.Endpoint
	Service string
}

// Forwarder is the callers' interface of one instance. Its methods may be called from any goroutine.
type Forwarder struct {
	protocol Protocol
	pool     *connector.Pool
	log      *slog.Logger
	clock    func() time.Time
	scope    tally.Scope
	recorder *recorder
	centre   string
	prober   Prober

	config  atomic.Pointer[matcher.Configuration]
	leaving atomic.Bool
	flight  atomic.Int64

	mu         sync.Mutex
	plain      *selector.Selector
	allocators map[string]*Allocator
	// windows hold the budgets for sending requests again, by service.
	windows map[string]*limiter.RetryWindow
	// instances is the number of instances known, this one included.
	instances int
	budget    Budget
	begun     time.Time
	random    *rand.Rand
}

// Option changes a Forwarder under construction.
type Option func(*Forwarder)

// WithLog sets the log.
func WithLog(l *slog.Logger) Option { return func(f *Forwarder) { f.log = l } }

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option { return func(f *Forwarder) { f.clock = clock } }

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(f *Forwarder) { f.scope = s } }

// Budget bounds the requests that the fleet sends again to a service within a window: a share of those for it, and a number
// besides.
type Budget struct {
	Share  float64
	Slack  float64
	Window time.Duration
}

// defaultBudget is the budget unless the settings give one.
var defaultBudget = Budget{Share: 0.1, Slack: 10, Window: 10 * time.Second}

// WithBudget sets the fleet's budget for sending requests again.
func WithBudget(b Budget) Option { return func(f *Forwarder) { f.budget = b } }

// Prober asks an endpoint whether it is there.
type Prober interface {
	Probe(ctx context.Context, endpoint, address string) error
}

// WithProber sets what asks endpoints whose streams stopped together whether they are there. Without one, all of them count
// as dead.
func WithProber(p Prober) Option { return func(f *Forwarder) { f.prober = p } }

// WithSeed sets the seed of random choices.
func WithSeed(seed uint64) Option {
	return func(f *Forwarder) { f.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a forwarder of an instance in a data centre. It answers that it is not ready until it has a configuration.
func New(p Protocol, centre string, options ...Option) *Forwarder {
	f := &Forwarder{
		protocol:   p,
		pool:       connector.New(),
		log:        slog.New(slog.DiscardHandler),
		clock:      time.Now,
		scope:      tally.NoopScope,
		centre:     centre,
		plain:      selector.New(),
		allocators: map[string]*Allocator{},
		windows:    map[string]*limiter.RetryWindow{},
		budget:     defaultBudget,
		random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range options {
		o(f)
	}
	f.begun = f.clock()
	f.recorder = newRecorder(f.scope)
	return f
}

// Configure puts a configuration in force. Requests that have begun keep theirs.
func (f *Forwarder) Configure(c *matcher.Configuration) {
	f.config.Store(c)
}

// Configuration returns the configuration in force; nil if there is none yet.
func (f *Forwarder) Configuration() *matcher.Configuration {
	return f.config.Load()
}

// Leave makes each further answer close its connection.
func (f *Forwarder) Leave() { f.leaving.Store(true) }

// Flight returns the number of requests in progress.
func (f *Forwarder) Flight() int64 { return f.flight.Load() }

// Close closes the idle connections to endpoints.
func (f *Forwarder) Close() { f.pool.Close() }

// Update takes in all endpoints.
func (f *Forwarder) Update(now time.Time, endpoints []Endpoint) {
	c := f.config.Load()
	if c == nil {
		return
	}
	byService := map[string][]reserver.Endpoint{}
	known := map[string]bool{}
	f.mu.Lock()
	for _, e := range endpoints {
		byService[e.Service] = append(byService[e.Service], e.Endpoint)
		if s, ok := c.Services[e.Service]; ok && s.Engine == nil {
			known[e.ID] = true
			f.plain.Observe(now, e.ID, e.Address, e.Service)
			if e.Leaving {
				f.plain.MarkLeaving(now, e.ID)
			}
		}
	}
	for id := range f.plain.Servers {
		if !known[id] {
			f.plain.Remove(now, id)
		}
	}
	f.mu.Unlock()
	for name, s := range c.Services {
		if s.Engine != nil {
			f.Allocator(name).Update(now, s.Engine, byService[name])
		}
	}
}

// Allocator returns the allocator of a service that generates.
func (f *Forwarder) Allocator(service string) *Allocator {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.allocators[service]
	if !ok {
		a = NewAllocator(f.centre, rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64())))
		a.clock = f.clock
		if f.prober != nil {
			a.probe = f.alive
		}
		f.allocators[service] = a
	}
	return a
}

// probeTime bounds a probe. An endpoint that is there answers within a few milliseconds, and a pause of 200 ms counts as long.
const probeTime = 50 * time.Millisecond

// alive reports whether an endpoint answers a probe.
func (f *Forwarder) alive(id, address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	begun := f.clock()
	err := f.prober.Probe(ctx, id, address)
	f.log.Info("endpoint asked", "endpoint", id, "address", address, "answers", err == nil, "took", f.clock().Sub(begun).Seconds())
	return err == nil
}

// Allocators returns the allocators by service.
func (f *Forwarder) Allocators() map[string]*Allocator {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]*Allocator, len(f.allocators))
	for name, a := range f.allocators {
		out[name] = a
	}
	return out
}

// Covered reports whether each service that generates has a path through all layers.
func (f *Forwarder) Covered(now time.Time) bool {
	c := f.config.Load()
	if c == nil {
		return false
	}
	for name, s := range c.Services {
		if s.Engine != nil && !f.Allocator(name).Covered(now) {
			return false
		}
	}
	return true
}

// Lose takes in that the process of an endpoint has ended: streams through it move at once.
func (f *Forwarder) Lose(now time.Time, endpoint string) {
	for _, a := range f.Allocators() {
		a.Lose(now, endpoint)
		a.Check(now)
	}
}

// Check looks for streams that have gone silent.
func (f *Forwarder) Check(now time.Time) {
	for _, a := range f.Allocators() {
		a.Check(now)
	}
}

// choose returns the endpoints of a plain service, the best first.
func (f *Forwarder) choose(now time.Time, service string) []selector.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plain.Choose(now, service, f.random)
}

// report takes in how a call to an endpoint of a plain service went.
func (f *Forwarder) report(now time.Time, id string, failed bool, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plain.RecordResult(now, id, failed, took)
}

// window returns the budget of a service, counted from this forwarder's start. The lock is held.
func (f *Forwarder) window(now time.Time, service string) *limiter.RetryWindow {
	w, ok := f.windows[service]
	if !ok {
		w = limiter.NewRetryWindow(f.begun, f.budget.Share, f.budget.Slack, f.budget.Window)
		w.Random = f.random.Float64 // The lock guards it as well.
		w.MergeTally(now, limiter.Tally{}, f.instances)
		f.windows[service] = w
	}
	return w
}

// request counts a request for a service.
func (f *Forwarder) request(now time.Time, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.window(now, service).RecordRequest(now)
}

// repeat reports whether the budget allows to send a request to a service again, and counts it if so.
func (f *Forwarder) repeat(now time.Time, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.window(now, service).AllowRetry(now)
}

// Sent returns what this instance has sent to each service over the window of the budget.
func (f *Forwarder) Sent(now time.Time) map[string]limiter.Tally {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]limiter.Tally, len(f.windows))
	for service, w := range f.windows {
		out[service] = w.OwnTally(now)
	}
	return out
}

// Left returns how many requests this instance may send again at now, by service.
func (f *Forwarder) Left(now time.Time) map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]float64, len(f.windows))
	for service, w := range f.windows {
		out[service] = max(0, w.RetriesLeft(now))
	}
	return out
}

// MergeSent takes in what the other instances have sent to each service, and how many instances are known.
func (f *Forwarder) MergeSent(now time.Time, others map[string]limiter.Tally, instances int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = instances
	for service := range others {
		f.window(now, service)
	}
	for service, w := range f.windows {
		w.MergeTally(now, others[service], instances)
	}
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.flight.Add(1)
	defer f.flight.Add(-1)
	now := f.clock()
	// The connection may have the deadline of an earlier request.
	if err := http.NewResponseController(w).SetWriteDeadline(now.Add(defaultTimeout)); err != nil {
		f.log.Warn("no deadline for the answer", "error", err)
	}
	// net/http goes by the chunks of a request that has a length too, and does not tell. What follows on the connection may be
	// part of the body to the caller, so nothing more is read from it.
	if f.leaving.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	c := f.config.Load()
	if c == nil {
		f.refuse(w, now, refusal{Status: http.StatusServiceUnavailable, Reason: "no configuration", After: time.Second}, "")
		return
	}
	q, err := f.protocol.Decode(r)
	if err != nil {
		f.refuse(w, now, refusal{Status: http.StatusBadRequest, Reason: err.Error()}, q.ID)
		return
	}
	route, team, verdict := c.Admit(r.Host, r.URL.EscapedPath(), q.Credential)
	switch verdict {
	case matcher.NoRoute:
		f.refuse(w, now, refusal{Status: http.StatusNotFound, Reason: "no route"}, q.ID)
		return
	case matcher.NoCredential:
		f.refuse(w, now, refusal{Status: http.StatusUnauthorized, Reason: "unknown credential"}, q.ID)
		return
	}
	body, err := readBody(now, w, r, c.Limits)
	if err != nil {
		f.refuse(w, now, bodyRefusal(err), q.ID)
		return
	}
	call := newCall(f, w, r, now, c, q, route, team, body)
	defer call.end()
	if e := c.Services[call.service].Engine; e != nil && route.Kind == matcher.Stream {
		call.stream(e)
		return
	}
	call.plain()
}

// readBody reads a request's body within the limits.
func readBody(now time.Time, w http.ResponseWriter, r *http.Request, l matcher.Limits) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	reader := r.Body
	if l.MaxBodyBytes > 0 {
		reader = http.MaxBytesReader(w, r.Body, l.MaxBodyBytes)
	}
	connection := http.NewResponseController(w)
	if err := connection.SetReadDeadline(now.Add(bodyTime)); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(reader)
	if err != nil {
		return nil, err
	}
	// The server goes on reading, to notice that the caller leaves.
	return body, connection.SetReadDeadline(time.Time{})
}

// bodyTime bounds the reading of a body: the largest that a caller may send takes under a second on its link.
const bodyTime = 10 * time.Second

// errSlow is the error of a body that was not read.
var errSlow = merry.New("body not read")

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(err error) refusal {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body too large"}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refusal{Status: http.StatusRequestTimeout, Reason: "body too slow"}
	}
	return refusal{Status: http.StatusBadRequest, Reason: merry.Prepend(errSlow, err.Error()).Error()}
}

// gone reports whether a caller has left.
func gone(ctx context.Context) bool { return ctx.Err() != nil }
