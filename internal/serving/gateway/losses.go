package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/assigner"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

const (
	// watchersPerEndpoint is the number of instances that watch an endpoint: one of them may be partitioned or down.
	watchersPerEndpoint = 2
	// lossReportTimeout bounds the call that reports a loss to a peer. A response within a region takes a few
	// milliseconds.
	lossReportTimeout = 400 * time.Millisecond
)

// Loss reports an endpoint whose process has ended to other instances.
type Loss struct {
	Endpoint string
	Address  string
	// Finder is the instance that watched the endpoint and detected the loss.
	Finder string
}

// Losses is the net/rpc service that peers call.
type Losses struct {
	gateway *Gateway
}

// Tell handles a peer's report of a loss, and answers whether the endpoint is known.
func (l *Losses) Tell(loss Loss, known *bool) error {
	*known = l.gateway.recordLoss(l.gateway.clock(), loss)
	return nil
}

// assignWatches sets the endpoints that this instance watches. The endpoints of services that generate streams are
// assigned to the instances of their data centres. Nothing is done while neither instances nor endpoints have changed.
func (g *Gateway) assignWatches() {
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
		if s, ok := c.Services[e.Service]; ok && s.Engine != nil {
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

// reportLoss handles the end of an endpoint that this instance watches, and reports it to the other instances of the
// region. Each receives a call of its own: gossip takes some rounds, while the streams through the endpoint are
// stopped.
func (g *Gateway) reportLoss(now time.Time, endpoint, address string) {
	loss := Loss{Endpoint: endpoint, Address: address, Finder: g.settings.ID}
	g.recordLoss(now, loss)
	for _, p := range g.exchange.LivePeers() {
		if p.Region == g.settings.Region {
			go g.runReport(p, loss)
		}
	}
}

// runReport reports a loss to one peer. A peer that does not answer detects by itself that its streams are silent.
func (g *Gateway) runReport(p gossiper.Peer, loss Loss) {
	ctx, cancel := context.WithTimeout(context.Background(), lossReportTimeout)
	defer cancel()
	var known bool
	if err := g.exchange.Call(ctx, p, "Losses.Tell", loss, &known); err != nil {
		g.log.Debug("peer not told of a loss", "peer", p.ID, "endpoint", loss.Endpoint, "error", err)
	}
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
	g.forwarder.RecordLoss(now, loss.Endpoint)
	return true
}
