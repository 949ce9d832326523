package picker

import (
	"maps"
	"time"
)

// fullRoundSeconds is the round of an endpoint that runs as many requests as it may. It is above any round limit.
const fullRoundSeconds = 1e9

// SetMaxRoundTime sets the longest time in which an endpoint may run one step of each of its requests. Zero or less
// sets the default.
func (p *Picker) SetMaxRoundTime(_ time.Time, maxRoundTime time.Duration) {
	if maxRoundTime <= 0 {
		maxRoundTime = defaultMaxRoundTime
	}
	p.maxRoundTime = maxRoundTime
}

// SetBatchLimits bounds the requests that run together on an endpoint, by its kind. A kind without an entry has no
// bound.
func (p *Picker) SetBatchLimits(_ time.Time, limits map[string]int) {
	p.batchLimits = maps.Clone(limits)
}

// isFull reports whether an endpoint runs as many requests as its kind allows.
func (c *chooser) isFull(l *load) bool {
	limit, ok := c.picker.batchLimits[l.endpoint.Kind]
	return ok && c.picker.estimatedRequests(c.now, l) >= float64(limit)
}
