package collector

import (
	"github.com/cespare/xxhash/v2"

	"github.com/heatherrock/heatherrock/internal/routing/limiter"
)

// Sender decides which counts an instance sends to which home, and when.
type Sender struct {
	// Slots is the number of rounds over which the homes are spread.
	Slots int
	Round int
	// Sent holds what each team's home has confirmed.
	Sent map[string]Confirmed
}

// Confirmed is what a home has confirmed of a team.
type Confirmed struct {
	Home  string
	Count limiter.Count
}

// NewSender returns a Sender that has sent nothing.
func NewSender(slots int) *Sender {
	return &Sender{Slots: slots, Sent: map[string]Confirmed{}}
}

// Batches returns the counts to send in the next round, by home: those that have changed since the home confirmed them,
// or whose home is another one than before, for the homes whose turn it is.
func (s *Sender) Batches(own limiter.Counts, home func(team string) string) map[string]limiter.Counts {
	s.Round++
	out := map[string]limiter.Counts{}
	for team, count := range own {
		h := home(team)
		if h == "" || !s.turn(h) || s.Sent[team] == (Confirmed{h, count}) {
			continue
		}
		if out[h] == nil {
			out[h] = limiter.Counts{}
		}
		out[h][team] = count
	}
	return out
}

// Confirm records that a home has taken a batch in.
func (s *Sender) Confirm(home string, batch limiter.Counts) {
	for team, count := range batch {
		s.Sent[team] = Confirmed{home, count}
	}
}

// turn reports whether a home is sent to in this round.
func (s *Sender) turn(home string) bool {
	return xxhash.Sum64String(home)%uint64(s.Slots) == uint64(s.Round%s.Slots)
}
