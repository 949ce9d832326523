package queuer

import (
	"maps"
	"slices"
	"time"
)

// level is the fair queue of one priority.
type level struct {
	priority int
	// virtualTime is the highest start tag of the items popped so far.
	virtualTime float64
	flows       map[string]*flow
	usage       usage
	// withinShareAt is when a team within its share was last served, and withinShareTeam the name of that team.
	withinShareAt   time.Time
	withinShareTeam string
}

// flow is the queue of one team.
type flow struct {
	items []Item
	share float64
	// startTag is the start tag of its next item, in tokens for a share of one.
	startTag float64
}

// push adds an item at the end of its team's queue.
func (l *level) push(i Item) {
	f := l.flows[i.Team]
	if f == nil {
		f = &flow{}
		l.flows[i.Team] = f
	}
	if len(f.items) == 0 {
		f.startTag = max(f.startTag, l.virtualTime)
	}
	f.share = i.Share
	f.items = append(f.items, i)
}

// pop removes the unexpired item with the lowest start tag, of teams within their share first: their items are few, and
// must not wait for capacity that an item of a team over its share is denied.
func (l *level) pop(now time.Time) (Item, bool) {
	var best *flow
	var bestTeam string
	index, bestWithin := 0, false
	l.usage.update(now)
	for _, team := range l.teams() {
		f := l.flows[team]
		next := slices.IndexFunc(f.items, func(i Item) bool { return !isExpired(now, i) })
		if next < 0 {
			continue
		}
		within := l.usage.isWithinShare(team)
		if best == nil || f.precedes(best, within, bestWithin) {
			best, bestTeam, index, bestWithin = f, team, next, within
		}
	}
	if best == nil {
		return Item{}, false
	}
	i := best.items[index]
	best.items = slices.Delete(best.items, index, index+1)
	l.virtualTime = max(l.virtualTime, best.startTag)
	best.startTag += i.charge
	l.removeIdle(bestTeam)
	i.Slack = l.slack(now, i, bestWithin)
	i.PriorityBoost = 0
	if bestWithin {
		i.PriorityBoost = withinShareBoost
	}
	l.usage.add(bestTeam, i.Share, i.charge)
	return i, true
}

// precedes reports whether the next item of f is popped before that of another team.
func (f *flow) precedes(other *flow, within, otherWithin bool) bool {
	if within != otherWithin {
		return within
	}
	return f.startTag < other.startTag
}

// slack returns the Slack of an item that is popped, and records the pop if the team is within its share.
func (l *level) slack(now time.Time, i Item, within bool) float64 {
	if within {
		l.withinShareAt, l.withinShareTeam = now, i.Team
		return withinShareSlack
	}
	if now.Sub(l.withinShareAt) < withinShareHold && l.withinShareTeam != i.Team {
		return overShareSlack
	}
	return neutralSlack
}

// requeue puts an item back at the head of its team's queue and refunds its charge.
func (l *level) requeue(i Item) {
	f := l.flows[i.Team]
	if f == nil {
		f = &flow{share: i.Share, startTag: l.virtualTime + i.charge}
		l.flows[i.Team] = f
	}
	f.items = slices.Insert(f.items, 0, i)
	f.startTag -= i.charge
	l.usage.add(i.Team, i.Share, -i.charge)
}

// removeIdle drops a team that has no waiting item and whose tag is not ahead of the virtual time, so that the state is
// bounded by the active teams.
func (l *level) removeIdle(team string) {
	f := l.flows[team]
	if len(f.items) == 0 && f.startTag <= l.virtualTime {
		delete(l.flows, team)
	}
}

// remove removes the items that match.
func (l *level) remove(match func(Item) bool) []Item {
	var removed []Item
	for _, team := range l.teams() {
		f := l.flows[team]
		f.items = slices.DeleteFunc(f.items, func(i Item) bool {
			if match(i) {
				removed = append(removed, i)
				return true
			}
			return false
		})
		l.removeIdle(team)
	}
	return removed
}

// shed removes the last item of the team with the largest backlog for its share. newcomer is the team of the item to be
// pushed. shed reports false if no team has a larger backlog than the newcomer: then the item to be pushed is rejected.
func (l *level) shed(newcomer string) (Item, bool) {
	longest, most := newcomer, 0.0
	if f := l.flows[newcomer]; f != nil {
		most = f.backlogPerShare()
	}
	for _, team := range l.teams() {
		if b := l.flows[team].backlogPerShare(); b > most {
			longest, most = team, b
		}
	}
	if longest == newcomer {
		return Item{}, false
	}
	f := l.flows[longest]
	i := f.items[len(f.items)-1]
	f.items = f.items[:len(f.items)-1]
	l.removeIdle(longest)
	return i, true
}

// tokens returns the tokens of all waiting items.
func (l *level) tokens() float64 {
	total := 0.0
	for _, team := range l.teams() {
		total += l.flows[team].tokens()
	}
	return total
}

// tokensAhead returns the tokens that are popped before an item pushed now: those of its own team, and of each other
// team those with lower tags.
func (l *level) tokensAhead(i Item) float64 {
	own, tag := 0.0, l.virtualTime
	if f := l.flows[i.Team]; f != nil {
		own = f.tokens()
		tag = max(tag, f.startTag) + own/i.Share
	}
	total := own
	for _, team := range l.teams() {
		f := l.flows[team]
		if team == i.Team || len(f.items) == 0 {
			continue
		}
		total += min(f.tokens(), max(0, tag-f.startTag)*f.share)
	}
	return total
}

// teams returns the teams, ordered by name.
func (l *level) teams() []string {
	return slices.Sorted(maps.Keys(l.flows))
}

// tokens returns the tokens of the waiting items.
func (f *flow) tokens() float64 {
	total := 0
	for _, i := range f.items {
		total += i.Tokens
	}
	return float64(total)
}

// backlogPerShare returns the waiting tokens for each unit of share.
func (f *flow) backlogPerShare() float64 {
	return f.tokens() / f.share
}
