package retrier

import (
	"slices"
	"time"
)

// The shape of a Hedger.
const (
	// samples is the number of latest latencies that are kept.
	samples = 64
	// enough is the number of latencies below which nothing is concluded.
	enough = 16
	// tail is the ratio of the 95th percentile to the median from which a second attempt pays: below it the second
	// would seldom end before the first.
	tail = 3
)

// Hedger decides whether a second attempt beside a slow one pays, from the latencies of the latest calls. It follows
// the hedged requests of Dean and Barroso, "The Tail at Scale" (2013).
type Hedger struct {
	// Latencies are the latest latencies, as a ring.
	Latencies []time.Duration
	// Place is the ring's next place to be overwritten.
	Place int
}

// Observe takes the latency of a completed call.
func (h *Hedger) Observe(d time.Duration) {
	if len(h.Latencies) < samples {
		h.Latencies = append(h.Latencies, d)
		return
	}
	h.Latencies[h.Place] = d
	h.Place = (h.Place + 1) % samples
}

// Delay returns how long to wait before a second attempt, and whether one pays at all.
func (h *Hedger) Delay() (time.Duration, bool) {
	if len(h.Latencies) < enough {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(h.Latencies))
	median := sorted[len(sorted)/2]
	late := sorted[len(sorted)*95/100]
	return late, late >= tail*median
}
