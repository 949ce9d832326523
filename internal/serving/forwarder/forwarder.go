// Package forwarder is the proxy between callers and endpoints: it passes on requests and responses without parsing
// either's body. It serves the routes of the operator's configuration: plain calls, and streams of events from an
// engine whose layers are spread over several endpoints.
package forwarder

import (
	"context"
	"errors"
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
	"github.com/heatherrock/heatherrock/internal/routing/screener"
	"github.com/heatherrock/heatherrock/internal/routing/selector"
	"github.com/heatherrock/heatherrock/internal/serving/connector"
)

// Endpoint is an endpoint of any service as service discovery lists it.
type Endpoint struct {
	reserver.Endpoint
	Service string
	// Slots is the number of calls that an endpoint of a plain service runs at once, 0 if it is not stated.
	Slots int
}

// Forwarder is the HTTP handler for the callers of one instance. Its methods may be called from any goroutine.
type Forwarder struct {
	protocol   Protocol
	pool       *connector.Pool
	log        *slog.Logger
	clock      func() time.Time
	scope      tally.Scope
	recorder   *recorder
	dataCentre string
	prober     Prober

	config atomic.Pointer[matcher.Configuration]
	// leave is nil until the instance leaves. The context ending ends when the requests in progress are ended.
	leave       atomic.Pointer[Leave]
	ending      context.Context
	endRequests context.CancelFunc
	inFlight    atomic.Int64
	memory      *memoryBudget
	// screening keeps requests that crash endpoints away from further ones.
	screening *screening
	// statements holds what endpoints state of themselves in their responses.
	statements *statements
	// granter is nil if limits that endpoints state are ignored.
	granter Granter
	// handleLeaving handles an endpoint's statement that it leaves. It is nil if nothing does.
	handleLeaving func(endpoint string)
	// checkLoss checks whether an endpoint is lost, and reports its loss if so. It is nil if nothing does.
	checkLoss func(ctx context.Context, endpoint, address string)
	// busy receives a value when a request begins while none is in progress.
	busy chan struct{}

	mu sync.Mutex
	// plainSelector selects endpoints of plain services; allocators holds an allocator for each service with streams.
	plainSelector *selector.Selector
	allocators    map[string]*Allocator
	// retryWindows holds the retry budgets by service.
	retryWindows map[string]*limiter.RetryWindow
	// instanceCount is the number of known instances, this one included.
	instanceCount int
	budget        RetryBudget
	// crossingCost is the time of callers that one MB between data centres is worth.
	crossingCost time.Duration
	startedAt    time.Time
	random       *rand.Rand
}

// New returns a forwarder of an instance in a data centre. It refuses all requests until it has a configuration.
func New(p Protocol, centre string, options ...Option) *Forwarder {
	f := &Forwarder{
		protocol:      p,
		pool:          connector.New(),
		log:           slog.New(slog.DiscardHandler),
		clock:         time.Now,
		scope:         tally.NoopScope,
		dataCentre:    centre,
		plainSelector: selector.New(),
		allocators:    map[string]*Allocator{},
		retryWindows:  map[string]*limiter.RetryWindow{},
		budget:        defaultBudget,
		crossingCost:  DefaultCrossingCost,
		busy:          make(chan struct{}, 1),
		memory:        newMemoryBudget(maxBufferedBytes),
		screening:     newScreening(),
		statements:    newStatements(),
		random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	f.ending, f.endRequests = context.WithCancel(context.Background())
	for _, o := range options {
		o(f)
	}
	f.screening.log, f.screening.clock = f.log, f.clock
	f.startedAt = f.clock()
	f.recorder = newRecorder(f.scope)
	return f
}

// Configure activates a configuration. Requests in progress keep the one they began with.
func (f *Forwarder) Configure(c *matcher.Configuration) {
	f.config.Store(c)
}

// Configuration returns the active configuration; nil if there is none yet.
func (f *Forwarder) Configuration() *matcher.Configuration {
	return f.config.Load()
}

// InFlight returns the number of requests in progress.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// Busy returns a channel that receives a value when a request begins while none is in progress.
func (f *Forwarder) Busy() <-chan struct{} { return f.busy }

// Close closes the idle connections to endpoints.
func (f *Forwarder) Close() { f.pool.Close() }

// UpdateEndpoints replaces the endpoints of all services.
func (f *Forwarder) UpdateEndpoints(now time.Time, endpoints []Endpoint) {
	c := f.config.Load()
	if c == nil {
		return
	}
	byService := map[string][]reserver.Endpoint{}
	listed, listedPlain := map[string]bool{}, map[string]bool{}
	f.mu.Lock()
	for _, e := range endpoints {
		listed[e.ID] = true
		byService[e.Service] = append(byService[e.Service], e.Endpoint)
		if s, ok := c.Services[e.Service]; ok && s.Engine == nil {
			listedPlain[e.ID] = true
			f.plainSelector.Observe(now, e.ID, e.Address, e.Service)
			f.plainSelector.Place(e.ID, e.DataCentre, e.Slots)
			if e.Leaving {
				f.plainSelector.MarkLeaving(now, e.ID)
			}
		}
	}
	for id := range f.plainSelector.Servers {
		if !listedPlain[id] {
			f.plainSelector.Remove(now, id)
		}
	}
	f.describeLinks(c)
	f.mu.Unlock()
	f.statements.retain(listed)
	for name, s := range c.Services {
		if s.Engine != nil {
			f.Allocator(name).UpdateEndpoints(now, s.Engine, byService[name])
		}
	}
}

// Allocator returns the allocator of a service that generates streams. It is created at the first call.
func (f *Forwarder) Allocator(service string) *Allocator {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.allocators[service]
	if !ok {
		a = NewAllocator(f.dataCentre, rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64())))
		a.clock, a.log, a.service = f.clock, f.log, service
		a.reserver.Spiller.Links.CostPerMB = f.crossingCost
		if f.prober != nil {
			a.probe = f.answersProbe
		}
		f.allocators[service] = a
	}
	return a
}

// probeTimeout bounds a probe. A live endpoint answers within a few milliseconds, and a pause of 200 ms counts as long.
const probeTimeout = 50 * time.Millisecond

// answersProbe reports whether an endpoint answers a probe.
func (f *Forwarder) answersProbe(id, address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	startedAt := f.clock()
	err := f.prober.Probe(ctx, id, address)
	f.log.Info("endpoint asked", "endpoint", id, "address", address, "answers", err == nil, "took", f.clock().Sub(startedAt).Seconds())
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

// Covered reports whether each service that generates streams has a path through all layers.
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

// IsLost reports whether the loss of an endpoint was recorded just now.
func (f *Forwarder) IsLost(now time.Time, endpoint string) bool {
	return f.screening.isLost(now, endpoint)
}

// RecordLoss records that the process of an endpoint has ended: streams through it are moved at once.
func (f *Forwarder) RecordLoss(now time.Time, endpoint string) {
	f.screening.recordLoss(now, endpoint)
	f.moveStreams(now, endpoint)
}

// RecordDeparture is RecordLoss for an endpoint that had announced that it leaves: no request is to blame.
func (f *Forwarder) RecordDeparture(now time.Time, endpoint string) {
	f.screening.recordDeparture(now, endpoint)
	f.moveStreams(now, endpoint)
}

// moveStreams moves the streams through an endpoint whose process has ended.
func (f *Forwarder) moveStreams(now time.Time, endpoint string) {
	for _, a := range f.Allocators() {
		a.RecordLoss(now, endpoint)
		a.Check(now)
	}
}

// RecordDisappearance records that the row of an endpoint has gone without an announcement: it may have crashed silently.
func (f *Forwarder) RecordDisappearance(now time.Time, endpoint string) {
	f.screening.recordDisappearance(now, endpoint)
}

// MergeSuspicions records what another instance has found out about requests that crash endpoints, and returns which of
// the keys under which an endpoint crashed are proven here.
func (f *Forwarder) MergeSuspicions(now time.Time, r screener.Report) []string {
	return f.screening.merge(now, r)
}

// Evidence returns the evidence against all parts of prompts and requests that are refused.
func (f *Forwarder) Evidence(now time.Time) []screener.Evidence { return f.screening.evidence(now) }

// RestoreEvidence records evidence against a part of prompts or a request that was kept.
func (f *Forwarder) RestoreEvidence(now time.Time, e screener.Evidence) { f.screening.restore(now, e) }

// MergeReply records another instance's reply to a report, which lists proven keys, and returns what was not known of it.
func (f *Forwarder) MergeReply(now time.Time, r screener.Report, proven []string) screener.Report {
	return f.screening.mergeReply(now, r, proven)
}

// Suspects returns the number of keys of requests under which endpoints have crashed, and how many of them are refused.
func (f *Forwarder) Suspects(now time.Time) (suspected, refused int) {
	return f.screening.suspects(now)
}

// Check detects streams that have gone silent.
func (f *Forwarder) Check(now time.Time) {
	f.screening.settle(now)
	for _, a := range f.Allocators() {
		a.Check(now)
	}
}

// chooseServers returns the endpoints of a plain service, the preferred ones first.
func (f *Forwarder) chooseServers(now time.Time, service string) []selector.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plainSelector.Choose(now, service, f.random)
}

// recordResult records the result of a call to an endpoint of a plain service.
func (f *Forwarder) recordResult(now time.Time, id string, failed bool, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plainSelector.RecordResult(now, id, failed, duration)
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.inFlight.Add(1) == 1 {
		select {
		case f.busy <- struct{}{}:
		default:
		}
	}
	defer f.inFlight.Add(-1)
	now := f.clock()
	// The connection may still have the write deadline of an earlier request.
	if err := http.NewResponseController(w).SetWriteDeadline(now.Add(defaultTimeout)); err != nil {
		f.log.Warn("cannot set the write deadline", "error", err)
	}
	// If a request has both chunked encoding and a length, net/http uses the chunks and does not report the conflict.
	// To the caller, the bytes that follow may be part of the body, so nothing more is read from the connection.
	if f.isLeaving() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if !f.memory.acceptsRequests() {
		f.refuse(w, now, refusal{Status: http.StatusServiceUnavailable, Reason: errMemoryFull.Error(), RetryAfter: memoryRetryAfter}, "")
		return
	}
	c := f.config.Load()
	if c == nil {
		f.refuse(w, now, refusal{Status: http.StatusServiceUnavailable, Reason: "no configuration", RetryAfter: time.Second}, "")
		return
	}
	request, err := f.protocol.Decode(r)
	if err != nil {
		f.refuse(w, now, refusal{Status: http.StatusBadRequest, Reason: err.Error()}, request.ID)
		return
	}
	route, team, verdict := c.Admit(r.Host, r.URL.EscapedPath(), request.Credential)
	switch verdict {
	case matcher.NoRoute:
		f.refuse(w, now, refusal{Status: http.StatusNotFound, Reason: "no route"}, request.ID)
		return
	case matcher.NoCredential:
		f.refuse(w, now, refusal{Status: http.StatusUnauthorized, Reason: "unknown credential"}, request.ID)
		return
	}
	held := &reservation{budget: f.memory, source: callers}
	body, err := readBody(now, w, r, c.Limits, held)
	if err != nil {
		f.refuse(w, now, bodyRefusal(err), request.ID)
		return
	}
	k := newCall(f, w, r, now, c, request, route, team, body)
	k.reservations = append(k.reservations, held)
	defer k.end()
	if k.outlastsInstance(f.clock()) {
		k.sendUnavailable(reasonLeaving, leavingRetryAfter)
		return
	}
	if e := c.Services[k.service].Engine; e != nil && route.Kind == matcher.Stream {
		k.serveStream(e)
		return
	}
	k.servePlain()
}

// readBody reads a request's body within the size limit and bodyTimeout, and reserves memory for it while it arrives. A body that
// there is no memory for now is not read.
func readBody(now time.Time, w http.ResponseWriter, r *http.Request, l matcher.Limits, held *reservation) (connector.Content, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	connection := http.NewResponseController(w)
	if err := connection.SetReadDeadline(now.Add(bodyTimeout)); err != nil {
		return nil, err
	}
	body, err := readContent(w, r, l, held)
	if err != nil {
		held.release()
		// net/http would wait for the rest of a body that is nearly complete before it sends the refusal.
		return nil, errors.Join(err, connection.SetReadDeadline(now))
	}
	// The server goes on reading, to notice that the caller disconnects.
	return body, connection.SetReadDeadline(time.Time{})
}

// readContent is readBody without deadlines.
func readContent(w http.ResponseWriter, r *http.Request, l matcher.Limits, held *reservation) (connector.Content, error) {
	limit := int64(maxCallerBytes)
	if l.MaxBodyBytes > 0 {
		limit = min(limit, l.MaxBodyBytes)
	}
	if r.ContentLength > limit {
		return nil, connector.ErrTooLong
	}
	if !held.budget.fits(callers, r.ContentLength) {
		return nil, connector.ErrNoMemory
	}
	// The reader makes net/http close the connection after a body that is too long.
	return connector.ReadContent(http.MaxBytesReader(w, r.Body, limit), limit, held.take)
}

// bodyTimeout bounds the reading of a body: the largest allowed one takes under a second on a caller's link.
const bodyTimeout = 10 * time.Second

// errBodyNotRead is the error of a request whose body could not be read.
var errBodyNotRead = merry.New("body not read")

// bodyRefusal returns the refusal for an error of readBody.
func bodyRefusal(err error) refusal {
	var large *http.MaxBytesError
	if errors.Is(err, connector.ErrNoMemory) {
		return refusal{Status: http.StatusServiceUnavailable, Reason: errMemoryFull.Error(), RetryAfter: memoryRetryAfter}
	}
	if errors.As(err, &large) || errors.Is(err, connector.ErrTooLong) {
		return refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body too large"}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refusal{Status: http.StatusRequestTimeout, Reason: "body too slow"}
	}
	return refusal{Status: http.StatusBadRequest, Reason: merry.Prepend(errBodyNotRead, err.Error()).Error()}
}

// isDone reports whether a request's context has ended: its caller has disconnected or its deadline has passed.
func isDone(ctx context.Context) bool { return ctx.Err() != nil }
