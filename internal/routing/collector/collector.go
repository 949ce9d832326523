// Package collector adds up the teams' counts of many instances at one home instance for each team, where sharing all
// counts with all instances would take too many bytes.
package collector

import (
	"maps"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/limiter"
)

// Owner is what an instance has told of its counts.
type Owner struct {
	Heard  time.Time
	Counts limiter.Counts
}

// Collector is what one instance holds as the home of some teams.
type Collector struct {
	// Owners holds the counts by instance, each process of an instance by a name of its own.
	Owners map[string]Owner
	// Past holds the sums of the counts of instances that are gone.
	Past limiter.Counts
	// Retention is the time after which a silent instance counts as gone.
	Retention time.Duration
}

// New returns a Collector that holds nothing.
func New(retention time.Duration) *Collector {
	return &Collector{Owners: map[string]Owner{}, Past: limiter.Counts{}, Retention: retention}
}

// Take takes in an instance's counts of some teams, which may arrive late or twice as counts only grow, and returns for
// these teams what all others have counted. What is returned for one instance only grows, too.
func (c *Collector) Take(now time.Time, owner string, counts limiter.Counts) limiter.Counts {
	o, ok := c.Owners[owner]
	if !ok {
		o.Counts = limiter.Counts{}
	}
	o.Heard = now
	for team, count := range counts {
		o.Counts[team] = highest(o.Counts[team], count)
	}
	c.Owners[owner] = o
	c.expire(now)
	return c.others(owner, counts)
}

// others returns for the teams of counts what all but an owner have counted.
func (c *Collector) others(owner string, counts limiter.Counts) limiter.Counts {
	out := limiter.Counts{}
	for team := range counts {
		sum := c.Past[team]
		for _, name := range slices.Sorted(maps.Keys(c.Owners)) {
			if name != owner {
				sum = add(sum, c.Owners[name].Counts[team])
			}
		}
		out[team] = sum
	}
	return out
}

// expire moves the counts of silent instances to the past.
func (c *Collector) expire(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(c.Owners)) {
		o := c.Owners[name]
		if now.Sub(o.Heard) <= c.Retention {
			continue
		}
		for team, count := range o.Counts {
			c.Past[team] = add(c.Past[team], count)
		}
		delete(c.Owners, name)
	}
}

// highest returns the higher of each part of two counts.
func highest(a, b limiter.Count) limiter.Count {
	return limiter.Count{Requests: max(a.Requests, b.Requests), Tokens: max(a.Tokens, b.Tokens)}
}

// add returns the sum of two counts.
func add(a, b limiter.Count) limiter.Count {
	return limiter.Count{Requests: a.Requests + b.Requests, Tokens: a.Tokens + b.Tokens}
}
