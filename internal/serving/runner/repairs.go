package runner

import (
	"cmp"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/leaser"
	"github.com/heatherrock/heatherrock/internal/control/repairer"
	"github.com/heatherrock/heatherrock/internal/serving/orderer"
	"github.com/heatherrock/heatherrock/internal/serving/watcher"
)

// maxMissedReports is the number of consecutive reports that an engine may miss before it counts as unavailable for the
// repairs.
const maxMissedReports = 6

// startRepairs starts the repairs of the region. It returns the registry that receives the engines' state for the repairs
// and passes it on to the router.
func (r *Runner) startRepairs() watcher.Router {
	maxReportAge := max(time.Second, maxMissedReports*r.settings.Times.LoadReadInterval)
	registry := orderer.NewRegistry(r.settings.Region, maxReportAge, r.View, r.clock, r.router)
	limits, terms := r.repairSettings()
	r.repairOrderer = orderer.New(r.processID, r.settings.Region, r.platform.Table, registry, orderer.WithLogger(r.log),
		orderer.WithSettings(limits), orderer.WithTerms(terms))
	r.dumper.Add("repairs", func(time.Time) any { return r.repairOrderer.State() })
	r.repairOrderer.Start()
	return registry
}

// repairSettings returns the limits of the repairs and the durations of their lease from the instance's settings. A zero
// value selects the default: the values are zero in settings that were not loaded by a process, such as those of tests.
func (r *Runner) repairSettings() (repairer.Settings, leaser.Terms) {
	set, limits, terms := r.settings.Repairs, repairer.DefaultSettings(), leaser.DefaultTerms()
	limits.LayersPerSecond = cmp.Or(float64(set.LayersPerSecond), limits.LayersPerSecond)
	limits.MaxParallelLoads = cmp.Or(set.ConcurrentLoads, limits.MaxParallelLoads)
	limits.GracePeriod = cmp.Or(set.GracePeriod, limits.GracePeriod)
	terms.OrderWindow = cmp.Or(set.OrderWindow, terms.OrderWindow)
	return limits, terms
}
