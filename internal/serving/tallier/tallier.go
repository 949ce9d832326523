// Package tallier sends the teams' counts to the teams' homes, which aggregate them, in a fleet that is too large for
// each instance to receive the counts of all others.
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
	// MinInstances is the least number of instances at which counts are sent to homes.
	MinInstances = 33
	// roundSlots is the number of rounds over which the homes are spread: each has its turn once in these rounds.
	roundSlots = 20
	// retention is the time after which an instance that sends no batch counts as gone.
	retention = time.Minute
	// callTimeout bounds the calls of a round.
	callTimeout = 500 * time.Millisecond
)

// Exchange calls other instances.
type Exchange interface {
	LivePeers() []gossiper.Peer
	Call(ctx context.Context, peer gossiper.Peer, method string, args, reply any) error
}

// Limits holds an instance's own counts and those that it has received.
type Limits interface {
	Counts() limiter.Counts
	MergePeerCounts(peer string, counts limiter.Counts)
}

// Batch is an instance's counts of the teams of one home. Owner names the process.
type Batch struct {
	Owner  string
	Counts limiter.Counts
}

// Sum is a home's reply: what all others have counted for the batch's teams. Home names the process.
type Sum struct {
	Home   string
	Counts limiter.Counts
}

// Tallier sends one instance's counts to the homes, and is the home of some teams. Its methods may be called from any
// goroutine.
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

// New returns the tallier of a process. The name of the process is owner, which no earlier process may have had.
func New(owner string, self gossiper.Peer, x Exchange, l Limits, clock func() time.Time, log *slog.Logger) *Tallier {
	return &Tallier{
		owner: owner, self: self, exchange: x, limits: l, clock: clock, log: log,
		collector: collector.New(retention), sender: collector.NewSender(roundSlots),
	}
}

// Homes holds the methods that peers call over net/rpc.
type Homes struct {
	Tallier *Tallier
}

// Collect records a batch and replies with the sum of the others' counts.
func (h *Homes) Collect(b Batch, reply *Sum) error {
	*reply = h.Tallier.collect(b)
	return nil
}

// Round sends counts to the homes whose turn it is, and merges their sums. A batch that a home does not confirm is sent
// again in the home's next turn.
func (t *Tallier) Round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for home, batch := range t.batches(t.limits.Counts()) {
		wait.Go(func() { t.sendBatch(ctx, home, batch) })
	}
	wait.Wait()
}

// batches returns the counts to send, by home.
func (t *Tallier) batches(own limiter.Counts) map[string]limiter.Counts {
	peers := t.exchange.LivePeers()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updatePeers(peers)
	return t.sender.Batches(own, t.homeOf)
}

// updatePeers sets the instances of the region. If they have changed, the homes are determined anew.
func (t *Tallier) updatePeers(peers []gossiper.Peer) {
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

// homeOf returns the instance that aggregates a team's counts.
func (t *Tallier) homeOf(team string) string {
	if h, ok := t.homes[team]; ok {
		return h
	}
	h := assigner.Watchers(assigner.Node{ID: team}, t.nodes, 1)[0]
	t.homes[team] = h
	return h
}

// sendBatch sends a batch to a home and merges the sum that it replies.
func (t *Tallier) sendBatch(ctx context.Context, home string, counts limiter.Counts) {
	b := Batch{Owner: t.owner, Counts: counts}
	var sum Sum
	if home == t.self.ID {
		sum = t.collect(b)
	} else if err := t.exchange.Call(ctx, t.peerByID(home), "Homes.Collect", b, &sum); err != nil {
		t.log.Debug("counts not sent", "home", home, "error", err)
		return
	}
	t.limits.MergePeerCounts(sum.Home, sum.Counts)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sender.Confirm(home, counts)
}

// peerByID returns the instance of the region with an id.
func (t *Tallier) peerByID(id string) gossiper.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[id]
}

// collect records a batch as the home of its teams, and returns the sum of the others' counts.
func (t *Tallier) collect(b Batch) Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Sum{Home: "home " + t.owner, Counts: t.collector.MergeReport(t.clock(), b.Owner, b.Counts)}
}
