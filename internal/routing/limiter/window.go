package limiter

import (
	"math"
	"time"
)

// Tally counts the requests and retries of a window. Repeats is the number of retries.
type Tally struct {
	Requests float64
	Repeats  float64
	// Age is the time for which they have been counted, in seconds.
	Age float64
	// Instances is the number of instances that have counted.
	Instances float64
}

// windowSlices is the number of slices of a window. One more slice is kept for retries, so that a retry counts for
// the whole span wherever in its slice it was sent.
const (
	windowSlices = 20
	keptSlices   = windowSlices + 1
)

// StartupHold is the time after a start of all instances in which nothing is retried: what they used before is lost,
// and they do not yet know their number. Membership spreads to 89 instances in 7 rounds of 250 ms.
const StartupHold = 2 * time.Second

// usedShare is the share of the bound that instances use: what the others have counted is known a fraction of a
// second late.
const usedShare = 0.8

// RetryWindow bounds the retries of a whole fleet to a service within the time Span: to Share of the requests in it,
// and Slack retries on top. Each instance counts its own requests and retries, and receives the sums of the others.
// It is not safe for concurrent use.
type RetryWindow struct {
	Share float64
	Slack float64
	Span  time.Duration
	// Random returns a random number from 0 to 1. It decides whether this instance may send a whole retry while its
	// even share of what is left is less than one. Without it, the instance may not.
	Random func() float64

	// startedAt is when counting began. What was sent before a restart is not known.
	startedAt    time.Time
	slices       [keptSlices]Tally
	currentSlice int64
	others       Tally
	instances    int
	// retriesSinceMerge counts the retries since the others' sums last arrived. allowance is this instance's even
	// share of what was left then.
	retriesSinceMerge float64
	allowance         float64
	// drawn is the random number of the current slice.
	drawn float64
}

// NewRetryWindow returns a window whose counts begin at now.
func NewRetryWindow(now time.Time, share, slack float64, span time.Duration) *RetryWindow {
	return &RetryWindow{Share: share, Slack: slack, Span: span, startedAt: now, instances: 1, allowance: math.Inf(1), drawn: 1}
}

// advance clears the slices that have left the window at now, and returns the current one.
func (w *RetryWindow) advance(now time.Time) *Tally {
	slice := now.UnixNano() / int64(max(1, w.Span/windowSlices))
	if slice > w.currentSlice {
		for i := max(w.currentSlice+1, slice-keptSlices+1); i <= slice; i++ {
			w.slices[i%keptSlices] = Tally{}
		}
		w.currentSlice = slice
		if w.Random != nil {
			w.drawn = w.Random()
		}
	}
	return &w.slices[w.currentSlice%keptSlices]
}

// RecordRequest counts a request.
func (w *RetryWindow) RecordRequest(now time.Time) {
	w.advance(now).Requests++
}

// OwnTally returns what this instance has counted in the window.
func (w *RetryWindow) OwnTally(now time.Time) Tally {
	w.advance(now)
	tally := Tally{Age: now.Sub(w.startedAt).Seconds(), Instances: 1}
	oldest := (w.currentSlice + 1) % keptSlices
	for i, slice := range w.slices {
		if int64(i) != oldest {
			tally.Requests += slice.Requests
		}
		tally.Repeats += slice.Repeats
	}
	return tally
}

// MergeTally replaces what the other instances have counted, and the number of known instances, this one included;
// the others' counts may be of more instances than that. Until the next call, this instance may use its even share of
// what is left.
func (w *RetryWindow) MergeTally(now time.Time, others Tally, instances int) {
	w.others, w.instances, w.retriesSinceMerge = others, max(1, instances, int(others.Instances)+1), 0
	w.allowance = w.fleetRetriesLeft(now) / float64(w.instances)
}

// fleetRetriesLeft returns what is left of the fleet's bound, as far as this instance knows. While no instance has
// counted for the whole span, as after a restart of all, the used share of the bound may have been spent before the
// restart, and only the unused share of Slack is left. Instances that are known but whose counts have not arrived are
// assumed to have counted as much as the others on average.
func (w *RetryWindow) fleetRetriesLeft(now time.Time) float64 {
	own := w.OwnTally(now)
	slack := usedShare * w.Slack
	age := max(own.Age, w.others.Age)
	if age < StartupHold.Seconds() {
		return 0
	}
	if age < w.Span.Seconds() {
		slack = (1 - usedShare) * w.Slack
	}
	scale := max(1, float64(w.instances)/(1+w.others.Instances))
	return slack + scale*(usedShare*w.Share*(own.Requests+w.others.Requests)-own.Repeats-w.others.Repeats)
}

// RetriesLeft returns how many retries this instance may send at now. What is left of the fleet's bound is known
// late: in the current slice of the window and the one before, the others may have used as much of it as this
// instance has, without this instance knowing yet. Counts pass through two of the accounts' homes and are up to 0.4 s
// old, less than a slice.
func (w *RetryWindow) RetriesLeft(now time.Time) float64 {
	recentRetries := w.advance(now).Repeats + w.slices[(w.currentSlice+keptSlices-1)%keptSlices].Repeats
	return min(w.fleetRetriesLeft(now), w.allowance-max(w.retriesSinceMerge, recentRetries))
}

// AllowRetry reports whether a request may be retried at now, and counts the retry if so.
func (w *RetryWindow) AllowRetry(now time.Time) bool {
	if left := w.RetriesLeft(now); left < 1 && !w.drawsWholeRetry(now, left) {
		return false
	}
	w.advance(now).Repeats++
	w.retriesSinceMerge++
	return true
}

// drawsWholeRetry reports whether this instance, whose even share is less than one retry, may send a whole one. It
// may with the probability of that share, so that all instances together use what is left on average. By chance they
// may use more: twice the square root of what is left in 1 of 40 cases. The unused share of the bound must cover
// that.
func (w *RetryWindow) drawsWholeRetry(now time.Time, evenShareLeft float64) bool {
	left := w.fleetRetriesLeft(now)
	if left < 1 || w.drawn >= evenShareLeft || max(w.OwnTally(now).Age, w.others.Age) < w.Span.Seconds() {
		return false
	}
	reserve := (1 - usedShare) * (w.Share*(w.OwnTally(now).Requests+w.others.Requests) + w.Slack)
	return 2*math.Sqrt(left) <= reserve
}
