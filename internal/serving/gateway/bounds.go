package gateway

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/serving/bounder"
)

// listenerCallers is the name of the callers' listener.
const listenerCallers = "callers"

// bodyTimeout bounds the reading of a body, as the forwarder does for those that it reads itself.
const bodyTimeout = 10 * time.Second

// bounds bounds what clients may send to an instance's HTTP listeners.
type bounds struct {
	gateway *Gateway
	plan    bounder.Plan
	// budget is for the heads of all listeners together.
	budget  *bounder.Budget
	callers *bounder.Bounder
}

// newBounds returns the bounds of an instance.
func newBounds(g *Gateway) *bounds {
	plan := bounder.NewPlan(g.settings.Machine)
	b := &bounds{gateway: g, plan: plan, budget: bounder.NewBudget(plan.HeadBytes)}
	b.callers = bounder.New(listenerCallers, b.budget, plan.Callers, b.callerLimits, g.log, g.meter.Scope())
	return b
}

// of returns the bounder of the listener with a name.
func (b *bounds) of(name string) *bounder.Bounder {
	if name == listenerCallers {
		return b.callers
	}
	return bounder.New(name, b.budget, b.plan.Internal, b.internalLimits, b.gateway.log, b.gateway.meter.Scope())
}

// callerLimits returns the limits of the configuration in force.
func (b *bounds) callerLimits() bounder.Limits {
	l := bounder.Limits{HeadLines: b.gateway.settings.MaxHeaderLines, BodyTimeout: bodyTimeout}
	if c := b.gateway.forwarder.Configuration(); c != nil {
		l.HeadBytes, l.HeadTimeout, l.IdleTimeout = c.Limits.MaxHeaderBytes, c.Limits.HeaderTimeout, c.Limits.IdleTimeout
	}
	return l.Complete()
}

// internalLimits returns the limits of the other listeners.
func (b *bounds) internalLimits() bounder.Limits {
	return bounder.Limits{HeadBytes: internalHeaderBytes, HeadLines: b.gateway.settings.MaxHeaderLines, BodyTimeout: bodyTimeout}.Complete()
}
