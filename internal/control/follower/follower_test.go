package follower

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/heatherrock/heatherrock/internal/control/converter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// start is when the followers of the tests begin to join.
var start = time.Unix(1_700_000_000, 0)

// chain returns the snapshots of the epochs 0 to n and the deltas that lead to the epochs 1 to n.
func chain(t testing.TB, n int) ([]recorder.Snapshot, []recorder.Delta) {
	t.Helper()
	snapshots := []recorder.Snapshot{{}}
	var deltas []recorder.Delta
	for i := 1; i <= n; i++ {
		m := recorder.Model{Layers: i, Versions: []recorder.Version{{Name: "a", SharePercent: 100}}}
		r, err := recorder.NewRecord(recorder.KindModel, fmt.Sprint("m", i%3), m)
		if err != nil {
			t.Fatal(err)
		}
		r.Revision = int64(i)
		d := recorder.Delta{Epoch: int64(i), Put: []recorder.Record{r}}
		next := snapshots[i-1].With(d.Put, nil)
		next.Epoch = d.Epoch
		d.Sum = next.Checksum()
		snapshots, deltas = append(snapshots, next), append(deltas, d)
	}
	return snapshots, deltas
}

func TestAdvance(t *testing.T) {
	snapshots, deltas := chain(t, 4)
	f := NewFollower(start)
	d := f.ApplyDelta(start, deltas[1])
	if !errors.Is(d.Err, recorder.ErrGap) || !d.NeedsFetch || d.FetchAfterEpoch != 0 || d.Applied {
		t.Errorf("gap: %+v", d)
	}
	if d = f.ApplyDelta(start, deltas[0]); !d.Applied || !d.NeedsFetch || d.FetchAfterEpoch != 1 || d.View.Epoch != 1 {
		t.Errorf("next, with more known: %+v", d)
	}
	if d = f.ApplySnapshot(start, snapshots[3]); !d.Applied || d.NeedsFetch || f.ActiveEpoch != 3 {
		t.Errorf("snapshot: %+v", d)
	}
	for _, late := range []Decision{f.ApplyDelta(start, deltas[2]), f.ApplySnapshot(start, snapshots[2])} {
		if !errors.Is(late.Err, ErrStaleEpoch) || late.Applied {
			t.Errorf("late: %+v", late)
		}
	}
	wrong := deltas[3]
	wrong.Sum = deltas[2].Sum
	if d = f.ApplyDelta(start, wrong); !errors.Is(d.Err, recorder.ErrChecksum) || d.Applied || f.ActiveEpoch != 3 {
		t.Errorf("other content: %+v", d)
	}
}

// TestHeadBelowLatest checks that a head lower than the latest snapshot does not count as contact to the store. It comes
// from a server that is not the store, or from a store that has lost its rows.
func TestHeadBelowLatest(t *testing.T) {
	_, deltas := chain(t, 2)
	f := NewFollower(start, WithMaxStaleness(time.Minute))
	f.ApplyDelta(start, deltas[0])
	f.ApplyDelta(start, deltas[1])
	f.RecordHead(start, 2)
	late := start.Add(2 * time.Minute)
	if d := f.RecordHead(late, 0); !errors.Is(d.Err, ErrStaleEpoch) {
		t.Errorf("head 0: %+v", d)
	}
	if f.Admits(late) {
		t.Error("admits by a head that is lower than the latest snapshot")
	}
	if f.RecordHead(late, 2); !f.Admits(late) {
		t.Error("does not admit once the head is current again")
	}
}

func TestUnreadableKeepsLastGood(t *testing.T) {
	snapshots, deltas := chain(t, 3)
	older := converter.NewReader()
	older.HighestSchema[recorder.KindModel] = 2
	f := NewFollower(start, WithReader(older), WithMaxStaleness(time.Minute))
	f.RecordHead(start, 1)
	f.ApplyDelta(start, deltas[0])
	newer := snapshots[2]
	newer.Records = append([]recorder.Record{}, newer.Records...)
	newer.Records[1].Schema = 3
	d := f.ApplySnapshot(start, newer)
	if !errors.Is(d.Err, converter.ErrUnreadable) || d.Applied || !d.LatestChanged || f.ActiveEpoch != 1 {
		t.Fatalf("newer schema: %+v, in force %d", d, f.ActiveEpoch)
	}
	if ready, why := f.Ready(start); ready || why == "" || !f.Admits(start) {
		t.Errorf("ready %v (%s), admits %v", ready, why, f.Admits(start))
	}
	late := start.Add(time.Minute)
	f.RecordHead(late, 2)
	if f.Admits(late) {
		t.Error("admits a minute after an unreadable epoch was announced")
	}
	if d = f.ApplySnapshot(late, snapshots[3]); !d.Applied || f.ActiveEpoch != 3 || !f.Admits(late) {
		t.Errorf("readable again: %+v", d)
	}
}

func TestJoin(t *testing.T) {
	type event struct {
		after time.Duration
		do    func(f *Follower, now time.Time)
	}
	snapshots, _ := chain(t, 2)
	report := func(peer string, epoch int64, confirms bool) func(*Follower, time.Time) {
		return func(f *Follower, now time.Time) { f.RecordPeer(now, peer, epoch, confirms) }
	}
	apply := func(f *Follower, now time.Time) { f.ApplySnapshot(now, snapshots[2]) }
	head := func(epoch int64) func(*Follower, time.Time) {
		return func(f *Follower, now time.Time) { f.RecordHead(now, epoch) }
	}
	nothing := func(*Follower, time.Time) {}
	cases := []struct {
		name   string
		events []event
		want   bool
	}{
		{"no contact", []event{{time.Hour, nothing}}, false},
		{"empty store", []event{{0, head(0)}}, true},
		{"store ahead", []event{{0, head(2)}}, false},
		{"store", []event{{0, head(2)}, {0, apply}}, true},
		{"one peer at once", []event{{0, report("a", 2, true)}, {0, apply}}, false},
		{"one peer after the wait", []event{{0, report("a", 2, true)}, {0, apply}, {5 * time.Second, nothing}}, true},
		{"peers that do not confirm", []event{{0, report("a", 2, false)}, {0, apply}, {5 * time.Second, nothing}}, false},
		{"three peers", []event{{0, report("a", 2, true)}, {0, report("b", 1, true)}, {0, report("c", 2, true)}, {0, apply}}, true},
		{"a peer ahead, and a store that is not", []event{{0, report("a", 9, true)}, {0, apply}, {time.Hour, head(2)}}, true},
		{"a peer ahead", []event{{0, report("a", 2, true)}, {0, report("b", 3, true)}, {0, report("c", 2, true)}, {0, apply}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := NewFollower(start)
			now := start
			for _, e := range c.events {
				now = now.Add(e.after)
				e.do(f, now)
			}
			if diff := cmp.Diff(c.want, f.Admits(now)); diff != "" {
				_, why := f.Ready(now)
				t.Error(diff, why)
			}
		})
	}
}

func TestCutOff(t *testing.T) {
	f := NewFollower(start, WithMaxStaleness(30*time.Second))
	f.RecordHead(start, 0)
	cases := []struct {
		after time.Duration
		peer  bool
		want  bool
	}{
		{0, false, true}, {30 * time.Second, false, true}, {31 * time.Second, false, false}, {40 * time.Second, true, true},
		{70 * time.Second, false, true}, {71 * time.Second, false, false},
	}
	for _, c := range cases {
		now := start.Add(c.after)
		if c.peer {
			f.RecordPeer(now, "a", 0, true)
		}
		if got := f.Admits(now); got != c.want {
			t.Errorf("after %v: admits %v", c.after, got)
		}
	}
}

// choiceSource makes the random choices of a history of events.
type choiceSource interface{ IntN(n int) int }

// rapidChoices draws choices from rapid.
type rapidChoices struct{ t *rapid.T }

func (d rapidChoices) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }

// epochReverts delivers snapshots and deltas in a random order, repeated and late, and reports whether the active epoch
// ever decreased.
func epochReverts(c choiceSource, snapshots []recorder.Snapshot, deltas []recorder.Delta, checkDisabled bool) bool {
	f := NewFollower(start)
	f.epochCheckDisabled = checkDisabled
	previous := int64(0)
	for range 30 {
		switch i := c.IntN(len(deltas)); c.IntN(3) {
		case 0:
			f.ApplySnapshot(start, snapshots[i+1])
		case 1:
			f.ApplyDelta(start, deltas[i])
		default:
			f.RecordHead(start, deltas[i].Epoch)
		}
		if f.ActiveEpoch < previous {
			return true
		}
		previous = f.ActiveEpoch
	}
	return false
}

func TestNeverReverts(t *testing.T) {
	snapshots, deltas := chain(t, 6)
	rapid.Check(t, func(rt *rapid.T) {
		if epochReverts(rapidChoices{rt}, snapshots, deltas, false) {
			rt.Fatal("the active epoch decreased")
		}
	})
}

func TestExplorationFindsMissingEpochCheck(t *testing.T) {
	const histories = 1000
	snapshots, deltas := chain(t, 6)
	r := rand.New(rand.NewPCG(1, 2))
	for range histories {
		if epochReverts(r, snapshots, deltas, true) {
			return
		}
	}
	t.Errorf("%d histories without the epoch check found no reversion", histories)
}

// TestDeltasMatchSnapshot compares the view after each delta with the view of the whole snapshot.
func TestDeltasMatchSnapshot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := NewFollower(start)
		f.RecordHead(start, 0)
		f.ApplySnapshot(start, recorder.Snapshot{})
		base := recorder.Snapshot{}
		for epoch := int64(1); epoch <= 8; epoch++ {
			d := recorder.Delta{Epoch: epoch}
			for i := range 3 {
				ref := recorder.Ref{Kind: recorder.KindTeam, Name: fmt.Sprint("t", i)}
				team := recorder.Team{CredentialHash: fmt.Sprint("c", rapid.IntRange(0, 3).Draw(rt, "credential")), QueueWeight: i}
				r, err := recorder.NewRecord(ref.Kind, ref.Name, team)
				if err != nil {
					rt.Fatal(err)
				}
				switch rapid.IntRange(0, 3).Draw(rt, "change") {
				case 0:
					d.Put = append(d.Put, r)
				case 1:
					d.Drop = append(d.Drop, ref)
				}
			}
			next := base.With(d.Put, d.Drop)
			if hasSharedCredential(next) {
				return
			}
			d.Sum = next.Checksum()
			got := f.ApplyDelta(start, d)
			var err error
			if base, err = base.Advance(d); err != nil {
				rt.Fatal(err)
			}
			want, err := recorder.NewView(base)
			if diff := cmp.Diff(want, got.View); err != nil || diff != "" {
				rt.Fatal(err, diff)
			}
		}
	})
}

// hasSharedCredential reports whether two teams have the same credential, which the validator rejects.
func hasSharedCredential(s recorder.Snapshot) bool {
	v, err := recorder.NewView(s)
	return err != nil || len(v.TeamByCredential) != len(v.Teams)
}
