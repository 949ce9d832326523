package forwarder

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/monitor"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/routing/waiter"
)

// Allocator hands out paths of one service's endpoints to requests, and lets those wait for which there is none yet. Its
// methods may be called from any goroutine.
type Allocator struct {
	mu       sync.Mutex
	reserver *reserver.Reserver
	line     *waiter.Queue
	monitor  *monitor.Monitor
	// ready holds where a waiting request is told its path.
	ready map[string]chan reserver.Path
	// silent holds what to call when a stream has gone silent.
	silent map[string]func(monitor.Verdict)
	// told is until when endpoints are out of use for what other instances told.
	told map[string]time.Time
	// probe reports whether an endpoint answers; nil if endpoints are not asked.
	probe func(id, address string) bool
	clock func() time.Time
}

// NewAllocator returns an allocator of an instance in a data centre.
func NewAllocator(centre string, random *rand.Rand) *Allocator {
	return &Allocator{
		reserver: reserver.New(centre, random),
		line:     waiter.New(),
		monitor:  monitor.New(),
		ready:    map[string]chan reserver.Path{},
		silent:   map[string]func(monitor.Verdict){},
		told:     map[string]time.Time{},
		clock:    time.Now,
	}
}

// Update takes in the engine and its endpoints.
func (a *Allocator) Update(now time.Time, e *placer.Engine, endpoints []reserver.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.UpdateEndpoints(now, e, endpoints)
	a.monitor.RetainEndpoints(now, func(id string) bool { _, ok := a.reserver.Endpoints[id]; return ok })
	a.grant(now)
}

// SetInstances tells how many instances there are.
func (a *Allocator) SetInstances(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.InstanceCount = n
}

// Merge takes in what another instance has reserved.
func (a *Allocator) Merge(now time.Time, peer string, u reserver.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.SetPeerUsage(now, peer, u)
	a.grant(now)
}

// Forget drops what another instance had reserved.
func (a *Allocator) Forget(now time.Time, peer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.RemovePeer(now, peer)
	a.grant(now)
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

// Load returns the part of the memory that is reserved and the number of requests that wait.
func (a *Allocator) Load(now time.Time) (float64, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserver.TotalUsedShare(now), a.line.Len()
}

// Strait returns the layer that limits the fleet.
func (a *Allocator) Strait(now time.Time) reserver.Bottleneck {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserver.Bottleneck(now)
}

// Suspect keeps an endpoint out of use for a time. The endpoint is named by id or by address.
func (a *Allocator) Suspect(now time.Time, name string, d time.Duration) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, e := range a.reserver.Endpoints {
		if id == name || e.Address == name {
			a.reserver.Suspect(now, now.Add(d), id)
			return id
		}
	}
	return ""
}

// Acquire returns a path for a request. It waits until the item's time is over or the context ends.
func (a *Allocator) Acquire(ctx context.Context, now time.Time, i waiter.Item) (reserver.Path, reserver.Refusal) {
	a.mu.Lock()
	path, refusal := reserver.Path{}, reserver.Full
	if i.Resumed || a.line.Len() == 0 {
		path, refusal = a.reserver.Reserve(now, i.Request)
	}
	if refusal == reserver.Granted || refusal == reserver.TooLarge {
		a.mu.Unlock()
		return path, refusal
	}
	wait := a.line.Push(now, i)
	if wait <= 0 {
		a.mu.Unlock()
		return reserver.Path{}, refusal
	}
	ready := make(chan reserver.Path, 1)
	a.ready[i.ID] = ready
	a.mu.Unlock()

	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case p := <-ready:
		return p, reserver.Granted
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case p := <-ready:
		return p, reserver.Granted
	default:
	}
	a.line.Remove(i.ID)
	delete(a.ready, i.ID)
	return reserver.Path{}, refusal
}

// Release gives a path back.
func (a *Allocator) Release(now time.Time, p reserver.Path) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.Release(p)
	a.grant(now)
}

// Read takes in that the prompt has been read on a path.
func (a *Allocator) Read(p reserver.Path) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.MarkPromptRead(p)
}

// grantTries bounds the requests that are tried in vain at one time: a search takes 50 us among 33 endpoints.
const grantTries = 8

// grant gives paths to requests that wait, in their order. The lock is held.
func (a *Allocator) grant(now time.Time) {
	failed := 0
	for _, i := range a.line.Order(now) {
		if failed >= grantTries {
			return
		}
		p, refusal := a.reserver.Reserve(now, i.Request)
		if refusal == reserver.Uncovered {
			return
		}
		if refusal != reserver.Granted {
			failed++
			continue
		}
		a.line.Remove(i.ID)
		a.ready[i.ID] <- p
		delete(a.ready, i.ID)
	}
}

// Open begins to watch a stream. Silent is called when it has gone silent, and again until the watch ends.
func (a *Allocator) Open(now time.Time, id string, p reserver.Path, silent func(monitor.Verdict)) {
	names := make([]string, len(p.Stages))
	for i, part := range p.Stages {
		names[i] = part.Endpoint.ID
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.monitor.Open(now, id, names, p.TimeToFirstToken)
	a.silent[id] = silent
}

// Progress records events of a stream.
func (a *Allocator) Progress(now time.Time, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.monitor.RecordEvent(now, id) {
		a.acquit(e)
	}
}

// acquit lets an endpoint be used again that was out of use for what other instances told, and for nothing else. The lock is held.
func (a *Allocator) acquit(id string) {
	if until, ok := a.told[id]; ok && until.Equal(a.reserver.SuspectedUntil[id]) {
		delete(a.reserver.SuspectedUntil, id)
	}
	delete(a.told, id)
}

// Done ends the watch on a stream.
func (a *Allocator) Done(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.monitor.Close(id)
	delete(a.silent, id)
}

// suspectTime is how long an endpoint whose streams went silent is kept out of use, unless it comes back anew.
const suspectTime = 4 * time.Second

// Try returns a path for a request if there is one now.
func (a *Allocator) Try(now time.Time, ask reserver.PathRequest) (reserver.Path, reserver.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserver.Reserve(now, ask)
}

// Check looks for streams that have gone silent, and lets the requests that wait try again.
func (a *Allocator) Check(now time.Time) {
	a.mu.Lock()
	asked := a.ask(now)
	verdicts := a.monitor.Check(now)
	calls := make([]func(monitor.Verdict), len(verdicts))
	for i, v := range verdicts {
		calls[i] = a.silent[v.ID]
		if !v.ExcludeSuspects {
			continue
		}
		for _, id := range v.Suspects {
			a.reserver.Suspect(now, now.Add(suspectTime), id)
		}
	}
	a.grant(now)
	a.mu.Unlock()
	for _, e := range asked {
		go a.run(e)
	}
	for i, f := range calls {
		if f != nil {
			f(verdicts[i])
		}
	}
}

// Dead returns the endpoints of which this instance had no answer of late.
func (a *Allocator) Dead(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.monitor.UnresponsiveEndpoints(now)
}

// Alive returns the endpoints that others took for dead and that live.
func (a *Allocator) Alive(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.monitor.RefutedEndpoints(now)
}

// Tell takes in the endpoints of which other instances had no answer, and those that have passed an event to one nonetheless.
func (a *Allocator) Tell(now time.Time, dead, alive []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range alive {
		if a.monitor.RecordAliveReport(now, id) {
			a.acquit(id)
		}
	}
	for _, id := range dead {
		if slices.Contains(alive, id) || !a.monitor.RecordDeadReport(now, id) {
			continue
		}
		a.told[id] = now.Add(suspectTime)
		a.reserver.Suspect(now, a.told[id], id)
	}
}

// Lose takes in that the process of an endpoint has ended.
func (a *Allocator) Lose(now time.Time, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.reserver.Endpoints[id]; !ok {
		return
	}
	a.monitor.RecordLoss(now, id)
	a.reserver.Suspect(now, now.Add(suspectTime), id)
}

// ask returns the endpoints that are to be asked whether they are there. The lock is held.
func (a *Allocator) ask(now time.Time) []reserver.Endpoint {
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

// lateProbe is how long after its bound a question may end before this process counts as having been held up: its answer may
// have come and not been read.
const lateProbe = 10 * time.Millisecond

// run asks an endpoint whether it is there, and takes its answer in.
func (a *Allocator) run(e reserver.Endpoint) {
	begun := a.clock()
	alive := a.probe(e.ID, e.Address)
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !alive && now.Sub(begun) > probeTime+lateProbe {
		a.monitor.DiscardProbe(e.ID)
		return
	}
	a.monitor.RecordProbeResult(now, e.ID, alive)
}
