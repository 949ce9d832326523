// Package collector adds up the counts of a team from many instances at one home instance for each team. It is used where
// sharing all counts with all instances would take too many bytes.
package collector

import (
	"maps"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/limiter"
)

// Owner holds the counts that an instance has reported, and the time of its last report.
type Owner struct {
	LastReportAt time.Time
	Counts       limiter.Counts
}

// Collector holds the counts that one instance keeps as the home of some teams. It is not safe for concurrent use.
type Collector struct {
	// Owners holds the counts by instance. Each process of an instance has a name of its own.
	Owners map[string]Owner
	// RetiredCounts holds the sums of the counts of instances that no longer report.
	RetiredCounts limiter.Counts
	// Retention is the time without a report after which an instance is retired.
	Retention time.Duration
}

// New returns an empty Collector with the given retention.
func New(retention time.Duration) *Collector {
	return &Collector{Owners: map[string]Owner{}, RetiredCounts: limiter.Counts{}, Retention: retention}
}

// MergeReport merges an instance's counts of some teams, and returns for these teams the sums of the counts of all other
// instances. Reports may arrive late or twice, since counts only grow. The sums returned to one instance only grow, too.
func (c *Collector) MergeReport(now time.Time, owner string, counts limiter.Counts) limiter.Counts {
	o, ok := c.Owners[owner]
	if !ok {
		o.Counts = limiter.Counts{}
	}
	o.LastReportAt = now
	for team, count := range counts {
		o.Counts[team] = maxCount(o.Counts[team], count)
	}
	c.Owners[owner] = o
	c.expire(now)
	return c.sumOfOthers(owner, counts)
}

// sumOfOthers returns, for the teams in counts, the sums of the counts of all instances but owner.
func (c *Collector) sumOfOthers(owner string, counts limiter.Counts) limiter.Counts {
	out := limiter.Counts{}
	for team := range counts {
		sum := c.RetiredCounts[team]
		for _, name := range slices.Sorted(maps.Keys(c.Owners)) {
			if name != owner {
				sum = addCounts(sum, c.Owners[name].Counts[team])
			}
		}
		out[team] = sum
	}
	return out
}

// expire adds the counts of instances that no longer report to the retired counts.
func (c *Collector) expire(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(c.Owners)) {
		o := c.Owners[name]
		if now.Sub(o.LastReportAt) <= c.Retention {
			continue
		}
		for team, count := range o.Counts {
			c.RetiredCounts[team] = addCounts(c.RetiredCounts[team], count)
		}
		delete(c.Owners, name)
	}
}

// maxCount returns the larger number of requests and the larger number of tokens of two counts.
func maxCount(a, b limiter.Count) limiter.Count {
	return limiter.Count{Requests: max(a.Requests, b.Requests), Tokens: max(a.Tokens, b.Tokens)}
}

// addCounts returns the sum of two counts.
func addCounts(a, b limiter.Count) limiter.Count {
	return limiter.Count{Requests: a.Requests + b.Requests, Tokens: a.Tokens + b.Tokens}
}
