package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/assigner"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

const (
	// watchers is the number of instances that watch an endpoint: one of them may be cut off or down.
	watchers = 2
	// lossTime bounds the call that tells a peer of a loss. An answer within a region takes a few milliseconds.
	lossTime = 400 * time.Millisecond
)

// Loss is an endpoint whose process has ended, as instances tell each other.
type Loss struct {
	Endpoint string
	Address  string
	// Finder is the instance that watched the endpoint.
	Finder string
}

// Losses holds the methods that peers call.
type Losses struct {
	g *Gateway
}

// Tell takes in a loss that a peer has found, and answers whether the endpoint was known.
func (l *Losses) Tell(loss Loss, known *bool) error {
	*known = l.g.lose(l.g.clock(), loss)
	return nil
}

// watch sets the endpoints that this instance watches: those of generating services, shared out among the instances of their
// data centres. Nothing is done while neither instances nor endpoints have changed.
func (g *Gateway) watch() {
	instances := []assigner.Node{g.node(g.exchange.Self())}
	for _, p := range g.exchange.Peers() {
		if !p.Leaving && p.Region == g.settings.Region {
			instances = append(instances, g.node(p))
		}
	}
	c := g.forwarder.Configuration()
	if c == nil {
		return
	}
	addresses := map[string]string{}
	var endpoints []assigner.Node
	g.mu.Lock()
	for _, e := range g.endpoints {
		if s, ok := c.Services[e.Service]; ok && s.Engine != nil {
			addresses[e.ID] = e.Address
			endpoints = append(endpoints, assigner.Node{ID: e.ID, DataCentre: e.DataCentre, Region: g.settings.Region})
		}
	}
	changed := g.moved || !slices.Equal(instances, g.watching)
	g.moved, g.watching = false, instances
	g.mu.Unlock()
	if !changed {
		return
	}
	own := map[string]string{}
	for _, d := range assigner.Assignments(g.settings.ID, endpoints, instances, watchers) {
		own[d.Endpoint] = addresses[d.Endpoint]
	}
	g.sentry.Watch(own)
}

// node returns an instance as watches are assigned.
func (g *Gateway) node(p gossiper.Peer) assigner.Node {
	return assigner.Node{ID: p.ID, DataCentre: p.DataCentre, Region: p.Region}
}

// gone takes in that an endpoint that this instance watches has ended, and tells the other instances of the region. Each is told
// by itself: gossip takes some rounds, and the streams through the endpoint wait.
func (g *Gateway) gone(now time.Time, endpoint, address string) {
	loss := Loss{Endpoint: endpoint, Address: address, Finder: g.settings.ID}
	g.lose(now, loss)
	for _, p := range g.exchange.Peers() {
		if p.Region == g.settings.Region {
			go g.runTell(p, loss)
		}
	}
}

// runTell tells one peer of a loss. One that does not answer finds the silence of its streams itself.
func (g *Gateway) runTell(p gossiper.Peer, loss Loss) {
	ctx, cancel := context.WithTimeout(context.Background(), lossTime)
	defer cancel()
	var known bool
	if err := g.exchange.Call(ctx, p, "Losses.Tell", loss, &known); err != nil {
		g.log.Debug("peer not told of a loss", "peer", p.ID, "endpoint", loss.Endpoint, "error", err)
	}
}

// lose takes in a loss and reports whether the endpoint is known. Its address may have passed to another one meanwhile.
func (g *Gateway) lose(now time.Time, loss Loss) bool {
	g.mu.Lock()
	e, ok := g.endpoints[loss.Endpoint]
	g.mu.Unlock()
	if !ok || e.Address != loss.Address {
		return false
	}
	g.log.Warn("endpoint lost", "endpoint", loss.Endpoint, "address", loss.Address, "peer", loss.Finder)
	g.forwarder.Lose(now, loss.Endpoint)
	return true
}
