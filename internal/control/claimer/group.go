package claimer

import (
	"slices"
	"time"
)

// Entry is a mutation that waits to be written.
type Entry struct {
	// Number identifies the entry on its instance.
	Number int64
	// Key is the key of the row. Two entries of one row never share a transaction.
	Key string
	// Team is the team of the claim. Waiting teams are served in turn.
	Team string
	// Since is when the entry began to wait.
	Since time.Time
	// First is true for a result, which is written before claims and is never rejected.
	First bool
}

// Group batches mutations into transactions. An entry is written at once if no transaction is running, so that a lone
// claim is not delayed. The others wait for at most Delay, unless the budget is spent.
type Group struct {
	// Delay is the longest time that an entry waits for others to join its transaction.
	Delay time.Duration
	// Size bounds the entries of a transaction.
	Size int
	// Parallel bounds the transactions that run at once.
	Parallel int
	// Patience is the longest wait for the budget. A claim that would wait longer is rejected.
	Patience time.Duration
	Waiting  []Entry
	Running  int
}

// Add adds an entry, or returns false if it would wait too long. An entry waits for the turns of the other teams, but
// not for all that a larger team has waiting.
func (g *Group) Add(now time.Time, e Entry, b *Budget) bool {
	if !e.First && g.expectedWait(now, e.Team, b) > g.Patience {
		return false
	}
	g.Waiting = append(g.Waiting, e)
	return true
}

// Next returns the numbers of the entries to be written now in one transaction, or the time at which to call it again.
// It returns neither if nothing waits or if a running transaction must end first.
func (g *Group) Next(now time.Time, b *Budget) ([]int64, time.Time) {
	if len(g.Waiting) == 0 || g.Running >= g.Parallel {
		return nil, time.Time{}
	}
	if flushAt := g.flushAt(); g.Running > 0 && len(g.Waiting) < g.Size && now.Before(flushAt) {
		return nil, flushAt
	}
	if !b.Take(now) {
		return nil, b.NextTokenAt(now)
	}
	g.Running++
	return g.takeBatch(), time.Time{}
}

// FinishTransaction records that a transaction has ended.
func (g *Group) FinishTransaction() {
	g.Running--
}

// flushAt returns when the oldest entry will have waited for Delay.
func (g *Group) flushAt() time.Time {
	oldest := g.Waiting[0].Since
	for _, e := range g.Waiting {
		if e.Since.Before(oldest) {
			oldest = e.Since
		}
	}
	return oldest.Add(g.Delay)
}

// expectedWait returns how long a new entry of a team would wait for the budget.
func (g *Group) expectedWait(now time.Time, team string, b *Budget) time.Duration {
	b.refill(now)
	if b.Rate <= 0 {
		return g.Patience + 1
	}
	missingTokens := float64(g.countAhead(team)/g.Size+1) - b.Tokens
	return time.Duration(max(missingTokens, 0) / b.Rate * float64(time.Second))
}

// countAhead counts the entries that would be written before a new one of a team.
func (g *Group) countAhead(team string) int {
	waitingByTeam := map[string]int{}
	ahead := 0
	for _, e := range g.Waiting {
		if e.First {
			ahead++
			continue
		}
		waitingByTeam[e.Team]++
	}
	turn := waitingByTeam[team] + 1
	for _, n := range waitingByTeam {
		ahead += min(n, turn)
	}
	return ahead
}

// takeBatch removes the entries of the next transaction from those that wait: results first, then claims by the turns
// of their teams.
func (g *Group) takeBatch() []int64 {
	g.sortWaiting()
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

// sortWaiting sorts the waiting entries: results first, then the first claim of each team, then the second of each, and
// so on.
func (g *Group) sortWaiting() {
	type ranked struct {
		entry Entry
		turn  int
	}
	turnByTeam := map[string]int{}
	var rankedEntries []ranked
	for _, e := range g.Waiting {
		turn := 0
		if !e.First {
			turnByTeam[e.Team]++
			turn = turnByTeam[e.Team]
		}
		rankedEntries = append(rankedEntries, ranked{e, turn})
	}
	slices.SortStableFunc(rankedEntries, func(a, b ranked) int { return a.turn - b.turn })
	for i, p := range rankedEntries {
		g.Waiting[i] = p.entry
	}
}
