package gateway

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/routing/limiter"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/serving/accountant"
	"github.com/heatherrock/heatherrock/internal/serving/director"
	"github.com/heatherrock/heatherrock/internal/serving/forwarder"
)

// handleConfigRows handles changes of the configuration's table.
func (g *Gateway) handleConfigRows(now time.Time, rows []replicator.Row) {
	for _, r := range rows {
		if r.Key != g.platform.ConfigKey || r.Deleted {
			continue
		}
		c, err := g.platform.DecodeConfig(r.Value)
		if err != nil {
			g.log.Error("configuration not read: the one before stays in force", "row", r.Version, "error", err)
			continue
		}
		if active := g.forwarder.Configuration(); active != nil && active.Version >= c.Version {
			g.log.Warn("older configuration ignored", "configuration", c.Version, "inforce", active.Version)
			continue
		}
		g.forwarder.Configure(c)
		g.bounds.callers.Rearm()
		g.log.Info("configuration in force", "configuration", c.Version, "row", r.Version, "routes", c.Table.RouteCount(),
			"services", len(c.Services), "credentials", len(c.Teams), "open", c.IsOpen)
		g.distributeEndpoints(now)
	}
}

// handleEndpointRows handles changes of the endpoints' table.
func (g *Gateway) handleEndpointRows(now time.Time, rows []replicator.Row) {
	var disappeared []string
	g.mu.Lock()
	g.endpointsChanged = true
	for _, r := range rows {
		delete(g.foreignLayers, r.Key)
		if r.Deleted {
			if e, ok := g.endpoints[r.Key]; ok && !e.Leaving {
				disappeared = append(disappeared, r.Key)
			}
			g.unlist(now, r.Key)
			g.log.Info("endpoint gone", "endpoint", r.Key, "row", r.Version)
			continue
		}
		e, err := g.platform.DecodeEndpoint(r.Key, r.Value)
		if err != nil {
			g.unlist(now, r.Key)
			g.log.Warn("endpoint not read", "row", r.Version, "error", err)
			continue
		}
		e.Leaving = e.Leaving || g.listProcess(r.Key, e.Born).isLeaving
		g.endpoints[r.Key] = e
		g.log.Info("endpoint", "endpoint", e.ID, "service", e.Service, "address", e.Address, "datacentre", e.DataCentre,
			"card", e.Card, "from", e.Held.From, "to", e.Held.To, "leaving", e.Leaving, "row", r.Version)
	}
	g.mu.Unlock()
	for _, endpoint := range disappeared {
		g.forwarder.RecordDisappearance(now, endpoint)
	}
	g.distributeEndpoints(now)
}

// distributeEndpoints passes the endpoints on to the forwarder and the directors.
func (g *Gateway) distributeEndpoints(now time.Time) {
	c := g.forwarder.Configuration()
	if c == nil {
		return
	}
	g.mu.Lock()
	all := make([]forwarder.Endpoint, 0, len(g.endpoints))
	models := map[string][]director.Endpoint{}
	for _, e := range g.endpoints {
		if engine := c.Services[e.Service].Engine; engine != nil && !engine.HasLayers(e.Held) {
			g.logForeignLayers(e)
			continue
		}
		all = append(all, forwarder.Endpoint{Service: e.Service, Endpoint: reserver.Endpoint{
			ID: e.ID, Address: e.Address, DataCentre: e.DataCentre, Card: e.Card, Held: e.Held, Leaving: e.Leaving,
		}, Slots: e.Slots})
		models[e.Service] = append(models[e.Service], e)
	}
	g.mu.Unlock()
	g.forwarder.UpdateEndpoints(now, all)
	for name, s := range c.Services {
		if s.Engine != nil {
			g.director(name).UpdateModel(now, director.Model{Engine: s.Engine, Endpoints: models[name]})
		}
	}
}

// logForeignLayers logs once that an endpoint is not used because it states layers that its model does not have. The lock is held.
func (g *Gateway) logForeignLayers(e director.Endpoint) {
	if held, ok := g.foreignLayers[e.ID]; ok && held == e.Held {
		return
	}
	g.foreignLayers[e.ID] = e.Held
	g.log.Warn("endpoint not used: its model does not have its layers", "endpoint", e.ID, "service", e.Service, "from", e.Held.From, "to", e.Held.To)
}

// director returns the director of a service's model. It is started at the first call.
func (g *Gateway) director(service string) *director.Director {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.directors[service]
	if !ok {
		d = director.New(g.settings.ID, service, g.platform.Store, g.exchange, g.platform.Orderer, g.log, g.clock, director.WithScope(g.meter.Scope()))
		g.directors[service] = d
		if g.leaving.Load() {
			d.MarkLeaving()
		}
		d.Start()
	}
	return d
}

// allDirectors returns the directors of all services.
func (g *Gateway) allDirectors() []*director.Director {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*director.Director, 0, len(g.directors))
	for _, d := range g.directors {
		out = append(out, d)
	}
	return out
}

// loop calls f at each interval until done is closed.
func (g *Gateway) loop(interval time.Duration, f func(now time.Time)) {
	defer g.wait.Done()
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-t.C:
			f(g.clock())
		}
	}
}

// followMembers passes on the number of instances and assigns the watches among them.
func (g *Gateway) followMembers(now time.Time) {
	instances := len(g.exchange.KnownPeers()) + 1
	for _, a := range g.forwarder.Allocators() {
		a.SetInstanceCount(instances)
	}
	g.assignWatches(now)
}

// updateGauges sets this instance's gauges, and logs which layer is short of memory.
func (g *Gateway) updateGauges(now time.Time) {
	instances := len(g.exchange.KnownPeers()) + 1
	for service, a := range g.forwarder.Allocators() {
		load, waiting := a.Load(now)
		scope := g.meter.Scope().Tagged(map[string]string{"service": service})
		scope.Gauge("memory_reserved").Update(load)
		scope.Gauge("waiting").Update(float64(waiting))
		scope.Gauge("endpoints_shared").Update(float64(a.SharedEndpoints()))
		bottleneck := a.Bottleneck(now)
		g.recordDemand(now, service, bottleneck, waiting)
		updateAdmissionGauges(scope, a.Admissions(now))
		if waiting > 0 && now.Sub(g.shortageLoggedAt) >= shortageLogInterval {
			g.shortageLoggedAt = now
			g.log.Info("requests wait for memory", "service", service, "waiting", waiting, "load", load, "layer", bottleneck.Layer,
				"holders", bottleneck.Holders, "room", bottleneck.Memory, "used", bottleneck.Reserved)
		}
	}
	g.updateSpill(now)
	for service, left := range g.forwarder.RetriesLeft(now) {
		g.meter.Scope().Tagged(map[string]string{"service": service}).Gauge("repeats_left").Update(left)
	}
	for _, table := range []string{g.platform.ConfigTable, g.platform.EndpointTable} {
		status, _ := g.syncer.Status(now, table)
		scope := g.meter.Scope().Tagged(map[string]string{"table": table})
		scope.Gauge("table_age").Update(status.Age.Seconds())
		scope.Gauge("table_version").Update(float64(status.Head.Version))
		scope.Gauge("table_era").Update(float64(status.Head.Era))
		scope.Gauge("store_reached").Update(boolGauge(status.Reached))
		scope.Gauge("read_pending").Update(status.Pending.Seconds())
		scope.Gauge("reads_paused").Update(boolGauge(status.Paused))
	}
	if c := g.forwarder.Configuration(); c != nil {
		g.meter.SetGauge("configuration", float64(c.Version))
	}
	limited, leaving := g.forwarder.StatedCounts()
	g.meter.SetGauge("endpoints_limited", float64(limited))
	g.meter.SetGauge("endpoints_leaving", float64(leaving))
	suspected, refused := g.forwarder.Suspects(now)
	g.meter.SetGauge("suspects", float64(suspected))
	g.meter.SetGauge("suspects_refused", float64(refused))
	g.meter.SetGauge("instances", float64(instances))
	g.meter.SetGauge("flight", float64(g.forwarder.InFlight()))
	g.meter.SetGauge("clients_open", float64(g.bounds.callers.Open()))
	g.meter.SetGauge("clients_memory", float64(g.bounds.budget.Used()))
}

// recordDemand passes the demand for a model's memory on to its director.
func (g *Gateway) recordDemand(now time.Time, service string, b reserver.Bottleneck, waiting int) {
	g.mu.Lock()
	d := g.directors[service]
	g.mu.Unlock()
	if d == nil {
		return
	}
	share := 1.0
	if b.Memory > 0 {
		share = b.Reserved / b.Memory
	}
	d.RecordDemand(now, share, waiting)
}

// updateAdmissionGauges sets the gauges of the priorities of one service.
func updateAdmissionGauges(scope tally.Scope, admissions map[int]forwarder.Admission) {
	for priority, a := range admissions {
		s := scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)})
		s.Gauge("admission_accepted").Update(a.Accepted)
		s.Gauge("admission_granted").Update(a.Granted)
		s.Gauge("admission_refused").Update(a.Refused)
	}
}

// ownUsages returns, by service, what this instance has reserved, sent and found out about endpoints.
func (g *Gateway) ownUsages() accountant.Usages {
	out := accountant.Usages{}
	for service, sent := range g.forwarder.OwnTallies(g.clock()) {
		out[service] = accountant.Holding{Sent: sent}
	}
	for service, a := range g.forwarder.Allocators() {
		h := out[service]
		h.Memory, h.Dead, h.Alive = a.Usage(), a.UnresponsiveEndpoints(g.clock()), a.RefutedEndpoints(g.clock())
		h.Refused = a.RefusalReport(g.clock())
		h.Demand = a.Demand(g.clock())
		for _, id := range a.FailingEndpoints(g.clock()) {
			if h.Failing == nil {
				h.Failing = map[string]int{}
			}
			h.Failing[id] = 1
		}
		out[service] = h
	}
	for service, calls := range g.forwarder.PlainCalls() {
		h := out[service]
		h.Memory = calls
		out[service] = h
	}
	return out
}

// mergePeerUsages records what the other instances have reserved, sent and found out about endpoints.
func (g *Gateway) mergePeerUsages(now time.Time, others accountant.Usages) {
	instances := len(g.exchange.LivePeers()) + 1
	sent := make(map[string]limiter.Tally, len(others))
	for service, h := range others {
		sent[service] = h.Sent
	}
	g.forwarder.MergePeerTallies(now, sent, instances)
	maxInstances := 0.0
	for _, t := range sent {
		maxInstances = max(maxInstances, t.Instances)
	}
	g.meter.SetGauge("instances_counted", maxInstances+1)
	g.forwarder.MergePeerCalls(now, func(service string) reserver.Usage { return others[service].Memory })
	for service, a := range g.forwarder.Allocators() {
		// The sum of all other instances is recorded as that of one peer.
		a.MergeDemand(now, others[service].Demand)
		a.SetPeerUsage(now, "fleet", others[service].Memory)
		a.MergeRefusals(now, others[service].Refused)
		a.RecordReports(now, others[service].Dead, others[service].Alive)
		a.RecordFailingReports(now, others[service].Failing)
	}
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
