package claimer

import (
	"slices"
	"time"
)

// Entry is a mutation that waits to be written.
type Entry struct {
	// Number identifies the entry on its instance.
	Number int64
	// Key is the row's key. Two entries of one row never share a transaction.
	Key string
	// Team is the team of the claim. The teams that wait take turns.
	Team string
	// Since is when the entry began to wait.
	Since time.Time
	// First is set for a result, which goes before claims and is never turned away.
	First bool
}

// Group gathers mutations into transactions. An entry that finds no transaction running is written at once, so that
// a lone claim is not delayed; the others wait for at most Delay, unless the budget is spent.
type Group struct {
	// Delay is the longest wait for others to join.
	Delay time.Duration
	// Size bounds the entries of a transaction.
	Size int
	// Parallel bounds the transactions that run at once.
	Parallel int
	// Patience is the longest wait for the budget. A claim that would wait longer is turned away.
	Patience time.Duration
	Waiting  []Entry
	Running  int
}

// Add takes an entry, or returns false if it would wait too long. A team's entry waits for the turns of the others, and
// not for all that a larger team has waiting.
func (g *Group) Add(now time.Time, e Entry, b *Budget) bool {
	if !e.First && g.wait(now, e.Team, b) > g.Patience {
		return false
	}
	g.Waiting = append(g.Waiting, e)
	return true
}

// Next returns the numbers of the entries to be written now in one transaction, or the time at which to ask again.
// It returns neither if nothing waits or if a running transaction must end first.
func (g *Group) Next(now time.Time, b *Budget) ([]int64, time.Time) {
	if len(g.Waiting) == 0 || g.Running >= g.Parallel {
		return nil, time.Time{}
	}
	if due := g.due(); g.Running > 0 && len(g.Waiting) < g.Size && now.Before(due) {
		return nil, due
	}
	if !b.Take(now) {
		return nil, b.Ready(now)
	}
	g.Running++
	return g.cut(), time.Time{}
}

// Done tells that a transaction has ended.
func (g *Group) Done() {
	g.Running--
}

// due returns when the oldest entry has waited for long enough.
func (g *Group) due() time.Time {
	oldest := g.Waiting[0].Since
	for _, e := range g.Waiting {
		if e.Since.Before(oldest) {
			oldest = e.Since
		}
	}
	return oldest.Add(g.Delay)
}

// wait returns how long a new entry of a team would wait for the budget.
func (g *Group) wait(now time.Time, team string, b *Budget) time.Duration {
	b.fill(now)
	if b.Rate <= 0 {
		return g.Patience + 1
	}
	behind := float64(g.ahead(team)/g.Size+1) - b.Tokens
	return time.Duration(max(behind, 0) / b.Rate * float64(time.Second))
}

// ahead counts the entries that are written before a new one of a team.
func (g *Group) ahead(team string) int {
	waiting := map[string]int{}
	ahead := 0
	for _, e := range g.Waiting {
		if e.First {
			ahead++
			continue
		}
		waiting[e.Team]++
	}
	turn := waiting[team] + 1
	for _, n := range waiting {
		ahead += min(n, turn)
	}
	return ahead
}

// cut takes the next transaction's entries from those that wait: results, then claims by the turns of their teams.
func (g *Group) cut() []int64 {
	g.arrange()
	var numbers []int64
	var rest []Entry
	taken := map[string]bool{}
	for _, e := range g.Waiting {
		if len(numbers) == g.Size || taken[e.Key] {
			rest = append(rest, e)
			continue
		}
		taken[e.Key] = true
		numbers = append(numbers, e.Number)
	}
	g.Waiting = rest
	return numbers
}

// arrange orders what waits: results first, then each team's first claim, then each team's second one, and so on.
func (g *Group) arrange() {
	type place struct {
		entry Entry
		turn  int
	}
	turns := map[string]int{}
	var places []place
	for _, e := range g.Waiting {
		turn := 0
		if !e.First {
			turns[e.Team]++
			turn = turns[e.Team]
		}
		places = append(places, place{e, turn})
	}
	slices.SortStableFunc(places, func(a, b place) int { return a.turn - b.turn })
	for i, p := range places {
		g.Waiting[i] = p.entry
	}
}
