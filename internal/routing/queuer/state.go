package queuer

import "time"

// State is the queue as printed in the state dump.
type State struct {
	Length int
	Limit  int
	// Rate is the measured number of tokens popped per second, zero if unknown.
	Rate  float64
	Teams []TeamState
}

// TeamState is one team's part of the queue.
type TeamState struct {
	Team     string
	Priority int
	Share    float64
	Items    int
	Tokens   float64
	// Oldest is how long the team's first item has waited.
	Oldest time.Duration
}

// State returns the queue's state.
func (q *Queue) State(now time.Time) State {
	s := State{Length: q.length, Limit: q.limit, Rate: q.popRate.rate(now)}
	for _, l := range q.levels {
		for _, team := range l.teams() {
			f := l.flows[team]
			t := TeamState{Team: team, Priority: l.priority, Share: f.share, Items: len(f.items), Tokens: f.tokens()}
			if len(f.items) > 0 {
				t.Oldest = now.Sub(f.items[0].PushedAt)
			}
			s.Teams = append(s.Teams, t)
		}
	}
	return s
}
