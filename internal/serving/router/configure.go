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
	r.budget.SetShare(now, float64(view.Fleet.Budget)/100)
	batches := map[string]int{}
	for kind, e := range view.Endpoints {
		if e.Batch > 0 {
			batches[kind] = e.Batch
		}
	}
	r.picker.SetBatches(now, batches)
	r.picker.SetPace(now, time.Duration(paceShare*float64(shortest(view))))
}

// shortest returns the shortest target for the time between tokens of all models, or 0 if none has one.
func shortest(view recorder.View) time.Duration {
	least := time.Duration(0)
	for _, m := range view.Models {
		between := time.Duration(m.Between) * time.Millisecond
		if between > 0 && (least == 0 || between < least) {
			least = between
		}
	}
	return least
}
