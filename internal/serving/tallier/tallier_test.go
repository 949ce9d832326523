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

// mesh carries calls between the talliers of a test.
type mesh struct {
	nodes map[string]*Tallier
	peers []gossiper.Peer
	// down names instances that do not answer.
	down map[string]bool
}

// Peers returns all instances, the caller included: a tallier knows itself anyway.
func (m *mesh) Peers() []gossiper.Peer {
	var out []gossiper.Peer
	for _, p := range m.peers {
		if !m.down[p.ID] {
			out = append(out, p)
		}
	}
	return out
}

// Call calls another instance's Collect.
func (m *mesh) Call(_ context.Context, p gossiper.Peer, _ string, args, reply any) error {
	if m.down[p.ID] {
		return errors.New("down")
	}
	return (&Homes{m.nodes[p.ID]}).Collect(args.(Batch), reply.(*Sum))
}

// limits holds an instance's own counts and what it was told.
type limits struct {
	mu   sync.Mutex
	own  limiter.Counts
	told map[string]limiter.Counts
}

// Counts returns the own counts.
func (l *limits) Counts() limiter.Counts { return l.own }

// Merge records what a home tells, by home and team.
func (l *limits) Merge(peer string, counts limiter.Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told[peer] == nil {
		l.told[peer] = limiter.Counts{}
	}
	for team, c := range counts {
		l.told[peer][team] = c
	}
}

// newest returns the highest count that any home told of a team.
func (l *limits) newest(team string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := 0.0
	for _, counts := range l.told {
		out = max(out, counts[team].Requests)
	}
	return out
}

// start returns talliers whose n-th instance has counted n+1 requests for each team.
func start(count, teams int) (*mesh, []*limits) {
	m := &mesh{nodes: map[string]*Tallier{}, down: map[string]bool{}}
	var all []*limits
	for i := range count {
		p := gossiper.Peer{ID: fmt.Sprint("n", i), Region: "r"}
		l := &limits{own: limiter.Counts{}, told: map[string]limiter.Counts{}}
		for team := range teams {
			l.own[fmt.Sprint("t", team)] = limiter.Count{Requests: float64(i + 1)}
		}
		clock := func() time.Time { return time.Unix(1000, 0) }
		m.nodes[p.ID] = New(p.ID+"-1", p, m, l, clock, slog.New(slog.DiscardHandler))
		m.peers, all = append(m.peers, p), append(all, l)
	}
	return m, all
}

// rounds lets each instance pass through all slots twice: the first time to tell, the second to hear.
func (m *mesh) rounds(all []*limits) {
	for pass := range 2 {
		for i, p := range m.peers {
			for range slots {
				m.nodes[p.ID].Round(context.Background())
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

func TestEachHearsTheSumOfTheOthers(t *testing.T) {
	m, all := start(6, 20)
	m.rounds(all)
	for i, l := range all {
		for team := range l.own {
			if diff := cmp.Diff(float64(1+2+3+4+5+6-(i+1)), l.newest(team)); diff != "" {
				t.Errorf("n%d, %s: mismatch (-want +got):\n%s", i, team, diff)
			}
		}
	}
}

func TestAnotherHomeTakesOver(t *testing.T) {
	m, all := start(6, 20)
	m.rounds(all)
	m.down["n2"] = true
	m.peers = append(m.peers[:2:2], m.peers[3:]...)
	left := append(all[:2:2], all[3:]...)
	for _, l := range left {
		l.told = map[string]limiter.Counts{}
		for team, c := range l.own {
			c.Requests += 10
			l.own[team] = c
		}
	}
	m.rounds(left)
	for i, l := range left {
		for team, own := range l.own {
			least := 1 + 2 + 4 + 5 + 6 + 50 - own.Requests
			if got := l.newest(team); got < least {
				t.Errorf("instance %d, %s: told %v, want at least %v", i, team, got, least)
			}
		}
	}
}
