package router

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
)

const (
	// latencyLoad is the offered load of the latency experiment, as a share of the bound.
	latencyLoad = 0.8
	// latencyDuration is how long the latency experiment is measured.
	latencyDuration = 8 * time.Second
	// maxLatency is the upper limit of the histograms in microseconds, and latencyDigits their number of significant
	// digits.
	maxLatency    = int64(time.Minute / time.Microsecond)
	latencyDigits = 3
)

// latency measures the shares of answers within the targets at 0.8 of the bound.
func latency(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("latency", seed)
	bound := newFleet(newClock()).bound()
	for _, p := range policies() {
		t := newTrial(seed, p.newPolicy, []load{steadyLoad("team", latencyLoad, bound)})
		t.clock.run(warmupTime + latencyDuration)
		l := t.latency(warmupTime, warmupTime+latencyDuration-tailTime)
		if p.name != ownPolicy {
			result.Set(p.name+"first", l.firstShare, "ratio")
			result.Set(p.name+"between", l.intervalShare, "ratio")
			continue
		}
		result.SetTarget("first", l.firstShare, "ratio", 0.95)
		result.SetTarget("between", l.intervalShare, "ratio", 0.95)
		result.Set("gaps", l.singleIntervalShare, "ratio")
		result.Set("firstp95", percentileMillis(l.firstToken, 95), "ms")
		result.Set("betweenp50", percentileMillis(l.tokenInterval, 50), "ms")
		result.Set("betweenp95", percentileMillis(l.tokenInterval, 95), "ms")
		result.Set("refused", l.refusedShare, "ratio")
	}
	return result, nil
}

// tailTime is the time before the end of a trial in which arrivals are not measured, as their answers may not be
// complete.
const tailTime = 3 * time.Second

// latencies are the latencies of the answers to requests that arrived in a part of a trial.
type latencies struct {
	firstToken    *hdrhistogram.Histogram
	tokenInterval *hdrhistogram.Histogram
	total         *hdrhistogram.Histogram
	// firstShare is the share of all requests whose first token came within its target. A refused request counts as a
	// miss.
	firstShare float64
	// intervalShare is the share of complete answers whose mean token interval is within its target, and
	// singleIntervalShare the share of single token intervals within it.
	intervalShare       float64
	singleIntervalShare float64
	// refusedShare is the share of refused requests.
	refusedShare float64
}

// latency returns the latencies of the answers to requests that arrived between two times since the start, from the
// named teams or from all if none is named.
func (t *trial) latency(from, to time.Duration, teams ...string) latencies {
	l := latencies{firstToken: newHistogram(), tokenInterval: newHistogram(), total: newHistogram()}
	requests, firstInTime, complete, meanInTime, refused, intervals, slowIntervals := 0, 0, 0, 0, 0, 0, 0
	for _, a := range t.answers {
		since := a.arrivedAt.Sub(startTime)
		if since < from || since >= to || !matchesTeam(a.team, teams) {
			continue
		}
		requests++
		if a.refused {
			refused++
			continue
		}
		if !a.firstTokenAt.IsZero() {
			wait := a.firstTokenAt.Sub(a.arrivedAt)
			recordTime(l.firstToken, wait)
			if wait <= firstTokenTarget {
				firstInTime++
			}
		}
		if !a.ended || a.intervalCount == 0 {
			continue
		}
		complete++
		recordTime(l.tokenInterval, a.meanInterval())
		recordTime(l.total, a.lastTokenAt.Sub(a.arrivedAt))
		if a.meanInterval() <= tokenIntervalTarget {
			meanInTime++
		}
		intervals += a.intervalCount
		slowIntervals += a.slowIntervals
	}
	l.firstShare = share(firstInTime, requests)
	l.intervalShare = share(meanInTime, complete)
	l.singleIntervalShare = 1 - share(slowIntervals, intervals)
	l.refusedShare = share(refused, requests)
	return l
}

// matchesTeam reports whether a team is among teams, or teams is empty.
func matchesTeam(team string, teams []string) bool {
	if len(teams) == 0 {
		return true
	}
	for _, t := range teams {
		if t == team {
			return true
		}
	}
	return false
}

// newHistogram returns a histogram of durations in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency, latencyDigits)
}

// recordTime adds a duration to a histogram. Durations beyond its range count as maxLatency.
func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), 1), maxLatency)
	if err := h.RecordValue(micros); err != nil {
		panic(err)
	}
}

// percentileMillis returns a percentile in milliseconds.
func percentileMillis(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}

// share returns part divided by whole, or zero if whole is zero.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
