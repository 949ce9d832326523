package watcher

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// hub carries entries between the watchers of a test at once.
type hub struct {
	mu    sync.Mutex
	peers []gossiper.Peer
	subs  map[string]map[string]func(gossiper.Entry)
	// published counts what was published by topic.
	published map[string]int
}

// port is one instance's end of a hub.
type port struct {
	hub  *hub
	self string
}

// Publish hands an entry to the other instances' subscribers.
func (p port) Publish(topic, key string, value []byte, _ time.Duration) {
	p.hub.send(p.self, gossiper.Entry{Owner: p.self, Topic: topic, Key: key, Value: value})
}

// Withdraw hands a deletion to the other instances' subscribers.
func (p port) Withdraw(topic, key string) {
	p.hub.send(p.self, gossiper.Entry{Owner: p.self, Topic: topic, Key: key, Deleted: true})
}

// Subscribe adds a subscriber.
func (p port) Subscribe(topic string, f func(gossiper.Entry)) {
	p.hub.mu.Lock()
	defer p.hub.mu.Unlock()
	if p.hub.subs[topic] == nil {
		p.hub.subs[topic] = map[string]func(gossiper.Entry){}
	}
	p.hub.subs[topic][p.self] = f
}

// Peers returns the other instances.
func (p port) Peers() []gossiper.Peer {
	var out []gossiper.Peer
	for _, o := range p.hub.peers {
		if o.ID != p.self {
			out = append(out, o)
		}
	}
	return out
}

// send hands an entry to all but its owner.
func (h *hub) send(owner string, e gossiper.Entry) {
	h.mu.Lock()
	if !e.Deleted {
		h.published[e.Topic]++
	}
	subs := maps.Clone(h.subs[e.Topic])
	h.mu.Unlock()
	for self, f := range subs {
		if self != owner {
			go f(e)
		}
	}
}

// routes records what a router is told: its endpoints, and those that are leaving, whatever reports follow.
type routes struct {
	mu      sync.Mutex
	reports map[string]picker.Report
	leaving map[string]bool
	missed  map[string]bool
	changed *sync.Cond
}

// newRoutes returns a router that knows no endpoint.
func newRoutes() *routes {
	r := &routes{reports: map[string]picker.Report{}, leaving: map[string]bool{}, missed: map[string]bool{}}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// Observe records a report.
func (r *routes) Observe(_ time.Time, e planner.Endpoint, report picker.Report) {
	r.set(func() { r.reports[e.ID] = report })
}

// Leave records a leaving endpoint if it is known, as the picker does.
func (r *routes) Leave(_ time.Time, id string) {
	r.set(func() {
		if _, ok := r.reports[id]; ok {
			r.leaving[id] = true
		}
	})
}

// Remove forgets an endpoint.
func (r *routes) Remove(_ time.Time, id string) {
	r.set(func() {
		delete(r.reports, id)
		delete(r.leaving, id)
	})
}

// Missed records an endpoint that does not answer.
func (r *routes) Missed(_ time.Time, id string) { r.set(func() { r.missed[id] = true }) }

// Answered records that an endpoint answers again.
func (r *routes) Answered(_ time.Time, id string) { r.set(func() { delete(r.missed, id) }) }

// ObserveService, LeaveService and RemoveService record endpoints of services as those of engines.
func (r *routes) ObserveService(now time.Time, id, _, _ string) {
	r.Observe(now, planner.Endpoint{ID: id}, picker.Report{})
}

// LeaveService records a leaving endpoint of a service.
func (r *routes) LeaveService(now time.Time, id string) { r.Leave(now, id) }

// RemoveService forgets an endpoint of a service.
func (r *routes) RemoveService(now time.Time, id string) { r.Remove(now, id) }

// set changes the record.
func (r *routes) set(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	r.changed.Broadcast()
}

// await waits until the record fulfils a condition.
func (r *routes) await(condition func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !condition() {
		r.changed.Wait()
	}
}

// usable returns the endpoints that get new work.
func (r *routes) usable() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id := range r.reports {
		if !r.leaving[id] {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// engines answers reads of loads by address.
type engines struct {
	mu      sync.Mutex
	loads   map[string]streamer.Load
	clock   time.Time
	leaving map[string]bool
	reads   map[string]int
}

// Load returns the load of the engine at an address.
func (e *engines) Load(_ context.Context, address string) (streamer.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, ok := e.loads[address]
	if !ok {
		return l, errors.New("no engine")
	}
	e.reads[address]++
	e.clock = e.clock.Add(time.Millisecond)
	l.Stamp, l.Leaving = e.clock.UnixMilli(), e.leaving[address]
	return l, nil
}

// setLeaving sets whether an engine reports that it is leaving.
func (e *engines) setLeaving(address string, leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving[address] = leaving
}

// group is a set of watchers over the same engines.
type group struct {
	list    []lister.Instance
	engines *engines
	hub     *hub
	nodes   []*Watcher
	routes  []*routes
}

// List returns the list.
func (g *group) List(context.Context) ([]lister.Instance, error) {
	return g.list, nil
}

// newGroup returns started watchers of engines that read each millisecond.
func newGroup(t *testing.T, instances, count, direct int) *group {
	t.Helper()
	g := &group{
		engines: &engines{loads: map[string]streamer.Load{}, leaving: map[string]bool{}, reads: map[string]int{}, clock: time.Unix(1000, 0)},
		hub:     &hub{subs: map[string]map[string]func(gossiper.Entry){}, published: map[string]int{}},
	}
	for i := range count {
		id := fmt.Sprint("e", i)
		g.list = append(g.list, lister.Instance{ID: id, Role: lister.RoleEngine, Address: id + ":1", DataCentre: "a", Region: "r"})
		g.engines.loads[id+":1"] = streamer.Load{Endpoint: id, Held: []streamer.Held{{Model: "m", To: 4}}, Running: i, Rate: 100}
	}
	g.list = append(g.list, lister.Instance{ID: "s0", Role: lister.RoleService, Service: "stock", Address: "s0:1"})
	for i := range instances {
		g.hub.peers = append(g.hub.peers, gossiper.Peer{ID: fmt.Sprint("n", i), DataCentre: "a", Region: "r"})
	}
	for _, p := range g.hub.peers {
		r := newRoutes()
		w := New(p, g, g.engines, r, r, port{g.hub, p.ID},
			WithIntervals(time.Hour, time.Millisecond), WithWatchers(2, direct), WithLag(10*time.Second, time.Minute))
		g.nodes, g.routes = append(g.nodes, w), append(g.routes, r)
		w.Start()
		t.Cleanup(w.Close)
	}
	return g
}

func TestEveryInstanceLearnsEveryEndpoint(t *testing.T) {
	cases := []struct {
		name   string
		direct int
	}{
		{"each watches all", 64},
		{"two watch each and tell the others", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(t, 5, 20, c.direct)
			for _, r := range g.routes {
				r.await(func() bool { return len(r.reports) == 21 && r.reports["e7"].Running > 0 })
			}
			g.hub.mu.Lock()
			defer g.hub.mu.Unlock()
			if told := g.hub.published[gossiper.TopicLoad] > 0; told != (c.direct == 0) {
				t.Errorf("loads told: %v", told)
			}
		})
	}
}

func TestLeavingByAnySign(t *testing.T) {
	cases := []struct {
		name string
		// sign gives the sign to the first instance alone.
		sign func(g *group)
		id   string
	}{
		{"the list's", func(g *group) {
			list := slices.Clone(g.list)
			list[3].Leaving = true
			g.nodes[0].Take(time.Now(), list)
		}, "e3"},
		{"the endpoint's own", func(g *group) { g.engines.setLeaving("e3:1", true) }, "e3"},
		{"the list's, of a service", func(g *group) {
			list := slices.Clone(g.list)
			list[6].Leaving = true
			g.nodes[0].Take(time.Now(), list)
		}, "s0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(t, 4, 6, 0)
			for _, r := range g.routes {
				r.await(func() bool { return len(r.reports) == 7 })
			}
			c.sign(g)
			for _, r := range g.routes {
				r.await(func() bool { return r.leaving[c.id] })
			}
			for _, w := range g.nodes {
				w.Take(time.Now(), g.list)
			}
			for i, r := range g.routes {
				if slices.Contains(r.usable(), c.id) {
					t.Errorf("instance %d took a stale live sign", i)
				}
			}
		})
	}
}

func TestReturns(t *testing.T) {
	g := newGroup(t, 1, 3, 64)
	r, w := g.routes[0], g.nodes[0]
	r.await(func() bool { return len(r.reports) == 4 })
	g.engines.setLeaving("e1:1", true)
	r.await(func() bool { return r.leaving["e1"] })
	g.engines.setLeaving("e1:1", false)
	r.await(func() bool { _, ok := r.reports["e1"]; return ok && !r.leaving["e1"] })
	list := slices.Clone(g.list)
	list[2].Leaving = true
	now := time.Now()
	w.Take(now, list)
	w.Take(now.Add(time.Second), g.list)
	if diff := cmp.Diff([]string{"e0", "e1", "s0"}, r.usable()); diff != "" {
		t.Errorf("usable after a stale list mismatch (-want +got):\n%s", diff)
	}
	w.Take(now.Add(12*time.Second), g.list)
	r.await(func() bool { _, ok := r.reports["e2"]; return ok && !r.leaving["e2"] })
}

// TestDeadEndpointIsKnownEverywhere lets an engine die that few instances watch, and come back: every instance finds
// both out by reads of its own.
func TestDeadEndpointIsKnownEverywhere(t *testing.T) {
	for _, direct := range []int{64, 0} {
		t.Run(fmt.Sprint("direct ", direct), func(t *testing.T) {
			g := newGroup(t, 6, 12, direct)
			for _, r := range g.routes {
				r.await(func() bool { return len(r.reports) == 13 })
			}
			g.engines.mu.Lock()
			dead := g.engines.loads["e3:1"]
			delete(g.engines.loads, "e3:1")
			g.engines.mu.Unlock()
			for _, r := range g.routes {
				r.await(func() bool { return r.missed["e3"] })
			}
			for i, r := range g.routes {
				r.mu.Lock()
				if diff := cmp.Diff(map[string]bool{"e3": true}, r.missed); diff != "" {
					t.Errorf("instance %d: endpoints missed mismatch (-want +got):\n%s", i, diff)
				}
				r.mu.Unlock()
			}
			g.engines.mu.Lock()
			g.engines.loads["e3:1"] = dead
			g.engines.mu.Unlock()
			for _, r := range g.routes {
				r.await(func() bool { return !r.missed["e3"] })
			}
		})
	}
}

func TestListedByAPeer(t *testing.T) {
	g := newGroup(t, 2, 2, 64)
	for _, r := range g.routes {
		r.await(func() bool { return len(r.reports) == 3 })
	}
	g.engines.mu.Lock()
	g.engines.loads["e9:1"] = streamer.Load{Endpoint: "e9", Held: []streamer.Held{{Model: "m", To: 4}}}
	g.engines.mu.Unlock()
	now := time.Now()
	g.nodes[0].Take(now, append(slices.Clone(g.list), lister.Instance{ID: "e9", Role: lister.RoleEngine, Address: "e9:1", Region: "r"}))
	other := g.routes[1]
	other.await(func() bool { _, ok := other.reports["e9"]; return ok })
	g.nodes[1].Take(now.Add(time.Second), g.list)
	if !slices.Contains(other.usable(), "e9") {
		t.Error("a list that is behind removed an endpoint that a peer lists")
	}
	g.nodes[1].Take(now.Add(time.Minute), g.list)
	if slices.Contains(other.usable(), "e9") {
		t.Error("an endpoint that is not listed is still used")
	}
}

func TestPace(t *testing.T) {
	cases := []struct {
		name      string
		endpoints int
		allowance int
		want      time.Duration
	}{
		{"few endpoints", 2, 4000, time.Second},
		{"many endpoints", 50, 4000, 7500 * time.Millisecond},
		{"all endpoints watched directly", 0, 4000, time.Second},
		{"no allowance", 50, 0, time.Second},
	}
	for _, c := range cases {
		if diff := cmp.Diff(c.want, Pace(time.Second, c.endpoints, c.allowance)); diff != "" {
			t.Errorf("%s: mismatch (-want +got):\n%s", c.name, diff)
		}
	}
}

func TestSubsetCoversLayers(t *testing.T) {
	g := newGroup(t, 1, 60, 64)
	w, r := g.nodes[0], g.routes[0]
	r.await(func() bool { return len(r.reports) == 61 })
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, id := range w.ids() {
		if i%20 == 0 {
			w.endpoints[id].group = "rare"
		}
	}
	w.options.subset = 20
	w.choose(time.Now(), w.region())
	count := map[string]int{}
	for id := range w.used {
		count[w.endpoints[id].group]++
	}
	common := w.endpoints["e1"].group
	if diff := cmp.Diff(map[string]int{"rare": 3, common: 19}, count); diff != "" {
		t.Errorf("engines by group mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(23, len(r.usable())); diff != "" {
		t.Errorf("endpoints that the router knows mismatch (-want +got):\n%s", diff)
	}
}
