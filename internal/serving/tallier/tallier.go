// Package tallier carries the teams' counts to their homes, in a fleet too large for each instance to hear all others.
package tallier

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/assigner"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/routing/collector"
	"github.com/heatherrock/heatherrock/internal/routing/limiter"
)

const (
	// From is the number of instances from which counts go to homes.
	From = 33
	// slots is the number of rounds over which the homes are spread.
	slots = 20
	// retention is the time after which a silent instance counts as gone.
	retention = time.Minute
	// timeout bounds a call.
	timeout = 500 * time.Millisecond
)

// Exchange calls other instances.
type Exchange interface {
	Peers() []gossiper.Peer
	Call(ctx context.Context, peer gossiper.Peer, method string, args, reply any) error
}

// Limits holds the counts.
type Limits interface {
	Counts() limiter.Counts
	Merge(peer string, counts limiter.Counts)
}

// Batch is an instance's counts of the teams of one home. Owner names the process.
type Batch struct {
	Owner  string
	Counts limiter.Counts
}

// Sum is a home's answer: what all others have counted for the batch's teams. Home names the process.
type Sum struct {
	Home   string
	Counts limiter.Counts
}

// Tallier is one instance's part. Its methods may be called from any goroutine.
type Tallier struct {
	owner    string
	self     gossiper.Peer
	exchange Exchange
	limits   Limits
	clock    func() time.Time
	log      *slog.Logger

	mu        sync.Mutex
	collector *collector.Collector
	sender    *collector.Sender
	peers     map[string]gossiper.Peer
	nodes     []assigner.Node
	homes     map[string]string
}

// New returns the part of a process, whose name differs from that of any process before it.
func New(owner string, self gossiper.Peer, x Exchange, l Limits, clock func() time.Time, log *slog.Logger) *Tallier {
	return &Tallier{
		owner: owner, self: self, exchange: x, limits: l, clock: clock, log: log,
		collector: collector.New(retention), sender: collector.NewSender(slots),
	}
}

// Homes holds the methods that peers call.
type Homes struct {
	Tallier *Tallier
}

// Collect takes a batch in and answers with the sum of the others.
func (h *Homes) Collect(b Batch, reply *Sum) error {
	*reply = h.Tallier.collect(b)
	return nil
}

// Round sends counts to the homes whose turn it is, and takes their sums in. A batch that a home does not confirm is sent
// again in the home's next turn.
func (t *Tallier) Round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var wait sync.WaitGroup
	for home, batch := range t.batches(t.limits.Counts()) {
		wait.Go(func() { t.send(ctx, home, batch) })
	}
	wait.Wait()
}

// batches returns the counts to send, by home.
func (t *Tallier) batches(own limiter.Counts) map[string]limiter.Counts {
	peers := t.exchange.Peers()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learn(peers)
	return t.sender.Batches(own, t.home)
}

// learn takes in the instances of the region. The homes are worked out anew if they have changed.
func (t *Tallier) learn(peers []gossiper.Peer) {
	byID := map[string]gossiper.Peer{t.self.ID: t.self}
	for _, p := range peers {
		if p.Region == t.self.Region && !p.Leaving {
			byID[p.ID] = p
		}
	}
	var nodes []assigner.Node
	for id := range byID {
		nodes = append(nodes, assigner.Node{ID: id})
	}
	slices.SortFunc(nodes, func(a, b assigner.Node) int { return strings.Compare(a.ID, b.ID) })
	if !slices.Equal(nodes, t.nodes) {
		t.nodes, t.homes = nodes, map[string]string{}
	}
	t.peers = byID
}

// home returns the instance that adds up a team's counts.
func (t *Tallier) home(team string) string {
	if h, ok := t.homes[team]; ok {
		return h
	}
	h := assigner.Watchers(assigner.Node{ID: team}, t.nodes, 1)[0]
	t.homes[team] = h
	return h
}

// send sends a batch to a home and takes the sum in.
func (t *Tallier) send(ctx context.Context, home string, counts limiter.Counts) {
	b := Batch{Owner: t.owner, Counts: counts}
	var sum Sum
	if home == t.self.ID {
		sum = t.collect(b)
	} else if err := t.exchange.Call(ctx, t.peer(home), "Homes.Collect", b, &sum); err != nil {
		t.log.Debug("counts not sent", "home", home, "error", err)
		return
	}
	t.limits.Merge(sum.Home, sum.Counts)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sender.Confirm(home, counts)
}

// peer returns an instance of the region.
func (t *Tallier) peer(id string) gossiper.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[id]
}

// collect takes a batch in.
func (t *Tallier) collect(b Batch) Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Sum{Home: "home " + t.owner, Counts: t.collector.Take(t.clock(), b.Owner, b.Counts)}
}
