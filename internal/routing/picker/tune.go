package picker

import (
	"maps"
	"time"
)

// fullBusy is how busy an endpoint counts that runs as many requests as it may, in seconds. It is above any bound.
const fullBusy = 1e9

// SetPace sets the longest time in which an endpoint may run one step of each of its requests, from now on. Zero sets
// the usual one.
func (p *Picker) SetPace(_ time.Time, pace time.Duration) {
	if pace <= 0 {
		pace = defaultPace
	}
	p.pace = pace
}

// SetBatches bounds the requests that run together on an endpoint, by its kind, from now on. A kind that is absent has
// no bound.
func (p *Picker) SetBatches(_ time.Time, batches map[string]int) {
	p.batches = maps.Clone(batches)
}

// full reports whether an endpoint runs as many requests as its kind may.
func (c *chooser) full(l *load) bool {
	bound, ok := c.picker.batches[l.endpoint.Kind]
	return ok && c.picker.running(c.now, l) >= float64(bound)
}
