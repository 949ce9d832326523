// Package runner assembles the components of one instance, starts them, and drains the instance without interrupting
// requests.
package runner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/client/storer"
	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/routing/detector"
	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/quarantiner"
	"github.com/heatherrock/heatherrock/internal/routing/tracker"
	"github.com/heatherrock/heatherrock/internal/serving/admitter"
	"github.com/heatherrock/heatherrock/internal/serving/bounder"
	"github.com/heatherrock/heatherrock/internal/serving/configurer"
	"github.com/heatherrock/heatherrock/internal/serving/dispatcher"
	"github.com/heatherrock/heatherrock/internal/serving/dumper"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
	"github.com/heatherrock/heatherrock/internal/serving/generator"
	"github.com/heatherrock/heatherrock/internal/serving/isolator"
	"github.com/heatherrock/heatherrock/internal/serving/meter"
	"github.com/heatherrock/heatherrock/internal/serving/operator"
	"github.com/heatherrock/heatherrock/internal/serving/orderer"
	"github.com/heatherrock/heatherrock/internal/serving/poller"
	"github.com/heatherrock/heatherrock/internal/serving/router"
	"github.com/heatherrock/heatherrock/internal/serving/server"
	"github.com/heatherrock/heatherrock/internal/serving/tallier"
	"github.com/heatherrock/heatherrock/internal/serving/watcher"
)

// Platform holds clients of the platform's services. If List is nil, the instance watches no endpoints and runs no repairs.
type Platform struct {
	Table   tabler.Table
	Objects storer.Store
	List    lister.Lister
}

// Runner runs one instance.
type Runner struct {
	settings configurer.Settings
	platform Platform
	clock    func() time.Time
	log      *slog.Logger
	// processID identifies this process. Unlike the instance's ID it changes with each restart.
	processID string
	// startedAt is when the instance started.
	startedAt time.Time
	// address is the address at which other instances reach this one.
	address   string
	done      chan struct{}
	closeOnce sync.Once
	wait      sync.WaitGroup

	generatorOptions []generator.Option
	// waitBeforeDrain waits until the load balancer has noticed that this instance is leaving.
	waitBeforeDrain  func(ctx context.Context, r *Runner)
	phase            phase
	terminators      terminators
	engines          *streamer.Client
	router           *router.Router
	isolator         *isolator.Isolator
	admitter         *admitter.Admitter
	services         *lockedSelector
	callDispatcher   *dispatcher.Dispatcher
	exchange         *exchanger.Exchanger
	meter            *meter.Meter
	dumper           *dumper.Dumper
	configPoller     *poller.Poller
	operatorAPI      *operator.Operator
	watcher          *watcher.Watcher
	tallier          *tallier.Tallier
	repairOrderer    *orderer.Orderer
	callerFrontend   *frontend
	operatorFrontend *frontend
	plan             bounder.Plan
}

// Option changes a Runner under construction.
type Option func(*Runner)

// WithClock sets the clock.
func WithClock(clock func() time.Time) Option { return func(r *Runner) { r.clock = clock } }

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option { return func(r *Runner) { r.log = l } }

// WithDrainWait sets the wait of a leaving instance until the load balancer sends it no more requests. By default it waits
// for the NoticePeriod of the settings.
func WithDrainWait(wait func(ctx context.Context, r *Runner)) Option {
	return func(r *Runner) { r.waitBeforeDrain = wait }
}

// WithGenerator adds options of the generator.
func WithGenerator(options ...generator.Option) Option {
	return func(r *Runner) { r.generatorOptions = append(r.generatorOptions, options...) }
}

// New returns an instance that is not started.
func New(s configurer.Settings, p Platform, options ...Option) *Runner {
	r := &Runner{
		settings:        s,
		platform:        p,
		clock:           time.Now,
		log:             slog.Default(),
		processID:       s.ID + "-" + randomSuffix(),
		done:            make(chan struct{}),
		engines:         streamer.NewClient(),
		waitBeforeDrain: waitForNotice,
		plan:            bounder.NewPlan(machine(s)),
	}
	for _, o := range options {
		o(r)
	}
	r.log = r.log.With("instance", s.ID)
	if p.List != nil {
		r.platform.List = &loggingLister{lister: p.List, log: r.log}
	}
	return r
}

// randomSuffix returns a random hexadecimal suffix that makes a process ID unique.
func randomSuffix() string {
	var b [6]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Start opens the listeners and starts the components. The error names the listener that could not be opened, or the TLS
// file that could not be read.
func (r *Runner) Start() error {
	var err error
	if r.terminators, err = newTerminators(r.settings, r.clock); err != nil {
		return err
	}
	listeners, err := listenAll(r.settings.Callers, r.settings.Operators, r.settings.Peers)
	if err != nil {
		return err
	}
	r.address = listeners[2].Addr().String()
	if r.settings.AdvertiseAddress != "" {
		r.address = r.settings.AdvertiseAddress
	}
	r.startedAt = r.clock()
	r.buildComponents()
	callers, operators := r.terminators.wrapListener("callers", listeners[0]), r.terminators.wrapListener("operators", listeners[1])
	r.callerFrontend = newFrontend(callers, r.callerRoutes(), r.settings, &r.phase, r.log)
	r.operatorFrontend = newFrontend(operators, r.operatorRoutes(), r.settings, nil, r.log)
	r.boundFrontends()
	r.exchange.Start(listeners[2])
	r.configPoller.Start()
	if r.platform.List != nil {
		r.watcher = r.newWatcher(r.startRepairs())
		r.watcher.Start()
		r.dumper.Add("endpoints", func(now time.Time) any { return r.watcher.State(now) })
	}
	r.wait.Add(5)
	go r.callerFrontend.run(&r.wait)
	go r.operatorFrontend.run(&r.wait)
	go r.loopChecks()
	go r.loopTicks()
	go r.loopCounts()
	r.log.Info("instance started", "callers", r.CallerAddress(), "operators", r.OperatorAddress())
	return nil
}

// listenAll opens the listeners in order. If one cannot be opened it closes those before it.
func listenAll(list ...configurer.Listener) ([]net.Listener, error) {
	var opened []net.Listener
	for _, l := range list {
		listener, err := listen(l)
		if err != nil {
			for _, listener := range opened {
				_ = listener.Close()
			}
			return nil, merry.Prependf(err, "listener %s", l.Address)
		}
		opened = append(opened, listener)
	}
	return opened, nil
}

// listen opens one listener.
func listen(l configurer.Listener) (net.Listener, error) {
	return net.Listen("tcp", l.Address)
}

// buildComponents creates the components other than the frontends, the watcher and the repairs, and adds their state to
// the state dump.
func (r *Runner) buildComponents() {
	s := r.settings
	r.meter = meter.New(s.ID, s.DataCentre)
	r.exchange = r.newExchange()
	r.configPoller = r.newPoller()
	d := detector.New(detector.WithProgressTimeout(s.Times.ProgressTimeout))
	r.router = router.New(s.DataCentre, d, []picker.Option{}, router.WithLog(r.log))
	r.isolator = isolator.New(quarantiner.New(), &notices{r}, r.log)
	r.admitter = admitter.New(r.router, admitter.WithClock(r.clock), admitter.WithMaxStreams(s.Limits.ConcurrentRequests),
		admitter.WithMaxQueued(s.Limits.QueuedRequests))
	r.services = newLockedSelector(r.clock)
	r.callDispatcher = dispatcher.New(r.processID, r.platform.Table, r, r.services, r, dispatcher.WithLogger(r.log),
		dispatcher.WithMaxBodyBytes(s.Limits.BodyBytes), dispatcher.WithMetrics(r.meter.Scope()),
		dispatcher.WithQuarantine(r.isolator))
	r.registerPeerMethods()
	r.operatorAPI = r.newOperator()
	r.dumper = dumper.New(dumper.WithClock(r.clock), dumper.WithReady(r.ready), dumper.WithGuard(r.operatorAPI.RequireToken))
	r.dumper.Add("router", r.routerState)
	r.dumper.Add("admitter", func(now time.Time) any { return r.admitter.State(now) })
	r.dumper.Add("quarantine", func(time.Time) any { return r.isolator.State() })
	r.dumper.Add("services", func(time.Time) any { return r.services.State() })
	r.dumper.Add("calls", func(time.Time) any { return r.callDispatcher.State() })
	r.dumper.Add("records", r.configPoller.State)
	r.dumper.Add("peers", func(time.Time) any { return r.exchange.Dump() })
	r.dumper.Add("certificates", func(time.Time) any { return r.terminators.certificateStates() })
	r.dumper.Add("phase", func(time.Time) any { return r.phase.String() })
}

// registerPeerMethods registers the RPC methods that peers call, and subscribes to what peers publish.
func (r *Runner) registerPeerMethods() {
	if err := r.exchange.Register("Notices", &notices{r}); err != nil {
		panic(err) // The methods have the form that net/rpc requires.
	}
	r.tallier = tallier.New(r.processID, r.self(), r.exchange, r.admitter, r.clock, r.log)
	if err := r.exchange.Register("Homes", &tallier.Homes{Tallier: r.tallier}); err != nil {
		panic(err) // The methods have the form that net/rpc requires.
	}
	r.subscribeToPeers()
}

// callerRoutes returns the handler of the callers' API.
func (r *Runner) callerRoutes() http.Handler {
	routes := mux.NewRouter()
	options := append([]generator.Option{generator.WithClock(r.clock), generator.WithLog(r.log)}, r.generatorOptions...)
	g := generator.New(r.router, r.isolator, r.engines, options...)
	s := server.New(r, r, r.admitter, g,
		server.WithClock(r.clock),
		server.WithLog(r.log),
		server.WithTimeout(r.settings.Times.RequestTimeout),
		server.WithMaxBodyBytes(r.settings.Limits.BodyBytes),
		server.WithLimits(tracker.Limits{
			MaxSilence: r.settings.Times.ProgressTimeout,
			MaxStall:   stallFactor * r.settings.Times.ProgressTimeout,
		}),
		server.WithPrefixes(streamer.PrefixHashes),
		server.WithOnEnded(r.countAnswer),
		server.WithOnRefused(r.countRefusal),
	)
	s.Register(routes)
	routes.PathPrefix("/v1/services/{service}/").Handler(r.admitServiceCalls(r.callDispatcher))
	return routes
}

// stallFactor is the maximum time without a new token of an answer, as a multiple of the ProgressTimeout, which is the
// maximum time without any step.
const stallFactor = 5

// countRefusal counts a refused request in the metrics.
func (r *Runner) countRefusal(_ string, code server.Code) {
	r.meter.AddCount("refusals", "code", string(code), 1)
}

// updateGauges sets the gauges of running and waiting requests.
func (r *Runner) updateGauges(now time.Time) {
	state := r.admitter.State(now)
	r.meter.SetGauge("running", float64(state.Running))
	waiting := 0
	for _, q := range state.Queues {
		waiting += q.Length
	}
	r.meter.SetGauge("waiting", float64(waiting))
}

// countAnswer counts an ended answer, its tokens, its duration and its attempts in the metrics.
func (r *Runner) countAnswer(team, model string, result generator.Result, duration time.Duration) {
	r.meter.AddCount("answers", "outcome", result.Verdict.String(), 1)
	r.meter.AddCount("tokens", "team", team, int64(result.Tokens))
	r.meter.ObserveDuration("answer", "model", model, duration)
	for _, a := range result.Attempts {
		r.meter.AddCount("attempts", "ending", a.Ending.String(), 1)
	}
}

// operatorRoutes returns the handler of the operators' API.
func (r *Runner) operatorRoutes() http.Handler {
	routes := mux.NewRouter()
	r.dumper.Register(routes)
	r.registerRecords(routes)
	routes.Handle("/metrics", r.meter.Handler())
	return routes
}

// loopChecks checks the health of endpoints and logs changes of the certificate files until done is closed.
func (r *Runner) loopChecks() {
	defer r.wait.Done()
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	certificates := r.terminators.certificateStates()
	for {
		select {
		case <-r.done:
			return
		case <-t.C:
			r.router.Check(r.clock())
			certificates = r.logCertificateChanges(certificates)
		}
	}
}

// loopTicks sends the router the ticks by which it measures pauses of this process, until done is closed.
func (r *Runner) loopTicks() {
	defer r.wait.Done()
	t := time.NewTicker(detector.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-t.C:
			r.router.RecordTick(r.clock())
		}
	}
}

// loopCounts shares the teams' counts with the other instances and updates the gauges until done is closed.
func (r *Runner) loopCounts() {
	defer r.wait.Done()
	t := time.NewTicker(r.settings.Times.GossipInterval)
	defer t.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-t.C:
			r.shareCounts(r.clock())
			r.updateGauges(r.clock())
		}
	}
}

// checkInterval is the time between health checks of endpoints.
const checkInterval = 100 * time.Millisecond

// CallerAddress returns the address of the callers' listener.
func (r *Runner) CallerAddress() string {
	return r.callerFrontend.listener.Addr().String()
}

// OperatorAddress returns the address of the operators' listener.
func (r *Runner) OperatorAddress() string {
	return r.operatorFrontend.listener.Addr().String()
}

// Router returns the instance's router.
func (r *Runner) Router() *router.Router {
	return r.router
}

// Drain stops the instance without interrupting requests. It fails the readiness check and continues to serve until the
// load balancer has noticed, then accepts no new requests and waits for those in flight. It returns the number of requests
// that were still in flight when the context ended, and were interrupted.
func (r *Runner) Drain(ctx context.Context) int {
	r.phase.markLeaving()
	r.exchange.Leave(ctx)
	r.log.Info("instance leaving", "notice", r.settings.Times.NoticePeriod)
	r.waitBeforeDrain(ctx, r)
	interrupted := r.callerFrontend.drain(ctx) + r.callDispatcher.Drain(ctx)
	r.log.Info("instance drained", "cut", interrupted)
	r.Close()
	return interrupted
}

// waitForNotice waits for the NoticePeriod of the settings, within which the load balancer notices that an instance is
// leaving, or until the context ends.
func waitForNotice(ctx context.Context, r *Runner) {
	select {
	case <-time.After(r.settings.Times.NoticePeriod):
	case <-ctx.Done():
	}
}

// RequestsReceived returns the number of callers' requests that this instance has received.
func (r *Runner) RequestsReceived() int64 {
	return r.callerFrontend.receivedCount.Load()
}

// Close stops the instance at once. It may be called again, and on an instance that was not started.
func (r *Runner) Close() {
	r.closeOnce.Do(r.close)
}

// close stops the components.
func (r *Runner) close() {
	close(r.done)
	if r.callerFrontend == nil {
		return
	}
	r.callerFrontend.close()
	r.operatorFrontend.close()
	r.admitter.Close()
	r.callDispatcher.Close()
	if r.watcher != nil {
		r.watcher.Close()
		r.repairOrderer.Close()
	}
	r.configPoller.Close()
	r.exchange.Close()
	r.engines.Close()
	r.wait.Wait()
	_ = r.meter.Close()
}

// ID returns the instance's ID.
func (r *Runner) ID() string {
	return r.settings.ID
}

// PeerAddress returns the address at which other instances reach this one.
func (r *Runner) PeerAddress() string {
	return r.address
}
