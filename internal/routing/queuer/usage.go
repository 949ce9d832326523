package queuer

import (
	"math"
	"time"
)

const (
	// usageDecayTime is the time over which usage decays to 1/e.
	usageDecayTime = 2 * time.Second
	// withinShareFactor is the multiple of its fair usage up to which a team counts as within its share. It allows for
	// random variation in when requests arrive.
	withinShareFactor = 1.5
	// minUsage is the usage for a share of one, in tokens, below which a team's usage is dropped.
	minUsage = 1
)

// usage holds the recent usage of each team of a priority, in tokens for a share of one. It decays with time.
type usage struct {
	updatedAt time.Time
	teams     map[string]*teamUsage
	// fairUsage is the usage for a share of one if all active teams had been served by their shares.
	fairUsage float64
}

// teamUsage is one team's usage.
type teamUsage struct {
	share  float64
	tokens float64
}

func newUsage() usage {
	return usage{teams: map[string]*teamUsage{}}
}

// add adds served tokens to a team's usage.
func (u *usage) add(team string, share, tokens float64) {
	t := u.teams[team]
	if t == nil {
		t = &teamUsage{}
		u.teams[team] = t
	}
	t.share = share
	t.tokens = max(0, t.tokens+tokens)
}

// update applies the decay since the last call and computes the fair usage.
func (u *usage) update(now time.Time) {
	remaining := math.Exp(-max(0, now.Sub(u.updatedAt).Seconds()) / usageDecayTime.Seconds())
	u.updatedAt = now
	total, shares := 0.0, 0.0
	for team, t := range u.teams {
		t.tokens *= remaining
		if t.tokens < minUsage {
			delete(u.teams, team)
			continue
		}
		total += t.tokens * t.share
		shares += t.share
	}
	u.fairUsage = 0
	if shares > 0 {
		u.fairUsage = total / shares
	}
}

// isWithinShare reports whether a team was served no more than withinShareFactor times its fair usage. It is false for a
// team that is alone: there is no other team to take precedence over.
func (u *usage) isWithinShare(team string) bool {
	t := u.teams[team]
	if t == nil {
		return len(u.teams) > 0
	}
	return len(u.teams) > 1 && t.tokens <= withinShareFactor*u.fairUsage
}
