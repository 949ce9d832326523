package picker

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

const (
	// maxPrefixes bounds the prefixes remembered for an endpoint.
	maxPrefixes = 4096
	// prefixTime is how long a prefix is believed to be cached. Events have gaps, so an eviction may never be told.
	prefixTime = 2 * time.Minute
)

// prefixes remembers the prefixes that an endpoint has cached, by the time of the last sign.
type prefixes map[uint64]time.Time

// Cached takes in a cache event of an endpoint. Events come late and may be lost, so a prefix is forgotten by age too.
func (p *Picker) Cached(now time.Time, endpoint string, prefix uint64, evicted bool) {
	l := p.loads[endpoint]
	if l == nil {
		return
	}
	if evicted {
		delete(l.prefixes, prefix)
		return
	}
	l.remember(now, prefix)
}

// Used notes the prefixes of a request that was sent to the endpoints of a plan: they will be cached there before an
// event tells so.
func (p *Picker) Used(now time.Time, plan planner.Plan, prefixes []uint64) {
	for _, s := range plan.Stages {
		l := p.loads[s.Endpoint]
		if l == nil {
			continue
		}
		for _, prefix := range prefixes {
			l.remember(now, prefix)
		}
	}
}

// remember notes a prefix, in place of an old one if there is no room.
func (l *load) remember(now time.Time, prefix uint64) {
	if l.prefixes == nil {
		l.prefixes = prefixes{}
	}
	if len(l.prefixes) >= maxPrefixes {
		l.prefixes.expire(now)
	}
	l.prefixes[prefix] = now
}

// expire forgets old prefixes, and all of them if none is old: events will tell of those in use again.
func (c prefixes) expire(now time.Time) {
	for prefix, seen := range c {
		if now.Sub(seen) > prefixTime {
			delete(c, prefix)
		}
	}
	if len(c) >= maxPrefixes {
		clear(c)
	}
}

// cached returns the part of a prompt that is believed to be cached, from 0 to 1, by its longest known prefix.
func (l *load) cached(now time.Time, wanted []uint64) float64 {
	for i := len(wanted) - 1; i >= 0; i-- {
		seen, ok := l.prefixes[wanted[i]]
		if ok && now.Sub(seen) <= prefixTime {
			return float64(i+1) / float64(len(wanted))
		}
	}
	return 0
}
