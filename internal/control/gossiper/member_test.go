package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// livePeers returns the live peers as the state of each member says.
func livePeers(now time.Time, g *Gossiper) []string {
	var out []string
	for _, id := range g.memberIDs() {
		if s := g.State(now, g.Members[id]); s == StateAlive || s == StateSuspect {
			out = append(out, id)
		}
	}
	return out
}

// TestLivePeersFollowMembers checks after each change of the members, and as time passes, that the live peers are those
// that the states of the members say.
func TestLivePeersFollowMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		g := New(now, Peer{ID: "self", Region: "r0"}, WithExpiry(2*time.Second, 4*time.Second))
		var versions [6]int64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, len(versions)-1).Draw(t, "member")
			p := Peer{ID: fmt.Sprint("m", n), Address: "a", Region: fmt.Sprint("r", n%2), Leaving: rapid.Bool().Draw(t, "leaving")}
			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0:
				g.Seed([]Peer{p})
			case 1:
				g.SetListed([]Peer{p})
			case 2:
				g.RecordFailure(now, p.ID)
			case 3:
				versions[n]++
				g.Merge(now, []Update{{
					Owner: p.ID, Incarnation: 1, To: versions[n], Age: int64(rapid.IntRange(0, 5000).Draw(t, "age")),
					Entries: []Change{{Topic: TopicMember, Key: p.ID, Version: versions[n], Value: encodePeer(p)}},
				}})
			case 4:
				g.BeginRound(now)
			}
			var got []string
			for _, p := range g.LivePeers(now) {
				got = append(got, p.ID)
			}
			if diff := cmp.Diff(livePeers(now, g), got); diff != "" {
				t.Fatalf("live peers (-want +got):\n%s", diff)
			}
		}
	})
}

// TestUrgentRoundsAreBounded publishes an urgent change before each round, as while a large fleet starts: after a burst,
// at most every second round is urgent. Once the changes end, the next one spreads by urgent rounds again.
func TestUrgentRoundsAreBounded(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	g := New(now, Peer{ID: "self"})
	urgent := 0
	const rounds = 100
	for n := range rounds {
		g.Put(now, TopicHead, "t", []byte{byte(n)}, 0)
		if g.RoundInterval(time.Second) < time.Second {
			urgent++
		}
		g.BeginRound(now)
	}
	if want := maxUrgentBurst + (rounds-maxUrgentBurst)/2; urgent > want {
		t.Errorf("%d of %d rounds were urgent, want %d at most", urgent, rounds, want)
	}
	for range maxUrgentBurst + urgentRoundCount {
		g.BeginRound(now)
	}
	g.Put(now, TopicHead, "t", []byte("later"), 0)
	for n := range urgentRoundCount {
		if !g.HasUrgentRound() {
			t.Errorf("round %d after a change is not urgent", n)
		}
		g.BeginRound(now)
	}
}

// TestPartnersAreBounded runs a large fleet: each instance exchanges with a bounded number of others, and a change still
// reaches all of them.
func TestPartnersAreBounded(t *testing.T) {
	f := newFleet(1, 1, 100)
	partners := map[string]map[string]bool{}
	for range 40 {
		for _, id := range f.order {
			if partners[id] == nil {
				partners[id] = map[string]bool{}
			}
			g := f.nodes[id]
			if len(g.LivePeers(f.now)) < len(f.order)-1 {
				continue // The members are still being discovered.
			}
			for _, p := range g.PickPeers(f.now, f.r) {
				partners[id][p.ID] = true
			}
		}
		f.round()
	}
	for id, ps := range partners {
		// The partners of two kinds, and some random peers.
		if want := 3 * maxPartners; len(ps) > want {
			t.Errorf("%s exchanged with %d instances, want %d at most", id, len(ps), want)
		}
	}
	f.nodes[f.order[0]].Put(f.now, TopicHead, "t", []byte("new"), 0)
	for range spreadRounds {
		f.round()
	}
	for _, id := range f.order {
		if len(f.nodes[id].Entries(f.now, TopicHead)) != 1 {
			t.Errorf("the change has not reached %s after %d rounds", id, spreadRounds)
		}
	}
}

// BenchmarkLivePeers lists the live peers of a fleet while heartbeats arrive.
func BenchmarkLivePeers(b *testing.B) {
	for _, count := range []int{7, 195, 390} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			now := time.UnixMilli(1_000_000)
			g := New(now, Peer{ID: "self"})
			for i := range count {
				g.Merge(now, []Update{{Owner: fmt.Sprint("m", i), Incarnation: 1, To: 1}})
			}
			b.ReportAllocs()
			for i := range b.N {
				g.Merge(now, []Update{{Owner: fmt.Sprint("m", i%count), Incarnation: 1, From: 1, To: int64(i + 2)}})
				g.LivePeers(now)
			}
		})
	}
}
