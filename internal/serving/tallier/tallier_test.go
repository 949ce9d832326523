package tallier

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/routing/limiter"
)

// fakeExchange carries calls between the talliers of a test.
type fakeExchange struct {
	talliers map[string]*Tallier
	peers    []gossiper.Peer
	// down holds the instances that do not respond.
	down map[string]bool
}

// LivePeers returns all live instances, including the caller, which the tallier adds in any case.
func (x *fakeExchange) LivePeers() []gossiper.Peer {
	var out []gossiper.Peer
	for _, p := range x.peers {
		if !x.down[p.ID] {
			out = append(out, p)
		}
	}
	return out
}

// Call calls another instance's Collect.
func (x *fakeExchange) Call(_ context.Context, p gossiper.Peer, _ string, args, reply any) error {
	if x.down[p.ID] {
		return errors.New("down")
	}
	return (&Homes{x.talliers[p.ID]}).Collect(args.(Batch), reply.(*Sum))
}

// limits holds an instance's own counts and those that it has received, by home.
type limits struct {
	mu       sync.Mutex
	own      limiter.Counts
	received map[string]limiter.Counts
}

// Counts returns the own counts.
func (l *limits) Counts() limiter.Counts { return l.own }

// MergePeerCounts records the sums of a home, by team.
func (l *limits) MergePeerCounts(peer string, counts limiter.Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.received[peer] == nil {
		l.received[peer] = limiter.Counts{}
	}
	for team, c := range counts {
		l.received[peer][team] = c
	}
}

// highest returns the highest count of a team that any home has sent.
func (l *limits) highest(team string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := 0.0
	for _, counts := range l.received {
		out = max(out, counts[team].Requests)
	}
	return out
}

// newTalliers returns talliers and their limits, of which the one numbered n has counted n+1 requests for each team.
func newTalliers(count, teams int) (*fakeExchange, []*limits) {
	x := &fakeExchange{talliers: map[string]*Tallier{}, down: map[string]bool{}}
	var all []*limits
	for i := range count {
		p := gossiper.Peer{ID: fmt.Sprint("n", i), Region: "r"}
		l := &limits{own: limiter.Counts{}, received: map[string]limiter.Counts{}}
		for team := range teams {
			l.own[fmt.Sprint("t", team)] = limiter.Count{Requests: float64(i + 1)}
		}
		clock := func() time.Time { return time.Unix(1000, 0) }
		x.talliers[p.ID] = New(p.ID+"-1", p, x, l, clock, slog.New(slog.DiscardHandler))
		x.peers, all = append(x.peers, p), append(all, l)
	}
	return x, all
}

// runRounds runs the rounds of all slots twice for each instance: first to send the counts, then to receive the sums.
func (x *fakeExchange) runRounds(all []*limits) {
	for pass := range 2 {
		for i, p := range x.peers {
			for range roundSlots {
				x.talliers[p.ID].Round(context.Background())
			}
			if pass == 0 {
				for team, c := range all[i].own {
					c.Tokens++
					all[i].own[team] = c
				}
			}
		}
	}
}

func TestEachReceivesTheSumOfTheOthers(t *testing.T) {
	x, all := newTalliers(6, 20)
	x.runRounds(all)
	for i, l := range all {
		for team := range l.own {
			if diff := cmp.Diff(float64(1+2+3+4+5+6-(i+1)), l.highest(team)); diff != "" {
				t.Errorf("n%d, %s: mismatch (-want +got):\n%s", i, team, diff)
			}
		}
	}
}

func TestAnotherHomeTakesOver(t *testing.T) {
	x, all := newTalliers(6, 20)
	x.runRounds(all)
	x.down["n2"] = true
	x.peers = append(x.peers[:2:2], x.peers[3:]...)
	left := append(all[:2:2], all[3:]...)
	for _, l := range left {
		l.received = map[string]limiter.Counts{}
		for team, c := range l.own {
			c.Requests += 10
			l.own[team] = c
		}
	}
	x.runRounds(left)
	for i, l := range left {
		for team, own := range l.own {
			minimum := 1 + 2 + 4 + 5 + 6 + 50 - own.Requests
			if got := l.highest(team); got < minimum {
				t.Errorf("instance %d, %s: got %v, want at least %v", i, team, got, minimum)
			}
		}
	}
}
