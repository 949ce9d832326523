package poller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/converter"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	"github.com/heatherrock/heatherrock/internal/standin/storer"
	table "github.com/heatherrock/heatherrock/internal/standin/tabler"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// alone is an exchange with one peer, which may be missing.
type alone struct {
	peer    *Poller
	others  []gossiper.Peer
	records *Records
	entries []gossiper.Entry
}

func (a *alone) Publish(topic, key string, value []byte, _ time.Duration) {
	a.entries = append(a.entries, gossiper.Entry{Topic: topic, Key: key, Value: value})
}
func (a *alone) Subscribe(string, func(gossiper.Entry)) {}
func (a *alone) Entries(string) []gossiper.Entry        { return a.entries }
func (a *alone) Peers() []gossiper.Peer {
	if a.peer == nil {
		return a.others
	}
	return []gossiper.Peer{{ID: a.peer.id}}
}

func (a *alone) Register(_ string, receiver any) error {
	a.records = receiver.(*Records)
	return nil
}

func (a *alone) Call(_ context.Context, _ gossiper.Peer, method string, args, reply any) error {
	if a.peer == nil {
		return errors.New("no answer")
	}
	r := &Records{a.peer}
	switch method {
	case "Records.Status":
		return r.Status(Nothing{}, reply.(*Status))
	case "Records.Since":
		return r.Since(args.(int64), reply.(*Missing))
	default:
		return errors.New("no such method")
	}
}

// platform is a table and an object store, and the configuration that they hold.
type platform struct {
	table   *table.Table
	objects *storer.Store
	faults  *faulter.Faults
	base    recorder.Snapshot
}

// newPlatform returns an empty platform.
func newPlatform() *platform {
	f := faulter.NewFaults(1)
	return &platform{table: table.New(table.WithFaults(f)), objects: storer.New(f), faults: f}
}

// raise raises the epoch once by a change of one of three teams, and writes the log and the head.
func (p *platform) raise(t *testing.T) recorder.Delta {
	t.Helper()
	epoch := p.base.Epoch + 1
	r, err := recorder.NewRecord(recorder.KindTeam, fmt.Sprint("t", epoch%3), recorder.Team{QueueWeight: int(epoch)})
	if err != nil {
		t.Fatal(err)
	}
	r.Revision = epoch
	d := recorder.Delta{Epoch: epoch, Put: []recorder.Record{r}}
	d.Sum = p.base.With(d.Put, nil).Checksum()
	if p.base, err = p.base.Advance(d); err != nil {
		t.Fatal(err)
	}
	var writes []tabler.Write
	for key, value := range map[string]any{
		accepter.HeadKey:       accepter.Head{Epoch: epoch, Checksum: d.Sum},
		accepter.LogKey(epoch): d,
	} {
		encoded, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		writes = append(writes, tabler.Write{Table: accepter.Table, Key: key, Value: encoded})
	}
	if _, err := p.table.Commit(context.Background(), tabler.Txn{Writes: writes}); err != nil {
		t.Fatal(err)
	}
	return d
}

// join returns a poller that knows nothing yet.
func (p *platform) join(t *testing.T, id string, x *alone) *Poller {
	t.Helper()
	n, err := New(id, p.table, p.objects, x)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// TestSinceAfterWhole asks an instance that has learned a whole snapshot between two deltas for what follows an epoch
// before it. What lies between is not to be left out.
func TestSinceAfterWhole(t *testing.T) {
	p := newPlatform()
	peer := p.join(t, "peer", &alone{})
	behind := p.join(t, "behind", &alone{peer: peer})
	first := p.raise(t)
	peer.advance(first)
	behind.advance(first)
	peer.advance(p.raise(t))
	for range 3 {
		p.raise(t)
	}
	peer.apply(p.base)
	peer.advance(p.raise(t))
	behind.fetch(context.Background(), gossiper.Peer{ID: "peer"}, behind.Base().Epoch)
	if diff := cmp.Diff(p.base, behind.Base()); diff != "" {
		t.Errorf("configuration mismatch (-want +got):\n%s", diff)
	}
}

// TestCompactNeverPointsBack compacts on an instance that was paused while others went on and compacted.
func TestCompactNeverPointsBack(t *testing.T) {
	ctx := context.Background()
	p := newPlatform()
	paused, other := p.join(t, "paused", &alone{}), p.join(t, "other", &alone{})
	for epoch := range int64(2 * snapshotEvery) {
		d := p.raise(t)
		other.advance(d)
		if epoch < snapshotEvery {
			paused.advance(d)
		}
	}
	for _, n := range []*Poller{other, paused} {
		if err := n.Compact(ctx); err != nil {
			t.Fatal(err)
		}
	}
	row, _, err := p.table.Get(ctx, accepter.Table, accepter.SnapshotKey)
	if err != nil {
		t.Fatal(err)
	}
	got, err := accepter.Decode[accepter.Pointer](row)
	if diff := cmp.Diff(int64(2*snapshotEvery), got.Epoch); diff != "" || err != nil {
		t.Errorf("newest snapshot mismatch, %v (-want +got):\n%s", err, diff)
	}
}

func TestCatchUp(t *testing.T) {
	ctx := context.Background()
	p := newPlatform()
	first := p.join(t, "first", &alone{})
	first.Round(ctx)
	if why := first.Ready(time.Now()); why != "" {
		t.Errorf("empty store: %s", why)
	}
	for range 2*keepLog + snapshotEvery {
		first.advance(p.raise(t))
		if err := first.Compact(ctx); err != nil {
			t.Fatal(err)
		}
	}
	rows, err := p.table.Scan(ctx, accepter.Table, accepter.LogPrefix, "", 1)
	if err != nil || len(rows) != 1 || rows[0].Key == accepter.LogKey(1) {
		t.Fatalf("the log was not cut: %v %v", rows, err)
	}
	p.raise(t)
	late := p.join(t, "late", &alone{})
	late.Round(ctx)
	if diff := cmp.Diff(p.base, late.Base()); diff != "" {
		t.Error("by snapshot and log:", diff)
	}
	if err := p.faults.Set(faulter.Fault{Kind: faulter.Crash}); err != nil {
		t.Fatal(err)
	}
	other := p.join(t, "other", &alone{peer: late})
	other.Round(ctx)
	if diff := cmp.Diff(p.base, other.Base()); diff != "" {
		t.Error("by a peer:", diff)
	}
	first.Round(ctx)
	if diff := cmp.Diff(p.base.Epoch-1, first.Base().Epoch); diff != "" {
		t.Error("without store and peers:", diff)
	}
}

func TestObjectLost(t *testing.T) {
	ctx := context.Background()
	p := newPlatform()
	first := p.join(t, "first", &alone{})
	for range keepLog + 2*snapshotEvery {
		first.advance(p.raise(t))
		if err := first.Compact(ctx); err != nil {
			t.Fatal(err)
		}
	}
	p.objects = storer.New(faulter.NewFaults(1))
	late := p.join(t, "late", &alone{})
	late.Round(ctx)
	if late.Base().Epoch != 0 || late.Ready(time.Now()) == "" {
		t.Errorf("ready at epoch %d without a snapshot", late.Base().Epoch)
	}
	whole := object(recorder.Snapshot{Epoch: keepLog + 2*snapshotEvery, Records: p.base.Records})
	if err := p.objects.Put(ctx, whole, []byte(`{"epoch":1152,"records":[]}`)); err != nil {
		t.Fatal(err)
	}
	late.Round(ctx)
	if late.Base().Epoch != 0 || late.Ready(time.Now()) == "" {
		t.Errorf("took an object of other content, epoch %d", late.Base().Epoch)
	}
	helped := p.join(t, "helped", &alone{peer: first})
	helped.Round(ctx)
	if diff := cmp.Diff(p.base, helped.Base()); diff != "" {
		t.Error(diff)
	}
}

func TestSince(t *testing.T) {
	p := newPlatform()
	n := p.join(t, "a", &alone{})
	for range keep + 10 {
		n.advance(p.raise(t))
	}
	cases := []struct {
		after  int64
		deltas int
		whole  int64
	}{
		{0, 0, keep + 10}, {9, 0, keep + 10}, {10, keep, 0}, {keep + 9, 1, 0}, {keep + 10, 0, 0}, {keep + 99, 0, 0},
	}
	for _, c := range cases {
		got := n.since(c.after)
		if diff := cmp.Diff([]int64{int64(c.deltas), c.whole}, []int64{int64(len(got.Deltas)), got.Whole.Epoch}); diff != "" {
			t.Errorf("after %d: %s", c.after, diff)
		}
	}
}

func TestLoop(t *testing.T) {
	p := newPlatform()
	n, err := New("a", p.table, p.objects, &alone{}, WithInterval(time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	n.Start()
	d := p.raise(t)
	for n.View().Epoch != d.Epoch {
		time.Sleep(time.Millisecond)
	}
	if diff := cmp.Diff(1, n.View().Teams["t1"].QueueWeight); diff != "" {
		t.Error(diff)
	}
	n.Close()
	n.Close()
}

// list is the platform's list of instances.
type list []lister.Instance

func (l list) List(context.Context) ([]lister.Instance, error) { return l, nil }

func TestLive(t *testing.T) {
	p := newPlatform()
	x := &alone{
		others:  []gossiper.Peer{{ID: "peer"}, {ID: "going", Leaving: true}},
		entries: []gossiper.Entry{{Owner: "peer", Key: readsKey, Value: []byte(`{"model":1}`)}},
	}
	listed := list{{ID: "self", Role: lister.RoleEntry}, {ID: "listed", Role: lister.RoleEntry}, {ID: "going", Role: lister.RoleEntry},
		{ID: "gone", Role: lister.RoleEntry, Leaving: true}, {ID: "engine", Role: lister.RoleEngine}}
	n, err := New("self", p.table, p.objects, x, WithLister(listed))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	want := []accepter.Instance{
		{ID: "self", ReadableSchemas: converter.NewReader().HighestSchema},
		{ID: "listed"},
		{ID: "peer", ReadableSchemas: map[string]int{"model": 1}},
	}
	if diff := cmp.Diff(want, n.Live(context.Background())); diff != "" {
		t.Error(diff)
	}
	forces := []Force{{ID: "listed", Error: "no answer"}, {ID: "peer", Error: "no answer"}, {ID: "self"}}
	if diff := cmp.Diff(forces, n.Forces(context.Background(), nil)); diff != "" {
		t.Error(diff)
	}
}
