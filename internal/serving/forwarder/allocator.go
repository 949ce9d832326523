package forwarder

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/ejector"
	"github.com/heatherrock/heatherrock/internal/routing/monitor"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/routing/prioritizer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/routing/waiter"
)

// Allocator reserves paths of one service's endpoints for requests, and queues requests for which no path is free. Its
// methods may be called from any goroutine.
type Allocator struct {
	mu       sync.Mutex
	reserver *reserver.Reserver
	queue    *waiter.Queue
	returns  *waiter.Returns
	// prioritizer counts the requests of each priority, and wasLimiting states whether many of them had to wait as last logged.
	prioritizer *prioritizer.Prioritizer
	wasLimiting bool
	log         *slog.Logger
	service     string
	monitor     *monitor.Monitor
	ejector     *ejector.Ejector
	// pathChannels holds, by request id, the channel on which a queued request receives its path.
	pathChannels map[string]chan reserver.Path
	// counted holds the queued requests that the prioritizer counts, by request id.
	counted map[string]countedRequest
	// targets holds, by priority, the target for the first event of the latest request.
	targets map[int]time.Duration
	// onSilent holds, by request id, the function to call when its stream has gone silent.
	onSilent map[string]func(monitor.Verdict)
	// reportedUntil holds until when endpoints are excluded because of reports of other instances.
	reportedUntil map[string]time.Time
	// probe reports whether an endpoint answers a probe; nil disables probing.
	probe func(id, address string) bool
	clock func() time.Time
}

// NewAllocator returns an allocator of an instance in a data centre.
func NewAllocator(centre string, random *rand.Rand) *Allocator {
	return &Allocator{
		reserver:      reserver.New(centre, random),
		queue:         waiter.New(),
		returns:       waiter.NewReturns(),
		prioritizer:   prioritizer.New(),
		log:           slog.New(slog.DiscardHandler),
		monitor:       monitor.New(),
		ejector:       ejector.New(),
		pathChannels:  map[string]chan reserver.Path{},
		counted:       map[string]countedRequest{},
		targets:       map[int]time.Duration{},
		onSilent:      map[string]func(monitor.Verdict){},
		reportedUntil: map[string]time.Time{},
		clock:         time.Now,
	}
}

// UpdateEndpoints replaces the engine and its endpoints.
func (a *Allocator) UpdateEndpoints(now time.Time, e *placer.Engine, endpoints []reserver.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.UpdateEndpoints(now, e, endpoints)
	isListed := func(id string) bool { _, ok := a.reserver.Endpoints[id]; return ok }
	a.monitor.RetainEndpoints(now, isListed)
	a.ejector.Retain(isListed)
	a.grantWaiting(now)
}

// SetInstanceCount sets the number of instances.
func (a *Allocator) SetInstanceCount(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.InstanceCount = n
}

// SetPeerUsage records what another instance has reserved.
func (a *Allocator) SetPeerUsage(now time.Time, peer string, u reserver.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.SetPeerUsage(now, peer, u)
	a.grantWaiting(now)
}

// RemovePeer drops the reservations of another instance.
func (a *Allocator) RemovePeer(now time.Time, peer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.RemovePeer(now, peer)
	a.grantWaiting(now)
}

// Usage returns a copy of what this instance has reserved.
func (a *Allocator) Usage() reserver.Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(reserver.Usage, len(a.reserver.OwnUsage))
	for id, n := range a.reserver.OwnUsage {
		out[id] = n
	}
	return out
}

// Covered reports whether there is a path through all layers.
func (a *Allocator) Covered(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserver.Covered(now)
}

// Load returns the share of the memory that is reserved and the number of queued requests.
func (a *Allocator) Load(now time.Time) (float64, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserver.TotalUsedShare(now), a.queue.Len()
}

// Bottleneck returns the layer that limits the fleet.
func (a *Allocator) Bottleneck(now time.Time) reserver.Bottleneck {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserver.Bottleneck(now)
}

// Suspect excludes an endpoint for a time. It stays in use if no other usable endpoint holds one of its layers.
func (a *Allocator) Suspect(now time.Time, id string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.reserver.Endpoints[id]; ok {
		a.reserver.Suspect(now, now.Add(d), id)
	}
}

// BackOff leaves the endpoint at an address, which refused a request, out of paths for a time, unless no path could do without
// it. It returns the endpoint's id, or "" if there is no such endpoint.
func (a *Allocator) BackOff(now time.Time, address string, d time.Duration) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, e := range a.reserver.Endpoints {
		if e.Address == address {
			a.reserver.BackOff(now, now.Add(d), id)
			return id
		}
	}
	return ""
}

// Acquire returns a path for a request. It waits until the request's time in the queue is over or the context ends.
func (a *Allocator) Acquire(ctx context.Context, now time.Time, item waiter.Item) (reserver.Path, reserver.Refusal) {
	a.mu.Lock()
	counted := a.countArrival(now, &item)
	path, refusal := reserver.Path{}, reserver.Full
	if item.Resumed || !a.queue.HasBefore(item) {
		path, refusal = a.reserver.Reserve(now, pathRequest(item))
	}
	if refusal == reserver.Granted || refusal == reserver.TooLarge {
		counted.end(now, refusal)
		a.mu.Unlock()
		return path, refusal
	}
	wait := a.queue.Push(now, item)
	held, isHeld := a.reserver.HeldFor(now, item.Request)
	if refusal == reserver.Full && !isHeld {
		counted.delay(now)
	}
	if wait > 0 && held > wait {
		a.queue.Remove(item.ID)
		wait, refusal = 0, reserver.Held
	}
	if wait <= 0 {
		counted.end(now, refusal)
		a.mu.Unlock()
		return reserver.Path{}, refusal
	}
	a.counted[item.ID] = counted
	pathChannel := make(chan reserver.Path, 1)
	a.pathChannels[item.ID] = pathChannel
	a.mu.Unlock()

	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case p := <-pathChannel:
		return p, reserver.Granted
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case p := <-pathChannel:
		return p, reserver.Granted
	default:
	}
	a.queue.Remove(item.ID)
	delete(a.pathChannels, item.ID)
	delete(a.counted, item.ID)
	if ctx.Err() == nil {
		counted.end(now.Add(wait), refusal)
	}
	return reserver.Path{}, refusal
}

// Release releases the reservations of a path.
func (a *Allocator) Release(now time.Time, p reserver.Path) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.Release(p)
	a.grantWaiting(now)
}

// MarkPromptRead records that the prompt has been read on a path, or that the path is given up. It must be called once
// for each path, before Release.
func (a *Allocator) MarkPromptRead(p reserver.Path) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.MarkPromptRead(p)
}

// maxFailedGrants bounds the failed searches for a path in one pass over the queue: a search takes 50 us among 33
// endpoints.
const maxFailedGrants = 8

// grantWaiting reserves paths for the queued requests, in their order. The lock is held.
func (a *Allocator) grantWaiting(now time.Time) {
	failed := 0
	for _, item := range a.queue.Order(now) {
		if failed >= maxFailedGrants {
			return
		}
		p, refusal := a.reserver.Reserve(now, pathRequest(item))
		if refusal == reserver.Uncovered {
			return
		}
		if refusal != reserver.Granted {
			failed++
			continue
		}
		a.queue.Remove(item.ID)
		a.counted[item.ID].end(now, refusal)
		delete(a.counted, item.ID)
		a.pathChannels[item.ID] <- p
		delete(a.pathChannels, item.ID)
	}
}

// WatchStream begins to monitor a stream. The function onSilent is called when it has gone silent, and again while it
// stays silent until UnwatchStream is called.
func (a *Allocator) WatchStream(now time.Time, id string, p reserver.Path, onSilent func(monitor.Verdict)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.monitor.Open(now, id, p.EndpointIDs(), p.TimeToFirstToken)
	a.onSilent[id] = onSilent
}

// RecordEvent records an event of a stream.
func (a *Allocator) RecordEvent(now time.Time, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.monitor.RecordEvent(now, id) {
		a.clearReport(e)
	}
}

// clearReport readmits an endpoint that was excluded because of reports of other instances and for no other reason. The
// lock is held.
func (a *Allocator) clearReport(id string) {
	if until, ok := a.reportedUntil[id]; ok && until.Equal(a.reserver.SuspectedUntil[id]) {
		delete(a.reserver.SuspectedUntil, id)
	}
	delete(a.reportedUntil, id)
}

// UnwatchStream stops monitoring a stream.
func (a *Allocator) UnwatchStream(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.monitor.Close(id)
	delete(a.onSilent, id)
}

// suspectCooldown is how long an endpoint that counts as dead is excluded, unless it has loaded layers anew before, as
// after a restart.
const suspectCooldown = 4 * time.Second

// TryAcquire returns a path for a request that has one already if another one is free now; it does not queue the request. The
// priority's limit does not apply.
func (a *Allocator) TryAcquire(now time.Time, request reserver.PathRequest) (reserver.Path, reserver.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserver.Reserve(now, request)
}

// Check detects streams that have gone silent, and retries the queued requests.
func (a *Allocator) Check(now time.Time) {
	a.mu.Lock()
	toProbe := a.endpointsToProbe(now)
	verdicts := a.monitor.Check(now)
	callbacks := make([]func(monitor.Verdict), len(verdicts))
	for i, v := range verdicts {
		callbacks[i] = a.onSilent[v.ID]
		if !v.ExcludeSuspects {
			continue
		}
		for _, id := range v.Suspects {
			a.reserver.Suspect(now, now.Add(suspectCooldown), id)
		}
	}
	if a.prioritizer.IsOutdated(now) {
		a.reserver.SetPeerDemands(nil)
	}
	a.grantWaiting(now)
	a.mu.Unlock()
	for _, e := range toProbe {
		go a.runProbe(e)
	}
	for i, callback := range callbacks {
		if callback != nil {
			callback(verdicts[i])
		}
	}
}

// UnresponsiveEndpoints returns the endpoints that recently did not answer this instance.
func (a *Allocator) UnresponsiveEndpoints(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.monitor.UnresponsiveEndpoints(now)
}

// RefutedEndpoints returns the endpoints that other instances reported as dead and that are alive.
func (a *Allocator) RefutedEndpoints(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.monitor.RefutedEndpoints(now)
}

// RecordReports records the endpoints that other instances report as dead, and those that they report as alive because
// one of them has received an event through them since.
func (a *Allocator) RecordReports(now time.Time, dead, alive []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range alive {
		if a.monitor.RecordAliveReport(now, id) {
			a.clearReport(id)
		}
	}
	for _, id := range dead {
		if slices.Contains(alive, id) || !a.monitor.RecordDeadReport(now, id) {
			continue
		}
		a.reportedUntil[id] = now.Add(suspectCooldown)
		a.reserver.Suspect(now, a.reportedUntil[id], id)
	}
}

// RecordFailure records that an endpoint failed a request that it ran, and excludes it for a time.
func (a *Allocator) RecordFailure(now time.Time, endpoint, request string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.BackOff(now, a.ejector.RecordFailure(now, endpoint, request), endpoint)
}

// RecordSuccess records that an endpoint began to answer a request.
func (a *Allocator) RecordSuccess(endpoint string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ejector.RecordSuccess(endpoint)
}

// FailingEndpoints returns the endpoints that this instance excludes because they failed requests.
func (a *Allocator) FailingEndpoints(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ejector.Report(now)
}

// RecordFailingReports records how many other instances exclude endpoints because of failures, and excludes them as well if
// enough do.
func (a *Allocator) RecordFailingReports(now time.Time, reporters map[string]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ejected, ttl := a.ejector.EjectedByOthers(reporters, len(a.reserver.Endpoints))
	for _, id := range ejected {
		a.reserver.BackOff(now, now.Add(ttl), id)
	}
}

// RecordLoss records that the process of an endpoint has ended.
func (a *Allocator) RecordLoss(now time.Time, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.reserver.Endpoints[id]; !ok {
		return
	}
	a.monitor.RecordLoss(now, id)
	a.reserver.Suspect(now, now.Add(suspectCooldown), id)
}

// endpointsToProbe returns the endpoints to probe. The lock is held.
func (a *Allocator) endpointsToProbe(now time.Time) []reserver.Endpoint {
	if a.monitor.ProbeBeforeDead = a.probe != nil; !a.monitor.ProbeBeforeDead {
		return nil
	}
	var out []reserver.Endpoint
	for _, id := range a.monitor.EndpointsToProbe(now) {
		if e, ok := a.reserver.Endpoints[id]; ok {
			out = append(out, e)
		}
	}
	return out
}

// maxProbeOverrun is how long after its timeout a probe may end before this process counts as having been paused: the
// answer may have arrived and not been read.
const maxProbeOverrun = 10 * time.Millisecond

// runProbe probes an endpoint and records the result.
func (a *Allocator) runProbe(e reserver.Endpoint) {
	startedAt := a.clock()
	alive := a.probe(e.ID, e.Address)
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !alive && now.Sub(startedAt) > probeTimeout+maxProbeOverrun {
		a.monitor.DiscardProbe(e.ID)
		return
	}
	a.recordProbe(now, e, alive)
	a.monitor.RecordProbeResult(now, e.ID, alive)
}
