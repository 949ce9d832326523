// Package gateway is one instance on a platform that provides a store, discovery and endpoints with protocols of their own:
// it puts the parts together, starts them and ends them without cutting off a request.
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/control/assigner"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/routing/matcher"
	"github.com/heatherrock/heatherrock/internal/routing/monitor"
	"github.com/heatherrock/heatherrock/internal/serving/accountant"
	"github.com/heatherrock/heatherrock/internal/serving/director"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
	"github.com/heatherrock/heatherrock/internal/serving/forwarder"
	"github.com/heatherrock/heatherrock/internal/serving/meter"
	"github.com/heatherrock/heatherrock/internal/serving/sentry"
	"github.com/heatherrock/heatherrock/internal/serving/syncer"
)

// Settings are those of one instance.
type Settings struct {
	// ID names the process; it differs after a restart.
	ID         string
	Name       string
	DataCentre string
	Region     string
	// Callers, Ready, Peers and Metrics are the addresses of the listeners. Metrics may be empty.
	Callers string
	Ready   string
	Peers   string
	Metrics string
	// Grace is the time between the order to stop and the end of the process.
	Grace time.Duration
	// RetryShare and RetrySlack bound the requests that the whole fleet sends again in RetryWindow: a share of the
	// requests, and a number besides.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Platform is what the instance runs on.
type Platform struct {
	Store    syncer.Store
	Orders   director.Orderer
	Prober   forwarder.Prober
	Protocol forwarder.Protocol
	// ConfigTable and ConfigKey name the row of the configuration, and EndpointTable the table of endpoints.
	ConfigTable   string
	ConfigKey     string
	EndpointTable string
	// DecodeConfig reads the configuration, and DecodeEndpoint an endpoint's row.
	DecodeConfig   func([]byte) (*matcher.Configuration, error)
	DecodeEndpoint func(id string, b []byte) (director.Endpoint, error)
}

// The intervals of a gateway.
const (
	// gossipInterval is the time between exchanges with peers.
	gossipInterval = 250 * time.Millisecond
	// suspectTime and expireTime are how long a peer may be silent until it is suspected and taken as gone.
	suspectTime = 1500 * time.Millisecond
	expireTime  = 3 * time.Second
	// shareInterval is the time between settings of the gauges.
	shareInterval = 250 * time.Millisecond
	// startTime is how long an instance waits for a path through all layers before it takes requests all the same.
	startTime = 9 * time.Second
	// notice is how long the balancer may take to see that an instance is not ready: two misses a second apart.
	notice = 2500 * time.Millisecond
	// lastMoment is kept of the grace for the end of the process.
	lastMoment = 700 * time.Millisecond
	// headerTime and idleTime bound callers until a configuration says otherwise.
	headerTime = 5 * time.Second
	idleTime   = 2 * time.Minute
	// headerBytes bounds the head of a request, in bytes.
	headerBytes = 64 << 10
	// tellInterval is the least time between two lines that say what memory is short.
	tellInterval = time.Second
	// listInterval is the time between reads of the list of instances.
	listInterval = 30 * time.Second
)

// Gateway is one instance.
type Gateway struct {
	settings Settings
	platform Platform
	log      *slog.Logger
	clock    func() time.Time

	meter     *meter.Meter
	forwarder *forwarder.Forwarder
	exchange  *exchanger.Exchanger
	syncer    *syncer.Syncer
	accounts  *accountant.Accountant
	sentry    *sentry.Sentry
	servers   []*http.Server
	begun     time.Time
	leaving   atomic.Bool
	covered   atomic.Bool
	done      chan struct{}
	wait      sync.WaitGroup
	closing   sync.Once
	// told is when the log last said what memory is short.
	told time.Time

	mu        sync.Mutex
	endpoints map[string]director.Endpoint
	// moved is set if an endpoint has come, gone or changed since the watches were assigned among the instances watching.
	moved    bool
	watching []assigner.Node
	// directors place the models, by service.
	directors map[string]*director.Director
}

// New returns an instance that is not yet started.
func New(s Settings, p Platform, log *slog.Logger, clock func() time.Time) *Gateway {
	g := &Gateway{
		settings: s, platform: p, log: log, clock: clock, done: make(chan struct{}),
		endpoints: map[string]director.Endpoint{}, directors: map[string]*director.Director{},
	}
	g.meter = meter.New(s.Name, s.DataCentre)
	g.platform.Store = &countedStore{p.Store, g.meter.Scope()}
	g.platform.Orders = &countedOrders{p.Orders, g.meter.Scope()}
	g.forwarder = forwarder.New(p.Protocol, s.DataCentre, forwarder.WithLog(log), forwarder.WithClock(clock),
		forwarder.WithScope(g.meter.Scope()), forwarder.WithProber(p.Prober), forwarder.WithBudget(forwarder.Budget{
			Share: s.RetryShare, Slack: s.RetrySlack, Window: s.RetryWindow,
		}))
	self := gossiper.Peer{ID: s.ID, Address: s.Peers, DataCentre: s.DataCentre, Region: s.Region}
	g.exchange = exchanger.New(self,
		exchanger.WithInterval(gossipInterval),
		exchanger.WithLogger(log),
		exchanger.WithLister(&instances{g}, listInterval),
		exchanger.WithMetrics(g.meter.Scope()),
		exchanger.WithGossip(gossiper.WithHeartbeat(suspectTime/3, suspectTime/3), gossiper.WithExpiry(suspectTime, expireTime)),
	)
	g.syncer = syncer.New(g.platform.Store, g.exchange, log, clock,
		syncer.Table{Name: p.ConfigTable, OnChange: g.configured},
		syncer.Table{Name: p.EndpointTable, OnChange: g.discovered, DelaysDeletions: true},
	)
	g.sentry = sentry.New(log, clock, g.gone)
	if err := g.exchange.Register("Losses", &Losses{g}); err != nil {
		panic(err) // The method has the form that net/rpc asks for.
	}
	g.accounts = accountant.New(self, g.exchange, g.syncer, g.usages, g.merge, log, clock)
	return g
}

// Start opens the listeners and starts the parts. The error says which listener could not be opened.
func (g *Gateway) Start() error {
	g.begun = g.clock()
	peers, err := net.Listen("tcp", g.settings.Peers)
	if err != nil {
		return merry.Prepend(err, "listener for peers")
	}
	g.exchange.Start(peers)
	g.syncer.Start()
	g.accounts.Start()
	if err := g.serve("ready", g.settings.Ready, http.HandlerFunc(g.ready)); err != nil {
		return err
	}
	if g.settings.Metrics != "" {
		routes := http.NewServeMux()
		routes.Handle("/metrics", g.meter.Handler())
		routes.HandleFunc("/state", g.state)
		if err := g.serve("metrics", g.settings.Metrics, routes); err != nil {
			return err
		}
	}
	if err := g.serve("callers", g.settings.Callers, g.forwarder); err != nil {
		return err
	}
	g.wait.Add(2)
	go g.loopChecks()
	go g.loopShares()
	g.log.Info("instance started", "name", g.settings.Name, "id", g.settings.ID, "callers", g.settings.Callers,
		"peers", g.settings.Peers, "datacentre", g.settings.DataCentre)
	return nil
}

// serve starts a listener.
func (g *Gateway) serve(name, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return merry.Prependf(err, "listener for %s", name)
	}
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerBytes,
		ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
	g.servers = append(g.servers, s)
	g.wait.Add(1)
	go g.run(s, l)
	return nil
}

// run serves a listener until it is closed.
func (g *Gateway) run(s *http.Server, l net.Listener) {
	defer g.wait.Done()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		g.log.Error("listener ended", "address", l.Addr().String(), "error", err)
	}
}

// ready tells the balancer whether the instance takes requests.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.Ready(g.clock()) {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Ready reports whether the instance takes requests: it has a configuration and a way through all layers, or has waited
// for one long enough. Once it has been ready it stays so until it leaves, whatever becomes of store and endpoints.
func (g *Gateway) Ready(now time.Time) bool {
	if g.leaving.Load() || g.forwarder.Configuration() == nil {
		return false
	}
	if g.covered.Load() {
		return true
	}
	if now.Sub(g.begun) > startTime || g.forwarder.Covered(now) {
		g.covered.Store(true)
		g.log.Info("instance ready", "after", now.Sub(g.begun).Seconds())
		return true
	}
	return false
}

// loopChecks looks for silent streams until done is closed.
func (g *Gateway) loopChecks() {
	defer g.wait.Done()
	t := time.NewTicker(monitor.CheckInterval)
	defer t.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-t.C:
			g.forwarder.Check(g.clock())
		}
	}
}

// Drain ends the instance without cutting off a request: it is no longer ready, serves on until the balancer has noticed,
// then takes no new connection and waits for the requests in flight. It returns the number of those that were cut off.
func (g *Gateway) Drain(ctx context.Context) int64 {
	deadline := g.clock().Add(g.settings.Grace - lastMoment)
	g.leaving.Store(true)
	g.forwarder.Leave()
	for _, d := range g.duties() {
		d.Leave()
	}
	g.log.Info("instance leaving", "flight", g.forwarder.Flight(), "grace", g.settings.Grace.Seconds())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	leave, done := context.WithTimeout(ctx, time.Second)
	g.exchange.Leave(leave)
	done()
	select {
	case <-time.After(notice):
	case <-ctx.Done():
	}
	callers := g.servers[len(g.servers)-1]
	if err := callers.Shutdown(ctx); err != nil {
		g.log.Warn("requests cut off at the end of the grace", "flight", g.forwarder.Flight(), "error", err)
	}
	cut := g.forwarder.Flight()
	g.log.Info("instance stopped", "cut", cut)
	return cut
}

// Close ends the instance at once. Closing it again does nothing.
func (g *Gateway) Close() {
	g.closing.Do(g.close)
}

// close ends the parts.
func (g *Gateway) close() {
	close(g.done)
	for _, s := range g.servers {
		if err := s.Close(); err != nil {
			g.log.Debug("listener not closed", "error", err)
		}
	}
	// The syncer goes first: a change that it tells may begin another duty.
	g.syncer.Close()
	for _, d := range g.duties() {
		d.Close()
	}
	g.sentry.Close()
	g.accounts.Close()
	g.exchange.Close()
	g.forwarder.Close()
	g.wait.Wait()
	if err := g.meter.Close(); err != nil {
		g.log.Debug("meter not closed", "error", err)
	}
}

// state dumps what the instance believes.
func (g *Gateway) state(w http.ResponseWriter, _ *http.Request) {
	now := g.clock()
	out := map[string]any{"id": g.settings.ID, "ready": g.Ready(now), "flight": g.forwarder.Flight(), "peers": g.exchange.Dump()}
	if c := g.forwarder.Configuration(); c != nil {
		out["configuration"] = c.Version
	}
	g.mu.Lock()
	out["endpoints"] = g.endpoints
	g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(out); err != nil {
		g.log.Warn("state not written", "error", err)
	}
}

// Flight returns the number of requests in progress.
func (g *Gateway) Flight() int64 { return g.forwarder.Flight() }

// CutStore ends this instance's following of the store: it learns changes from its peers alone.
func (g *Gateway) CutStore() { g.syncer.Detach() }

// Directs reports whether this instance has the duty of placement for a model.
func (g *Gateway) Directs() bool {
	for _, d := range g.duties() {
		if d.Holds() {
			return true
		}
	}
	return false
}
