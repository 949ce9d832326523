package gateway

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/routing/limiter"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/serving/accountant"
	"github.com/heatherrock/heatherrock/internal/serving/director"
	"github.com/heatherrock/heatherrock/internal/serving/forwarder"
)

// configured takes in a change of the configuration's table.
func (g *Gateway) configured(now time.Time, rows []replicator.Row) {
	for _, r := range rows {
		if r.Key != g.platform.ConfigKey || r.Deleted {
			continue
		}
		c, err := g.platform.DecodeConfig(r.Value)
		if err != nil {
			g.log.Error("configuration not read: the one before stays in force", "row", r.Version, "error", err)
			continue
		}
		if old := g.forwarder.Configuration(); old != nil && old.Version >= c.Version {
			g.log.Warn("older configuration ignored", "configuration", c.Version, "inforce", old.Version)
			continue
		}
		g.forwarder.Configure(c)
		g.log.Info("configuration in force", "configuration", c.Version, "row", r.Version, "routes", c.Table.RouteCount(),
			"services", len(c.Services), "credentials", len(c.Teams))
		g.update(now)
	}
}

// discovered takes in changes of the table of endpoints.
func (g *Gateway) discovered(now time.Time, rows []replicator.Row) {
	g.mu.Lock()
	g.moved = true
	for _, r := range rows {
		if r.Deleted {
			delete(g.endpoints, r.Key)
			g.log.Info("endpoint gone", "endpoint", r.Key, "row", r.Version)
			continue
		}
		e, err := g.platform.DecodeEndpoint(r.Key, r.Value)
		if err != nil {
			delete(g.endpoints, r.Key)
			g.log.Warn("endpoint not read", "row", r.Version, "error", err)
			continue
		}
		g.endpoints[r.Key] = e
		g.log.Info("endpoint", "endpoint", e.ID, "service", e.Service, "address", e.Address, "datacentre", e.DataCentre,
			"card", e.Card, "from", e.Held.From, "to", e.Held.To, "leaving", e.Leaving, "row", r.Version)
	}
	g.mu.Unlock()
	g.update(now)
}

// update passes the endpoints on to the parts.
func (g *Gateway) update(now time.Time) {
	c := g.forwarder.Configuration()
	if c == nil {
		return
	}
	g.mu.Lock()
	list := make([]forwarder.Endpoint, 0, len(g.endpoints))
	models := map[string][]director.Endpoint{}
	for _, e := range g.endpoints {
		list = append(list, forwarder.Endpoint{Service: e.Service, Endpoint: reserver.Endpoint{
			ID: e.ID, Address: e.Address, DataCentre: e.DataCentre, Card: e.Card, Held: e.Held, Leaving: e.Leaving,
		}})
		models[e.Service] = append(models[e.Service], e)
	}
	g.mu.Unlock()
	g.forwarder.Update(now, list)
	for name, s := range c.Services {
		if s.Engine != nil {
			g.director(name).Update(now, director.Model{Engine: s.Engine, Endpoints: models[name]})
		}
	}
}

// director returns what places the model of a service.
func (g *Gateway) director(service string) *director.Director {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.directors[service]
	if !ok {
		d = director.New(g.settings.ID, service, g.platform.Store, g.exchange, g.platform.Orders, g.log, g.clock)
		g.directors[service] = d
		if g.leaving.Load() {
			d.Leave()
		}
		d.Start()
	}
	return d
}

// duties returns what places the models.
func (g *Gateway) duties() []*director.Director {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*director.Director, 0, len(g.directors))
	for _, d := range g.directors {
		out = append(out, d)
	}
	return out
}

// loopShares keeps this instance's gauges until done is closed.
func (g *Gateway) loopShares() {
	defer g.wait.Done()
	t := time.NewTicker(shareInterval)
	defer t.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-t.C:
			g.share(g.clock())
			g.watch()
		}
	}
}

// share sets this instance's gauges, and says in the log what memory is short.
func (g *Gateway) share(now time.Time) {
	instances := len(g.exchange.Known()) + 1
	for service, a := range g.forwarder.Allocators() {
		a.SetInstances(instances)
		load, waiting := a.Load(now)
		scope := g.meter.Scope().Tagged(map[string]string{"service": service})
		scope.Gauge("memory_reserved").Update(load)
		scope.Gauge("waiting").Update(float64(waiting))
		if waiting > 0 && now.Sub(g.told) >= tellInterval {
			g.told = now
			t := a.Strait(now)
			g.log.Info("requests wait for memory", "service", service, "waiting", waiting, "load", load, "layer", t.Layer,
				"holders", t.Holders, "room", t.Memory, "used", t.Reserved)
		}
	}
	for service, left := range g.forwarder.Left(now) {
		g.meter.Scope().Tagged(map[string]string{"service": service}).Gauge("repeats_left").Update(left)
	}
	for _, table := range []string{g.platform.ConfigTable, g.platform.EndpointTable} {
		age, reached := g.syncer.Age(now, table)
		scope := g.meter.Scope().Tagged(map[string]string{"table": table})
		scope.Gauge("table_age").Update(age.Seconds())
		scope.Gauge("store_reached").Update(number(reached))
	}
	if c := g.forwarder.Configuration(); c != nil {
		g.meter.Gauge("configuration", float64(c.Version))
	}
	g.meter.Gauge("instances", float64(instances))
	g.meter.Gauge("flight", float64(g.forwarder.Flight()))
}

// usages returns what this instance has reserved.
func (g *Gateway) usages() accountant.Usages {
	out := accountant.Usages{}
	for service, sent := range g.forwarder.Sent(g.clock()) {
		out[service] = accountant.Holding{Sent: sent}
	}
	for service, a := range g.forwarder.Allocators() {
		h := out[service]
		h.Memory, h.Dead, h.Alive = a.Usage(), a.Dead(g.clock()), a.Alive(g.clock())
		out[service] = h
	}
	return out
}

// merge takes in what the other instances have reserved.
func (g *Gateway) merge(now time.Time, others accountant.Usages) {
	instances := len(g.exchange.Peers()) + 1
	sent := make(map[string]limiter.Tally, len(others))
	for service, h := range others {
		sent[service] = h.Sent
	}
	g.forwarder.MergeSent(now, sent, instances)
	most := 0.0
	for _, t := range sent {
		most = max(most, t.Instances)
	}
	g.meter.Gauge("instances_counted", most+1)
	for service, a := range g.forwarder.Allocators() {
		a.Merge(now, "fleet", others[service].Memory)
		a.Tell(now, others[service].Dead, others[service].Alive)
	}
}

// number returns 1 for true and 0 for false.
func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
