package runner

import (
	"cmp"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/leaser"
	"github.com/heatherrock/heatherrock/internal/control/repairer"
	"github.com/heatherrock/heatherrock/internal/serving/orderer"
	"github.com/heatherrock/heatherrock/internal/serving/watcher"
)

// missedReports is the number of reports in a row that an engine may miss before the repairs count it as gone.
const missedReports = 6

// startRepairs starts the repairs of the region and returns what takes in the engines, for them and for the router.
func (r *Runner) startRepairs() watcher.Router {
	stale := max(time.Second, missedReports*r.settings.Times.Report)
	engines := orderer.NewRegistry(r.settings.Region, stale, r.View, r.clock, r.router)
	bounds, terms := r.bounds()
	r.orders = orderer.New(r.owner, r.settings.Region, r.platform.Table, engines, orderer.WithLogger(r.log),
		orderer.WithSettings(bounds), orderer.WithTerms(terms))
	r.dumper.Add("repairs", func(time.Time) any { return r.orders.State() })
	r.orders.Start()
	return engines
}

// bounds returns what the settings allow the repairs, and the times of their lease. Settings that were not read from a
// process's own are zero and leave the defaults.
func (r *Runner) bounds() (repairer.Settings, leaser.Terms) {
	set, bounds, terms := r.settings.Repairs, repairer.DefaultSettings(), leaser.DefaultTerms()
	bounds.LayersPerSecond = cmp.Or(float64(set.Layers), bounds.LayersPerSecond)
	bounds.MaxParallelLoads = cmp.Or(set.Loads, bounds.MaxParallelLoads)
	bounds.GracePeriod = cmp.Or(set.Grace, bounds.GracePeriod)
	terms.OrderWindow = cmp.Or(set.Window, terms.OrderWindow)
	return bounds, terms
}
