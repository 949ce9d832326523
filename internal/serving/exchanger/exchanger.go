// Package exchanger exchanges soft state between instances by gossip, and carries calls between them, over net/rpc.
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

// maxLeaveNotices bounds the peers that are notified directly when the instance leaves.
const maxLeaveNotices = 8

// Exchanger exchanges soft state and calls with the other instances. Its methods may be called from any goroutine.
type Exchanger struct {
	// Traffic counts the traffic with peers.
	Traffic TrafficCounters

	selfID         string
	options        options
	server         *rpc.Server
	messages       *messageBudget
	done           chan struct{}
	wait           sync.WaitGroup
	deliverySignal chan struct{}
	urgentSignal   chan struct{}

	mu          sync.Mutex
	closed      bool
	gossip      *gossiper.Gossiper
	subscribers map[string][]func(gossiper.Entry)
	pending     []delivery
	clients     map[string]*rpc.Client
	sessions    map[*session]struct{}
	listener    net.Listener
	random      *rand.Rand
}

// delivery is a pending call of a subscriber.
type delivery struct {
	callback func(gossiper.Entry)
	entry    gossiper.Entry
}

// New returns an Exchanger for an instance. It runs no gossip rounds and accepts no connections before Start.
func New(self gossiper.Peer, settings ...Option) *Exchanger {
	o := defaultOptions()
	for _, s := range settings {
		s(&o)
	}
	x := &Exchanger{
		options:        o,
		server:         rpc.NewServer(),
		messages:       &messageBudget{limit: o.messageBytes},
		done:           make(chan struct{}),
		deliverySignal: make(chan struct{}, 1),
		urgentSignal:   make(chan struct{}, 1),
		selfID:         self.ID,
		gossip:         gossiper.New(time.Now(), self, o.gossip...),
		subscribers:    map[string][]func(gossiper.Entry){},
		clients:        map[string]*rpc.Client{},
		sessions:       map[*session]struct{}{},
		random:         rand.New(rand.NewPCG(o.seed, uint64(time.Now().UnixNano()))),
	}
	if err := x.Register("Exchange", &Exchange{x}); err != nil {
		panic(err)
	}
	return x
}

// Register registers the methods of a receiver, as in net/rpc, for calls by peers. Call it before Start.
func (x *Exchanger) Register(name string, receiver any) error {
	return x.server.RegisterName(name, receiver)
}

// Subscribe calls f for each entry of a topic that another instance publishes, deletions included, in the order in which
// they arrive, beginning with the entries already held. The calls are sequential: f must not block.
func (x *Exchanger) Subscribe(topic string, f func(gossiper.Entry)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.subscribers[topic] = append(x.subscribers[topic], f)
	for _, e := range x.gossip.Entries(time.Now(), topic) {
		if e.Owner != x.gossip.Self.ID {
			x.pending = append(x.pending, delivery{f, e})
		}
	}
	x.signalDeliveries()
}

// Publish publishes a value under a topic and key, for ttl or, if ttl is 0, as long as the instance is alive. This
// instance's own subscribers are not called.
func (x *Exchanger) Publish(topic, key string, value []byte, ttl time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	defer x.startUrgentRound(x.gossip.UrgentRounds)
	x.gossip.Put(time.Now(), topic, key, value, ttl)
}

// Withdraw deletes a published value.
func (x *Exchanger) Withdraw(topic, key string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	defer x.startUrgentRound(x.gossip.UrgentRounds)
	x.gossip.Delete(time.Now(), topic, key)
}

// Entries returns the entries held of a topic, this instance's own included.
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

// LivePeers returns the other instances that are alive or suspected. The caller must not change the result.
func (x *Exchanger) LivePeers() []gossiper.Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossip.LivePeers(time.Now())
}

// LivePeer returns the instance with an ID, and whether it is among the live peers.
func (x *Exchanger) LivePeer(id string) (gossiper.Peer, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossip.LivePeer(time.Now(), id)
}

// KnownPeers returns all other instances that may respond, those known only from the platform's list included. The
// caller must not change the result.
func (x *Exchanger) KnownPeers() []gossiper.Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossip.KnownPeers(time.Now())
}

// Dump returns the gossip state for the state dump.
func (x *Exchanger) Dump() gossiper.Dump {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossip.Dump(time.Now())
}

// Start serves peers on a listener and begins the gossip rounds. Close closes the listener.
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

// Leave announces that the instance is leaving, and notifies some peers directly. It returns once these exchanges have
// ended, at the latest with the context.
func (x *Exchanger) Leave(ctx context.Context) {
	x.mu.Lock()
	x.gossip.Leave(time.Now())
	peers := slices.Clone(x.gossip.LivePeers(time.Now()))
	x.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	x.mu.Unlock()
	x.exchangeAll(ctx, peers[:min(maxLeaveNotices, len(peers))])
}

// Close closes the connections and the listener, and waits for the goroutines. Calls in progress fail.
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

// loopRounds runs a gossip round at each interval, and at once if there are urgent changes, until done is closed.
func (x *Exchanger) loopRounds() {
	defer x.wait.Done()
	for {
		timer := time.NewTimer(x.round())
		select {
		case <-x.done:
			timer.Stop()
			return
		case <-x.urgentSignal:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// round runs one gossip round and returns the time until the next.
func (x *Exchanger) round() time.Duration {
	now := time.Now()
	x.mu.Lock()
	x.queueDeliveries(x.gossip.BeginRound(now))
	peers := x.gossip.PickPeers(now, x.random)
	x.mu.Unlock()
	x.exchangeAll(context.Background(), peers)
	x.updateMetrics()
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gossip.RoundInterval(x.options.roundInterval)
}

// startUrgentRound starts the next round at once if urgent rounds have become due and none were before. The lock is
// held.
func (x *Exchanger) startUrgentRound(urgentRoundsBefore int) {
	if urgentRoundsBefore > 0 || !x.gossip.HasUrgentRound() {
		return
	}
	select {
	case x.urgentSignal <- struct{}{}:
	default:
	}
}

// exchangeAll runs exchanges with peers in parallel.
func (x *Exchanger) exchangeAll(ctx context.Context, peers []gossiper.Peer) {
	var wait sync.WaitGroup
	for _, p := range peers {
		wait.Go(func() { x.exchangeWith(ctx, p) })
	}
	wait.Wait()
}

// handleMessage handles a gossip message of a peer and returns the reply.
func (x *Exchanger) handleMessage(m gossiper.Message) gossiper.Message {
	x.mu.Lock()
	defer x.mu.Unlock()
	defer x.startUrgentRound(x.gossip.UrgentRounds)
	reply, entries := x.gossip.Handle(time.Now(), m)
	x.queueDeliveries(entries)
	return reply
}

// queueDeliveries queues calls of subscribers for entries. The lock is held.
func (x *Exchanger) queueDeliveries(entries []gossiper.Entry) {
	for _, e := range entries {
		for _, f := range x.subscribers[e.Topic] {
			x.pending = append(x.pending, delivery{f, e})
		}
	}
	x.signalDeliveries()
}

// signalDeliveries wakes loopDeliveries.
func (x *Exchanger) signalDeliveries() {
	select {
	case x.deliverySignal <- struct{}{}:
	default:
	}
}

// loopDeliveries calls subscribers for queued entries until done is closed.
func (x *Exchanger) loopDeliveries() {
	defer x.wait.Done()
	for {
		select {
		case <-x.done:
			return
		case <-x.deliverySignal:
		}
		x.mu.Lock()
		pending := x.pending
		x.pending = nil
		x.mu.Unlock()
		for _, d := range pending {
			d.callback(d.entry)
		}
	}
}

// firstListRetryDelay is the delay before the list is read again after a read that failed or listed no peer: about a
// gossip round, because nothing can be exchanged until a peer is known. It doubles up to the usual time between reads,
// so that an unavailable platform is not overloaded.
const firstListRetryDelay = 250 * time.Millisecond

// loopList reads peers from the platform's list until done is closed.
func (x *Exchanger) loopList() {
	defer x.wait.Done()
	retryDelay := firstListRetryDelay
	failed := false
	for {
		noPeers, err := x.readList()
		if (err != nil) != failed {
			failed = err != nil
			x.options.logger.Warn("instance list", "reached", !failed, "error", err)
		}
		wait := x.options.listInterval
		if noPeers || failed {
			wait = min(wait, x.jitter(retryDelay))
			retryDelay = min(x.options.listInterval, 2*retryDelay)
		} else {
			retryDelay = firstListRetryDelay
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

// jitter returns a random time between half of a delay and all of it, so that instances that start together do not read
// the list together.
func (x *Exchanger) jitter(delay time.Duration) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return delay/2 + time.Duration(x.random.Float64()*float64(delay/2))
}

// readList reads the platform's list once, and reports whether it lists no other instance.
func (x *Exchanger) readList() (bool, error) {
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
	return !slices.ContainsFunc(peers, func(p gossiper.Peer) bool { return p.ID != x.selfID }), nil
}

// entryPeers returns the listed instances with the entry role as peers.
func entryPeers(instances []lister.Instance) []gossiper.Peer {
	var out []gossiper.Peer
	for _, i := range instances {
		if i.Role == lister.RoleEntry {
			out = append(out, gossiper.Peer{ID: i.ID, Address: i.Address, DataCentre: i.DataCentre, Region: i.Region})
		}
	}
	return out
}

func (x *Exchanger) updateMetrics() {
	s := x.options.scope
	s.Gauge("exchange_sent_bytes").Update(float64(x.Traffic.Sent.Load()))
	s.Gauge("exchange_received_bytes").Update(float64(x.Traffic.Received.Load()))
	s.Gauge("exchange_calls").Update(float64(x.Traffic.Calls.Load()))
	s.Gauge("exchange_failed").Update(float64(x.Traffic.Failed.Load()))
	s.Gauge("exchange_peers").Update(float64(len(x.LivePeers())))
}

// AddPeer adds a peer that was discovered from a source other than the platform's list.
func (x *Exchanger) AddPeer(peer gossiper.Peer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gossip.Seed([]gossiper.Peer{peer})
}
