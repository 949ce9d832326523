package gossiper

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// fleet is a set of instances whose exchanges complete at once, unless a link is cut or a message is lost.
type fleet struct {
	now   time.Time
	r     *rand.Rand
	nodes map[string]*Gossiper
	order []string
	// loss is the share of messages that are lost.
	loss float64
	// cut reports whether two instances cannot reach each other.
	cut func(a, b Peer) bool
	// notified holds the entries passed to the subscribers of each instance.
	notified map[string][]Entry
}

// newFleet returns a fleet with perRegion instances in each region, spread over two data centres.
func newFleet(seed uint64, regions, perRegion int) *fleet {
	f := &fleet{
		now: time.UnixMilli(1_000_000), r: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*Gossiper{},
		cut: func(a, b Peer) bool { return false }, notified: map[string][]Entry{},
	}
	for region := range regions {
		for i := range perRegion {
			p := Peer{Region: fmt.Sprint("r", region), DataCentre: fmt.Sprint("r", region, "-", i%2)}
			p.ID = fmt.Sprintf("%s-%d", p.DataCentre, i)
			p.Address = p.ID + ":1"
			f.add(p)
		}
	}
	for _, id := range f.order {
		f.nodes[id].Seed([]Peer{f.nodes[f.order[0]].Self})
	}
	return f
}

// add starts or restarts an instance.
func (f *fleet) add(p Peer) {
	if _, ok := f.nodes[p.ID]; !ok {
		f.order = append(f.order, p.ID)
	}
	f.nodes[p.ID] = New(f.now, p)
}

// round runs one round of every instance and advances the clock by a second.
func (f *fleet) round() {
	for _, id := range f.order {
		g := f.nodes[id]
		if g == nil {
			continue
		}
		f.recordNotified(id, g.BeginRound(f.now))
		for _, p := range g.PickPeers(f.now, f.r) {
			f.exchange(g, p)
		}
	}
	f.now = f.now.Add(time.Second)
}

// exchange runs an exchange between two instances until a message is empty or lost.
func (f *fleet) exchange(g *Gossiper, p Peer) {
	other := f.nodes[p.ID]
	m := g.Open(f.now, p)
	for turn := 0; !m.IsEmpty(); turn++ {
		if other == nil || f.cut(g.Self, p) || f.r.Float64() < f.loss {
			g.RecordFailure(f.now, p.ID)
			return
		}
		to := other
		if turn%2 == 1 {
			to = g
		}
		var entries []Entry
		m, entries = to.Handle(f.now, m)
		f.recordNotified(to.Self.ID, entries)
	}
}

// recordNotified records the entries passed to the subscribers of an instance.
func (f *fleet) recordNotified(id string, entries []Entry) {
	f.notified[id] = append(f.notified[id], entries...)
}

// values returns the values of a topic held by an instance, by owner and key.
func (f *fleet) values(id, topic string) map[string]string {
	out := map[string]string{}
	for _, e := range f.nodes[id].Entries(f.now, topic) {
		out[e.Owner+"/"+e.Key] = string(e.Value)
	}
	return out
}

func TestSpread(t *testing.T) {
	f := newFleet(1, 3, 8)
	for range 30 {
		f.round()
	}
	owner := f.order[5]
	f.nodes[owner].Put(f.now, TopicHead, "epoch", []byte("7"), 0)
	f.nodes[owner].Put(f.now, TopicLoad, "e1", []byte("3"), 0)
	for range 12 {
		f.round()
	}
	for _, id := range f.order {
		want := map[string]string{owner + "/epoch": "7"}
		if diff := cmp.Diff(want, f.values(id, TopicHead)); diff != "" {
			t.Errorf("%s: head mismatch (-want +got):\n%s", id, diff)
		}
		want = map[string]string{}
		if f.nodes[id].Self.Region == f.nodes[owner].Self.Region {
			want[owner+"/e1"] = "3"
		}
		if diff := cmp.Diff(want, f.values(id, TopicLoad)); diff != "" {
			t.Errorf("%s: load mismatch (-want +got):\n%s", id, diff)
		}
		if got := len(f.nodes[id].LivePeers(f.now)); got != len(f.order)-1 {
			t.Errorf("%s knows %d peers, want %d", id, got, len(f.order)-1)
		}
	}
}

// spreadRounds is the number of rounds within which a change reaches every instance of these fleets, as TestSpread
// requires, and as many again for a heartbeat that begins at the other end.
const spreadRounds = 24

// TestConverges checks that instances agree on all live entries once links work again, whatever was lost before, and
// that no deleted or expired entry reappears.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 2, 4)
		want := map[string]string{}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for i := range steps {
			f.loss = rapid.SampledFrom([]float64{0, 0.2, 0.9}).Draw(t, "loss")
			if rapid.IntRange(0, 9).Draw(t, "cut") == 0 {
				f.cut = func(a, b Peer) bool { return a.Region != b.Region }
			}
			if rapid.IntRange(0, 9).Draw(t, "heal") == 0 {
				f.cut = func(a, b Peer) bool { return false }
			}
			id := rapid.SampledFrom(f.order).Draw(t, "owner")
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0:
				f.nodes[id].Put(f.now, TopicHead, key, []byte(fmt.Sprint(i)), 0)
				want[id+"/"+key] = fmt.Sprint(i)
			case 1:
				f.nodes[id].Delete(f.now, TopicHead, key)
				delete(want, id+"/"+key)
			case 2:
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "pause")) * time.Second)
			}
			f.round()
		}
		f.loss, f.cut = 0, func(a, b Peer) bool { return false }
		// An instance that was considered gone rejoins with its next heartbeat for the whole fleet, which then spreads.
		for range int(defaults.fleetHeartbeat/time.Second) + spreadRounds {
			f.round()
		}
		// Agreement lasts: no deleted or expired entry reappears with a later heartbeat.
		for range int(defaults.fleetHeartbeat/time.Second) + spreadRounds {
			for _, id := range f.order {
				if diff := cmp.Diff(want, f.values(id, TopicHead)); diff != "" {
					t.Fatalf("%s: mismatch (-want +got):\n%s", id, diff)
				}
			}
			f.round()
		}
	})
}

func TestEntriesOfGoneOwnerDoNotReappear(t *testing.T) {
	f := newFleet(3, 2, 4)
	owner := f.order[2]
	f.nodes[owner].Put(f.now, TopicHead, "epoch", []byte("7"), 0)
	for range 20 {
		f.round()
	}
	f.nodes[owner] = nil
	for range 60 {
		f.round()
	}
	// Instances of the other region still hold the entry. Those of the owner's region must not accept it again.
	for range 200 {
		f.round()
		for _, id := range f.order[:4] {
			if id != owner && len(f.values(id, TopicHead)) != 0 {
				t.Fatalf("%s holds an entry of %s, which is gone", id, owner)
			}
		}
	}
	for _, id := range f.order {
		if id != owner && len(f.values(id, TopicHead)) != 0 {
			t.Errorf("%s holds an entry of %s, which is gone", id, owner)
		}
	}
}

func TestRestartReplacesEarlierIncarnation(t *testing.T) {
	f := newFleet(4, 1, 4)
	p := f.nodes[f.order[1]].Self
	f.nodes[p.ID].Put(f.now, TopicHead, "old", []byte("1"), 0)
	for range 10 {
		f.round()
	}
	f.add(p)
	f.nodes[p.ID].Seed([]Peer{f.nodes[f.order[0]].Self})
	f.nodes[p.ID].Put(f.now, TopicHead, "new", []byte("2"), 0)
	for range 10 {
		f.round()
	}
	want := map[string]string{p.ID + "/new": "2"}
	for _, id := range f.order {
		if diff := cmp.Diff(want, f.values(id, TopicHead)); diff != "" {
			t.Errorf("%s: mismatch (-want +got):\n%s", id, diff)
		}
	}
}

func TestSetListed(t *testing.T) {
	f := newFleet(5, 1, 3)
	for range 5 {
		f.round()
	}
	g := f.nodes[f.order[0]]
	seen := g.memberIDs()
	g.SetListed([]Peer{{ID: "new", Address: "new:1"}, {ID: "next", Address: "next:1"}})
	if diff := cmp.Diff(append([]string{"new", "next"}, seen...), g.memberIDs()); diff != "" {
		t.Errorf("members after the first list mismatch (-want +got):\n%s", diff)
	}
	g.SetListed([]Peer{{ID: "next", Address: "next:1"}})
	if diff := cmp.Diff(append([]string{"next"}, seen...), g.memberIDs()); diff != "" {
		t.Errorf("members after the second list mismatch (-want +got):\n%s", diff)
	}
}
