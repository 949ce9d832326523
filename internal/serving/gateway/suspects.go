package gateway

import (
	"context"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/routing/screener"
)

// Suspicion passes a report on requests that crash endpoints on to other instances.
type Suspicion struct {
	Report screener.Report
	// Forward holds the ids of the instances to which the receiver passes the report on.
	Forward []string
}

// Suspects is the net/rpc service that peers call.
type Suspects struct {
	gateway *Gateway
}

// Tell handles a peer's report, passes it on, and answers which of the keys under which an endpoint crashed are proven
// here.
func (s *Suspects) Tell(suspicion Suspicion, proven *[]string) error {
	g := s.gateway
	g.spreadSuspicions(suspicion.Report, g.livePeers(suspicion.Forward))
	*proven = g.forwarder.MergeSuspicions(g.clock(), suspicion.Report)
	return nil
}

// tellSuspicions tells all other instances of the region a report of this instance.
func (g *Gateway) tellSuspicions(r screener.Report) { g.spreadSuspicions(r, g.peersOfRegion()) }

// spreadSuspicions tells instances a report, most of them through others. What they know better is told to all.
func (g *Gateway) spreadSuspicions(r screener.Report, targets []gossiper.Peer) {
	g.spread(targets, func(ctx context.Context, p gossiper.Peer, forward []string) error {
		var proven []string
		if err := g.exchange.Call(ctx, p, "Suspects.Tell", Suspicion{r, forward}, &proven); err != nil {
			return err
		}
		if news := g.forwarder.MergeReply(g.clock(), r, proven); !news.IsEmpty() {
			g.tellSuspicions(news)
		}
		return nil
	})
}
