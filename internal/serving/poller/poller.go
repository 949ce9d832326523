// Package poller keeps an instance's configuration current: it reads the head from the store, applies what is new and
// passes it on to the other instances.
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

// keep is the number of deltas that an instance holds for peers that are behind.
const keep = 256

// DefaultFanout is the number of peers that a new delta is passed on to at once.
const DefaultFanout = 3

// Exchange is the exchange between instances.
type Exchange interface {
	Publish(topic, key string, value []byte, ttl time.Duration)
	Subscribe(topic string, f func(gossiper.Entry))
	Entries(topic string) []gossiper.Entry
	Peers() []gossiper.Peer
	Call(ctx context.Context, peer gossiper.Peer, method string, args, reply any) error
	Register(name string, receiver any) error
}

// Poller is one instance's configuration. Its methods may be called from any goroutine.
type Poller struct {
	id       string
	table    tabler.Table
	objects  storer.Store
	exchange Exchange
	options  options

	view atomic.Pointer[recorder.View]
	wake chan struct{}
	done chan struct{}
	wait sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	follower *follower.Follower
	recent   []recorder.Delta
	r        *rand.Rand
}

// options are the intervals and sources of a Poller.
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

// Option changes a Poller on construction.
type Option func(*options)

// WithInterval sets the least time between reads of the head.
func WithInterval(d time.Duration) Option { return func(o *options) { o.interval = d } }

// WithTimeout bounds each call to the store or to a peer.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// WithFanout sets the number of peers that a new delta is passed on to at once.
func WithFanout(n int) Option { return func(o *options) { o.fanout = n } }

// WithSeed sets the seed of the choice of peers.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option { return func(o *options) { o.clock = clock } }

// WithLister sets the platform's list, whose instances are told apart from those that peers know.
func WithLister(l lister.Lister) Option { return func(o *options) { o.lister = l } }

// WithLogger sets the log.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.logger = l } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(s tally.Scope) Option { return func(o *options) { o.scope = s } }

// WithFollower sets options of the decisions on what is in force.
func WithFollower(f ...follower.Option) Option { return func(o *options) { o.follower = f } }

// New returns a Poller for the instance with an id, which knows nothing yet. It registers its methods with the exchange,
// so call it before the exchange starts. The error is that of the registration.
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
		id:       id,
		table:    table,
		objects:  objects,
		exchange: exchange,
		options:  o,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		follower: follower.NewFollower(o.clock(), o.follower...),
		r:        rand.New(rand.NewPCG(o.seed, o.seed)),
	}
	empty, err := recorder.NewView(recorder.Snapshot{})
	if err != nil {
		return nil, err
	}
	p.view.Store(&empty)
	if err := exchange.Register("Records", &Records{p}); err != nil {
		return nil, err
	}
	p.publishReads()
	exchange.Subscribe(gossiper.TopicHead, p.hear)
	return p, nil
}

// Start begins the reads of the head.
func (p *Poller) Start() {
	p.wait.Add(1)
	go p.loop()
}

// Close ends the reads and waits for what is under way.
func (p *Poller) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.done)
	}
	p.mu.Unlock()
	p.wait.Wait()
}

// loop reads the head at each interval, and at once when something is known to be missing, until done is closed.
func (p *Poller) loop() {
	defer p.wait.Done()
	for {
		p.Round(context.Background())
		timer := time.NewTimer(p.pause())
		select {
		case <-p.done:
			timer.Stop()
			return
		case <-p.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// pause returns the time to the next read, spread by a tenth so that instances do not read in step.
func (p *Poller) pause() time.Duration {
	interval := follower.PollInterval(p.options.interval, 1+len(p.exchange.Peers()))
	p.mu.Lock()
	defer p.mu.Unlock()
	return interval - time.Duration(p.r.Int64N(int64(interval)/10+1))
}

// View returns the configuration in force. A request keeps the view that it was admitted under.
func (p *Poller) View() recorder.View {
	return *p.view.Load()
}

// Service returns a service of the configuration in force and whether there is one.
func (p *Poller) Service(name string) (recorder.Service, bool) {
	s, found := p.view.Load().Services[name]
	return s, found
}

// Fleet returns the limits in force.
func (p *Poller) Fleet() recorder.Fleet {
	return p.view.Load().Fleet
}

// Base returns the newest configuration known, as it was stored.
func (p *Poller) Base() recorder.Snapshot {
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

// Ready returns why the instance is not ready at now, or an empty text.
func (p *Poller) Ready(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, reason := p.follower.Ready(now)
	return reason
}

// State returns what the instance knows of the configuration and from whom.
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

// take carries out a decision on the configuration. The lock is held.
func (p *Poller) take(d follower.Decision) {
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

// apply takes in a whole snapshot. The deltas held do not lead up to it, so they are dropped.
func (p *Poller) apply(s recorder.Snapshot) follower.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.follower.ApplySnapshot(p.options.clock(), s)
	p.take(d)
	if d.LatestChanged {
		p.recent = nil
	}
	return d
}

// advance takes in a delta and holds it for peers that are behind.
func (p *Poller) advance(delta recorder.Delta) follower.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.follower.ApplyDelta(p.options.clock(), delta)
	p.take(d)
	if d.LatestChanged {
		p.recent = append(p.recent, delta)
		p.recent = p.recent[max(0, len(p.recent)-keep):]
	}
	return d
}
