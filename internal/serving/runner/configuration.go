package runner

import (
	"sync/atomic"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/serving/server"
)

// configuration is the view in force.
type configuration struct {
	view atomic.Pointer[recorder.View]
}

// View returns the view in force, or an empty one.
func (c *configuration) View() recorder.View {
	if v := c.view.Load(); v != nil {
		return *v
	}
	return recorder.View{}
}

// Apply brings a view into force, unless it is of a lower epoch.
func (r *Runner) Apply(v recorder.View) {
	for {
		old := r.config.view.Load()
		if old != nil && old.Epoch >= v.Epoch {
			return
		}
		if r.config.view.CompareAndSwap(old, &v) {
			return
		}
	}
}

// Gate returns why the instance admits no request at now, or nil.
func (r *Runner) Gate(time.Time) *server.Problem {
	if r.config.view.Load() == nil {
		return &server.Problem{
			Code:    server.CodeStale,
			Message: "the configuration in force is not known",
			Verdict: classifier.VerdictNotRun,
			After:   time.Second,
		}
	}
	return nil
}
