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

// newPoller returns the part that keeps the instance's configuration current.
func (r *Runner) newPoller() *poller.Poller {
	options := []poller.Option{
		poller.WithInterval(r.settings.Times.Poll),
		poller.WithClock(r.clock),
		poller.WithLogger(r.log),
		poller.WithMetrics(r.meter.Scope()),
		poller.WithSeed(uint64(r.clock().UnixNano())),
		poller.WithFollower(follower.WithMaxStaleness(r.settings.Times.Stale)),
	}
	if r.platform.List != nil {
		options = append(options, poller.WithLister(r.platform.List))
	}
	p, err := poller.New(r.settings.ID, r.platform.Table, r.platform.Objects, r.exchange, options...)
	if err != nil {
		panic(err) // The methods that it registers have the form that net/rpc asks for.
	}
	return p
}

// newOperator returns the part that answers operators for records.
func (r *Runner) newOperator() *operator.Operator {
	c := committer.New(r.platform.Table, r.config, committer.WithLogger(r.log))
	return operator.New(r.platform.Table, c, r.config, operator.WithCredential(r.settings.Credential))
}

// registerRecords adds the operators' routes for records and calls.
func (r *Runner) registerRecords(routes *mux.Router) {
	r.keeper.Register(routes)
	settler.New(r.platform.Table, settler.WithGuard(r.keeper.Guard)).Register(routes)
}

// View returns the configuration in force.
func (r *Runner) View() recorder.View {
	return r.config.View()
}

// Gate returns why the instance admits no request at now, or nil.
func (r *Runner) Gate(now time.Time) *server.Problem {
	if r.config.Admits(now) {
		return nil
	}
	return &server.Problem{
		Code:    server.CodeStale,
		Message: "the configuration in force is not known: " + r.config.Ready(now),
		Verdict: classifier.VerdictNotRun,
		After:   time.Second,
	}
}

// ready returns why the balancer should not send requests at now, or an empty text.
func (r *Runner) ready(now time.Time) string {
	if r.phase.leaving() {
		return "leaving"
	}
	if reason := r.config.Ready(now); reason != "" {
		return reason
	}
	if now.Sub(r.begun) < coverWait && !r.covered(now) {
		return "the endpoints are not known yet"
	}
	return ""
}

// coverWait bounds the wait of a new instance for endpoints that cover every model. A model that nothing covers must
// not keep the instance from serving the others.
const coverWait = 10 * time.Second

// covered reports whether the endpoints known at now cover every model in force. The router knows the layer graph of
// each model that it was asked for.
func (r *Runner) covered(now time.Time) bool {
	all := true
	for name, m := range r.View().Models {
		for _, v := range m.Versions {
			if v.SharePercent > 0 && !r.router.Covers(now, name, v.Name, m.Layers) {
				all = false
			}
		}
	}
	return all
}

// routerState returns the router's state, with the bound of each model in force also if no request has asked for it.
func (r *Runner) routerState(now time.Time) any {
	r.covered(now)
	return r.router.State(now)
}
