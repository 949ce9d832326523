package runner

import (
	"time"

	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/control/follower"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/serving/committer"
	"github.com/heatherrock/heatherrock/internal/serving/operator"
	"github.com/heatherrock/heatherrock/internal/serving/poller"
	"github.com/heatherrock/heatherrock/internal/serving/server"
	"github.com/heatherrock/heatherrock/internal/serving/settler"
)

// newPoller returns the poller that keeps the instance's configuration up to date.
func (r *Runner) newPoller() *poller.Poller {
	options := []poller.Option{
		poller.WithInterval(r.settings.Times.PollInterval),
		poller.WithClock(r.clock),
		poller.WithLogger(r.log),
		poller.WithMetrics(r.meter.Scope()),
		poller.WithSeed(uint64(r.clock().UnixNano())),
		poller.WithFollower(follower.WithMaxStaleness(r.settings.Times.MaxStaleness)),
	}
	if r.platform.List != nil {
		options = append(options, poller.WithLister(r.platform.List))
	}
	p, err := poller.New(r.settings.ID, r.platform.Table, r.platform.Objects, r.exchange, options...)
	if err != nil {
		panic(err) // The methods that it registers have the form that net/rpc requires.
	}
	return p
}

// newOperator returns the operators' API for records.
func (r *Runner) newOperator() *operator.Operator {
	c := committer.New(r.platform.Table, r.configPoller, committer.WithLogger(r.log))
	return operator.New(r.platform.Table, c, r.configPoller, operator.WithCredential(r.settings.CredentialHash))
}

// registerRecords adds the operators' routes for records and calls.
func (r *Runner) registerRecords(routes *mux.Router) {
	r.operatorAPI.Register(routes)
	settler.New(r.platform.Table, settler.WithGuard(r.operatorAPI.RequireToken)).Register(routes)
}

// View returns the configuration in force.
func (r *Runner) View() recorder.View {
	return r.configPoller.View()
}

// Gate returns the problem because of which the instance admits no requests at now, or nil if it admits them.
func (r *Runner) Gate(now time.Time) *server.Problem {
	if r.configPoller.Admits(now) {
		return nil
	}
	return &server.Problem{
		Code:       server.CodeConfigurationStale,
		Message:    "the configuration in force is not known: " + r.configPoller.NotReadyReason(now),
		Verdict:    classifier.VerdictNotRun,
		RetryAfter: time.Second,
	}
}

// ready returns why the load balancer should send no requests at now, or an empty string if it should.
func (r *Runner) ready(now time.Time) string {
	if r.phase.isLeaving() {
		return "leaving"
	}
	if reason := r.configPoller.NotReadyReason(now); reason != "" {
		return reason
	}
	if now.Sub(r.startedAt) < maxCoverWait && !r.coversModels(now) {
		return "the endpoints are not known yet"
	}
	return ""
}

// maxCoverWait is how long a new instance waits, before it is ready, for endpoints that cover every model. The wait is
// limited because a model that no endpoints cover must not keep the instance from serving the others.
const maxCoverWait = 10 * time.Second

// coversModels reports whether the endpoints known at now cover every model in force. As a side effect the router builds
// the layer graph of each of these models.
func (r *Runner) coversModels(now time.Time) bool {
	allCovered := true
	for name, m := range r.View().Models {
		for _, v := range m.Versions {
			if v.SharePercent > 0 && !r.router.Covers(now, name, v.Name, m.Layers) {
				allCovered = false
			}
		}
	}
	return allCovered
}

// routerState returns the router's state at now. It includes the bounds of the models in force for which there was no
// request yet, since coversModels makes the router build their graphs.
func (r *Runner) routerState(now time.Time) any {
	r.coversModels(now)
	return r.router.State(now)
}
