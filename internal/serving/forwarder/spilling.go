package forwarder

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/matcher"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/routing/spiller"
)

// SpillState is which share of a service's requests may leave the data centre, by data centre, and what has changed since it was
// last asked for.
type SpillState struct {
	Shares  map[string]float64
	Changes []spiller.Change
}

// describeLinks passes what the configuration states of the links between data centres on to the selector of plain services. The
// lock is held.
func (f *Forwarder) describeLinks(c *matcher.Configuration) {
	f.plainSelector.Centre = ""
	for _, s := range c.Services {
		if s.Engine != nil && (len(s.Engine.CentreDelays) > 0 || s.Engine.LinkMBPerSecond > 0) {
			f.plainSelector.Centre = f.dataCentre
			f.plainSelector.Links = spiller.Links{
				Delays: s.Engine.CentreDelays, MBPerSecond: s.Engine.LinkMBPerSecond, CostPerMB: f.crossingCost,
			}
		}
	}
}

// PlainCalls returns, by plain service and endpoint, the calls that this instance has in progress.
func (f *Forwarder) PlainCalls() map[string]reserver.Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]reserver.Usage{}
	for id, e := range f.plainSelector.Servers {
		if e.Calls <= 0 {
			continue
		}
		if out[e.Service] == nil {
			out[e.Service] = reserver.Usage{}
		}
		out[e.Service][id] = float64(e.Calls)
	}
	return out
}

// MergePeerCalls records, by plain service and endpoint, the calls that the other instances have in progress.
func (f *Forwarder) MergePeerCalls(now time.Time, others func(service string) reserver.Usage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	services := map[string]bool{}
	for _, e := range f.plainSelector.Servers {
		services[e.Service] = true
	}
	for service := range services {
		f.plainSelector.MergePeerCalls(now, service, others(service))
	}
}

// SpillStates returns the state of each service of which requests may leave the data centre.
func (f *Forwarder) SpillStates(now time.Time) map[string]SpillState {
	out := map[string]SpillState{}
	for service, a := range f.Allocators() {
		a.mu.Lock()
		out[service] = SpillState{a.reserver.Spiller.Shares(now), a.reserver.Spiller.TakeChanges(now)}
		a.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.plainSelector.Servers {
		if s := f.plainSelector.Spiller(e.Service); s != nil {
			if _, ok := out[e.Service]; !ok {
				out[e.Service] = SpillState{s.Shares(now), s.TakeChanges(now)}
			}
		}
	}
	return out
}

// CountCrossings counts hops into another data centre and what they carry.
func (f *Forwarder) CountCrossings(service, to, reason string, n int64, mb float64) {
	f.recorder.countCrossings(service, to, reason, n, mb)
}

// sizeMB returns the size of the request's body and of a reply's, which may be nil, in MB.
func (k *call) sizeMB(r *reply) float64 {
	n := k.body.Len()
	if r != nil {
		n += r.body.Len()
	}
	return float64(n) / bytesPerMB
}

// beginPlain records that a call to an endpoint of a plain service begins.
func (f *Forwarder) beginPlain(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plainSelector.BeginCall(id)
}

// endPlain records that a call to an endpoint of a plain service has ended, and whether the endpoint did not run it.
func (f *Forwarder) endPlain(now time.Time, id string, refused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plainSelector.EndCall(now, id, refused)
}

// RecordFirstEvent records how long after a request was sent along a path its first event came.
func (a *Allocator) RecordFirstEvent(now time.Time, p reserver.Path, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.RecordFirstEvent(now, p, took)
}

// RecordUnreached excludes an endpoint to which a request could not be sent for a time.
func (a *Allocator) RecordUnreached(now time.Time, e reserver.Endpoint, cooldown time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.Spiller.RecordFailure(now, e.DataCentre, e.ID)
	if _, ok := a.reserver.Endpoints[e.ID]; ok {
		a.reserver.Suspect(now, now.Add(cooldown), e.ID)
	}
}

// recordProbe records for its data centre whether an endpoint answered a probe. The lock is held.
func (a *Allocator) recordProbe(now time.Time, e reserver.Endpoint, alive bool) {
	if alive {
		a.reserver.Spiller.RecordSuccess(now, e.DataCentre)
		return
	}
	a.reserver.Spiller.RecordFailure(now, e.DataCentre, e.ID)
}
