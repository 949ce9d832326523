package poller

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/follower"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// The keys under which an instance shares values of the head's topic.
const (
	readsKey = "reads"
	deltaKey = "delta/%d"
)

// deltaLife is how long a delta stays in the exchange.
const deltaLife = 30 * time.Second

// firstFanout is the number of peers that the instance which committed a delta passes it on to at once.
const firstFanout = 8

// askAtOnce bounds the peers that are called at the same time.
const askAtOnce = 16

// Records holds the methods that peers call.
type Records struct {
	p *Poller
}

// Status is what an instance says of its configuration.
type Status struct {
	ID      string
	Epoch   int64
	Vouches bool
	// Reads holds the highest schema version that the instance reads of each kind.
	Reads map[string]int
}

// Missing is what follows an epoch: the deltas, or the whole snapshot if they are no longer held.
type Missing struct {
	Deltas []recorder.Delta
	Whole  recorder.Snapshot
}

// Nothing is an argument without content.
type Nothing struct{}

// Status answers the epoch in force and whether the instance vouches for it.
func (r *Records) Status(_ Nothing, reply *Status) error {
	*reply = r.p.status()
	return nil
}

// Learn takes a delta in and answers the epoch in force.
func (r *Records) Learn(delta recorder.Delta, reply *Status) error {
	r.p.pass(r.p.advance(delta), delta, r.p.options.fanout)
	*reply = r.p.status()
	return nil
}

// Since answers what follows an epoch.
func (r *Records) Since(epoch int64, reply *Missing) error {
	*reply = r.p.since(epoch)
	return nil
}

// status returns what this instance says of its configuration.
func (p *Poller) status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{ID: p.id, Epoch: p.follower.ActiveEpoch, Vouches: p.follower.ConfirmsEpoch(), Reads: p.follower.Reader.HighestSchema}
}

// since returns what follows an epoch.
func (p *Poller) since(epoch int64) Missing {
	p.mu.Lock()
	defer p.mu.Unlock()
	if epoch >= p.follower.LatestSnapshot.Epoch {
		return Missing{}
	}
	if len(p.recent) == 0 || p.recent[0].Epoch > epoch+1 {
		return Missing{Whole: p.follower.LatestSnapshot}
	}
	i, _ := slices.BinarySearchFunc(p.recent, epoch+1, func(d recorder.Delta, e int64) int { return cmp.Compare(d.Epoch, e) })
	return Missing{Deltas: slices.Clone(p.recent[i:])}
}

// Learn takes in a delta that this instance has committed, and shares it with the others.
func (p *Poller) Learn(delta recorder.Delta) {
	d := p.advance(delta)
	value, err := json.Marshal(delta)
	if err == nil {
		p.exchange.Publish(gossiper.TopicHead, fmt.Sprintf(deltaKey, delta.Epoch), value, deltaLife)
	}
	p.pass(d, delta, max(firstFanout, p.options.fanout))
}

// hear takes in what a peer shares: a delta.
func (p *Poller) hear(e gossiper.Entry) {
	var delta recorder.Delta
	if e.Deleted || e.Key == readsKey || json.Unmarshal(e.Value, &delta) != nil {
		return
	}
	d := p.advance(delta)
	p.signal(d)
}

// pass passes a delta that was new here on to some peers, and asks for a round if something is missing.
func (p *Poller) pass(d follower.Decision, delta recorder.Delta, fanout int) {
	p.signal(d)
	if !d.LatestChanged {
		return
	}
	peers := p.choose(fanout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	for _, peer := range peers {
		p.wait.Add(1)
		go p.runPass(peer, delta)
	}
}

// runPass passes a delta on to one peer.
func (p *Poller) runPass(peer gossiper.Peer, delta recorder.Delta) {
	defer p.wait.Done()
	ctx, cancel := context.WithTimeout(context.Background(), p.options.timeout)
	defer cancel()
	var reply Status
	if err := p.exchange.Call(ctx, peer, "Records.Learn", delta, &reply); err == nil {
		p.heard(peer, reply)
	}
}

// signal asks for a round if something is missing.
func (p *Poller) signal(d follower.Decision) {
	if !d.NeedsFetch {
		return
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// choose returns some peers at random.
func (p *Poller) choose(n int) []gossiper.Peer {
	peers := p.exchange.Peers()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.r.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// heard takes in what a peer says of its configuration.
func (p *Poller) heard(peer gossiper.Peer, s Status) follower.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.follower.RecordPeer(p.now(), peer.ID, s.Epoch, s.Vouches)
}

// ask asks some peers for their epochs and fetches what is missing from one that has it.
func (p *Poller) ask(ctx context.Context) {
	p.forget()
	for _, peer := range p.choose(max(follower.DefaultMinConfirmations, p.options.fanout)) {
		var s Status
		if err := p.call(ctx, peer, "Records.Status", Nothing{}, &s); err != nil {
			continue
		}
		if d := p.heard(peer, s); d.NeedsFetch && s.Epoch > d.FetchAfterEpoch {
			p.fetch(ctx, peer, d.FetchAfterEpoch)
		}
	}
}

// fetch fetches what follows an epoch from a peer.
func (p *Poller) fetch(ctx context.Context, peer gossiper.Peer, from int64) {
	var m Missing
	if err := p.call(ctx, peer, "Records.Since", from, &m); err != nil {
		return
	}
	if m.Whole.Epoch > 0 {
		p.apply(m.Whole)
	}
	for _, delta := range m.Deltas {
		p.advance(delta)
	}
}

// call calls a peer within the timeout.
func (p *Poller) call(ctx context.Context, peer gossiper.Peer, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, p.options.timeout)
	defer cancel()
	return p.exchange.Call(ctx, peer, method, args, reply)
}

// forget drops the peers that have left.
func (p *Poller) forget() {
	present := map[string]bool{}
	for _, peer := range p.exchange.Peers() {
		present[peer.ID] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.follower.Peers {
		if !present[id] {
			p.follower.RemovePeer(id)
		}
	}
}

// publishReads shares the schema versions that this instance reads.
func (p *Poller) publishReads() {
	value, err := json.Marshal(p.follower.Reader.HighestSchema)
	if err == nil {
		p.exchange.Publish(gossiper.TopicHead, readsKey, value, 0)
	}
}

// Live returns the live instances and the schema versions that each says it reads: this one, its peers and, if there
// is a list, those that the platform lists. An instance that has shared nothing is asked.
func (p *Poller) Live(ctx context.Context) []accepter.Instance {
	reads := map[string]map[string]int{}
	for _, e := range p.exchange.Entries(gossiper.TopicHead) {
		var highest map[string]int
		if e.Key == readsKey && !e.Deleted && json.Unmarshal(e.Value, &highest) == nil {
			reads[e.Owner] = highest
		}
	}
	live := []accepter.Instance{{ID: p.id, ReadableSchemas: p.follower.Reader.HighestSchema}}
	var wait sync.WaitGroup
	peers := p.members(ctx)
	answers := make([]Status, len(peers))
	for i, peer := range peers {
		if reads[peer.ID] == nil {
			wait.Go(func() { _ = p.call(ctx, peer, "Records.Status", Nothing{}, &answers[i]) })
		}
	}
	wait.Wait()
	for i, peer := range peers {
		instance := accepter.Instance{ID: peer.ID, ReadableSchemas: reads[peer.ID]}
		if instance.ReadableSchemas == nil {
			instance.ReadableSchemas = answers[i].Reads
		}
		live = append(live, instance)
	}
	return live
}

// members returns the other live instances that are not leaving, ordered by id.
func (p *Poller) members(ctx context.Context) []gossiper.Peer {
	var peers []gossiper.Peer
	known := map[string]bool{p.id: true}
	for _, peer := range p.exchange.Peers() {
		known[peer.ID] = true
		if !peer.Leaving {
			peers = append(peers, peer)
		}
	}
	for _, i := range p.listed(ctx) {
		if i.Role == lister.RoleEntry && !i.Leaving && !known[i.ID] {
			peers = append(peers, gossiper.Peer{ID: i.ID, Address: i.Address, DataCentre: i.DataCentre, Region: i.Region})
		}
	}
	slices.SortFunc(peers, func(a, b gossiper.Peer) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

// listed returns the platform's list, or nothing if it cannot be read.
func (p *Poller) listed(ctx context.Context) []lister.Instance {
	if p.options.lister == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.options.timeout)
	defer cancel()
	instances, err := p.options.lister.List(ctx)
	if err != nil {
		p.options.logger.Debug("instance list not read", "error", err)
		return nil
	}
	return instances
}

// Force is the epoch that an instance has in force, or why that is not known.
type Force struct {
	ID    string `json:"id"`
	Epoch int64  `json:"epoch"`
	Error string `json:"error,omitempty"`
}

// Forces asks live instances for the epochs that they have in force: those with the ids given, or all of them if none
// is given.
func (p *Poller) Forces(ctx context.Context, ids []string) []Force {
	var peers []gossiper.Peer
	var out []Force
	asked := func(id string) bool { return len(ids) == 0 || slices.Contains(ids, id) }
	for _, peer := range p.members(ctx) {
		if asked(peer.ID) {
			peers = append(peers, peer)
			out = append(out, Force{ID: peer.ID})
		}
	}
	var wait sync.WaitGroup
	places := make(chan struct{}, askAtOnce)
	for i, peer := range peers {
		places <- struct{}{}
		wait.Go(func() {
			defer func() { <-places }()
			out[i] = p.askForce(ctx, peer)
		})
	}
	wait.Wait()
	if asked(p.id) {
		out = append(out, Force{ID: p.id, Epoch: p.status().Epoch})
	}
	slices.SortFunc(out, func(a, b Force) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// askForce asks one peer for the epoch that it has in force.
func (p *Poller) askForce(ctx context.Context, peer gossiper.Peer) Force {
	var s Status
	if err := p.call(ctx, peer, "Records.Status", Nothing{}, &s); err != nil {
		return Force{ID: peer.ID, Error: err.Error()}
	}
	p.heard(peer, s)
	return Force{ID: peer.ID, Epoch: s.Epoch}
}
