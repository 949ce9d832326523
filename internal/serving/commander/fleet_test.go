package commander

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/control/converter"
	"github.com/heatherrock/heatherrock/internal/control/follower"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/serving/committer"
	"github.com/heatherrock/heatherrock/internal/serving/operator"
	"github.com/heatherrock/heatherrock/internal/serving/poller"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	"github.com/heatherrock/heatherrock/internal/standin/tabler"
)

// errCut is the error of a call from or to a node that is cut off.
var errCut = errors.New("path is cut")

// mesh is an in-memory exchange between the instances of a test.
type mesh struct {
	mu      sync.Mutex
	nodes   []*node
	entries []gossiper.Entry
}

// node is the connection of one instance to the mesh. A node that is cut neither sends nor receives.
type node struct {
	mesh        *mesh
	id          string
	cut         bool
	records     *poller.Records
	subscribers []func(gossiper.Entry)
}

// join adds a node.
func (m *mesh) join(id string) *node {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := &node{mesh: m, id: id}
	m.nodes = append(m.nodes, n)
	return n
}

// reachable returns the other nodes that are connected, or none if this node is cut.
func (n *node) reachable() []*node {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	var out []*node
	for _, other := range n.mesh.nodes {
		if other != n && !other.cut && !n.cut {
			out = append(out, other)
		}
	}
	return out
}

func (n *node) Publish(topic, key string, value []byte, _ time.Duration) {
	e := gossiper.Entry{Owner: n.id, Topic: topic, Key: key, Value: value}
	n.mesh.mu.Lock()
	n.mesh.entries = append(n.mesh.entries, e)
	n.mesh.mu.Unlock()
	for _, other := range n.reachable() {
		for _, f := range other.subscribers {
			f(e)
		}
	}
}

func (n *node) Subscribe(_ string, f func(gossiper.Entry)) {
	n.subscribers = append(n.subscribers, f)
}

func (n *node) Entries(string) []gossiper.Entry {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	return append([]gossiper.Entry{}, n.mesh.entries...)
}

func (n *node) LivePeers() []gossiper.Peer {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	var out []gossiper.Peer
	for _, other := range n.mesh.nodes {
		if other != n {
			out = append(out, gossiper.Peer{ID: other.id})
		}
	}
	return out
}

func (n *node) Register(_ string, receiver any) error {
	n.records = receiver.(*poller.Records)
	return nil
}

func (n *node) Call(_ context.Context, peer gossiper.Peer, method string, args, reply any) error {
	for _, other := range n.reachable() {
		if other.id != peer.ID {
			continue
		}
		switch method {
		case "Records.Status":
			return other.records.Status(poller.Nothing{}, reply.(*poller.Status))
		case "Records.Learn":
			return other.records.Learn(args.(recorder.Delta), reply.(*poller.Status))
		default:
			return other.records.Since(args.(int64), reply.(*poller.Missing))
		}
	}
	return errCut
}

// objects is an object store in memory.
type objects struct {
	mu    sync.Mutex
	items map[string][]byte
}

func (o *objects) Put(_ context.Context, name string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.items[name] = body
	return nil
}

func (o *objects) Get(_ context.Context, name string) ([]byte, bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	body, found := o.items[name]
	return body, found, nil
}

// instance is one instance of a test fleet.
type instance struct {
	*poller.Poller
	node         *node
	url          string
	admittedView recorder.View
}

// fleet is a set of instances, their exchange and their platform. Its clock advances only by advance.
type fleet struct {
	t         testing.TB
	faults    *faulter.Faults
	table     *tabler.Table
	objects   *objects
	mesh      *mesh
	instances map[string]*instance

	mu  sync.Mutex
	now time.Time
}

// newFleet returns a fleet without instances.
func newFleet(t testing.TB) *fleet {
	f := &fleet{
		t:         t,
		faults:    faulter.NewFaults(1),
		objects:   &objects{items: map[string][]byte{}},
		mesh:      &mesh{},
		instances: map[string]*instance{},
		now:       time.Unix(1_700_000_000, 0),
	}
	f.table = tabler.New(tabler.WithFaults(f.faults), tabler.WithClock(f.clock))
	return f
}

func (f *fleet) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// advance moves the clock forward.
func (f *fleet) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

// join adds an instance that reads models up to a schema version.
func (f *fleet) join(id string, schema int) {
	reader := converter.NewReader()
	reader.HighestSchema[recorder.KindModel] = schema
	n := f.mesh.join(id)
	p, err := poller.New(id, f.table, f.objects, n, poller.WithClock(f.clock), poller.WithFanout(2),
		poller.WithFollower(follower.WithReader(reader)))
	if err != nil {
		f.t.Fatal(err)
	}
	c := committer.New(f.table, p, committer.WithRetryDelay(time.Millisecond))
	r := mux.NewRouter()
	operator.New(f.table, c, p, operator.WithPollInterval(time.Millisecond)).Register(r)
	server := httptest.NewServer(r)
	f.t.Cleanup(func() {
		server.Close()
		p.Close()
	})
	f.instances[id] = &instance{Poller: p, node: n, url: server.URL}
}

// round makes every instance read the configuration's head once.
func (f *fleet) round() {
	for _, i := range f.instances {
		i.Poll(context.Background())
	}
}
