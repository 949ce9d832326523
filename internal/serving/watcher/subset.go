package watcher

import (
	"fmt"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/assigner"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// leastEach is the least number of engines that hold the same layers to which an instance routes.
const leastEach = 8

// chooseTime is the time after which the engines are chosen anew, as it has become known what more of them hold.
const chooseTime = 10 * time.Second

// groupOf names what an endpoint holds.
func groupOf(p planner.Endpoint) string {
	return fmt.Sprint(p.Held)
}

// choose works out the engines that this instance routes to: of each group that holds the same layers an equal part, so
// that the layers stay covered. The lock is held.
func (w *Watcher) choose(now time.Time, engines []assigner.Node) {
	if len(engines) <= w.options.subset {
		w.used = nil
		return
	}
	groups := map[string][]assigner.Node{}
	for _, n := range engines {
		g := w.endpoints[n.ID].group
		groups[g] = append(groups[g], n)
	}
	used := map[string]bool{}
	for _, nodes := range groups {
		count := max(leastEach, w.options.subset*len(nodes)/len(engines))
		for _, id := range assigner.Subset(w.self, nodes, count) {
			used[id] = true
		}
	}
	for _, n := range engines {
		if (w.used == nil || w.used[n.ID]) && !used[n.ID] {
			w.router.Remove(now, n.ID)
		}
	}
	w.used, w.chosen = used, now
}

// uses reports whether this instance routes to an endpoint.
func (w *Watcher) uses(e *endpoint) bool {
	return w.used == nil || w.used[e.instance.ID]
}
