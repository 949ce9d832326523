// Package watcher keeps an instance's picture of the endpoints: from the platform's list, from the load reports of the
// endpoints that it watches, and from what other instances share of theirs.
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

// Engines reads what engines tell of themselves.
type Engines interface {
	Load(ctx context.Context, address string) (streamer.Load, error)
}

// Router takes in what is known of engines.
type Router interface {
	Observe(now time.Time, e planner.Endpoint, r picker.Report)
	Leave(now time.Time, id string)
	Remove(now time.Time, id string)
	// Missed tells that an endpoint does not answer this instance's reads, and Answered that it does again.
	Missed(now time.Time, id string)
	Answered(now time.Time, id string)
}

// Services takes in what is known of the endpoints of plain services.
type Services interface {
	ObserveService(now time.Time, id, address, service string)
	LeaveService(now time.Time, id string)
	RemoveService(now time.Time, id string)
}

// Exchange shares soft state with other instances.
type Exchange interface {
	Publish(topic, key string, value []byte, ttl time.Duration)
	Withdraw(topic, key string)
	Subscribe(topic string, f func(gossiper.Entry))
	Peers() []gossiper.Peer
}

// Watcher polls the list and the engines that this instance watches. Its methods may be called from any goroutine.
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
	// told is what peers tell of endpoints, by ID.
	told map[string]told
	// listed counts the entries of the last list, regional the engines among which the duties are divided.
	listed   int
	regional int
	// used holds the engines that this instance routes to, or nil if these are all.
	used   map[string]bool
	chosen time.Time
	// reading counts the reads of loads that share the allowance.
	reading int
}

// endpoint is what is known of one server.
type endpoint struct {
	instance lister.Instance
	// found is when the endpoint became known, and heard whether that was by a peer alone.
	found time.Time
	heard bool
	watch *watch
	// group names what the endpoint holds, as last seen.
	group string
	// missed is set while the endpoint does not answer this instance's reads.
	missed bool
	// own is what this instance last shared.
	own    assigner.LoadReporter
	shared string
}

// key returns the endpoint's identity with regard to leaving.
func (e *endpoint) key() departer.Key {
	return departer.Key{ID: e.instance.ID, Address: e.instance.Address}
}

// node returns the endpoint's place.
func (e *endpoint) node() assigner.Node {
	return assigner.Node{ID: e.instance.ID, DataCentre: e.instance.DataCentre, Region: e.instance.Region}
}

// New returns a watcher of an instance that reads nothing before Start.
func New(self gossiper.Peer, l lister.Lister, e Engines, r Router, s Services, x Exchange, settings ...Option) *Watcher {
	o := defaults()
	for _, set := range settings {
		set(&o)
	}
	w := &Watcher{
		self: place(self), list: l, engines: e, router: r, services: s, exchange: x, options: o,
		done:      make(chan struct{}),
		departer:  departer.New(o.lag, o.retention),
		endpoints: map[string]*endpoint{},
		told:      map[string]told{},
	}
	return w
}

// Start begins to read, and to take in what peers share.
func (w *Watcher) Start() {
	w.exchange.Subscribe(gossiper.TopicEndpoint, w.hearEndpoint)
	w.exchange.Subscribe(gossiper.TopicLoad, w.hearLoad)
	w.exchange.Subscribe(gossiper.TopicLeaving, w.hearLeaving)
	w.exchange.Subscribe(gossiper.TopicListed, w.hearListed)
	w.wait.Add(2)
	go w.loopList()
	go w.loopDuties()
}

// Close ends the reads and waits for those under way.
func (w *Watcher) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.done)
	}
	w.mu.Unlock()
	w.wait.Wait()
}

// State is the watcher's state as shown to operators.
type State struct {
	// Listed counts the entries of the last list.
	Listed    int
	Endpoints []EndpointState
	Marks     []MarkState
}

// EndpointState is one endpoint and where its load comes from: polled here at a rank, or told by a peer.
type EndpointState struct {
	ID      string
	Address string
	Watched bool
	Rank    int
	Teller  string
	Leaving bool
}

// MarkState is one endpoint that is leaving, and the source of the sign.
type MarkState struct {
	ID      string
	Address string
	departer.Mark
}

// State returns the state at now.
func (w *Watcher) State(time.Time) State {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := State{Listed: w.listed}
	for _, id := range w.ids() {
		e := w.endpoints[id]
		row := EndpointState{
			ID: id, Address: e.instance.Address, Teller: w.told[id].owner, Leaving: w.departer.IsLeaving(e.key()),
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

// place returns where an instance is.
func place(p gossiper.Peer) assigner.Node {
	return assigner.Node{ID: p.ID, DataCentre: p.DataCentre, Region: p.Region}
}

// defaults returns the options of a Watcher unless given otherwise.
func defaults() options {
	return options{
		every: 2 * time.Second, report: time.Second, timeout: time.Second, lag: 10 * time.Second,
		retention: 10 * time.Minute, direct: 64, watchers: 2, subset: 400, listAllowance: 1 << 10, loadAllowance: 3 << 10,
		clock: time.Now, logger: slog.New(slog.DiscardHandler),
	}
}
