package forwarder

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/limiter"
)

// retryWindow returns the retry budget of a service, which counts from this forwarder's start. The lock is held.
func (f *Forwarder) retryWindow(now time.Time, service string) *limiter.RetryWindow {
	w, ok := f.retryWindows[service]
	if !ok {
		w = limiter.NewRetryWindow(f.startedAt, f.budget.Share, f.budget.Slack, f.budget.Window)
		w.Random = f.random.Float64 // Guarded by mu, as is the window.
		w.MergeTally(now, limiter.Tally{}, f.instanceCount)
		f.retryWindows[service] = w
	}
	return w
}

// recordRequest counts a request to a service.
func (f *Forwarder) recordRequest(now time.Time, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryWindow(now, service).RecordRequest(now)
}

// allowRetry reports whether the budget allows a retry to a service, and counts it against the budget if so.
func (f *Forwarder) allowRetry(now time.Time, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retryWindow(now, service).AllowRetry(now)
}

// OwnTallies returns the requests and retries that this instance has sent to each service within the budget's window.
func (f *Forwarder) OwnTallies(now time.Time) map[string]limiter.Tally {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]limiter.Tally, len(f.retryWindows))
	for service, w := range f.retryWindows {
		out[service] = w.OwnTally(now)
	}
	return out
}

// RetriesLeft returns how many retries this instance may send at now, by service.
func (f *Forwarder) RetriesLeft(now time.Time) map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]float64, len(f.retryWindows))
	for service, w := range f.retryWindows {
		out[service] = max(0, w.RetriesLeft(now))
	}
	return out
}

// MergePeerTallies records what the other instances have sent to each service, and the number of known instances.
func (f *Forwarder) MergePeerTallies(now time.Time, others map[string]limiter.Tally, instances int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instanceCount = instances
	for service := range others {
		f.retryWindow(now, service)
	}
	for service, w := range f.retryWindows {
		w.MergeTally(now, others[service], instances)
	}
}
