package accountant

import (
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
)

func TestHomes(t *testing.T) {
	self := gossiper.Peer{ID: "m", DataCentre: "a", Region: "r"}
	peers := []gossiper.Peer{
		{ID: "c", DataCentre: "a", Region: "r"}, {ID: "d", DataCentre: "a", Region: "r", Leaving: true},
		{ID: "z", DataCentre: "b", Region: "r"}, {ID: "y", DataCentre: "b", Region: "r"},
		{ID: "a", DataCentre: "c", Region: "elsewhere"},
	}
	for _, c := range []struct {
		inCooldown string
		want       map[string]string
	}{
		{"", map[string]string{"a": "c", "b": "y"}},
		{"c", map[string]string{"a": "m", "b": "y"}},
		{"y", map[string]string{"a": "c", "b": "z"}},
	} {
		got := map[string]string{}
		for centre, p := range Homes(self, peers, func(id string) bool { return id == c.inCooldown }) {
			got[centre] = p.ID
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("without %q (-want +got):\n%s", c.inCooldown, diff)
		}
	}
}

// testInstance is an instance with an accountant. It implements Tables.
type testInstance struct {
	exchange   *exchanger.Exchanger
	accountant *Accountant

	mu          sync.Mutex
	reserved    reserver.Usage
	others      reserver.Usage
	storeReader string
}

// Heads returns the head of one table.
func (ti *testInstance) Heads() (map[string]replicator.Head, bool) {
	return map[string]replicator.Head{"table": {Version: 7, Era: 2}}, true
}

// RecordPeerHeads records the peer that reads the store in place of the instance.
func (ti *testInstance) RecordPeerHeads(_ time.Time, peer gossiper.Peer, heads map[string]replicator.Head, _, pauseReads bool) {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	if want := (replicator.Head{Version: 7, Era: 2}); pauseReads && heads["table"] == want {
		ti.storeReader = peer.ID
	}
}

// SetReader does nothing.
func (ti *testInstance) SetReader(bool) {}

// usages returns what the instance has reserved.
func (ti *testInstance) usages() Usages {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	return Usages{"s": {Memory: ti.reserved}}
}

// onUpdate records what the others have reserved.
func (ti *testInstance) onUpdate(_ time.Time, u Usages) {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.others = u["s"].Memory
}

// waitUntil waits until an instance has received that the others have reserved an amount.
func (ti *testInstance) waitUntil(t *testing.T, what string, want float64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		ti.mu.Lock()
		got := ti.others["e"]
		ti.mu.Unlock()
		if got == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s: the others have %v, want %v", what, got, want)
		}
	}
}

// waitUntilRelayed waits until a peer reads the store in place of an instance.
func (ti *testInstance) waitUntilRelayed(t *testing.T, peer string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		ti.mu.Lock()
		got := ti.storeReader
		ti.mu.Unlock()
		if got == peer {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("does not read the store because of %q, want %q", got, peer)
		}
	}
}

// newInstances starts one instance in each of the listed data centres. They have reserved 1, 10, 100 and so on.
func newInstances(t *testing.T, centres ...string) []*testInstance {
	t.Helper()
	var out []*testInstance
	amount := 1.0
	for i, centre := range centres {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		self := gossiper.Peer{ID: string(rune('a' + i)), Address: l.Addr().String(), DataCentre: centre, Region: "r"}
		ti := &testInstance{reserved: reserver.Usage{"e": amount}}
		amount *= 10
		ti.exchange = exchanger.New(self, exchanger.WithInterval(20*time.Millisecond))
		ti.accountant = New(self, ti.exchange, ti, ti.usages, ti.onUpdate, slog.New(slog.DiscardHandler), time.Now)
		ti.exchange.Start(l)
		for _, o := range out {
			o.exchange.AddPeer(self)
		}
		ti.accountant.Start()
		out = append(out, ti)
	}
	return out
}

// close stops the instance.
func (ti *testInstance) close() {
	ti.accountant.Close()
	ti.exchange.Close()
}

// TestPausesReads checks which instances read the store while the home reaches it and while it does not.
func TestPausesReads(t *testing.T) {
	for _, c := range []struct {
		rank  int
		fresh bool
		want  bool
	}{
		{0, true, false}, {2, true, false}, {3, true, true}, {38, true, true},
		{0, false, false}, {2, false, false}, {3, false, false}, {5, false, false}, {6, false, true}, {38, false, true},
	} {
		if got := pausesReads(c.rank, c.fresh); got != c.want {
			t.Errorf("rank %d, home reads the store %v: pauses %v, want %v", c.rank, c.fresh, got, c.want)
		}
	}
}

func TestEachReceivesTheReservationsOfTheOthers(t *testing.T) {
	instances := newInstances(t, "x", "x", "y", "y", "x", "x")
	for i, want := range []float64{111110, 111101, 111011, 110111, 101111, 11111} {
		instances[i].waitUntil(t, string(rune('a'+i)), want)
	}
	// The first three instances of a data centre read the store themselves.
	// The last one knows its rank once it has heard of them, which may be after the first reply of the home.
	instances[5].waitUntilRelayed(t, "a")
	for i, want := range []string{"", "", "", "", "", "a"} {
		instances[i].mu.Lock()
		if instances[i].storeReader != want {
			t.Errorf("%c does not read the store because of %q, want %q", 'a'+i, instances[i].storeReader, want)
		}
		instances[i].mu.Unlock()
	}
	// The home of x stops: b becomes the home, and the reservations of a expire.
	instances[0].close()
	instances[1].waitUntil(t, "b without its home", 111100)
	instances[3].waitUntil(t, "d without the other home", 110110)
	for _, ti := range instances[1:] {
		ti.close()
	}
}
