// Package exchanger carries soft state and calls between instances over net/rpc.
package exchanger

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

// leavePeers bounds the peers that are told at once when the instance leaves.
const leavePeers = 8

// Exchanger is one instance's part in the exchange. Its methods may be called from any goroutine.
type Exchanger struct {
	// Count counts the traffic with peers.
	Count Count

	self    string
	options options
	server  *rpc.Server
	done    chan struct{}
	wait    sync.WaitGroup
	wake    chan struct{}
	urgent  chan struct{}

	mu          sync.Mutex
	closed      bool
	gossip      *gossiper.Gossiper
	subscribers map[string][]func(gossiper.Entry)
	pending     []delivery
	clients     map[string]*rpc.Client
	sessions    map[*session]struct{}
	listener    net.Listener
	r           *rand.Rand
}

// delivery is an entry that a subscriber has still to be called for.
type delivery struct {
	f     func(gossiper.Entry)
	entry gossiper.Entry
}

// New returns an Exchanger for an instance. It exchanges nothing before Start.
func New(self gossiper.Peer, settings ...Option) *Exchanger {
	o := defaults()
	for _, s := range settings {
		s(&o)
	}
	x := &Exchanger{
		options:     o,
		server:      rpc.NewServer(),
		done:        make(chan struct{}),
		wake:        make(chan struct{}, 1),
		urgent:      make(chan struct{}, 1),
		self:        self.ID,
		gossip:      gossiper.New(time.Now(), self, o.gossip...),
		subscribers: map[string][]func(gossiper.Entry){},
		clients:     map[string]*rpc.Client{},
		sessions:    map[*session]struct{}{},
		r:           rand.New(rand.NewPCG(o.seed, uint64(time.Now().UnixNano()))),
	}
	if err := x.Register("Exchange", &Exchange{x}); err != nil {
		panic(err)
	}
	return x
}

// Register adds the methods of a receiver to those that peers may call, as in net/rpc. Call it before Start.
func (x *Exchanger) Register(name string, receiver any) error {
	return x.server.RegisterName(name, receiver)
}

// Subscribe calls f for each entry of a topic that another instance shares, deletions included, in the order in which
// they come in. Entries that are held already come first. The calls are made one after another: f must not block.
func (x *Exchanger) Subscribe(topic string, f func(gossiper.Entry)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.subscribers[topic] = append(x.subscribers[topic], f)
	for _, e := range x.gossip.Entries(time.Now(), topic) {
		if e.Owner != x.gossip.Self.ID {
			x.pending = append(x.pending, delivery{f, e})
		}
	}
	x.signal()
}

// Publish shares a value under a topic and key, for ttl or as long as the instance lives if ttl is 0. This instance's
// own subscribers are not called.
func (x *Exchanger) Publish(topic, key string, value []byte, ttl time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	defer x.hasten(x.gossip.UrgentRounds)
	x.gossip.Put(time.Now(), topic, key, value, ttl)
}

// Withdraw removes a value shared before.
func (x *Exchanger) Withdraw(topic, key string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	defer x.hasten(x.gossip.UrgentRounds)
	x.gossip.Delete(time.Now(), topic, key)
}

// Entries returns the entries of a topic that are held, this instance's own included.
func (x *Exchanger) Entries(topic string) []gossiper.Entry {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossip.Entries(time.Now(), topic)
}

// Self returns this instance.
func (x *Exchanger) Self() gossiper.Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossip.Self
}

// Peers returns the other instances that are alive or suspected.
func (x *Exchanger) Peers() []gossiper.Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossip.LivePeers(time.Now())
}

// Known returns all other instances that may answer, those known only from the platform's list included.
func (x *Exchanger) Known() []gossiper.Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossip.KnownPeers()
}

// Dump returns the state of the exchange.
func (x *Exchanger) Dump() gossiper.Dump {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossip.Dump(time.Now())
}

// Start serves peers on a listener and begins the rounds. The listener is closed by Close.
func (x *Exchanger) Start(l net.Listener) {
	x.listener = l
	x.wait.Add(3)
	go x.runServer()
	go x.loopRounds()
	go x.loopDeliveries()
	if x.options.lister != nil {
		x.wait.Add(1)
		go x.loopList()
	}
}

// Leave announces that the instance goes, and tells some peers at once. It returns when they know or the context ends.
func (x *Exchanger) Leave(ctx context.Context) {
	x.mu.Lock()
	x.gossip.Leave(time.Now())
	peers := x.gossip.LivePeers(time.Now())
	x.r.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	x.mu.Unlock()
	x.exchangeAll(ctx, peers[:min(leavePeers, len(peers))])
}

// Close ends the exchange and waits for its goroutines.
func (x *Exchanger) Close() {
	x.mu.Lock()
	if x.closed {
		x.mu.Unlock()
		return
	}
	x.closed = true
	close(x.done)
	for _, c := range x.clients {
		_ = c.Close()
	}
	for s := range x.sessions {
		_ = s.raw.Close()
	}
	x.mu.Unlock()
	if x.listener != nil {
		_ = x.listener.Close()
	}
	x.wait.Wait()
}

// loopRounds begins a round at each interval, and sooner with urgent news, until done is closed.
func (x *Exchanger) loopRounds() {
	defer x.wait.Done()
	for {
		timer := time.NewTimer(x.round())
		select {
		case <-x.done:
			timer.Stop()
			return
		case <-x.urgent:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// round exchanges with the peers of one round and returns the time to the next.
func (x *Exchanger) round() time.Duration {
	now := time.Now()
	x.mu.Lock()
	x.deliver(x.gossip.BeginRound(now))
	peers := x.gossip.PickPeers(now, x.r)
	x.mu.Unlock()
	x.exchangeAll(context.Background(), peers)
	x.report()
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossip.RoundInterval(x.options.interval)
}

// hasten begins the next round at once if urgent news has come since a time at which there was none. The lock is held.
func (x *Exchanger) hasten(before int) {
	if before > 0 || x.gossip.UrgentRounds == 0 {
		return
	}
	select {
	case x.urgent <- struct{}{}:
	default:
	}
}

// exchangeAll exchanges with peers side by side.
func (x *Exchanger) exchangeAll(ctx context.Context, peers []gossiper.Peer) {
	var wait sync.WaitGroup
	for _, p := range peers {
		wait.Go(func() { x.exchange(ctx, p) })
	}
	wait.Wait()
}

// handle takes a message of a peer in and returns the answer.
func (x *Exchanger) handle(m gossiper.Message) gossiper.Message {
	x.mu.Lock()
	defer x.mu.Unlock()
	defer x.hasten(x.gossip.UrgentRounds)
	reply, entries := x.gossip.Handle(time.Now(), m)
	x.deliver(entries)
	return reply
}

// deliver queues entries for subscribers. The lock is held.
func (x *Exchanger) deliver(entries []gossiper.Entry) {
	for _, e := range entries {
		for _, f := range x.subscribers[e.Topic] {
			x.pending = append(x.pending, delivery{f, e})
		}
	}
	x.signal()
}

// signal wakes the deliveries.
func (x *Exchanger) signal() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// loopDeliveries calls subscribers until done is closed.
func (x *Exchanger) loopDeliveries() {
	defer x.wait.Done()
	for {
		select {
		case <-x.done:
			return
		case <-x.wake:
		}
		x.mu.Lock()
		pending := x.pending
		x.pending = nil
		x.mu.Unlock()
		for _, d := range pending {
			d.f(d.entry)
		}
	}
}

// firstList is the pause before the list is read again after a read that failed or told of no peer: about a round of the exchange,
// as nothing can be exchanged before. It doubles up to the usual time between reads, so that a platform which is away is not pressed.
const firstList = 250 * time.Millisecond

// loopList learns peers from the platform's list until done is closed.
func (x *Exchanger) loopList() {
	defer x.wait.Done()
	pause := firstList
	failed := false
	for {
		alone, err := x.learn()
		if (err != nil) != failed {
			failed = err != nil
			x.options.logger.Warn("instance list", "reached", !failed, "error", err)
		}
		wait := x.options.list
		if alone || failed {
			wait = min(wait, x.spread(pause))
			pause = min(x.options.list, 2*pause)
		} else {
			pause = firstList
		}
		t := time.NewTimer(wait)
		select {
		case <-x.done:
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// spread returns a time between half of a pause and all of it, so that instances that start together do not ask together.
func (x *Exchanger) spread(pause time.Duration) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return pause/2 + time.Duration(x.r.Float64()*float64(pause/2))
}

// learn reads the platform's list once, and reports whether it tells of no other instance.
func (x *Exchanger) learn() (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), x.options.timeout)
	defer cancel()
	instances, err := x.options.lister.List(ctx)
	if err != nil {
		return false, err
	}
	peers := entryPeers(instances)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gossip.SetListed(peers)
	return !slices.ContainsFunc(peers, func(p gossiper.Peer) bool { return p.ID != x.self }), nil
}

// entryPeers returns the entry instances of the platform's list as peers.
func entryPeers(instances []lister.Instance) []gossiper.Peer {
	var out []gossiper.Peer
	for _, i := range instances {
		if i.Role == lister.RoleEntry {
			out = append(out, gossiper.Peer{ID: i.ID, Address: i.Address, DataCentre: i.DataCentre, Region: i.Region})
		}
	}
	return out
}

// report updates the metrics.
func (x *Exchanger) report() {
	s := x.options.scope
	s.Gauge("exchange_sent_bytes").Update(float64(x.Count.Sent.Load()))
	s.Gauge("exchange_received_bytes").Update(float64(x.Count.Received.Load()))
	s.Gauge("exchange_calls").Update(float64(x.Count.Calls.Load()))
	s.Gauge("exchange_failed").Update(float64(x.Count.Failed.Load()))
	s.Gauge("exchange_peers").Update(float64(len(x.Peers())))
}

// Meet adds a peer that was learnt of in another way than by the list.
func (x *Exchanger) Meet(peer gossiper.Peer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gossip.Seed([]gossiper.Peer{peer})
}
