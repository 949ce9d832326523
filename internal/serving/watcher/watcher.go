// Package watcher tracks the endpoints known to an instance, from the platform's list, from the load reports of the
// endpoints that it watches, and from the reports that other instances share.
package watcher

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/control/assigner"
	"github.com/heatherrock/heatherrock/internal/control/departer"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// Engines reads the load reports of engines.
type Engines interface {
	Load(ctx context.Context, address string) (streamer.Load, error)
}

// Router receives the state of engines.
type Router interface {
	Observe(now time.Time, e planner.Endpoint, r picker.Report)
	MarkLeaving(now time.Time, id string)
	Remove(now time.Time, id string)
	// RecordLoadReadFailure reports that an endpoint's load cannot be read, RecordLoadReadSuccess that it can be again.
	RecordLoadReadFailure(now time.Time, id string)
	RecordLoadReadSuccess(now time.Time, id string)
}

// Services receives the state of the endpoints of plain services.
type Services interface {
	ObserveService(now time.Time, id, address, service string)
	MarkServiceLeaving(now time.Time, id string)
	RemoveService(now time.Time, id string)
}

// Exchange shares soft state with other instances.
type Exchange interface {
	Publish(topic, key string, value []byte, ttl time.Duration)
	Withdraw(topic, key string)
	Subscribe(topic string, f func(gossiper.Entry))
	LivePeers() []gossiper.Peer
}

// Watcher polls the list and the engines that this instance watches. Its methods are safe for concurrent use.
type Watcher struct {
	self     assigner.Node
	list     lister.Lister
	engines  Engines
	router   Router
	services Services
	exchange Exchange
	options  options
	done     chan struct{}
	wait     sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	departer  *departer.Departer
	endpoints map[string]*endpoint
	// peerReports holds the peers' reports of endpoints, by endpoint ID.
	peerReports map[string]peerReport
	// listedCount is the number of entries in the last list, and regionalCount that of the engines that are assigned to
	// instances.
	listedCount   int
	regionalCount int
	// selectedEngines holds the engines that this instance routes to, or nil if it routes to all. They were selected at
	// selectedAt.
	selectedEngines map[string]bool
	selectedAt      time.Time
	// readsPerInterval is the number of rate-limited load reads in one interval of a first watcher's reads, or 0 if this
	// instance watches all engines of its region.
	readsPerInterval int
}

// endpoint is the known state of one engine or service endpoint.
type endpoint struct {
	instance lister.Instance
	// firstSeenAt is when the endpoint became known. onlyFromPeer is true if so far only a peer has reported it.
	firstSeenAt  time.Time
	onlyFromPeer bool
	watch        *watch
	// group is the key of the layers that the endpoint held when last reported.
	group string
	// isUnresponsive is true from maxFailedReads failed reads in a row until the load is received again.
	isUnresponsive bool
	// loadReporter and sharedDescription hold what this instance last published of the endpoint.
	loadReporter      assigner.LoadReporter
	sharedDescription string
}

// key returns the endpoint's key in the departer.
func (e *endpoint) key() departer.Key {
	return departer.Key{ID: e.instance.ID, Address: e.instance.Address}
}

// node returns the endpoint's ID and location.
func (e *endpoint) node() assigner.Node {
	return assigner.Node{ID: e.instance.ID, DataCentre: e.instance.DataCentre, Region: e.instance.Region}
}

// New returns a watcher for the instance self. It reads nothing before Start.
func New(self gossiper.Peer, l lister.Lister, e Engines, r Router, s Services, x Exchange, settings ...Option) *Watcher {
	o := defaultOptions()
	for _, set := range settings {
		set(&o)
	}
	w := &Watcher{
		self: peerNode(self), list: l, engines: e, router: r, services: s, exchange: x, options: o,
		done:        make(chan struct{}),
		departer:    departer.New(o.maxListLag, o.retention),
		endpoints:   map[string]*endpoint{},
		peerReports: map[string]peerReport{},
	}
	return w
}

// Start starts the reads and subscribes to what peers publish.
func (w *Watcher) Start() {
	w.exchange.Subscribe(gossiper.TopicEndpoint, w.handleEndpointEntry)
	w.exchange.Subscribe(gossiper.TopicLoad, w.handleLoadEntry)
	w.exchange.Subscribe(gossiper.TopicLeaving, w.handleLeavingEntry)
	w.exchange.Subscribe(gossiper.TopicListed, w.handleListedEntry)
	w.wait.Add(2)
	go w.loopList()
	go w.loopAssignments()
}

// Close stops the reads and waits for those in progress.
func (w *Watcher) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.done)
	}
	w.mu.Unlock()
	w.wait.Wait()
}

// State is the watcher's state in the state dump.
type State struct {
	// Listed is the number of entries in the last list.
	Listed    int
	Endpoints []EndpointState
	Marks     []MarkState
}

// EndpointState is one endpoint and the source of its load: read by this instance, at a rank, or published by the peer
// Teller.
type EndpointState struct {
	ID      string
	Address string
	Watched bool
	Rank    int
	Teller  string
	Leaving bool
}

// MarkState is one endpoint that is leaving, with its mark.
type MarkState struct {
	ID      string
	Address string
	departer.Mark
}

// State returns a copy of the watcher's state.
func (w *Watcher) State(time.Time) State {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := State{Listed: w.listedCount}
	for _, id := range w.sortedIDs() {
		e := w.endpoints[id]
		row := EndpointState{
			ID: id, Address: e.instance.Address, Teller: w.peerReports[id].owner, Leaving: w.departer.IsLeaving(e.key()),
		}
		if e.watch != nil {
			row.Watched, row.Rank = true, e.watch.rank
		}
		s.Endpoints = append(s.Endpoints, row)
		if m, ok := w.departer.Marks[e.key()]; ok {
			s.Marks = append(s.Marks, MarkState{ID: id, Address: e.instance.Address, Mark: m})
		}
	}
	return s
}

// peerNode returns an instance's ID and location.
func peerNode(p gossiper.Peer) assigner.Node {
	return assigner.Node{ID: p.ID, DataCentre: p.DataCentre, Region: p.Region}
}

// defaultOptions returns the options that apply unless others are given.
func defaultOptions() options {
	return options{
		listInterval: 2 * time.Second, reportInterval: time.Second, timeout: time.Second, maxListLag: 10 * time.Second,
		retention: 10 * time.Minute, maxDirect: 64, watchersPerEndpoint: 2, maxEngines: 400,
		listBytesPerSecond: 1 << 10, loadBytesPerSecond: 3 << 10, clock: time.Now, logger: slog.New(slog.DiscardHandler),
	}
}
