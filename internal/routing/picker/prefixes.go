package picker

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

const (
	// maxPrefixes bounds the prefixes recorded for an endpoint.
	maxPrefixes = 4096
	// prefixLifetime is how long a prefix counts as cached. Events have gaps, so an eviction may never be reported.
	prefixLifetime = 2 * time.Minute
)

// prefixCache holds the prefixes that an endpoint is assumed to have cached, with the time when each was last
// recorded.
type prefixCache map[uint64]time.Time

// ObserveCacheEvent records that an endpoint cached or evicted a prefix. Events arrive late and may be lost, so a
// prefix also expires by age.
func (p *Picker) ObserveCacheEvent(now time.Time, endpoint string, prefix uint64, evicted bool) {
	load := p.loads[endpoint]
	if load == nil {
		return
	}
	if evicted {
		delete(load.prefixes, prefix)
		return
	}
	load.recordPrefix(now, prefix)
}

// RecordSentPrefixes records the prefixes of a request that was sent to the endpoints of a plan: they will be cached
// there before an event reports it.
func (p *Picker) RecordSentPrefixes(now time.Time, plan planner.Plan, prefixes []uint64) {
	for _, s := range plan.Stages {
		l := p.loads[s.Endpoint]
		if l == nil {
			continue
		}
		for _, prefix := range prefixes {
			l.recordPrefix(now, prefix)
		}
	}
}

// recordPrefix records a prefix. If there is no room, it first drops expired ones.
func (l *load) recordPrefix(now time.Time, prefix uint64) {
	if l.prefixes == nil {
		l.prefixes = prefixCache{}
	}
	if len(l.prefixes) >= maxPrefixes {
		l.prefixes.expire(now)
	}
	l.prefixes[prefix] = now
}

// expire drops expired prefixes, and all of them if that leaves no room: events will report those in use again.
func (c prefixCache) expire(now time.Time) {
	for prefix, recordedAt := range c {
		if now.Sub(recordedAt) > prefixLifetime {
			delete(c, prefix)
		}
	}
	if len(c) >= maxPrefixes {
		clear(c)
	}
}

// cachedShare returns the share of a prompt that is assumed to be cached, from 0 to 1, by the longest of its prefixes
// that is recorded.
func (l *load) cachedShare(now time.Time, wanted []uint64) float64 {
	for i := len(wanted) - 1; i >= 0; i-- {
		recordedAt, ok := l.prefixes[wanted[i]]
		if ok && now.Sub(recordedAt) <= prefixLifetime {
			return float64(i+1) / float64(len(wanted))
		}
	}
	return 0
}
