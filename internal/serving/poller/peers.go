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

// The keys of an instance's entries in the head topic.
const (
	schemasKey     = "reads"
	deltaKeyFormat = "delta/%d"
)

// deltaTTL is how long a published delta stays in the exchange.
const deltaTTL = 30 * time.Second

// commitFanout is the least number of peers to which the instance that committed a delta forwards it at once.
const commitFanout = 8

// maxParallelQueries bounds the concurrent calls that query peers for their epochs.
const maxParallelQueries = 16

// Records holds the methods that peers call.
type Records struct {
	poller *Poller
}

// Status is the state of an instance's configuration as it reports it to peers.
type Status struct {
	ID    string
	Epoch int64
	// Vouches reports whether the instance has joined and can read the newest configuration that it knows.
	Vouches bool
	// Reads holds the highest schema version of each kind that the instance can read.
	Reads map[string]int
}

// Missing holds the changes after an epoch: the deltas, or the whole snapshot if the deltas are no longer held.
type Missing struct {
	Deltas []recorder.Delta
	Whole  recorder.Snapshot
}

// Nothing is an empty argument.
type Nothing struct{}

// Status sets the reply to the status of this instance's configuration.
func (r *Records) Status(_ Nothing, reply *Status) error {
	*reply = r.poller.status()
	return nil
}

// Learn applies a delta, forwards it to some peers if it is new, and sets the reply to the resulting status.
func (r *Records) Learn(delta recorder.Delta, reply *Status) error {
	r.poller.forward(r.poller.applyDelta(delta), delta, r.poller.options.fanout)
	*reply = r.poller.status()
	return nil
}

// Since sets the reply to the changes after an epoch.
func (r *Records) Since(epoch int64, reply *Missing) error {
	*reply = r.poller.missingAfter(epoch)
	return nil
}

// status returns the status of this instance's configuration.
func (p *Poller) status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{ID: p.id, Epoch: p.follower.ActiveEpoch, Vouches: p.follower.ConfirmsEpoch(), Reads: p.follower.Reader.HighestSchema}
}

// missingAfter returns the changes after an epoch.
func (p *Poller) missingAfter(epoch int64) Missing {
	p.mu.Lock()
	defer p.mu.Unlock()
	if epoch >= p.follower.LatestSnapshot.Epoch {
		return Missing{}
	}
	if len(p.recentDeltas) == 0 || p.recentDeltas[0].Epoch > epoch+1 {
		return Missing{Whole: p.follower.LatestSnapshot}
	}
	i, _ := slices.BinarySearchFunc(p.recentDeltas, epoch+1, func(d recorder.Delta, e int64) int { return cmp.Compare(d.Epoch, e) })
	return Missing{Deltas: slices.Clone(p.recentDeltas[i:])}
}

// PublishDelta applies a delta that this instance has committed, and publishes it to the other instances.
func (p *Poller) PublishDelta(delta recorder.Delta) {
	d := p.applyDelta(delta)
	value, err := json.Marshal(delta)
	if err == nil {
		p.exchange.Publish(gossiper.TopicHead, fmt.Sprintf(deltaKeyFormat, delta.Epoch), value, deltaTTL)
	}
	p.forward(d, delta, max(commitFanout, p.options.fanout))
}

// handleEntry applies a delta that a peer has published, and requests a round if deltas are missing.
func (p *Poller) handleEntry(e gossiper.Entry) {
	var delta recorder.Delta
	if e.Deleted || e.Key == schemasKey || json.Unmarshal(e.Value, &delta) != nil {
		return
	}
	d := p.applyDelta(delta)
	p.requestRound(d)
}

// forward forwards a delta to some peers if it was new here, and requests a round if deltas are missing.
func (p *Poller) forward(d follower.Decision, delta recorder.Delta, fanout int) {
	p.requestRound(d)
	if !d.LatestChanged {
		return
	}
	peers := p.randomPeers(fanout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	for _, peer := range peers {
		p.wait.Add(1)
		go p.runForward(peer, delta)
	}
}

// runForward forwards a delta to one peer and records its status.
func (p *Poller) runForward(peer gossiper.Peer, delta recorder.Delta) {
	defer p.wait.Done()
	ctx, cancel := context.WithTimeout(context.Background(), p.options.timeout)
	defer cancel()
	var reply Status
	if err := p.exchange.Call(ctx, peer, "Records.Learn", delta, &reply); err == nil {
		p.recordPeer(peer, reply)
	}
}

// requestRound makes loop run a round at once if deltas are missing.
func (p *Poller) requestRound(d follower.Decision) {
	if !d.NeedsFetch {
		return
	}
	select {
	case p.roundSignal <- struct{}{}:
	default:
	}
}

// randomPeers returns up to n peers at random.
func (p *Poller) randomPeers(n int) []gossiper.Peer {
	peers := slices.Clone(p.exchange.LivePeers())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// recordPeer records the status that a peer reported.
func (p *Poller) recordPeer(peer gossiper.Peer, s Status) follower.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.follower.RecordPeer(p.now(), peer.ID, s.Epoch, s.Vouches)
}

// catchUpFromPeers queries some peers for their epochs, and fetches missing deltas from those that have them.
func (p *Poller) catchUpFromPeers(ctx context.Context) {
	p.removeLeftPeers()
	for _, peer := range p.randomPeers(max(follower.DefaultMinConfirmations, p.options.fanout)) {
		var s Status
		if err := p.callPeer(ctx, peer, "Records.Status", Nothing{}, &s); err != nil {
			continue
		}
		if d := p.recordPeer(peer, s); d.NeedsFetch && s.Epoch > d.FetchAfterEpoch {
			p.fetchFrom(ctx, peer, d.FetchAfterEpoch)
		}
	}
}

// fetchFrom fetches and applies the changes after an epoch from a peer.
func (p *Poller) fetchFrom(ctx context.Context, peer gossiper.Peer, epoch int64) {
	var m Missing
	if err := p.callPeer(ctx, peer, "Records.Since", epoch, &m); err != nil {
		return
	}
	if m.Whole.Epoch > 0 {
		p.applySnapshot(m.Whole)
	}
	for _, delta := range m.Deltas {
		p.applyDelta(delta)
	}
}

// callPeer calls a peer with the timeout of the options.
func (p *Poller) callPeer(ctx context.Context, peer gossiper.Peer, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, p.options.timeout)
	defer cancel()
	return p.exchange.Call(ctx, peer, method, args, reply)
}

// removeLeftPeers removes the peers that the exchange no longer lists.
func (p *Poller) removeLeftPeers() {
	present := map[string]bool{}
	for _, peer := range p.exchange.LivePeers() {
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

// publishSchemas publishes the schema versions that this instance can read.
func (p *Poller) publishSchemas() {
	value, err := json.Marshal(p.follower.Reader.HighestSchema)
	if err == nil {
		p.exchange.Publish(gossiper.TopicHead, schemasKey, value, 0)
	}
}

// LiveInstances returns the live instances and the schema versions that each reports it can read: this one, its peers
// and, if there is a list, those that the platform lists. An instance that has published no versions is queried.
func (p *Poller) LiveInstances(ctx context.Context) []accepter.Instance {
	schemas := map[string]map[string]int{}
	for _, e := range p.exchange.Entries(gossiper.TopicHead) {
		var highest map[string]int
		if e.Key == schemasKey && !e.Deleted && json.Unmarshal(e.Value, &highest) == nil {
			schemas[e.Owner] = highest
		}
	}
	live := []accepter.Instance{{ID: p.id, ReadableSchemas: p.follower.Reader.HighestSchema}}
	var wait sync.WaitGroup
	peers := p.otherInstances(ctx)
	statuses := make([]Status, len(peers))
	for i, peer := range peers {
		if schemas[peer.ID] == nil {
			wait.Go(func() { _ = p.callPeer(ctx, peer, "Records.Status", Nothing{}, &statuses[i]) })
		}
	}
	wait.Wait()
	for i, peer := range peers {
		instance := accepter.Instance{ID: peer.ID, ReadableSchemas: schemas[peer.ID]}
		if instance.ReadableSchemas == nil {
			instance.ReadableSchemas = statuses[i].Reads
		}
		live = append(live, instance)
	}
	return live
}

// otherInstances returns the other live instances that are not leaving, ordered by id.
func (p *Poller) otherInstances(ctx context.Context) []gossiper.Peer {
	var peers []gossiper.Peer
	known := map[string]bool{p.id: true}
	for _, peer := range p.exchange.LivePeers() {
		known[peer.ID] = true
		if !peer.Leaving {
			peers = append(peers, peer)
		}
	}
	for _, i := range p.listedInstances(ctx) {
		if i.Role == lister.RoleEntry && !i.Leaving && !known[i.ID] {
			peers = append(peers, gossiper.Peer{ID: i.ID, Address: i.Address, DataCentre: i.DataCentre, Region: i.Region})
		}
	}
	slices.SortFunc(peers, func(a, b gossiper.Peer) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

// listedInstances returns the instances of the platform's list, or none if it cannot be read.
func (p *Poller) listedInstances(ctx context.Context) []lister.Instance {
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

// InstanceEpoch is the epoch that an instance has in force, or the error if it could not be queried.
type InstanceEpoch struct {
	ID    string `json:"id"`
	Epoch int64  `json:"epoch"`
	Error string `json:"error,omitempty"`
}

// ActiveEpochs queries live instances for the epochs that they have in force: those with the given ids, or all of them
// if none is given.
func (p *Poller) ActiveEpochs(ctx context.Context, ids []string) []InstanceEpoch {
	var peers []gossiper.Peer
	var out []InstanceEpoch
	isQueried := func(id string) bool { return len(ids) == 0 || slices.Contains(ids, id) }
	for _, peer := range p.otherInstances(ctx) {
		if isQueried(peer.ID) {
			peers = append(peers, peer)
			out = append(out, InstanceEpoch{ID: peer.ID})
		}
	}
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxParallelQueries)
	for i, peer := range peers {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			out[i] = p.queryEpoch(ctx, peer)
		})
	}
	wait.Wait()
	if isQueried(p.id) {
		out = append(out, InstanceEpoch{ID: p.id, Epoch: p.status().Epoch})
	}
	slices.SortFunc(out, func(a, b InstanceEpoch) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// queryEpoch queries one peer for the epoch that it has in force.
func (p *Poller) queryEpoch(ctx context.Context, peer gossiper.Peer) InstanceEpoch {
	var s Status
	if err := p.callPeer(ctx, peer, "Records.Status", Nothing{}, &s); err != nil {
		return InstanceEpoch{ID: peer.ID, Error: err.Error()}
	}
	p.recordPeer(peer, s)
	return InstanceEpoch{ID: peer.ID, Epoch: s.Epoch}
}
