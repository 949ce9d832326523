// Package poller keeps an instance's configuration up to date: it polls the head in the store, applies new deltas and
// forwards them to the other instances.
package poller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/client/storer"
	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/follower"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// maxRecentDeltas is the number of deltas that an instance keeps for peers that are behind.
const maxRecentDeltas = 256

// DefaultFanout is the default number of peers to which a new delta is forwarded at once.
const DefaultFanout = 3

// Exchange publishes soft state to the other instances, and calls them.
type Exchange interface {
	Publish(topic, key string, value []byte, ttl time.Duration)
	Subscribe(topic string, f func(gossiper.Entry))
	Entries(topic string) []gossiper.Entry
	LivePeers() []gossiper.Peer
	Call(ctx context.Context, peer gossiper.Peer, method string, args, reply any) error
	Register(name string, receiver any) error
}

// Poller holds an instance's configuration and keeps it up to date. Its methods may be called from any goroutine.
type Poller struct {
	id       string
	table    tabler.Table
	objects  storer.Store
	exchange Exchange
	options  options

	view        atomic.Pointer[recorder.View]
	roundSignal chan struct{}
	done        chan struct{}
	wait        sync.WaitGroup

	mu           sync.Mutex
	closed       bool
	follower     *follower.Follower
	recentDeltas []recorder.Delta
	random       *rand.Rand
}

// options are the intervals, limits and dependencies of a Poller.
type options struct {
	interval time.Duration
	timeout  time.Duration
	fanout   int
	seed     uint64
	clock    func() time.Time
	lister   lister.Lister
	logger   *slog.Logger
	scope    tally.Scope
	follower []follower.Option
}

// Option changes a Poller under construction.
type Option func(*options)

// WithInterval sets the least time between reads of the head, before the jitter. A large fleet reads less often.
func WithInterval(d time.Duration) Option { return func(o *options) { o.interval = d } }

// WithTimeout bounds each call to the store or to a peer.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// WithFanout sets the number of peers to which a new delta is forwarded at once.
func WithFanout(n int) Option { return func(o *options) { o.fanout = n } }

// WithSeed sets the seed of the random choice of peers and of the jitter between reads of the head.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithClock sets the source of the current time.
func WithClock(clock func() time.Time) Option { return func(o *options) { o.clock = clock } }

// WithLister sets the platform's instance list, whose instances count as live beside the peers of the exchange.
func WithLister(l lister.Lister) Option { return func(o *options) { o.lister = l } }

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.logger = l } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(s tally.Scope) Option { return func(o *options) { o.scope = s } }

// WithFollower sets options of the follower, which decides what is in force.
func WithFollower(f ...follower.Option) Option { return func(o *options) { o.follower = f } }

// New returns a Poller, without a configuration, for the instance with an id. It registers its methods with the
// exchange, so call it before the exchange starts. An error means that the registration failed.
func New(id string, table tabler.Table, objects storer.Store, exchange Exchange, settings ...Option) (*Poller, error) {
	o := options{
		interval: time.Second,
		timeout:  time.Second,
		fanout:   DefaultFanout,
		clock:    time.Now,
		logger:   slog.New(slog.DiscardHandler),
		scope:    tally.NoopScope,
	}
	for _, s := range settings {
		s(&o)
	}
	p := &Poller{
		id:          id,
		table:       table,
		objects:     objects,
		exchange:    exchange,
		options:     o,
		roundSignal: make(chan struct{}, 1),
		done:        make(chan struct{}),
		follower:    follower.NewFollower(o.clock(), o.follower...),
		random:      rand.New(rand.NewPCG(o.seed, o.seed)),
	}
	empty, err := recorder.NewView(recorder.Snapshot{})
	if err != nil {
		return nil, err
	}
	p.view.Store(&empty)
	if err := exchange.Register("Records", &Records{p}); err != nil {
		return nil, err
	}
	p.publishSchemas()
	exchange.Subscribe(gossiper.TopicHead, p.handleEntry)
	return p, nil
}

// Start begins to poll the head.
func (p *Poller) Start() {
	p.wait.Add(1)
	go p.loop()
}

// Close ends the polling, and waits for the round and the calls in progress.
func (p *Poller) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.done)
	}
	p.mu.Unlock()
	p.wait.Wait()
}

// loop polls the head at each interval, and at once when deltas are known to be missing, until done is closed.
func (p *Poller) loop() {
	defer p.wait.Done()
	for {
		p.Poll(context.Background())
		timer := time.NewTimer(p.pollDelay())
		select {
		case <-p.done:
			timer.Stop()
			return
		case <-p.roundSignal:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// pollDelay returns the time until the next read, which grows with the number of instances. It is reduced at random by
// up to a tenth, so that instances do not read simultaneously.
func (p *Poller) pollDelay() time.Duration {
	interval := follower.PollInterval(p.options.interval, 1+len(p.exchange.LivePeers()))
	p.mu.Lock()
	defer p.mu.Unlock()
	return interval - time.Duration(p.random.Int64N(int64(interval)/10+1))
}

// View returns the configuration in force. A request keeps the view that it was admitted under.
func (p *Poller) View() recorder.View {
	return *p.view.Load()
}

// Service returns a service of the configuration in force, and whether it exists.
func (p *Poller) Service(name string) (recorder.Service, bool) {
	s, found := p.view.Load().Services[name]
	return s, found
}

// Fleet returns the fleet's record in force.
func (p *Poller) Fleet() recorder.Fleet {
	return p.view.Load().Fleet
}

// LatestSnapshot returns the newest known configuration, as it was stored.
func (p *Poller) LatestSnapshot() recorder.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.follower.LatestSnapshot
}

// Admits reports whether the instance may admit a request at now.
func (p *Poller) Admits(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.follower.Admits(now)
}

// NotReadyReason returns why the instance is not ready at now, or an empty string if it is.
func (p *Poller) NotReadyReason(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, reason := p.follower.Ready(now)
	return reason
}

// State returns the follower's state for the state dump: the configuration's epochs and the status of each peer.
func (p *Poller) State(time.Time) any {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := *p.follower
	state.Peers = map[string]follower.Peer{}
	for id, peer := range p.follower.Peers {
		state.Peers[id] = peer
	}
	return state
}

// applyDecision applies a decision of the follower. The lock is held.
func (p *Poller) applyDecision(d follower.Decision) {
	if d.Applied {
		p.view.Store(&d.View)
		p.options.scope.Gauge("config_epoch").Update(float64(d.View.Epoch))
		p.options.logger.Info("configuration in force", "epoch", d.View.Epoch)
	}
	if d.LatestChanged && d.Err != nil {
		p.options.scope.Counter("config_unreadable").Inc(1)
		p.options.logger.Error("configuration cannot be read; the last good one stays in force", "error", d.Err)
	}
}

// applySnapshot applies a whole snapshot. The recent deltas do not lead up to it, so they are dropped.
func (p *Poller) applySnapshot(s recorder.Snapshot) follower.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.follower.ApplySnapshot(p.options.clock(), s)
	p.applyDecision(d)
	if d.LatestChanged {
		p.recentDeltas = nil
	}
	return d
}

// applyDelta applies a delta and, if it is new, keeps it for peers that are behind.
func (p *Poller) applyDelta(delta recorder.Delta) follower.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.follower.ApplyDelta(p.options.clock(), delta)
	p.applyDecision(d)
	if d.LatestChanged {
		p.recentDeltas = append(p.recentDeltas, delta)
		p.recentDeltas = p.recentDeltas[max(0, len(p.recentDeltas)-maxRecentDeltas):]
	}
	return d
}
