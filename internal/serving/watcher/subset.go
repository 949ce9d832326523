package watcher

import (
	"fmt"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/assigner"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// minEnginesPerGroup is the minimum number of engines to which an instance routes in each group that holds the same
// layers.
const minEnginesPerGroup = 8

// selectInterval is the time between selections of engines. A repeated selection takes into account the layers of engines
// that were unknown at the one before.
const selectInterval = 10 * time.Second

// groupKey returns a key that is the same for endpoints that hold the same layers.
func groupKey(p planner.Endpoint) string {
	return fmt.Sprint(p.Held)
}

// selectEngines selects the engines that this instance routes to: an equal share of each group that holds the same layers,
// so that all layers stay covered. The caller holds the lock.
func (w *Watcher) selectEngines(now time.Time, engines []assigner.Node) {
	if len(engines) <= w.options.maxEngines {
		w.selectedEngines = nil
		return
	}
	groups := map[string][]assigner.Node{}
	for _, n := range engines {
		key := w.endpoints[n.ID].group
		groups[key] = append(groups[key], n)
	}
	selected := map[string]bool{}
	for _, nodes := range groups {
		count := max(minEnginesPerGroup, w.options.maxEngines*len(nodes)/len(engines))
		for _, id := range assigner.Subset(w.self, nodes, count) {
			selected[id] = true
		}
	}
	for _, n := range engines {
		if (w.selectedEngines == nil || w.selectedEngines[n.ID]) && !selected[n.ID] {
			w.router.Remove(now, n.ID)
		}
	}
	w.selectedEngines, w.selectedAt = selected, now
}

// routesTo reports whether this instance routes to an endpoint.
func (w *Watcher) routesTo(e *endpoint) bool {
	return w.selectedEngines == nil || w.selectedEngines[e.instance.ID]
}
