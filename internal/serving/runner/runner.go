// Package runner puts the parts of one instance together, starts them and ends them without cutting off a request.
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

// Platform is the platform's services.
type Platform struct {
	Table   tabler.Table
	Objects storer.Store
	List    lister.Lister
}

// Runner is one instance.
type Runner struct {
	settings configurer.Settings
	platform Platform
	clock    func() time.Time
	log      *slog.Logger
	// owner names this process: it differs after a restart.
	owner string
	// begun is when the instance started.
	begun time.Time
	// address is where other instances reach this one.
	address string
	done    chan struct{}
	closing sync.Once
	wait    sync.WaitGroup

	generator []generator.Option
	// noticed waits until the balancer has noticed that this instance leaves.
	noticed   func(ctx context.Context, r *Runner)
	phase     phase
	secrets   secrets
	engines   *streamer.Client
	router    *router.Router
	isolator  *isolator.Isolator
	admitter  *admitter.Admitter
	services  *services
	calls     *dispatcher.Dispatcher
	exchange  *exchanger.Exchanger
	meter     *meter.Meter
	dumper    *dumper.Dumper
	config    *poller.Poller
	keeper    *operator.Operator
	watcher   *watcher.Watcher
	tallier   *tallier.Tallier
	orders    *orderer.Orderer
	callers   *front
	operators *front
}

// Option changes a Runner under construction.
type Option func(*Runner)

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option { return func(r *Runner) { r.clock = clock } }

// WithLog sets the log.
func WithLog(l *slog.Logger) Option { return func(r *Runner) { r.log = l } }

// WithNoticed replaces the time that a leaving instance serves on by a wait until the balancer has noticed it.
func WithNoticed(wait func(ctx context.Context, r *Runner)) Option {
	return func(r *Runner) { r.noticed = wait }
}

// WithGenerator adds options of the part that runs answers.
func WithGenerator(options ...generator.Option) Option {
	return func(r *Runner) { r.generator = append(r.generator, options...) }
}

// New returns an instance that is not yet started.
func New(s configurer.Settings, p Platform, options ...Option) *Runner {
	r := &Runner{
		settings: s,
		platform: p,
		clock:    time.Now,
		log:      slog.Default(),
		owner:    s.ID + "-" + suffix(),
		done:     make(chan struct{}),
		engines:  streamer.NewClient(),
		noticed:  waitNotice,
	}
	for _, o := range options {
		o(r)
	}
	r.log = r.log.With("instance", s.ID)
	if p.List != nil {
		r.platform.List = &listing{lister: p.List, log: r.log}
	}
	return r
}

// suffix returns a random suffix of a process's name.
func suffix() string {
	var b [6]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Start opens the listeners and starts the parts. The error says which listener could not be opened, or which TLS file
// could not be read.
func (r *Runner) Start() error {
	var err error
	if r.secrets, err = newSecrets(r.settings, r.clock); err != nil {
		return err
	}
	listeners, err := listenAll(r.settings.Callers, r.settings.Operators, r.settings.Peers)
	if err != nil {
		return err
	}
	r.address = listeners[2].Addr().String()
	if r.settings.Advertise != "" {
		r.address = r.settings.Advertise
	}
	r.begun = r.clock()
	r.build()
	callers, operators := r.secrets.secure("callers", listeners[0]), r.secrets.secure("operators", listeners[1])
	r.callers = newFront(callers, r.callerRoutes(), r.settings, &r.phase, r.log)
	r.operators = newFront(operators, r.operatorRoutes(), r.settings, nil, r.log)
	r.exchange.Start(listeners[2])
	r.config.Start()
	if r.platform.List != nil {
		r.watcher = r.newWatcher(r.startRepairs())
		r.watcher.Start()
		r.dumper.Add("endpoints", func(now time.Time) any { return r.watcher.State(now) })
	}
	r.wait.Add(5)
	go r.callers.run(&r.wait)
	go r.operators.run(&r.wait)
	go r.loopChecks()
	go r.loopBeats()
	go r.loopShares()
	r.log.Info("instance started", "callers", r.CallerAddress(), "operators", r.OperatorAddress())
	return nil
}

// listenAll opens listeners, or none if one cannot be opened.
func listenAll(list ...configurer.Listener) ([]net.Listener, error) {
	var opened []net.Listener
	for _, l := range list {
		o, err := listen(l)
		if err != nil {
			for _, o := range opened {
				_ = o.Close()
			}
			return nil, merry.Prependf(err, "listener %s", l.Address)
		}
		opened = append(opened, o)
	}
	return opened, nil
}

// listen opens a listener.
func listen(l configurer.Listener) (net.Listener, error) {
	return net.Listen("tcp", l.Address)
}

// build makes the parts.
func (r *Runner) build() {
	s := r.settings
	r.meter = meter.New(s.ID, s.DataCentre)
	r.exchange = r.newExchange()
	r.config = r.newPoller()
	d := detector.New(detector.WithProgressTimeout(s.Times.Progress))
	r.router = router.New(s.DataCentre, d, []picker.Option{}, router.WithLog(r.log))
	r.isolator = isolator.New(quarantiner.New(), &notices{r}, r.log)
	r.admitter = admitter.New(r.router, admitter.WithClock(r.clock), admitter.WithStreams(s.Limits.Streams),
		admitter.WithQueue(s.Limits.Queue))
	r.services = newServices(r.clock)
	r.calls = dispatcher.New(r.owner, r.platform.Table, r, r.services, r, dispatcher.WithLogger(r.log),
		dispatcher.WithBody(s.Limits.Body), dispatcher.WithMetrics(r.meter.Scope()),
		dispatcher.WithQuarantine(r.isolator))
	r.register()
	r.keeper = r.newOperator()
	r.dumper = dumper.New(dumper.WithClock(r.clock), dumper.WithReady(r.ready), dumper.WithGuard(r.keeper.Guard))
	r.dumper.Add("router", r.routerState)
	r.dumper.Add("admitter", func(now time.Time) any { return r.admitter.State(now) })
	r.dumper.Add("quarantine", func(time.Time) any { return r.isolator.State() })
	r.dumper.Add("services", func(time.Time) any { return r.services.State() })
	r.dumper.Add("calls", func(time.Time) any { return r.calls.State() })
	r.dumper.Add("records", r.config.State)
	r.dumper.Add("peers", func(time.Time) any { return r.exchange.Dump() })
	r.dumper.Add("certificates", func(time.Time) any { return r.secrets.state() })
	r.dumper.Add("phase", func(time.Time) any { return r.phase.String() })
}

// register offers the methods that peers call, and takes in what they share.
func (r *Runner) register() {
	if err := r.exchange.Register("Notices", &notices{r}); err != nil {
		panic(err) // The methods have the form that net/rpc asks for.
	}
	r.tallier = tallier.New(r.owner, r.self(), r.exchange, r.admitter, r.clock, r.log)
	if err := r.exchange.Register("Homes", &tallier.Homes{Tallier: r.tallier}); err != nil {
		panic(err) // The methods have the form that net/rpc asks for.
	}
	r.subscribe()
}

// callerRoutes returns the callers' interface.
func (r *Runner) callerRoutes() http.Handler {
	routes := mux.NewRouter()
	options := append([]generator.Option{generator.WithClock(r.clock), generator.WithLog(r.log)}, r.generator...)
	g := generator.New(r.router, r.isolator, r.engines, options...)
	s := server.New(r, r, r.admitter, g,
		server.WithClock(r.clock),
		server.WithLog(r.log),
		server.WithTimeout(r.settings.Times.Request),
		server.WithSize(r.settings.Limits.Body),
		server.WithLimits(tracker.Limits{
			MaxSilence: r.settings.Times.Progress,
			MaxStall:   stallFactor * r.settings.Times.Progress,
		}),
		server.WithPrefixes(streamer.Prefixes),
		server.WithEnded(r.ended),
		server.WithRefused(r.refused),
	)
	s.Register(routes)
	routes.PathPrefix("/v1/services/{service}/").Handler(r.admitted(r.calls))
	return routes
}

// stallFactor is how many times longer than the silence limit a stage may take for a token.
const stallFactor = 5

// refused counts a request that was refused.
func (r *Runner) refused(_ string, code server.Code) {
	r.meter.Count("refusals", "code", string(code), 1)
}

// gauge shows how many requests run and wait.
func (r *Runner) gauge(now time.Time) {
	state := r.admitter.State(now)
	r.meter.Gauge("running", float64(state.Running))
	waiting := 0
	for _, q := range state.Queues {
		waiting += q.Length
	}
	r.meter.Gauge("waiting", float64(waiting))
}

// ended counts an answer that has ended.
func (r *Runner) ended(team, model string, result generator.Result, took time.Duration) {
	r.meter.Count("answers", "outcome", result.Verdict.String(), 1)
	r.meter.Count("tokens", "team", team, int64(result.Tokens))
	r.meter.Time("answer", "model", model, took)
	for _, a := range result.Attempts {
		r.meter.Count("attempts", "ending", a.Ending.String(), 1)
	}
}

// operatorRoutes returns the operators' interface.
func (r *Runner) operatorRoutes() http.Handler {
	routes := mux.NewRouter()
	r.dumper.Register(routes)
	r.registerRecords(routes)
	routes.Handle("/metrics", r.meter.Handler())
	return routes
}

// loopChecks looks at the health of endpoints and at the certificate files until done is closed.
func (r *Runner) loopChecks() {
	defer r.wait.Done()
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	certificates := r.secrets.state()
	for {
		select {
		case <-r.done:
			return
		case <-t.C:
			r.router.Check(r.clock())
			certificates = r.logFailures(certificates)
		}
	}
}

// loopBeats lets the router measure how late this process is itself, until done is closed.
func (r *Runner) loopBeats() {
	defer r.wait.Done()
	t := time.NewTicker(detector.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-t.C:
			r.router.Beat(r.clock())
		}
	}
}

// loopShares shares the teams' counts with the other instances until done is closed.
func (r *Runner) loopShares() {
	defer r.wait.Done()
	t := time.NewTicker(r.settings.Times.Gossip)
	defer t.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-t.C:
			r.share(r.clock())
			r.gauge(r.clock())
		}
	}
}

// checkInterval is the time between looks at the health of endpoints.
const checkInterval = 100 * time.Millisecond

// CallerAddress returns the address of the callers' listener.
func (r *Runner) CallerAddress() string {
	return r.callers.listener.Addr().String()
}

// OperatorAddress returns the address of the operators' listener.
func (r *Runner) OperatorAddress() string {
	return r.operators.listener.Addr().String()
}

// Router returns the instance's router.
func (r *Runner) Router() *router.Router {
	return r.router
}

// Drain ends the instance without cutting off a request: it fails readiness, serves on until the balancer has noticed,
// then takes no new request and waits for those in flight. It returns the number of requests that the context's end
// cut off.
func (r *Runner) Drain(ctx context.Context) int {
	r.phase.leave()
	r.exchange.Leave(ctx)
	r.log.Info("instance leaving", "notice", r.settings.Times.Notice)
	r.noticed(ctx, r)
	cut := r.callers.drain(ctx) + r.calls.Drain(ctx)
	r.log.Info("instance drained", "cut", cut)
	r.Close()
	return cut
}

// waitNotice waits for the time in which the balancer notices a leaving instance, by the settings.
func waitNotice(ctx context.Context, r *Runner) {
	select {
	case <-time.After(r.settings.Times.Notice):
	case <-ctx.Done():
	}
}

// Received returns the number of requests of callers that this instance has got.
func (r *Runner) Received() int64 {
	return r.callers.received.Load()
}

// Close ends the instance at once. Closing it again, or one that did not start, does nothing.
func (r *Runner) Close() {
	r.closing.Do(r.close)
}

// close ends the parts.
func (r *Runner) close() {
	close(r.done)
	if r.callers == nil {
		return
	}
	r.callers.close()
	r.operators.close()
	r.admitter.Close()
	r.calls.Close()
	if r.watcher != nil {
		r.watcher.Close()
		r.orders.Close()
	}
	r.config.Close()
	r.exchange.Close()
	r.engines.Close()
	r.wait.Wait()
	_ = r.meter.Close()
}

// ID returns the instance's name.
func (r *Runner) ID() string {
	return r.settings.ID
}

// PeerAddress returns the address at which other instances reach this one.
func (r *Runner) PeerAddress() string {
	return r.address
}
