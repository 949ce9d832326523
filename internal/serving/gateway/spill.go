package gateway

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// updateSpill sets the gauges of the shares of requests that leave the data centre, and logs each change of them.
func (g *Gateway) updateSpill(now time.Time) {
	for service, state := range g.forwarder.SpillStates(now) {
		for to, share := range state.Shares {
			g.meter.Scope().Tagged(map[string]string{"service": service, "to": to}).Gauge("spill_share").Update(share)
			// The counts are exported before the first crossing.
			g.forwarder.CountCrossings(service, to, string(reserver.ByShare), 0, 0)
		}
		for _, c := range state.Changes {
			g.log.Info("share of requests that leave the data centre changed", "service", service, "datacentre", g.settings.DataCentre,
				"target", c.To, "share", c.Share, "before", c.Before, "reason", string(c.Reason))
		}
	}
}
