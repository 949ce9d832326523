package router

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// endpointTimeShare is the share of a model's target time between tokens that endpoints may use; the rest is for links.
const endpointTimeShare = 0.93

// Configure applies at now the routing settings of the configuration in force, unless its epoch has been applied
// already.
func (r *Router) Configure(now time.Time, view recorder.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if view.Epoch == r.epoch {
		return
	}
	r.epoch = view.Epoch
	r.budget.SetShare(now, float64(view.Fleet.RetryBudgetPercent)/100)
	batches := map[string]int{}
	for kind, e := range view.Endpoints {
		if e.MaxBatch > 0 {
			batches[kind] = e.MaxBatch
		}
	}
	r.picker.SetBatchLimits(now, batches)
	r.picker.SetMaxRoundTime(now, time.Duration(endpointTimeShare*float64(shortestTokenInterval(view))))
}

// shortestTokenInterval returns the shortest target of all models for the time between tokens, or 0 if none has one.
func shortestTokenInterval(view recorder.View) time.Duration {
	shortest := time.Duration(0)
	for _, m := range view.Models {
		interval := time.Duration(m.TokenIntervalMillis) * time.Millisecond
		if interval > 0 && (shortest == 0 || interval < shortest) {
			shortest = interval
		}
	}
	return shortest
}
