package router

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
)

// paceShare is the part of a model's time between tokens that the endpoints may use; the rest is for links.
const paceShare = 0.93

// Configure takes over at now what the records say of routing, unless it is of the epoch known.
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
	r.picker.SetMaxRoundTime(now, time.Duration(paceShare*float64(shortest(view))))
}

// shortest returns the shortest target for the time between tokens of all models, or 0 if none has one.
func shortest(view recorder.View) time.Duration {
	least := time.Duration(0)
	for _, m := range view.Models {
		between := time.Duration(m.TokenIntervalMillis) * time.Millisecond
		if between > 0 && (least == 0 || between < least) {
			least = between
		}
	}
	return least
}
