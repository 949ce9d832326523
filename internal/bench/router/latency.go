package router

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
)

const (
	// latencyLoad is the offered load of the latency experiment, as a share of the bound.
	latencyLoad = 0.8
	// latencyTime is how long it measures.
	latencyTime = 8 * time.Second
	// maxLatency and latencyDigits bound the histograms, in microseconds and significant digits.
	maxLatency    = int64(time.Minute / time.Microsecond)
	latencyDigits = 3
)

// latency measures the shares of answers within the targets at 0.8 of the bound.
func latency(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("latency", seed)
	bound := newFleet(newClock()).bound()
	for _, p := range policies() {
		t := newTrial(seed, p.make, []load{steady("team", latencyLoad, bound)})
		t.clock.run(warm + latencyTime)
		l := t.latency(warm, warm+latencyTime-settle)
		if p.name != ownPolicy {
			result.Set(p.name+"first", l.firstShare, "ratio")
			result.Set(p.name+"between", l.betweenShare, "ratio")
			continue
		}
		result.SetTarget("first", l.firstShare, "ratio", 0.95)
		result.SetTarget("between", l.betweenShare, "ratio", 0.95)
		result.Set("gaps", l.gapShare, "ratio")
		result.Set("firstp95", quantile(l.first, 95), "ms")
		result.Set("betweenp50", quantile(l.between, 50), "ms")
		result.Set("betweenp95", quantile(l.between, 95), "ms")
		result.Set("refused", l.refused, "ratio")
	}
	return result, nil
}

// settle is the time before the end of a trial in which arrivals are not measured, as their answers may not be
// complete.
const settle = 3 * time.Second

// latencies are the times of the answers that arrived in a part of a trial.
type latencies struct {
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	whole   *hdrhistogram.Histogram
	// firstShare is the share of all answers with the first token within its target; a refused one counts as missed.
	firstShare float64
	// betweenShare is the share of complete answers whose mean time between tokens is within its target, and gapShare
	// that of all times between tokens.
	betweenShare float64
	gapShare     float64
	// refused is the share of refused requests.
	refused float64
}

// latency returns the times of the answers of some teams, or of all if none is named, that arrived between two times
// since the start.
func (t *trial) latency(from, to time.Duration, teams ...string) latencies {
	l := latencies{first: newHistogram(), between: newHistogram(), whole: newHistogram()}
	all, first, ended, between, refused, gaps, slow := 0, 0, 0, 0, 0, 0, 0
	for _, a := range t.answers {
		since := a.arrived.Sub(start)
		if since < from || since >= to || !among(a.team, teams) {
			continue
		}
		all++
		if a.refused {
			refused++
			continue
		}
		if !a.first.IsZero() {
			wait := a.first.Sub(a.arrived)
			record(l.first, wait)
			if wait <= firstTarget {
				first++
			}
		}
		if !a.ended || a.gaps == 0 {
			continue
		}
		ended++
		record(l.between, a.between())
		record(l.whole, a.last.Sub(a.arrived))
		if a.between() <= betweenTarget {
			between++
		}
		gaps += a.gaps
		slow += a.slow
	}
	l.firstShare = share(first, all)
	l.betweenShare = share(between, ended)
	l.gapShare = 1 - share(slow, gaps)
	l.refused = share(refused, all)
	return l
}

// among reports whether a team is named, or none is.
func among(team string, teams []string) bool {
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

// newHistogram returns a histogram of times in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency, latencyDigits)
}

// record adds a time to a histogram. Times beyond its range count as the longest.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), 1), maxLatency)
	if err := h.RecordValue(micros); err != nil {
		panic(err)
	}
}

// quantile returns a percentile in milliseconds.
func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}

// share returns a part of a whole, zero if the whole is none.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
