package watcher

import (
	"context"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/control/assigner"
	"github.com/heatherrock/heatherrock/internal/control/departer"
	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

const (
	// standbyIntervalFactor is the load read interval of standby watchers (rank 1 and up) as a multiple of the first's.
	standbyIntervalFactor = 8
	// loadReadBytes is the size of a load request and its response on the wire, in bytes.
	loadReadBytes = 600
	// unreportedIntervals is the number of report intervals after which an endpoint without a peer's report is watched here.
	unreportedIntervals = 4
)

// loopAssignments updates, at each report interval, which endpoints this instance watches, and forwards peers' reports of
// the others to the router, until done is closed.
func (w *Watcher) loopAssignments() {
	defer w.wait.Done()
	ticker := time.NewTicker(w.options.reportInterval)
	defer ticker.Stop()
	var previous assignments
	for {
		previous = w.updateWatches(w.options.clock(), previous)
		select {
		case <-w.done:
			return
		case <-ticker.C:
		}
	}
}

// assignments are the inputs of a computation of this instance's assignments, and its result: the rank by endpoint ID.
type assignments struct {
	endpoints []assigner.Node
	instances []assigner.Node
	ranks     map[string]int
}

// updateWatches starts and stops watches according to this instance's assignments, and forwards peers' reports of other
// endpoints. It recomputes the assignments if the endpoints or instances have changed since the previous call.
func (w *Watcher) updateWatches(now time.Time, previous assignments) assignments {
	instances := w.liveInstances()
	w.mu.Lock()
	defer w.mu.Unlock()
	current := assignments{endpoints: w.regionalEngines(), instances: instances, ranks: previous.ranks}
	w.regionalCount = len(current.endpoints)
	changed := !slices.Equal(current.endpoints, previous.endpoints)
	if changed || !slices.Equal(current.instances, previous.instances) {
		current.ranks = w.computeRanks(current)
	}
	if changed || now.Sub(w.selectedAt) >= selectInterval {
		w.selectEngines(now, current.endpoints)
	}
	w.readsPerInterval = w.countReads(current)
	for _, n := range current.endpoints {
		w.updateEndpoint(now, w.endpoints[n.ID], current.ranks)
	}
	return current
}

// liveInstances returns the live instances, including this one, sorted by ID.
func (w *Watcher) liveInstances() []assigner.Node {
	out := []assigner.Node{w.self}
	for _, p := range w.exchange.LivePeers() {
		out = append(out, peerNode(p))
	}
	slices.SortFunc(out, func(a, b assigner.Node) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// regionalEngines returns the engines of this instance's region, or all engines if the region has none, sorted by ID. The
// caller holds the lock.
func (w *Watcher) regionalEngines() []assigner.Node {
	var own, all []assigner.Node
	for _, id := range w.sortedIDs() {
		e := w.endpoints[id]
		if e.instance.Role != lister.RoleEngine {
			continue
		}
		all = append(all, e.node())
		if e.instance.Region == w.self.Region {
			own = append(own, e.node())
		}
	}
	if len(own) == 0 {
		return all
	}
	return own
}

// computeRanks returns this instance's rank for each endpoint that it is assigned to watch; rank 0 is the first watcher.
func (w *Watcher) computeRanks(current assignments) map[string]int {
	out := map[string]int{}
	if len(current.endpoints) <= w.options.maxDirect {
		for _, e := range current.endpoints {
			out[e.ID] = 0
		}
		return out
	}
	for _, a := range assigner.Assignments(w.self.ID, current.endpoints, current.instances, w.options.watchersPerEndpoint) {
		out[a.Endpoint] = a.Rank
	}
	return out
}

// countReads returns the number of load reads in one interval of a first watcher's reads. It is 0 if this instance watches
// all endpoints of its region: then the reads are not rate-limited.
func (w *Watcher) countReads(current assignments) int {
	if len(current.endpoints) <= w.options.maxDirect {
		return 0
	}
	firstWatched := 0
	for _, rank := range current.ranks {
		if rank == 0 {
			firstWatched++
		}
	}
	return firstWatched + (len(current.ranks)-firstWatched)/standbyIntervalFactor
}

// updateEndpoint watches an endpoint that is assigned to this instance or that no peer has reported in time. Otherwise it
// stops the watch and forwards the peer's report.
func (w *Watcher) updateEndpoint(now time.Time, e *endpoint, ranks map[string]int) {
	rank, assigned := ranks[e.instance.ID]
	unreported := !w.peerReports[e.instance.ID].isComplete() && now.Sub(e.firstSeenAt) > unreportedIntervals*w.options.reportInterval
	switch {
	case assigned:
		w.startWatch(e, rank)
	case unreported:
		w.startWatch(e, standbyRank)
	default:
		w.stopWatch(e)
		w.forwardPeerReport(now, e, now.Add(-w.options.reportInterval))
	}
}

// standbyRank is the rank at which an endpoint is watched that is not assigned to this instance.
const standbyRank = 1

// startWatch watches an endpoint at a rank, and does nothing if it is watched at that rank already.
func (w *Watcher) startWatch(e *endpoint, rank int) {
	if e.watch != nil && e.watch.rank == rank || w.closed {
		return
	}
	w.stopWatch(e)
	e.watch = &watch{watcher: w, endpoint: e, rank: rank, id: e.instance.ID, address: e.instance.Address, done: make(chan struct{})}
	w.wait.Add(1)
	go e.watch.loop()
}

// stopWatch ends the watch of an endpoint and withdraws the load that was shared from it.
func (w *Watcher) stopWatch(e *endpoint) {
	if e.watch == nil {
		return
	}
	close(e.watch.done)
	e.watch = nil
	w.withdrawLoad(e)
}

// watch reads the load of one engine periodically.
type watch struct {
	watcher  *Watcher
	endpoint *endpoint
	rank     int
	id       string
	address  string
	// lastSequence is the sequence number of the latest cache event read.
	lastSequence int64
	done         chan struct{}
	// failedReads counts the failed reads since the last successful one.
	failedReads int
}

// loop reads the load until the watch is stopped or the watcher closed.
func (v *watch) loop() {
	defer v.watcher.wait.Done()
	for {
		v.readLoad()
		timer := time.NewTimer(v.nextReadDelay())
		select {
		case <-v.done:
			timer.Stop()
			return
		case <-v.watcher.done:
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// nextReadDelay returns the time to wait before the next read.
func (v *watch) nextReadDelay() time.Duration {
	v.watcher.mu.Lock()
	defer v.watcher.mu.Unlock()
	if v.isSuspect() {
		return v.watcher.options.reportInterval
	}
	return LoadReadInterval(v.watcher.options.reportInterval, v.watcher.readsPerInterval, v.watcher.options.loadBytesPerSecond) * time.Duration(v.intervalFactor())
}

// intervalFactor returns this watch's read interval as a multiple of the first watcher's.
func (v *watch) intervalFactor() int {
	if v.rank > 0 {
		return standbyIntervalFactor
	}
	return 1
}

// LoadReadInterval returns a first watcher's time between reads of one endpoint's load: minInterval, or longer if that many
// endpoints would otherwise need more than bytesPerSecond. A bytesPerSecond of 0 sets no limit.
func LoadReadInterval(minInterval time.Duration, endpoints, bytesPerSecond int) time.Duration {
	if bytesPerSecond <= 0 {
		return minInterval
	}
	return max(minInterval, time.Duration(endpoints*loadReadBytes)*time.Second/time.Duration(bytesPerSecond))
}

// readLoad reads the load once.
func (v *watch) readLoad() {
	ctx, cancel := context.WithTimeout(context.Background(), v.watcher.options.timeout)
	defer cancel()
	l, err := v.watcher.engines.Load(ctx, v.address)
	if err != nil {
		v.watcher.options.logger.Debug("load not read", "address", v.address, "error", err)
		v.handleReadFailure(v.watcher.options.clock())
		return
	}
	v.handleLoad(v.watcher.options.clock(), l)
	v.readCacheEvents(ctx)
}

// handleLoad records a load and forwards it to the router and peers, unless the watch was stopped during the read.
func (v *watch) handleLoad(now time.Time, l streamer.Load) {
	w := v.watcher
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.endpoint.watch != v {
		return
	}
	reportedAt := time.UnixMilli(l.ReportedAtMillis)
	v.failedReads = 0
	w.clearUnresponsive(now, v.endpoint)
	w.forwardReport(now, v.endpoint, describe(v.endpoint.instance, l), picker.Report{
		Running: l.RunningRequests, Waiting: l.WaitingRequests, Rate: l.LayerStepsPerSecond, At: reportedAt,
	})
	if l.Leaving {
		w.markLeaving(now, v.endpoint, departer.SourceReport, reportedAt)
		return
	}
	if w.departer.RecordReport(v.endpoint.key(), reportedAt) {
		w.readmit(now, v.endpoint)
	}
	if v.rank == 0 {
		w.shareLoad(now, v.endpoint, l)
	}
}

// forwardReport passes the report of an endpoint that this instance routes to on to the router. If the endpoint is leaving,
// it marks it again, since the report may be the first that the router receives of the endpoint.
func (w *Watcher) forwardReport(now time.Time, e *endpoint, p planner.Endpoint, r picker.Report) {
	e.group = groupKey(p)
	if !w.routesTo(e) {
		return
	}
	w.router.Observe(now, p, r)
	if w.departer.IsLeaving(e.key()) {
		w.router.MarkLeaving(now, e.instance.ID)
	}
}

// describe returns an endpoint in the router's form, from its list entry and its load.
func describe(i lister.Instance, l streamer.Load) planner.Endpoint {
	p := planner.Endpoint{
		ID: i.ID, Address: i.Address, Kind: l.Kind, DataCentre: i.DataCentre, Region: i.Region,
		Adapters: l.Adapters, Rate: l.LayerStepsPerSecond,
	}
	for _, h := range l.Held {
		p.Held = append(p.Held, planner.Held(h))
	}
	return p
}
