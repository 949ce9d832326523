package queuer

import (
	"math"
	"time"
)

const (
	// usageTime is the time over which usage fades to 1/e.
	usageTime = 2 * time.Second
	// withinTimes is the multiple of its fair part up to which a team counts as within its share. It allows for the
	// chance in when requests arrive.
	withinTimes = 1.5
	// usageLeast is the usage for a share of one, in tokens, below which a team is forgotten.
	usageLeast = 1
)

// usage is what each team of a priority was served lately, in tokens for a share of one. It fades with time.
type usage struct {
	at    time.Time
	teams map[string]*use
	// fair is the usage for a share of one if all active teams had been served by their shares.
	fair float64
}

// use is one team's usage.
type use struct {
	share  float64
	tokens float64
}

// newUsage returns a usage of nothing.
func newUsage() usage {
	return usage{teams: map[string]*use{}}
}

// add counts what a team was served.
func (u *usage) add(team string, share, tokens float64) {
	t := u.teams[team]
	if t == nil {
		t = &use{}
		u.teams[team] = t
	}
	t.share = share
	t.tokens = max(0, t.tokens+tokens)
}

// measure lets usage fade and computes the fair part.
func (u *usage) measure(now time.Time) {
	keep := math.Exp(-max(0, now.Sub(u.at).Seconds()) / usageTime.Seconds())
	u.at = now
	total, shares := 0.0, 0.0
	for team, t := range u.teams {
		t.tokens *= keep
		if t.tokens < usageLeast {
			delete(u.teams, team)
			continue
		}
		total += t.tokens * t.share
		shares += t.share
	}
	u.fair = 0
	if shares > 0 {
		u.fair = total / shares
	}
}

// within reports whether a team was served no more than its fair part. A team that is alone is not: there is nobody to
// go before.
func (u *usage) within(team string) bool {
	t := u.teams[team]
	if t == nil {
		return len(u.teams) > 0
	}
	return len(u.teams) > 1 && t.tokens <= withinTimes*u.fair
}
