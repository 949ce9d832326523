package queuer

import (
	"maps"
	"slices"
	"time"
)

// level is the fair queue of one priority.
type level struct {
	priority int
	// virtual is the start tag of the item popped last.
	virtual float64
	flows   map[string]*flow
	usage   usage
	// within is when a team within its share was last served, and withinTeam which.
	within     time.Time
	withinTeam string
}

// flow is the queue of one team. finish is the tag at which its next item may start, in tokens for a share of one.
type flow struct {
	items  []Item
	share  float64
	finish float64
}

// push adds an item at the end of its team's queue.
func (l *level) push(i Item) {
	f := l.flows[i.Team]
	if f == nil {
		f = &flow{}
		l.flows[i.Team] = f
	}
	if len(f.items) == 0 {
		f.finish = max(f.finish, l.virtual)
	}
	f.share = i.Share
	f.items = append(f.items, i)
}

// pop removes the item with the lowest start tag that is not late, of teams within their share first: their items are
// few, and must not wait for room that an item of a team over its share is refused.
func (l *level) pop(now time.Time) (Item, bool) {
	var best *flow
	var name string
	at, bestWithin := 0, false
	l.usage.measure(now)
	for _, team := range l.teams() {
		f := l.flows[team]
		next := slices.IndexFunc(f.items, func(i Item) bool { return !late(now, i) })
		if next < 0 {
			continue
		}
		within := l.usage.within(team)
		if best == nil || f.before(best, within, bestWithin) {
			best, name, at, bestWithin = f, team, next, within
		}
	}
	if best == nil {
		return Item{}, false
	}
	i := best.items[at]
	best.items = slices.Delete(best.items, at, at+1)
	l.virtual = max(l.virtual, best.finish)
	best.finish += i.charge
	l.forget(name)
	i.Slack = l.slack(now, i, bestWithin)
	i.Boost = 0
	if bestWithin {
		i.Boost = withinBoost
	}
	l.usage.add(name, i.Share, i.charge)
	return i, true
}

// before reports whether the next item of one team goes before that of another.
func (f *flow) before(other *flow, within, otherWithin bool) bool {
	if within != otherWithin {
		return within
	}
	return f.finish < other.finish
}

// slack returns the slack of an item that is popped.
func (l *level) slack(now time.Time, i Item, within bool) float64 {
	if within {
		l.within, l.withinTeam = now, i.Team
		return withinSlack
	}
	if now.Sub(l.within) < withinTime && l.withinTeam != i.Team {
		return overSlack
	}
	return evenSlack
}

// unpop puts an item back at the head of its team's queue and takes back its charge.
func (l *level) unpop(i Item) {
	f := l.flows[i.Team]
	if f == nil {
		f = &flow{share: i.Share, finish: l.virtual + i.charge}
		l.flows[i.Team] = f
	}
	f.items = slices.Insert(f.items, 0, i)
	f.finish -= i.charge
	l.usage.add(i.Team, i.Share, -i.charge)
}

// forget drops a team that has nothing waiting and no charge left, so that state is bounded by the active teams.
func (l *level) forget(team string) {
	f := l.flows[team]
	if len(f.items) == 0 && f.finish <= l.virtual {
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
		l.forget(team)
	}
	return removed
}

// shed removes the last item of the team with the most waiting for its share. Of two equal teams the newcomer's is
// taken, and it reports false if that is the newcomer's: then the newcomer itself goes.
func (l *level) shed(newcomer string) (Item, bool) {
	worst, most := newcomer, 0.0
	if f := l.flows[newcomer]; f != nil {
		most = f.backlog()
	}
	for _, team := range l.teams() {
		if b := l.flows[team].backlog(); b > most {
			worst, most = team, b
		}
	}
	if worst == newcomer {
		return Item{}, false
	}
	f := l.flows[worst]
	i := f.items[len(f.items)-1]
	f.items = f.items[:len(f.items)-1]
	l.forget(worst)
	return i, true
}

// tokens returns the tokens that wait.
func (l *level) tokens() float64 {
	total := 0.0
	for _, team := range l.teams() {
		total += l.flows[team].tokens()
	}
	return total
}

// before returns the tokens that are popped before an item pushed now: its team's own, and of each other team those
// whose tags are lower.
func (l *level) before(i Item) float64 {
	own, tag := 0.0, l.virtual
	if f := l.flows[i.Team]; f != nil {
		own = f.tokens()
		tag = max(tag, f.finish) + own/i.Share
	}
	total := own
	for _, team := range l.teams() {
		f := l.flows[team]
		if team == i.Team || len(f.items) == 0 {
			continue
		}
		total += min(f.tokens(), max(0, tag-f.finish)*f.share)
	}
	return total
}

// teams returns the teams in order.
func (l *level) teams() []string {
	return slices.Sorted(maps.Keys(l.flows))
}

// tokens returns the tokens that wait.
func (f *flow) tokens() float64 {
	total := 0
	for _, i := range f.items {
		total += i.Tokens
	}
	return float64(total)
}

// backlog returns the tokens that wait for each unit of share.
func (f *flow) backlog() float64 {
	return f.tokens() / f.share
}
