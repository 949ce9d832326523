package retrier

import (
	"slices"
	"time"
)

// The parameters of a Hedger.
const (
	// maxSamples is the number of latest latencies that are kept.
	maxSamples = 64
	// minSamples is the number of latencies below which no call is hedged.
	minSamples = 16
	// minTailRatio is the least ratio of the 95th percentile to the median at which calls are hedged: below it the
	// second attempt would seldom end before the first.
	minTailRatio = 3
)

// Hedger decides whether to hedge a slow call with a second attempt, from the latencies of the latest calls. It follows
// the hedged requests of Dean and Barroso, "The Tail at Scale" (2013).
type Hedger struct {
	// Latencies is a ring buffer of the latest latencies.
	Latencies []time.Duration
	// Next is the index of the oldest latency, which is overwritten next.
	Next int
}

// Observe records the latency of a completed call.
func (h *Hedger) Observe(d time.Duration) {
	if len(h.Latencies) < maxSamples {
		h.Latencies = append(h.Latencies, d)
		return
	}
	h.Latencies[h.Next] = d
	h.Next = (h.Next + 1) % maxSamples
}

// Delay returns how long to wait before a second attempt, and whether to make one at all.
func (h *Hedger) Delay() (time.Duration, bool) {
	if len(h.Latencies) < minSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(h.Latencies))
	median := sorted[len(sorted)/2]
	p95 := sorted[len(sorted)*95/100]
	return p95, p95 >= minTailRatio*median
}
