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

// fakeNetwork delivers entries between the watchers of a test without delay.
type fakeNetwork struct {
	mu          sync.Mutex
	peers       []gossiper.Peer
	subscribers map[string]map[string]func(gossiper.Entry)
	// published counts the published entries by topic.
	published map[string]int
}

// fakeExchange is one instance's connection to a fakeNetwork.
type fakeExchange struct {
	network *fakeNetwork
	self    string
}

// Publish delivers an entry to the other instances' subscribers.
func (x fakeExchange) Publish(topic, key string, value []byte, _ time.Duration) {
	x.network.send(x.self, gossiper.Entry{Owner: x.self, Topic: topic, Key: key, Value: value})
}

// Withdraw delivers a deletion to the other instances' subscribers.
func (x fakeExchange) Withdraw(topic, key string) {
	x.network.send(x.self, gossiper.Entry{Owner: x.self, Topic: topic, Key: key, Deleted: true})
}

// Subscribe adds a subscriber.
func (x fakeExchange) Subscribe(topic string, f func(gossiper.Entry)) {
	x.network.mu.Lock()
	defer x.network.mu.Unlock()
	if x.network.subscribers[topic] == nil {
		x.network.subscribers[topic] = map[string]func(gossiper.Entry){}
	}
	x.network.subscribers[topic][x.self] = f
}

// LivePeers returns the other instances.
func (x fakeExchange) LivePeers() []gossiper.Peer {
	var out []gossiper.Peer
	for _, o := range x.network.peers {
		if o.ID != x.self {
			out = append(out, o)
		}
	}
	return out
}

// send delivers an entry to the subscribers of all instances but its owner.
func (n *fakeNetwork) send(owner string, e gossiper.Entry) {
	n.mu.Lock()
	if !e.Deleted {
		n.published[e.Topic]++
	}
	subscribers := maps.Clone(n.subscribers[e.Topic])
	n.mu.Unlock()
	for self, f := range subscribers {
		if self != owner {
			go f(e)
		}
	}
}

// fakeRouter records the reports it receives and the endpoints marked as leaving. A later report does not clear the mark.
type fakeRouter struct {
	mu           sync.Mutex
	reports      map[string]picker.Report
	leaving      map[string]bool
	unresponsive map[string]bool
	changed      *sync.Cond
}

// newFakeRouter returns a router without endpoints.
func newFakeRouter() *fakeRouter {
	r := &fakeRouter{reports: map[string]picker.Report{}, leaving: map[string]bool{}, unresponsive: map[string]bool{}}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// Observe records a report.
func (r *fakeRouter) Observe(_ time.Time, e planner.Endpoint, report picker.Report) {
	r.set(func() { r.reports[e.ID] = report })
}

// MarkLeaving marks a known endpoint as leaving. Like the picker, it ignores an unknown one.
func (r *fakeRouter) MarkLeaving(_ time.Time, id string) {
	r.set(func() {
		if _, ok := r.reports[id]; ok {
			r.leaving[id] = true
		}
	})
}

// Remove removes an endpoint.
func (r *fakeRouter) Remove(_ time.Time, id string) {
	r.set(func() {
		delete(r.reports, id)
		delete(r.leaving, id)
	})
}

// RecordLoadReadFailure records an unresponsive endpoint.
func (r *fakeRouter) RecordLoadReadFailure(_ time.Time, id string) {
	r.set(func() { r.unresponsive[id] = true })
}

// RecordLoadReadSuccess records that an endpoint responds again.
func (r *fakeRouter) RecordLoadReadSuccess(_ time.Time, id string) {
	r.set(func() { delete(r.unresponsive, id) })
}

// ObserveService, MarkServiceLeaving and RemoveService treat endpoints of services like engines.
func (r *fakeRouter) ObserveService(now time.Time, id, _, _ string) {
	r.Observe(now, planner.Endpoint{ID: id}, picker.Report{})
}

// MarkServiceLeaving marks an endpoint of a service as leaving.
func (r *fakeRouter) MarkServiceLeaving(now time.Time, id string) { r.MarkLeaving(now, id) }

// RemoveService removes an endpoint of a service.
func (r *fakeRouter) RemoveService(now time.Time, id string) { r.Remove(now, id) }

// set changes the recorded state and wakes up await.
func (r *fakeRouter) set(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	r.changed.Broadcast()
}

// await waits until a condition on the recorded state holds.
func (r *fakeRouter) await(condition func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !condition() {
		r.changed.Wait()
	}
}

// usable returns the endpoints that may receive new work, sorted by ID.
func (r *fakeRouter) usable() []string {
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

// fakeEngines serves the loads of engines by address.
type fakeEngines struct {
	mu      sync.Mutex
	loads   map[string]streamer.Load
	clock   time.Time
	leaving map[string]bool
	reads   map[string]int
}

// Load returns the load of the engine at an address.
func (e *fakeEngines) Load(_ context.Context, address string) (streamer.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, ok := e.loads[address]
	if !ok {
		return l, errors.New("no engine")
	}
	e.reads[address]++
	e.clock = e.clock.Add(time.Millisecond)
	l.ReportedAtMillis, l.Leaving = e.clock.UnixMilli(), e.leaving[address]
	return l, nil
}

// setLeaving sets whether an engine's load says that it is leaving.
func (e *fakeEngines) setLeaving(address string, leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving[address] = leaving
}

// cluster is a set of watchers of the same engines.
type cluster struct {
	list     []lister.Instance
	engines  *fakeEngines
	network  *fakeNetwork
	watchers []*Watcher
	routers  []*fakeRouter
}

// List returns the list.
func (cl *cluster) List(context.Context) ([]lister.Instance, error) {
	return cl.list, nil
}

// newCluster returns started watchers that read the loads of count engines every millisecond.
func newCluster(t *testing.T, instances, count, maxDirect int) *cluster {
	t.Helper()
	cl := &cluster{
		engines: &fakeEngines{loads: map[string]streamer.Load{}, leaving: map[string]bool{}, reads: map[string]int{}, clock: time.Unix(1000, 0)},
		network: &fakeNetwork{subscribers: map[string]map[string]func(gossiper.Entry){}, published: map[string]int{}},
	}
	for i := range count {
		id := fmt.Sprint("e", i)
		cl.list = append(cl.list, lister.Instance{ID: id, Role: lister.RoleEngine, Address: id + ":1", DataCentre: "a", Region: "r"})
		cl.engines.loads[id+":1"] = streamer.Load{Endpoint: id, Held: []streamer.LayerRange{{Model: "m", To: 4}}, RunningRequests: i, LayerStepsPerSecond: 100}
	}
	cl.list = append(cl.list, lister.Instance{ID: "s0", Role: lister.RoleService, Service: "stock", Address: "s0:1"})
	for i := range instances {
		cl.network.peers = append(cl.network.peers, gossiper.Peer{ID: fmt.Sprint("n", i), DataCentre: "a", Region: "r"})
	}
	for _, p := range cl.network.peers {
		r := newFakeRouter()
		w := New(p, cl, cl.engines, r, r, fakeExchange{cl.network, p.ID},
			WithIntervals(time.Hour, time.Millisecond), WithWatchers(2, maxDirect), WithListLag(10*time.Second, time.Minute))
		cl.watchers, cl.routers = append(cl.watchers, w), append(cl.routers, r)
		w.Start()
		t.Cleanup(w.Close)
	}
	return cl
}

func TestEveryInstanceLearnsEveryEndpoint(t *testing.T) {
	cases := []struct {
		name   string
		direct int
	}{
		{"each watches all", 64},
		{"two watch each and share its load", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cl := newCluster(t, 5, 20, c.direct)
			for _, r := range cl.routers {
				r.await(func() bool { return len(r.reports) == 21 && r.reports["e7"].Running > 0 })
			}
			cl.network.mu.Lock()
			defer cl.network.mu.Unlock()
			if shared := cl.network.published[gossiper.TopicLoad] > 0; shared != (c.direct == 0) {
				t.Errorf("loads shared: %v", shared)
			}
		})
	}
}

func TestLeavingFromAnySource(t *testing.T) {
	cases := []struct {
		name string
		// report makes only the first instance detect that the endpoint is leaving.
		report func(cl *cluster)
		id     string
	}{
		{"marked in the list", func(cl *cluster) {
			list := slices.Clone(cl.list)
			list[3].Leaving = true
			cl.watchers[0].ApplyList(time.Now(), list)
		}, "e3"},
		{"reported by the endpoint", func(cl *cluster) { cl.engines.setLeaving("e3:1", true) }, "e3"},
		{"service marked in the list", func(cl *cluster) {
			list := slices.Clone(cl.list)
			list[6].Leaving = true
			cl.watchers[0].ApplyList(time.Now(), list)
		}, "s0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cl := newCluster(t, 4, 6, 0)
			for _, r := range cl.routers {
				r.await(func() bool { return len(r.reports) == 7 })
			}
			c.report(cl)
			for _, r := range cl.routers {
				r.await(func() bool { return r.leaving[c.id] })
			}
			for _, w := range cl.watchers {
				w.ApplyList(time.Now(), cl.list)
			}
			for i, r := range cl.routers {
				if slices.Contains(r.usable(), c.id) {
					t.Errorf("instance %d treats the endpoint as live because of a stale list", i)
				}
			}
		})
	}
}

func TestReadmitted(t *testing.T) {
	cl := newCluster(t, 1, 3, 64)
	r, w := cl.routers[0], cl.watchers[0]
	r.await(func() bool { return len(r.reports) == 4 })
	cl.engines.setLeaving("e1:1", true)
	r.await(func() bool { return r.leaving["e1"] })
	cl.engines.setLeaving("e1:1", false)
	r.await(func() bool { _, ok := r.reports["e1"]; return ok && !r.leaving["e1"] })
	list := slices.Clone(cl.list)
	list[2].Leaving = true
	now := time.Now()
	w.ApplyList(now, list)
	w.ApplyList(now.Add(time.Second), cl.list)
	if diff := cmp.Diff([]string{"e0", "e1", "s0"}, r.usable()); diff != "" {
		t.Errorf("usable after a stale list mismatch (-want +got):\n%s", diff)
	}
	w.ApplyList(now.Add(12*time.Second), cl.list)
	r.await(func() bool { _, ok := r.reports["e2"]; return ok && !r.leaving["e2"] })
}

// TestDeadEndpointIsKnownEverywhere stops and restarts an engine that only some instances watch. Every instance must detect
// both by its own reads.
func TestDeadEndpointIsKnownEverywhere(t *testing.T) {
	for _, direct := range []int{64, 0} {
		t.Run(fmt.Sprint("direct ", direct), func(t *testing.T) {
			cl := newCluster(t, 6, 12, direct)
			for _, r := range cl.routers {
				r.await(func() bool { return len(r.reports) == 13 })
			}
			cl.engines.mu.Lock()
			stopped := cl.engines.loads["e3:1"]
			delete(cl.engines.loads, "e3:1")
			cl.engines.mu.Unlock()
			for _, r := range cl.routers {
				r.await(func() bool { return r.unresponsive["e3"] })
			}
			for i, r := range cl.routers {
				r.mu.Lock()
				if diff := cmp.Diff(map[string]bool{"e3": true}, r.unresponsive); diff != "" {
					t.Errorf("instance %d: unresponsive endpoints mismatch (-want +got):\n%s", i, diff)
				}
				r.mu.Unlock()
			}
			cl.engines.mu.Lock()
			cl.engines.loads["e3:1"] = stopped
			cl.engines.mu.Unlock()
			for _, r := range cl.routers {
				r.await(func() bool { return !r.unresponsive["e3"] })
			}
		})
	}
}

func TestListedByAPeer(t *testing.T) {
	cl := newCluster(t, 2, 2, 64)
	for _, r := range cl.routers {
		r.await(func() bool { return len(r.reports) == 3 })
	}
	cl.engines.mu.Lock()
	cl.engines.loads["e9:1"] = streamer.Load{Endpoint: "e9", Held: []streamer.LayerRange{{Model: "m", To: 4}}}
	cl.engines.mu.Unlock()
	now := time.Now()
	cl.watchers[0].ApplyList(now, append(slices.Clone(cl.list), lister.Instance{ID: "e9", Role: lister.RoleEngine, Address: "e9:1", Region: "r"}))
	other := cl.routers[1]
	other.await(func() bool { _, ok := other.reports["e9"]; return ok })
	cl.watchers[1].ApplyList(now.Add(time.Second), cl.list)
	if !slices.Contains(other.usable(), "e9") {
		t.Error("a list that lags removed an endpoint that a peer has listed")
	}
	cl.watchers[1].ApplyList(now.Add(time.Minute), cl.list)
	if slices.Contains(other.usable(), "e9") {
		t.Error("an endpoint that is not listed is still used")
	}
}

func TestLoadReadInterval(t *testing.T) {
	cases := []struct {
		name           string
		endpoints      int
		bytesPerSecond int
		want           time.Duration
	}{
		{"few endpoints", 2, 4000, time.Second},
		{"many endpoints", 50, 4000, 7500 * time.Millisecond},
		{"all endpoints watched directly", 0, 4000, time.Second},
		{"no limit", 50, 0, time.Second},
	}
	for _, c := range cases {
		if diff := cmp.Diff(c.want, LoadReadInterval(time.Second, c.endpoints, c.bytesPerSecond)); diff != "" {
			t.Errorf("%s: mismatch (-want +got):\n%s", c.name, diff)
		}
	}
}

func TestSubsetCoversLayers(t *testing.T) {
	cl := newCluster(t, 1, 60, 64)
	w, r := cl.watchers[0], cl.routers[0]
	r.await(func() bool { return len(r.reports) == 61 })
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, id := range w.sortedIDs() {
		if i%20 == 0 {
			w.endpoints[id].group = "rare"
		}
	}
	w.options.maxEngines = 20
	w.selectEngines(time.Now(), w.regionalEngines())
	count := map[string]int{}
	for id := range w.selectedEngines {
		count[w.endpoints[id].group]++
	}
	common := w.endpoints["e1"].group
	if diff := cmp.Diff(map[string]int{"rare": 3, common: 19}, count); diff != "" {
		t.Errorf("engines by group mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(23, len(r.usable())); diff != "" {
		t.Errorf("endpoints of the router mismatch (-want +got):\n%s", diff)
	}
}
