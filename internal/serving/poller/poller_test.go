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

// fakeExchange is an exchange with at most one reachable peer.
type fakeExchange struct {
	peer       *Poller
	otherPeers []gossiper.Peer
	records    *Records
	entries    []gossiper.Entry
}

func (x *fakeExchange) Publish(topic, key string, value []byte, _ time.Duration) {
	x.entries = append(x.entries, gossiper.Entry{Topic: topic, Key: key, Value: value})
}
func (x *fakeExchange) Subscribe(string, func(gossiper.Entry)) {}
func (x *fakeExchange) Entries(string) []gossiper.Entry        { return x.entries }
func (x *fakeExchange) LivePeers() []gossiper.Peer {
	if x.peer == nil {
		return x.otherPeers
	}
	return []gossiper.Peer{{ID: x.peer.id}}
}

func (x *fakeExchange) Register(_ string, receiver any) error {
	x.records = receiver.(*Records)
	return nil
}

func (x *fakeExchange) Call(_ context.Context, _ gossiper.Peer, method string, args, reply any) error {
	if x.peer == nil {
		return errors.New("no answer")
	}
	r := &Records{x.peer}
	switch method {
	case "Records.Status":
		return r.Status(Nothing{}, reply.(*Status))
	case "Records.Since":
		return r.Since(args.(int64), reply.(*Missing))
	default:
		return errors.New("no such method")
	}
}

// platform is a table and an object store, and the newest configuration that they hold.
type platform struct {
	table   *table.Table
	objects *storer.Store
	faults  *faulter.Faults
	latest  recorder.Snapshot
}

// newPlatform returns an empty platform.
func newPlatform() *platform {
	f := faulter.NewFaults(1)
	return &platform{table: table.New(table.WithFaults(f)), objects: storer.New(f), faults: f}
}

// raiseEpoch raises the epoch by one with a change of one of three teams, and writes the log and the head.
func (p *platform) raiseEpoch(t *testing.T) recorder.Delta {
	t.Helper()
	epoch := p.latest.Epoch + 1
	r, err := recorder.NewRecord(recorder.KindTeam, fmt.Sprint("t", epoch%3), recorder.Team{QueueWeight: int(epoch)})
	if err != nil {
		t.Fatal(err)
	}
	r.Revision = epoch
	d := recorder.Delta{Epoch: epoch, Put: []recorder.Record{r}}
	d.Sum = p.latest.With(d.Put, nil).Checksum()
	if p.latest, err = p.latest.Advance(d); err != nil {
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

// newPoller returns a poller without a configuration.
func (p *platform) newPoller(t *testing.T, id string, x *fakeExchange) *Poller {
	t.Helper()
	n, err := New(id, p.table, p.objects, x)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// TestMissingAfterSnapshot queries an instance that has applied a whole snapshot between two deltas for the changes
// after an earlier epoch. The changes between the first delta and the snapshot must not be left out.
func TestMissingAfterSnapshot(t *testing.T) {
	p := newPlatform()
	peer := p.newPoller(t, "peer", &fakeExchange{})
	behind := p.newPoller(t, "behind", &fakeExchange{peer: peer})
	first := p.raiseEpoch(t)
	peer.applyDelta(first)
	behind.applyDelta(first)
	peer.applyDelta(p.raiseEpoch(t))
	for range 3 {
		p.raiseEpoch(t)
	}
	peer.applySnapshot(p.latest)
	peer.applyDelta(p.raiseEpoch(t))
	behind.fetchFrom(context.Background(), gossiper.Peer{ID: "peer"}, behind.LatestSnapshot().Epoch)
	if diff := cmp.Diff(p.latest, behind.LatestSnapshot()); diff != "" {
		t.Errorf("configuration mismatch (-want +got):\n%s", diff)
	}
}

// TestCompactKeepsNewerPointer compacts on an instance that was paused while others advanced and compacted: the pointer
// must not move back to its older snapshot.
func TestCompactKeepsNewerPointer(t *testing.T) {
	ctx := context.Background()
	p := newPlatform()
	paused, other := p.newPoller(t, "paused", &fakeExchange{}), p.newPoller(t, "other", &fakeExchange{})
	for epoch := range int64(2 * snapshotEvery) {
		d := p.raiseEpoch(t)
		other.applyDelta(d)
		if epoch < snapshotEvery {
			paused.applyDelta(d)
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
	first := p.newPoller(t, "first", &fakeExchange{})
	first.Poll(ctx)
	if reason := first.NotReadyReason(time.Now()); reason != "" {
		t.Errorf("empty store: %s", reason)
	}
	for range 2*logDeltasKept + snapshotEvery {
		first.applyDelta(p.raiseEpoch(t))
		if err := first.Compact(ctx); err != nil {
			t.Fatal(err)
		}
	}
	rows, err := p.table.Scan(ctx, accepter.Table, accepter.LogPrefix, "", 1)
	if err != nil || len(rows) != 1 || rows[0].Key == accepter.LogKey(1) {
		t.Fatalf("the log was not truncated: %v %v", rows, err)
	}
	p.raiseEpoch(t)
	late := p.newPoller(t, "late", &fakeExchange{})
	late.Poll(ctx)
	if diff := cmp.Diff(p.latest, late.LatestSnapshot()); diff != "" {
		t.Error("from snapshot and log:", diff)
	}
	if err := p.faults.AddFaults(faulter.Fault{Kind: faulter.Crash}); err != nil {
		t.Fatal(err)
	}
	other := p.newPoller(t, "other", &fakeExchange{peer: late})
	other.Poll(ctx)
	if diff := cmp.Diff(p.latest, other.LatestSnapshot()); diff != "" {
		t.Error("from a peer:", diff)
	}
	first.Poll(ctx)
	if diff := cmp.Diff(p.latest.Epoch-1, first.LatestSnapshot().Epoch); diff != "" {
		t.Error("without store and peers:", diff)
	}
}

func TestObjectLost(t *testing.T) {
	ctx := context.Background()
	p := newPlatform()
	first := p.newPoller(t, "first", &fakeExchange{})
	for range logDeltasKept + 2*snapshotEvery {
		first.applyDelta(p.raiseEpoch(t))
		if err := first.Compact(ctx); err != nil {
			t.Fatal(err)
		}
	}
	p.objects = storer.New(faulter.NewFaults(1))
	late := p.newPoller(t, "late", &fakeExchange{})
	late.Poll(ctx)
	if late.LatestSnapshot().Epoch != 0 || late.NotReadyReason(time.Now()) == "" {
		t.Errorf("ready at epoch %d without a snapshot", late.LatestSnapshot().Epoch)
	}
	snapshotName := objectName(recorder.Snapshot{Epoch: logDeltasKept + 2*snapshotEvery, Records: p.latest.Records})
	if err := p.objects.Put(ctx, snapshotName, []byte(`{"epoch":1152,"records":[]}`)); err != nil {
		t.Fatal(err)
	}
	late.Poll(ctx)
	if late.LatestSnapshot().Epoch != 0 || late.NotReadyReason(time.Now()) == "" {
		t.Errorf("applied an object with other content, epoch %d", late.LatestSnapshot().Epoch)
	}
	other := p.newPoller(t, "helped", &fakeExchange{peer: first})
	other.Poll(ctx)
	if diff := cmp.Diff(p.latest, other.LatestSnapshot()); diff != "" {
		t.Error(diff)
	}
}

func TestMissingAfter(t *testing.T) {
	p := newPlatform()
	n := p.newPoller(t, "a", &fakeExchange{})
	for range maxRecentDeltas + 10 {
		n.applyDelta(p.raiseEpoch(t))
	}
	cases := []struct {
		after  int64
		deltas int
		whole  int64
	}{
		{0, 0, maxRecentDeltas + 10}, {9, 0, maxRecentDeltas + 10}, {10, maxRecentDeltas, 0}, {maxRecentDeltas + 9, 1, 0}, {maxRecentDeltas + 10, 0, 0}, {maxRecentDeltas + 99, 0, 0},
	}
	for _, c := range cases {
		got := n.missingAfter(c.after)
		if diff := cmp.Diff([]int64{int64(c.deltas), c.whole}, []int64{int64(len(got.Deltas)), got.Whole.Epoch}); diff != "" {
			t.Errorf("after %d: %s", c.after, diff)
		}
	}
}

func TestLoop(t *testing.T) {
	p := newPlatform()
	n, err := New("a", p.table, p.objects, &fakeExchange{}, WithInterval(time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	n.Start()
	d := p.raiseEpoch(t)
	for n.View().Epoch != d.Epoch {
		time.Sleep(time.Millisecond)
	}
	if diff := cmp.Diff(1, n.View().Teams["t1"].QueueWeight); diff != "" {
		t.Error(diff)
	}
	n.Close()
	n.Close()
}

// fixedList is the platform's list of instances.
type fixedList []lister.Instance

func (l fixedList) List(context.Context) ([]lister.Instance, error) { return l, nil }

func TestLive(t *testing.T) {
	p := newPlatform()
	x := &fakeExchange{
		otherPeers: []gossiper.Peer{{ID: "peer"}, {ID: "going", Leaving: true}},
		entries:    []gossiper.Entry{{Owner: "peer", Key: schemasKey, Value: []byte(`{"model":1}`)}},
	}
	listed := fixedList{{ID: "self", Role: lister.RoleEntry}, {ID: "listed", Role: lister.RoleEntry}, {ID: "going", Role: lister.RoleEntry},
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
	if diff := cmp.Diff(want, n.LiveInstances(context.Background())); diff != "" {
		t.Error(diff)
	}
	epochs := []InstanceEpoch{{ID: "listed", Error: "no answer"}, {ID: "peer", Error: "no answer"}, {ID: "self"}}
	if diff := cmp.Diff(epochs, n.ActiveEpochs(context.Background(), nil)); diff != "" {
		t.Error(diff)
	}
}
