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
	// standbyFactor is how much less often than the first watcher the others read a load.
	standbyFactor = 8
	// loadBytes is what a read of a load takes on the wire, both ways, in bytes.
	loadBytes = 600
	// unheardFactor is after how many report intervals an endpoint of which no peer tells is watched here.
	unheardFactor = 4
)

// loopDuties keeps to the endpoints that this instance has to watch, and hands on what peers tell of the others, until
// done is closed.
func (w *Watcher) loopDuties() {
	defer w.wait.Done()
	ticker := time.NewTicker(w.options.report)
	defer ticker.Stop()
	var before duties
	for {
		before = w.assign(w.options.clock(), before)
		select {
		case <-w.done:
			return
		case <-ticker.C:
		}
	}
}

// duties are what an assignment was worked out from, and its result: ranks by endpoint.
type duties struct {
	endpoints []assigner.Node
	instances []assigner.Node
	ranks     map[string]int
}

// assign starts and ends watches by the duties of this instance, and hands on what peers tell. It works the duties out
// anew if endpoints or instances have changed.
func (w *Watcher) assign(now time.Time, before duties) duties {
	instances := w.nodes()
	w.mu.Lock()
	defer w.mu.Unlock()
	d := duties{endpoints: w.region(), instances: instances, ranks: before.ranks}
	w.regional = len(d.endpoints)
	changed := !slices.Equal(d.endpoints, before.endpoints)
	if changed || !slices.Equal(d.instances, before.instances) {
		d.ranks = w.ranks(d)
	}
	if changed || now.Sub(w.chosen) >= chooseTime {
		w.choose(now, d.endpoints)
	}
	w.reading = w.reads(d)
	for _, n := range d.endpoints {
		w.follow(now, w.endpoints[n.ID], d.ranks)
	}
	return d
}

// nodes returns the live instances, this one included, in the order of their IDs.
func (w *Watcher) nodes() []assigner.Node {
	out := []assigner.Node{w.self}
	for _, p := range w.exchange.Peers() {
		out = append(out, place(p))
	}
	slices.SortFunc(out, func(a, b assigner.Node) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// region returns the engines of the own region, or all if it has none, in the order of their IDs. The lock is held.
func (w *Watcher) region() []assigner.Node {
	var own, all []assigner.Node
	for _, id := range w.ids() {
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

// ranks returns the ranks of the endpoints that this instance watches.
func (w *Watcher) ranks(d duties) map[string]int {
	out := map[string]int{}
	if len(d.endpoints) <= w.options.direct {
		for _, e := range d.endpoints {
			out[e.ID] = 0
		}
		return out
	}
	for _, duty := range assigner.Assignments(w.self.ID, d.endpoints, d.instances, w.options.watchers) {
		out[duty.Endpoint] = duty.Rank
	}
	return out
}

// reads returns the reads of loads in the time in which a first watcher reads each of its endpoints once. It is 0 if
// this instance watches all endpoints: then no allowance bounds the reads.
func (w *Watcher) reads(d duties) int {
	if len(d.endpoints) <= w.options.direct {
		return 0
	}
	first := 0
	for _, rank := range d.ranks {
		if rank == 0 {
			first++
		}
	}
	return first + (len(d.ranks)-first)/standbyFactor
}

// follow watches an endpoint if that is a duty or no peer tells of it, and else hands on what a peer told.
func (w *Watcher) follow(now time.Time, e *endpoint, ranks map[string]int) {
	rank, duty := ranks[e.instance.ID]
	unheard := !w.told[e.instance.ID].whole() && now.Sub(e.found) > unheardFactor*w.options.report
	switch {
	case duty:
		w.start(e, rank)
	case unheard:
		w.start(e, standbyRank)
	default:
		w.stop(e)
		w.pass(now, e, now.Add(-w.options.report))
	}
}

// standbyRank is the rank at which an endpoint is watched that is no duty.
const standbyRank = 1

// start begins to watch an endpoint at a rank.
func (w *Watcher) start(e *endpoint, rank int) {
	if e.watch != nil && e.watch.rank == rank || w.closed {
		return
	}
	w.stop(e)
	e.watch = &watch{watcher: w, endpoint: e, rank: rank, id: e.instance.ID, address: e.instance.Address, done: make(chan struct{})}
	w.wait.Add(1)
	go e.watch.loop()
}

// stop ends the watch of an endpoint, and what was shared from it.
func (w *Watcher) stop(e *endpoint) {
	if e.watch == nil {
		return
	}
	close(e.watch.done)
	e.watch = nil
	w.unshare(e)
}

// watch reads the load of one engine.
type watch struct {
	watcher  *Watcher
	endpoint *endpoint
	rank     int
	id       string
	address  string
	// sequence is that of the latest cache event read.
	sequence int64
	done     chan struct{}
	// missed counts the reads that have failed since the last answer.
	missed int
}

// loop reads the load until the watch or the watcher ends.
func (v *watch) loop() {
	defer v.watcher.wait.Done()
	for {
		v.read()
		timer := time.NewTimer(v.pause())
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

// pause returns the time to the next read.
func (v *watch) pause() time.Duration {
	v.watcher.mu.Lock()
	defer v.watcher.mu.Unlock()
	if v.doubted() {
		return v.watcher.options.report
	}
	return Pace(v.watcher.options.report, v.watcher.reading, v.watcher.options.loadAllowance) * time.Duration(v.factor())
}

// factor returns how many times longer than the first watcher's the time between reads is.
func (v *watch) factor() int {
	if v.rank > 0 {
		return standbyFactor
	}
	return 1
}

// Pace returns the time between a first watcher's reads of a load: the given least time, or longer for many endpoints so
// that their reads stay within an allowance in bytes a second. An allowance of 0 is none.
func Pace(least time.Duration, endpoints, allowance int) time.Duration {
	if allowance <= 0 {
		return least
	}
	return max(least, time.Duration(endpoints*loadBytes)*time.Second/time.Duration(allowance))
}

// read reads the load once.
func (v *watch) read() {
	ctx, cancel := context.WithTimeout(context.Background(), v.watcher.options.timeout)
	defer cancel()
	l, err := v.watcher.engines.Load(ctx, v.address)
	if err != nil {
		v.watcher.options.logger.Debug("load not read", "address", v.address, "error", err)
		v.miss(v.watcher.options.clock())
		return
	}
	v.take(v.watcher.options.clock(), l)
	v.readEvents(ctx)
}

// take takes a load in, unless the watch has ended meanwhile.
func (v *watch) take(now time.Time, l streamer.Load) {
	w := v.watcher
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.endpoint.watch != v {
		return
	}
	stamp := time.UnixMilli(l.Stamp)
	v.missed = 0
	w.answered(now, v.endpoint)
	w.observe(now, v.endpoint, describe(v.endpoint.instance, l), picker.Report{
		Running: l.Running, Waiting: l.Waiting, Rate: l.Rate, At: stamp,
	})
	if l.Leaving {
		w.leave(now, v.endpoint, departer.SourceReport, stamp)
		return
	}
	if w.departer.RecordReport(v.endpoint.key(), stamp) {
		w.revive(now, v.endpoint)
	}
	if v.rank == 0 {
		w.share(now, v.endpoint, l)
	}
}

// observe hands on the report of an endpoint that this instance routes to, and that it is leaving if that is so: a router
// may have learnt of it only now.
func (w *Watcher) observe(now time.Time, e *endpoint, p planner.Endpoint, r picker.Report) {
	e.group = groupOf(p)
	if !w.uses(e) {
		return
	}
	w.router.Observe(now, p, r)
	if w.departer.IsLeaving(e.key()) {
		w.router.Leave(now, e.instance.ID)
	}
}

// describe returns an endpoint as routers see it.
func describe(i lister.Instance, l streamer.Load) planner.Endpoint {
	p := planner.Endpoint{
		ID: i.ID, Address: i.Address, Kind: l.Kind, DataCentre: i.DataCentre, Region: i.Region,
		Adapters: l.Adapters, Rate: l.Rate,
	}
	for _, h := range l.Held {
		p.Held = append(p.Held, planner.Held(h))
	}
	return p
}
