// Package gateway runs one instance on a platform that provides a store, service discovery and endpoints with protocols
// of their own: it constructs the components, starts them and drains them without cutting off a request.
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
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/serving/accountant"
	"github.com/heatherrock/heatherrock/internal/serving/bounder"
	"github.com/heatherrock/heatherrock/internal/serving/director"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
	"github.com/heatherrock/heatherrock/internal/serving/forwarder"
	"github.com/heatherrock/heatherrock/internal/serving/granter"
	"github.com/heatherrock/heatherrock/internal/serving/meter"
	"github.com/heatherrock/heatherrock/internal/serving/sentry"
	"github.com/heatherrock/heatherrock/internal/serving/syncer"
)

// Settings are the settings of one instance.
type Settings struct {
	// ID identifies the process; it differs after a restart.
	ID         string
	Name       string
	DataCentre string
	Region     string
	// CallersAddress, ReadyAddress, PeersAddress and MetricsAddress are the addresses of the listeners. An empty
	// MetricsAddress disables that listener.
	CallersAddress string
	ReadyAddress   string
	PeersAddress   string
	MetricsAddress string
	// GracePeriod is the time between the request to stop and the end of the process.
	GracePeriod time.Duration
	// MaxConfigDelay and MaxEndpointDelay are the maximum delays with which changes of the configuration and of the
	// endpoints come into force. Zero means the default of the syncer.
	MaxConfigDelay   time.Duration
	MaxEndpointDelay time.Duration
	// RetryShare and RetrySlack bound the retries of the whole fleet within RetryWindow: a share of the requests, plus
	// a fixed number.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Machine is what the instance may use, and MaxHeaderLines bounds the lines of a head. Zero means the defaults of the bounder.
	Machine        bounder.Machine
	MaxHeaderLines int
	// CrossingCost is the time of callers that one MB between data centres is worth.
	CrossingCost time.Duration
}

// Platform holds what the instance uses of its platform.
type Platform struct {
	Store    syncer.Store
	Orderer  director.Orderer
	Prober   forwarder.Prober
	Protocol forwarder.Protocol
	// ConfigTable and ConfigKey identify the configuration's row, and EndpointTable is the table of endpoints.
	ConfigTable   string
	ConfigKey     string
	EndpointTable string
	// DecodeConfig decodes the configuration, and DecodeEndpoint an endpoint's row.
	DecodeConfig   func([]byte) (*matcher.Configuration, error)
	DecodeEndpoint func(id string, b []byte) (director.Endpoint, error)
}

// The durations and limits of a gateway.
const (
	// gossipInterval is the time between two gossip rounds.
	gossipInterval = 250 * time.Millisecond
	// suspectTimeout and expireTimeout are how long a peer may be silent before it is suspected, and before it is
	// removed.
	suspectTimeout = 1500 * time.Millisecond
	expireTimeout  = 3 * time.Second
	// gaugeInterval is the time between two updates of the gauges, and memberInterval between two of what follows from the
	// members of the fleet.
	gaugeInterval  = time.Second
	memberInterval = 250 * time.Millisecond
	// maxCoverageWait is how long an instance waits for a path through all layers before it becomes ready without one.
	maxCoverageWait = 9 * time.Second
	// balancerNoticeTime is how long the load balancer may take to notice that an instance is not ready: two failed
	// health checks a second apart.
	balancerNoticeTime = 2500 * time.Millisecond
	// exitReserve is the part of the grace period that is kept for the exit of the process, and answerReserve the part before it
	// in which the requests that are still in progress are answered.
	exitReserve   = 700 * time.Millisecond
	answerReserve = 200 * time.Millisecond
	// internalHeaderBytes bounds the head of a request for metrics, state or readiness.
	internalHeaderBytes = 16 << 10
	// shortageLogInterval is the least time between two log lines that state which layer is short of memory.
	shortageLogInterval = time.Second
	// listInterval is the time between two reads of the instance table.
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
	evidence  *evidenceTable
	instances *instanceTable
	servers   []*http.Server
	bounds    *bounds
	startedAt time.Time
	leaving   atomic.Bool
	// wasReady is true once the instance has been ready.
	wasReady  atomic.Bool
	done      chan struct{}
	wait      sync.WaitGroup
	closeOnce sync.Once
	// shortageLoggedAt is when the log last stated which layer is short of memory.
	shortageLoggedAt time.Time

	mu        sync.Mutex
	endpoints map[string]director.Endpoint
	// processes holds the processes of endpoints, also of those whose rows are gone for a time.
	processes map[string]process
	// foreignLayers holds the layers of endpoints whose model does not have them.
	foreignLayers map[string]placer.Range
	// endpointsChanged is true if an endpoint has been added, removed or changed since the watches were assigned among
	// watcherNodes.
	endpointsChanged bool
	watcherNodes     []assigner.Node
	// directors place the models' layers, by service.
	directors map[string]*director.Director
}

// New returns an instance that is not started.
func New(s Settings, p Platform, log *slog.Logger, clock func() time.Time) *Gateway {
	g := &Gateway{
		settings: s, platform: p, log: log, clock: clock, done: make(chan struct{}),
		endpoints: map[string]director.Endpoint{}, directors: map[string]*director.Director{}, processes: map[string]process{},
		foreignLayers: map[string]placer.Range{},
	}
	g.meter = meter.New(s.Name, s.DataCentre)
	g.bounds = newBounds(g)
	g.platform.Store = &countedStore{p.Store, g.meter.Scope()}
	g.platform.Orderer = &countedOrderer{p.Orderer, g.meter.Scope()}
	g.evidence = newEvidenceTable(g.platform.Store, log, clock)
	g.instances = newInstanceTable(g)
	self := gossiper.Peer{ID: s.ID, Address: s.PeersAddress, DataCentre: s.DataCentre, Region: s.Region}
	g.exchange = exchanger.New(self,
		exchanger.WithInterval(gossipInterval),
		exchanger.WithLogger(log),
		exchanger.WithLister(g.instances, listInterval),
		exchanger.WithMetrics(g.meter.Scope()),
		exchanger.WithBounds(g.bounds.plan.Peers, g.bounds.plan.MessageBytes),
		exchanger.WithGossip(gossiper.WithHeartbeat(0, suspectTimeout/3), gossiper.WithExpiry(suspectTimeout, expireTimeout)),
	)
	g.forwarder = forwarder.New(p.Protocol, s.DataCentre, forwarder.WithLog(log), forwarder.WithClock(clock),
		forwarder.WithScope(g.meter.Scope()), forwarder.WithProber(p.Prober), forwarder.WithSuspicionReporter(g.tellSuspicions),
		forwarder.WithEvidenceKeeper(g.evidence), forwarder.WithLossCheck(g.checkLoss),
		forwarder.WithGranter(granter.New(g.exchange, log, clock)), forwarder.WithLeavingHandler(g.handleStatedLeaving),
		forwarder.WithCrossingCost(s.CrossingCost),
		forwarder.WithRetryBudget(forwarder.RetryBudget{
			Share: s.RetryShare, Slack: s.RetrySlack, Window: s.RetryWindow,
		}))
	g.syncer = syncer.New(g.platform.Store, g.exchange, log, clock,
		syncer.Table{Name: p.ConfigTable, OnChange: g.handleConfigRows, MaxDelay: s.MaxConfigDelay},
		syncer.Table{Name: p.EndpointTable, OnChange: g.handleEndpointRows, DelaysDeletions: true, MaxDelay: s.MaxEndpointDelay},
		syncer.Table{Name: evidenceTableName, OnChange: g.handleEvidenceRows, MaxDelay: evidenceMaxDelay},
	)
	g.syncer.HandleRestores(g.handleRestore)
	g.exchange.Subscribe(gossiper.TopicLeaving, g.recordLeavingEntry)
	g.sentry = sentry.New(log, clock, g.reportLoss)
	if err := g.exchange.Register("Losses", &Losses{g}); err != nil {
		panic(err) // Cannot happen: Losses has a method with a signature that net/rpc accepts.
	}
	if err := g.exchange.Register("Suspects", &Suspects{g}); err != nil {
		panic(err) // Cannot happen: Suspects has a method with a signature that net/rpc accepts.
	}
	g.accounts = accountant.New(self, g.exchange, g.syncer, g.ownUsages, g.mergePeerUsages, log, clock)
	return g
}

// Start opens the listeners and starts the components. The error states which listener could not be opened.
func (g *Gateway) Start() error {
	g.startedAt = g.clock()
	peers, err := net.Listen("tcp", g.settings.PeersAddress)
	if err != nil {
		return merry.Prepend(err, "listener for peers")
	}
	g.exchange.Start(peers)
	g.syncer.Start()
	g.accounts.Start()
	if err := g.startServer("ready", g.settings.ReadyAddress, http.HandlerFunc(g.serveReady)); err != nil {
		return err
	}
	if g.settings.MetricsAddress != "" {
		routes := http.NewServeMux()
		routes.Handle("/metrics", g.meter.Handler())
		routes.HandleFunc("/state", g.serveState)
		if err := g.startServer("metrics", g.settings.MetricsAddress, routes); err != nil {
			return err
		}
	}
	if err := g.startServer("callers", g.settings.CallersAddress, g.forwarder); err != nil {
		return err
	}
	g.wait.Add(6)
	go g.runEvidence()
	go g.runInstances()
	go g.loopChecks()
	go g.loop(memberInterval, g.followMembers)
	go g.loop(gaugeInterval, g.updateGauges)
	go g.loop(unlistedProcessAge/10, g.forgetProcesses)
	g.log.Info("instance started", "name", g.settings.Name, "id", g.settings.ID, "callers", g.settings.CallersAddress,
		"peers", g.settings.PeersAddress, "datacentre", g.settings.DataCentre)
	return nil
}

// startServer opens a listener and serves it.
func (g *Gateway) startServer(name, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return merry.Prependf(err, "listener for %s", name)
	}
	s := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug)}
	g.servers = append(g.servers, s)
	g.wait.Add(1)
	go g.runServer(s, g.bounds.of(name).Serve(s, l))
	return nil
}

// runServer serves a listener until it is closed.
func (g *Gateway) runServer(s *http.Server, l net.Listener) {
	defer g.wait.Done()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		g.log.Error("listener ended", "address", l.Addr().String(), "error", err)
	}
}

// serveReady answers the load balancer's health check.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.Ready(g.clock()) {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Ready reports whether the instance accepts requests: it has a configuration and a path through all layers, or has
// waited for one for maxCoverageWait. Once ready, it stays so until it leaves, whatever happens to the store and the
// endpoints.
func (g *Gateway) Ready(now time.Time) bool {
	if g.leaving.Load() || g.forwarder.Configuration() == nil {
		return false
	}
	if g.wasReady.Load() {
		return true
	}
	if now.Sub(g.startedAt) > maxCoverageWait || g.forwarder.Covered(now) {
		g.wasReady.Store(true)
		g.log.Info("instance ready", "after", now.Sub(g.startedAt).Seconds())
		return true
	}
	return false
}

// loopChecks checks for silent streams until done is closed. It sleeps while no request is in progress.
func (g *Gateway) loopChecks() {
	defer g.wait.Done()
	t := time.NewTicker(monitor.CheckInterval)
	defer t.Stop()
	for {
		if g.forwarder.InFlight() == 0 {
			t.Stop()
			select {
			case <-g.done:
				return
			case <-g.forwarder.Busy():
				t.Reset(monitor.CheckInterval)
			}
		}
		select {
		case <-g.done:
			return
		case <-t.C:
			g.forwarder.Check(g.clock())
		}
	}
}

// Drain stops the instance without cutting off a request: the instance is no longer ready, serves on until the load
// balancer has noticed, then accepts no new connection, refuses requests that may outlast it, and waits for the requests in flight.
// Those that are left at the end are answered with what is known of them. It returns the number of requests that were cut off.
func (g *Gateway) Drain(ctx context.Context) int64 {
	now := g.clock()
	deadline := now.Add(g.settings.GracePeriod - exitReserve)
	leave := forwarder.Leave{NoticedAt: now.Add(balancerNoticeTime), EndsAt: deadline.Add(-answerReserve)}
	g.leaving.Store(true)
	g.forwarder.BeginLeave(leave)
	end := time.AfterFunc(leave.EndsAt.Sub(now), g.forwarder.EndRequests)
	defer end.Stop()
	for _, d := range g.allDirectors() {
		d.MarkLeaving()
	}
	g.log.Info("instance leaving", "flight", g.forwarder.InFlight(), "grace", g.settings.GracePeriod.Seconds())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	leaveCtx, cancelLeave := context.WithTimeout(ctx, time.Second)
	g.exchange.Leave(leaveCtx)
	cancelLeave()
	select {
	case <-time.After(balancerNoticeTime):
	case <-ctx.Done():
	}
	// Start adds the callers' server last.
	callers := g.servers[len(g.servers)-1]
	if err := callers.Shutdown(ctx); err != nil {
		g.log.Warn("requests cut off at the end of the grace", "flight", g.forwarder.InFlight(), "error", err)
	}
	cut := g.forwarder.InFlight()
	g.log.Info("instance stopped", "cut", cut)
	return cut
}

// Close stops the instance at once. Further calls do nothing.
func (g *Gateway) Close() {
	g.closeOnce.Do(g.close)
}

// close closes the components.
func (g *Gateway) close() {
	close(g.done)
	for _, s := range g.servers {
		if err := s.Close(); err != nil {
			g.log.Debug("listener not closed", "error", err)
		}
	}
	// The syncer is closed first: a change that it delivers may start another director.
	g.syncer.Close()
	for _, d := range g.allDirectors() {
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

// serveState writes the instance's state as JSON.
func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	now := g.clock()
	out := map[string]any{"id": g.settings.ID, "ready": g.Ready(now), "flight": g.forwarder.InFlight(), "peers": g.exchange.Dump()}
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

// PeerBytesSent returns the number of bytes sent to other instances.
func (g *Gateway) PeerBytesSent() int64 { return g.exchange.Traffic.Sent.Load() }

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.forwarder.InFlight() }

// DetachStore stops this instance from following the store: it then receives changes from its peers only.
func (g *Gateway) DetachStore() { g.syncer.Detach() }

// HoldsDuty reports whether this instance holds the placement duty for a model.
func (g *Gateway) HoldsDuty() bool {
	for _, d := range g.allDirectors() {
		if d.Holds() {
			return true
		}
	}
	return false
}
