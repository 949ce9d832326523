package spreader

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/counter"
	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/serving/committer"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
	"github.com/heatherrock/heatherrock/internal/serving/poller"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	table "github.com/heatherrock/heatherrock/internal/standin/tabler"
)

// count is the number of instances.
const count = 7

// gate is a table service that may be out of reach.
type gate struct {
	tabler.Table
	shut atomic.Bool
	// lose is set if the gate shuts after the next commit.
	lose *atomic.Bool
	all  func(bool)
}

// Get returns a row unless the gate is shut.
func (g *gate) Get(ctx context.Context, t, key string) (tabler.Row, bool, error) {
	if g.shut.Load() {
		return tabler.Row{}, false, errAway
	}
	return g.Table.Get(ctx, t, key)
}

// Scan returns rows unless the gate is shut.
func (g *gate) Scan(ctx context.Context, t, prefix, after string, limit int) ([]tabler.Row, error) {
	if g.shut.Load() {
		return nil, errAway
	}
	return g.Table.Scan(ctx, t, prefix, after, limit)
}

// Commit applies a transaction unless the gate is shut. If the store is to be lost, every gate is shut right after.
func (g *gate) Commit(ctx context.Context, t tabler.Txn) (tabler.Result, error) {
	if g.shut.Load() {
		return tabler.Result{}, errAway
	}
	r, err := g.Table.Commit(ctx, t)
	if g.lose.CompareAndSwap(true, false) {
		g.all(true)
	}
	return r, err
}

// path is an exchange whose paths to peers may be cut.
type path struct {
	*exchanger.Exchanger
	id  string
	cut *sync.Map
}

// open reports whether the path between this instance and a peer is open.
func (p path) open(peer string) bool {
	_, mine := p.cut.Load(p.id)
	_, other := p.cut.Load(peer)
	return !mine && !other
}

// Call calls a peer unless the path is cut.
func (p path) Call(ctx context.Context, peer gossiper.Peer, method string, args, reply any) error {
	if !p.open(peer.ID) {
		return errAway
	}
	return p.Exchanger.Call(ctx, peer, method, args, reply)
}

// Subscribe calls f for each entry that comes over an open path.
func (p path) Subscribe(topic string, f func(gossiper.Entry)) {
	p.Exchanger.Subscribe(topic, func(e gossiper.Entry) {
		if p.open(e.Owner) {
			f(e)
		}
	})
}

// objects is an object store in memory.
type objects struct{ items sync.Map }

// Put stores an object.
func (o *objects) Put(_ context.Context, name string, body []byte) error {
	o.items.Store(name, body)
	return nil
}

// Get returns an object.
func (o *objects) Get(_ context.Context, name string) ([]byte, bool, error) {
	body, found := o.items.Load(name)
	if !found {
		return nil, false, nil
	}
	return body.([]byte), true, nil
}

// instance is one instance of the measured fleet.
type instance struct {
	poller    *poller.Poller
	committer *committer.Committer
	exchange  *exchanger.Exchanger
	gate      *gate
}

// fleet is a set of instances that talk over loopback, and their table service.
type fleet struct {
	instances []*instance
	table     *table.Table
	faults    *faulter.Faults
	server    *http.Server
	client    *tabler.Client
	bytes     atomic.Int64
	cut       sync.Map
	lose      atomic.Bool
}

// newFleet starts a fleet. The caller closes it.
func newFleet(seed uint64) (*fleet, error) {
	f := &fleet{faults: faulter.NewFaults(seed)}
	f.table = table.New(table.WithFaults(f.faults))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.server = &http.Server{Handler: f.table.Handler(), ReadHeaderTimeout: time.Second}
	go f.runServer(counter.NewListener(l, &f.bytes))
	f.client = tabler.NewClient("http://" + l.Addr().String())
	listeners := make([]net.Listener, count)
	peers := make([]gossiper.Peer, count)
	for i := range count {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			f.close()
			return nil, err
		}
		peers[i] = gossiper.Peer{ID: fmt.Sprint("i", i), Address: listeners[i].Addr().String(), DataCentre: "a", Region: "r"}
	}
	shared := &objects{}
	for i := range count {
		if err := f.join(seed+uint64(i), peers, i, listeners[i], shared); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

// runServer serves the table until the fleet is closed.
func (f *fleet) runServer(l net.Listener) {
	_ = f.server.Serve(l)
}

// join starts one instance.
func (f *fleet) join(seed uint64, peers []gossiper.Peer, i int, l net.Listener, o *objects) error {
	x := exchanger.New(peers[i], exchanger.WithSeed(seed), exchanger.WithLister(known(peers), time.Second))
	g := &gate{Table: f.client, lose: &f.lose, all: f.shut}
	p, err := poller.New(peers[i].ID, g, o, path{x, peers[i].ID, &f.cut}, poller.WithSeed(seed))
	if err != nil {
		return err
	}
	x.Start(l)
	p.Start()
	f.instances = append(f.instances, &instance{
		poller:    p,
		committer: committer.New(g, p, committer.WithRetryDelay(10*time.Millisecond)),
		exchange:  x,
		gate:      g,
	})
	return nil
}

// shut shuts or opens the gate of every instance.
func (f *fleet) shut(shut bool) {
	for _, i := range f.instances {
		i.gate.shut.Store(shut)
	}
}

// close ends all instances and the table service.
func (f *fleet) close() {
	for _, i := range f.instances {
		i.poller.Close()
		i.exchange.Close()
	}
	f.client.Close()
	_ = f.server.Close()
}

// exchanged returns the bytes that all instances have sent and received, each byte counted at both ends.
func (f *fleet) exchanged() int64 {
	sum := f.bytes.Load()
	for _, i := range f.instances {
		sum += i.exchange.Traffic.Sent.Load() + i.exchange.Traffic.Received.Load()
	}
	return sum
}

// settle waits until every instance knows all others.
func (f *fleet) settle(deadline time.Time) error {
	for time.Now().Before(deadline) {
		ready := true
		for _, i := range f.instances {
			ready = ready && len(i.poller.LiveInstances(context.Background())) == count && i.poller.NotReadyReason(time.Now()) == ""
		}
		if ready {
			return nil
		}
		time.Sleep(step)
	}
	return fmt.Errorf("the instances have not found each other")
}

// do carries a command out on one instance and returns the epoch raised.
func (f *fleet) do(at int, c accepter.Command) (accepter.Result, error) {
	r := f.instances[at].committer.Do(context.Background(), c)
	if r.OutcomeName != "completed" {
		return r, fmt.Errorf("%s %s: %s %s %v %v", c.Action, c.ID, r.OutcomeName, r.Reason, r.Faults, r.Conflicts)
	}
	return r, nil
}

// record returns a revision of the model that is changed.
func record(share int) (recorder.Record, error) {
	return recorder.NewRecord(model.Kind, model.Name, recorder.Model{Layers: 48, MaxAnswerTokens: 2000, FirstTokenMillis: 1900, TokenIntervalMillis: 43,
		Adapters: []recorder.Adapter{{Name: "oak"}, {Name: "ash"}},
		Versions: []recorder.Version{{Name: "a", SharePercent: 100 - share}, {Name: "b", SharePercent: share}}})
}
