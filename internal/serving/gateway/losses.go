package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/assigner"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/serving/sentry"
)

const (
	// watchersPerEndpoint is the number of instances that watch an endpoint: one of them may be partitioned or down.
	watchersPerEndpoint = 2
	// watchDelay is how long after its start an instance watches no endpoint: it may not know the other instances yet, and
	// would open a connection to each endpoint. Those of a data centre that starts anew as a whole are not watched meanwhile.
	watchDelay = 2 * time.Second
)

// Loss reports an endpoint whose process has ended to other instances.
type Loss struct {
	Endpoint string
	Address  string
	// Finder is the instance that watched the endpoint and detected the loss.
	Finder string
	// Forward holds the ids of the instances to which the receiver passes the report on.
	Forward []string
}

// Losses is the net/rpc service that peers call.
type Losses struct {
	gateway *Gateway
}

// Tell handles a peer's report of a loss, passes it on, and answers whether the endpoint is known.
func (l *Losses) Tell(loss Loss, known *bool) error {
	l.gateway.spreadLoss(loss, l.gateway.livePeers(loss.Forward))
	*known = l.gateway.recordLoss(l.gateway.clock(), loss)
	return nil
}

// assignWatches sets the endpoints that this instance watches. Endpoints are assigned to the instances of their data centres.
// Nothing is done while neither instances nor endpoints have changed.
func (g *Gateway) assignWatches(now time.Time) {
	if now.Sub(g.startedAt) < watchDelay {
		return
	}
	instances := []assigner.Node{g.assignerNode(g.exchange.Self())}
	for _, p := range g.exchange.LivePeers() {
		if !p.Leaving && p.Region == g.settings.Region {
			instances = append(instances, g.assignerNode(p))
		}
	}
	c := g.forwarder.Configuration()
	if c == nil {
		return
	}
	g.mu.Lock()
	changed := g.endpointsChanged || !slices.Equal(instances, g.watcherNodes)
	g.endpointsChanged, g.watcherNodes = false, instances
	if !changed {
		g.mu.Unlock()
		return
	}
	addresses := map[string]string{}
	var endpoints []assigner.Node
	for _, e := range g.endpoints {
		if _, ok := c.Services[e.Service]; ok {
			addresses[e.ID] = e.Address
			endpoints = append(endpoints, assigner.Node{ID: e.ID, DataCentre: e.DataCentre, Region: g.settings.Region})
		}
	}
	g.mu.Unlock()
	watched := map[string]string{}
	for _, a := range assigner.Assignments(g.settings.ID, endpoints, instances, watchersPerEndpoint) {
		watched[a.Endpoint] = addresses[a.Endpoint]
	}
	g.sentry.Watch(watched)
}

// assignerNode returns a peer in the form that the assigner takes.
func (g *Gateway) assignerNode(p gossiper.Peer) assigner.Node {
	return assigner.Node{ID: p.ID, DataCentre: p.DataCentre, Region: p.Region}
}

// reportLoss handles the end of an endpoint that this instance has found, and reports it to the other instances of the
// region by calls: gossip takes some rounds, while the streams through the endpoint are stopped.
func (g *Gateway) reportLoss(now time.Time, endpoint, address string) {
	loss := Loss{Endpoint: endpoint, Address: address, Finder: g.settings.ID}
	g.recordLoss(now, loss)
	g.spreadLoss(loss, g.peersOfRegion())
}

// checkLoss reports the end of an endpoint on which a request broke off if its process is gone, unless its loss has become
// known meanwhile.
func (g *Gateway) checkLoss(ctx context.Context, endpoint, address string) {
	if !sentry.IsGone(ctx, address) {
		return
	}
	if now := g.clock(); !g.forwarder.IsLost(now, endpoint) {
		g.reportLoss(now, endpoint, address)
	}
}

// spreadLoss reports a loss to instances, most of them through others.
func (g *Gateway) spreadLoss(loss Loss, targets []gossiper.Peer) {
	g.spread(targets, func(ctx context.Context, p gossiper.Peer, forward []string) error {
		message := loss
		message.Forward = forward
		var known bool
		return g.exchange.Call(ctx, p, "Losses.Tell", message, &known)
	})
}

// recordLoss handles a loss and reports whether the endpoint is known. Nothing is done if the endpoint has another
// address by now: the old one may belong to another endpoint.
func (g *Gateway) recordLoss(now time.Time, loss Loss) bool {
	g.mu.Lock()
	e, ok := g.endpoints[loss.Endpoint]
	g.mu.Unlock()
	if !ok || e.Address != loss.Address {
		return false
	}
	g.log.Warn("endpoint lost", "endpoint", loss.Endpoint, "address", loss.Address, "peer", loss.Finder)
	if e.Leaving {
		g.forwarder.RecordDeparture(now, loss.Endpoint)
	} else {
		g.forwarder.RecordLoss(now, loss.Endpoint)
	}
	return true
}
