package runner

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/serving/orderer"
	"github.com/heatherrock/heatherrock/internal/serving/watcher"
)

// missedReports is the number of reports in a row that an engine may miss before the repairs count it as gone.
const missedReports = 6

// startRepairs starts the repairs of the region and returns what takes in the engines, for them and for the router.
func (r *Runner) startRepairs() watcher.Router {
	stale := max(time.Second, missedReports*r.settings.Times.Report)
	engines := orderer.NewRegistry(r.settings.Region, stale, r.View, r.clock, r.router)
	r.orders = orderer.New(r.owner, r.settings.Region, r.platform.Table, engines, orderer.WithLogger(r.log))
	r.dumper.Add("repairs", func(time.Time) any { return r.orders.State() })
	r.orders.Start()
	return engines
}
