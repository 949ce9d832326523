package collector

import (
	"github.com/cespare/xxhash/v2"

	"github.com/heatherrock/heatherrock/internal/routing/limiter"
)

// Sender determines which counts an instance sends to which home, and when.
type Sender struct {
	// Slots is the number of rounds over which the homes are spread.
	Slots int
	Round int
	// ConfirmedByTeam holds, by team, the home that last confirmed a count and that count.
	ConfirmedByTeam map[string]Confirmed
}

// Confirmed is a count of a team that a home has confirmed.
type Confirmed struct {
	Home  string
	Count limiter.Count
}

// NewSender returns a Sender without confirmed counts.
func NewSender(slots int) *Sender {
	return &Sender{Slots: slots, ConfirmedByTeam: map[string]Confirmed{}}
}

// Batches begins the next round and returns the counts to send in it, by home: for the homes that are due in this round,
// those that have changed since the home confirmed them or whose home has changed.
func (s *Sender) Batches(own limiter.Counts, home func(team string) string) map[string]limiter.Counts {
	s.Round++
	out := map[string]limiter.Counts{}
	for team, count := range own {
		h := home(team)
		if h == "" || !s.isDue(h) || s.ConfirmedByTeam[team] == (Confirmed{h, count}) {
			continue
		}
		if out[h] == nil {
			out[h] = limiter.Counts{}
		}
		out[h][team] = count
	}
	return out
}

// Confirm records that a home has received a batch.
func (s *Sender) Confirm(home string, batch limiter.Counts) {
	for team, count := range batch {
		s.ConfirmedByTeam[team] = Confirmed{home, count}
	}
}

// isDue reports whether counts are sent to a home in this round.
func (s *Sender) isDue(home string) bool {
	return xxhash.Sum64String(home)%uint64(s.Slots) == uint64(s.Round%s.Slots)
}
