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

// instanceCount is the number of instances of the measured fleet.
const instanceCount = 7

// gatedTable is a table service that can be made unreachable.
type gatedTable struct {
	tabler.Table
	isUnreachable atomic.Bool
	// loseAfterCommit, if set, makes the table service unreachable for all instances after the next commit.
	loseAfterCommit   *atomic.Bool
	setAllUnreachable func(bool)
}

// Get returns a row unless the table is unreachable.
func (g *gatedTable) Get(ctx context.Context, t, key string) (tabler.Row, bool, error) {
	if g.isUnreachable.Load() {
		return tabler.Row{}, false, errUnreachable
	}
	return g.Table.Get(ctx, t, key)
}

// Scan returns rows unless the table is unreachable.
func (g *gatedTable) Scan(ctx context.Context, t, prefix, after string, limit int) ([]tabler.Row, error) {
	if g.isUnreachable.Load() {
		return nil, errUnreachable
	}
	return g.Table.Scan(ctx, t, prefix, after, limit)
}

// Commit applies a transaction unless the table is unreachable. If loseAfterCommit is set, it then clears it and makes
// the table unreachable for all instances.
func (g *gatedTable) Commit(ctx context.Context, t tabler.Txn) (tabler.Result, error) {
	if g.isUnreachable.Load() {
		return tabler.Result{}, errUnreachable
	}
	r, err := g.Table.Commit(ctx, t)
	if g.loseAfterCommit.CompareAndSwap(true, false) {
		g.setAllUnreachable(true)
	}
	return r, err
}

// cuttablePath is an exchange whose paths to peers can be cut.
type cuttablePath struct {
	*exchanger.Exchanger
	id     string
	cutOff *sync.Map
}

// isOpen reports whether the path between this instance and a peer is open.
func (p cuttablePath) isOpen(peer string) bool {
	_, ownCut := p.cutOff.Load(p.id)
	_, peerCut := p.cutOff.Load(peer)
	return !ownCut && !peerCut
}

// Call calls a peer unless the path is cut.
func (p cuttablePath) Call(ctx context.Context, peer gossiper.Peer, method string, args, reply any) error {
	if !p.isOpen(peer.ID) {
		return errUnreachable
	}
	return p.Exchanger.Call(ctx, peer, method, args, reply)
}

// Subscribe calls f for each entry that arrives over an open path.
func (p cuttablePath) Subscribe(topic string, f func(gossiper.Entry)) {
	p.Exchanger.Subscribe(topic, func(e gossiper.Entry) {
		if p.isOpen(e.Owner) {
			f(e)
		}
	})
}

// objects is an in-memory object store.
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
	table     *gatedTable
}

// fleet is a set of instances that communicate over loopback, and their table service.
type fleet struct {
	instances       []*instance
	table           *table.Table
	faults          *faulter.Faults
	server          *http.Server
	client          *tabler.Client
	tableBytes      atomic.Int64
	cutOff          sync.Map
	loseAfterCommit atomic.Bool
}

// newFleet starts a fleet, which the caller must close.
func newFleet(seed uint64) (*fleet, error) {
	f := &fleet{faults: faulter.NewFaults(seed)}
	f.table = table.New(table.WithFaults(f.faults))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.server = &http.Server{Handler: f.table.Handler(), ReadHeaderTimeout: time.Second}
	go f.runServer(counter.NewListener(l, &f.tableBytes))
	f.client = tabler.NewClient("http://" + l.Addr().String())
	listeners := make([]net.Listener, instanceCount)
	peers := make([]gossiper.Peer, instanceCount)
	for i := range instanceCount {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			f.close()
			return nil, err
		}
		peers[i] = gossiper.Peer{ID: fmt.Sprint("i", i), Address: listeners[i].Addr().String(), DataCentre: "a", Region: "r"}
	}
	shared := &objects{}
	for i := range instanceCount {
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
	x := exchanger.New(peers[i], exchanger.WithSeed(seed), exchanger.WithLister(staticList(peers), time.Second))
	g := &gatedTable{Table: f.client, loseAfterCommit: &f.loseAfterCommit, setAllUnreachable: f.setStoreUnreachable}
	p, err := poller.New(peers[i].ID, g, o, cuttablePath{x, peers[i].ID, &f.cutOff}, poller.WithSeed(seed))
	if err != nil {
		return err
	}
	x.Start(l)
	p.Start()
	f.instances = append(f.instances, &instance{
		poller:    p,
		committer: committer.New(g, p, committer.WithRetryDelay(10*time.Millisecond)),
		exchange:  x,
		table:     g,
	})
	return nil
}

// setStoreUnreachable makes the table service unreachable, or reachable again, for all instances.
func (f *fleet) setStoreUnreachable(unreachable bool) {
	for _, i := range f.instances {
		i.table.isUnreachable.Store(unreachable)
	}
}

// close stops all instances and the table service.
func (f *fleet) close() {
	for _, i := range f.instances {
		i.poller.Close()
		i.exchange.Close()
	}
	f.client.Close()
	_ = f.server.Close()
}

// exchangedBytes returns the bytes that all instances have sent and received. Bytes between instances are counted at
// both ends.
func (f *fleet) exchangedBytes() int64 {
	total := f.tableBytes.Load()
	for _, i := range f.instances {
		total += i.exchange.Traffic.Sent.Load() + i.exchange.Traffic.Received.Load()
	}
	return total
}

// waitForPeers waits until every instance is ready and has discovered all others.
func (f *fleet) waitForPeers(deadline time.Time) error {
	for time.Now().Before(deadline) {
		ready := true
		for _, i := range f.instances {
			ready = ready && len(i.poller.LiveInstances(context.Background())) == instanceCount && i.poller.NotReadyReason(time.Now()) == ""
		}
		if ready {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("the instances have not discovered each other in time")
}

// runCommand runs a command on one instance and returns its result, or an error unless it completed.
func (f *fleet) runCommand(at int, c accepter.Command) (accepter.Result, error) {
	r := f.instances[at].committer.Do(context.Background(), c)
	if r.OutcomeName != "completed" {
		return r, fmt.Errorf("%s %s: %s %s %v %v", c.Action, c.ID, r.OutcomeName, r.Reason, r.Faults, r.Conflicts)
	}
	return r, nil
}

// newModelRecord returns a revision of the model that is changed.
func newModelRecord(share int) (recorder.Record, error) {
	return recorder.NewRecord(model.Kind, model.Name, recorder.Model{Layers: 48, MaxAnswerTokens: 2000, FirstTokenMillis: 1900, TokenIntervalMillis: 43,
		Adapters: []recorder.Adapter{{Name: "oak"}, {Name: "ash"}},
		Versions: []recorder.Version{{Name: "a", SharePercent: 100 - share}, {Name: "b", SharePercent: share}}})
}
