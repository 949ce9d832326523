package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

const (
	// spreadTimeout bounds the call that tells a peer something. A response within a region takes a few milliseconds.
	spreadTimeout = 400 * time.Millisecond
	// spreadFanOut is the number of peers that one instance tells. Each passes it on to a part of the others, so that it
	// reaches a thousand instances in three calls one after another, and a small machine does not open a connection to each.
	spreadFanOut = 8
)

// spread tells instances something, most of them through others. The function tell tells one instance, which passes it on
// to those with the ids of forward.
func (g *Gateway) spread(targets []gossiper.Peer, tell func(ctx context.Context, p gossiper.Peer, forward []string) error) {
	for _, group := range fanOut(targets, spreadFanOut) {
		go g.runSpread(group, tell)
	}
}

// runSpread tells the first of a group of instances, which passes it on to the rest. If it does not respond, the next one
// is told.
func (g *Gateway) runSpread(group []gossiper.Peer, tell func(ctx context.Context, p gossiper.Peer, forward []string) error) {
	for i, p := range group {
		var forward []string
		for _, next := range group[i+1:] {
			forward = append(forward, next.ID)
		}
		ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
		err := tell(ctx, p, forward)
		cancel()
		if err == nil {
			return
		}
		g.log.Debug("peer not told", "peer", p.ID, "error", err)
	}
}

// peersOfRegion returns the other live instances of the region, in the order of orderTargets.
func (g *Gateway) peersOfRegion() []gossiper.Peer {
	var out []gossiper.Peer
	for _, p := range g.exchange.LivePeers() {
		if p.Region == g.settings.Region {
			out = append(out, p)
		}
	}
	return orderTargets(g.settings.ID, out)
}

// livePeers returns the live instances among those with some ids.
func (g *Gateway) livePeers(ids []string) []gossiper.Peer {
	var out []gossiper.Peer
	for _, id := range ids {
		if p, ok := g.exchange.LivePeer(id); ok {
			out = append(out, p)
		}
	}
	return out
}

// orderTargets orders the instances to which a loss is reported by data centre, so that most calls stay within one, and
// within it in an order of the reporter's own: the two watchers of an endpoint do not depend on the same instances.
func orderTargets(self string, targets []gossiper.Peer) []gossiper.Peer {
	slices.SortFunc(targets, func(a, b gossiper.Peer) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre),
			cmp.Compare(xxhash.Sum64String(self+a.ID), xxhash.Sum64String(self+b.ID)))
	})
	return targets
}

// fanOut splits instances into up to n groups of about the same size. The first of each passes a report on to the rest.
func fanOut(targets []gossiper.Peer, n int) [][]gossiper.Peer {
	var out [][]gossiper.Peer
	for i := range n {
		if group := targets[i*len(targets)/n : (i+1)*len(targets)/n]; len(group) > 0 {
			out = append(out, group)
		}
	}
	return out
}
