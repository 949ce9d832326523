package router

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/detector"
	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
	"github.com/heatherrock/heatherrock/internal/routing/queuer"
)

// policy is how one instance chooses.
type policy interface {
	observe(now time.Time, e planner.Endpoint, r picker.Report)
	pick(now time.Time, i queuer.Item, r *rand.Rand) (planner.Plan, bool)
	begin(now time.Time, plan planner.Plan)
	progress(now time.Time, plan planner.Plan, between time.Duration)
	end(now time.Time, plan planner.Plan, r picker.Result)
	// failed tells that an endpoint crashed, and check that time has passed.
	failed(now time.Time, endpoint string)
	check(now time.Time)
}

// maker makes the policy of one instance in a data centre.
type maker func(f *fleet, centre string) policy

// graphPolicy is the project's own picker and detector.
type graphPolicy struct {
	picker *picker.Picker
	health *detector.Detector
	query  picker.Query
}

// newGraphPolicy makes a graphPolicy.
func newGraphPolicy(f *fleet, centre string) policy {
	health := detector.New()
	p := graphPolicy{
		picker: picker.New(picker.WithInstanceCount(instances), picker.WithHealth(health)),
		health: health,
		query:  picker.Query{Model: model, Version: version, Layers: layers, DataCentre: centre},
	}
	for _, l := range f.links() {
		p.picker.ObserveLink(f.clock.now, l)
	}
	return p
}

func (p graphPolicy) observe(now time.Time, e planner.Endpoint, r picker.Report) {
	p.picker.Observe(now, e, r)
	p.health.SetGroup(now, e.ID, fmt.Sprint(e.Held))
}

func (p graphPolicy) pick(now time.Time, i queuer.Item, r *rand.Rand) (planner.Plan, bool) {
	query := p.query
	query.Slack = i.Slack
	plan, refusal := p.picker.Pick(now, query, r)
	return plan, !refusal.Refused()
}

func (p graphPolicy) begin(now time.Time, plan planner.Plan) {
	p.picker.StartRequest(now, plan, answerTokens)
}

func (p graphPolicy) progress(now time.Time, plan planner.Plan, between time.Duration) {
	p.picker.ObserveTokenInterval(now, plan, between)
}

func (p graphPolicy) end(now time.Time, plan planner.Plan, r picker.Result) {
	p.picker.FinishRequest(now, plan, r)
}

func (p graphPolicy) failed(now time.Time, endpoint string) {
	p.health.RecordFailure(now, endpoint, "crashed")
}

func (p graphPolicy) check(now time.Time) {
	p.health.Check(now)
}

// baseline chooses stage by stage between the endpoints that hold the next layer, each run to the end of its range.
// It bounds only the answers under way on its instance, at twice what the bound needs for the target between tokens.
type baseline struct {
	choose   func(b *baseline, candidates []planner.Endpoint, r *rand.Rand) planner.Endpoint
	ids      []string
	known    map[string]planner.Endpoint
	running  map[string]int
	turns    map[int]int
	inflight int
	limit    int
}

// baselineRoom is the answers under way that a baseline allows, as a multiple of those at the bound and the target.
const baselineRoom = 2

// newBaseline makes a baseline with a rule to choose.
func newBaseline(choose func(*baseline, []planner.Endpoint, *rand.Rand) planner.Endpoint) maker {
	return func(f *fleet, _ string) policy {
		limit := baselineRoom * f.bound() * betweenTarget.Seconds() / instances
		return &baseline{
			choose: choose, known: map[string]planner.Endpoint{}, running: map[string]int{}, turns: map[int]int{},
			limit: int(limit),
		}
	}
}

// roundRobin takes the endpoints that hold a layer in turn.
func roundRobin(b *baseline, candidates []planner.Endpoint, _ *rand.Rand) planner.Endpoint {
	at := candidates[0].Held[0].From
	b.turns[at]++
	return candidates[b.turns[at]%len(candidates)]
}

// uniform takes one of the endpoints that hold a layer at random.
func uniform(_ *baseline, candidates []planner.Endpoint, r *rand.Rand) planner.Endpoint {
	return candidates[r.IntN(len(candidates))]
}

// leastReported takes the endpoint with the least load for its rate in the last report.
func leastReported(b *baseline, candidates []planner.Endpoint, _ *rand.Rand) planner.Endpoint {
	best := candidates[0]
	for _, e := range candidates[1:] {
		if float64(b.running[e.ID])/e.Rate < float64(b.running[best.ID])/best.Rate {
			best = e
		}
	}
	return best
}

func (b *baseline) observe(_ time.Time, e planner.Endpoint, r picker.Report) {
	if _, ok := b.known[e.ID]; !ok {
		b.ids = append(b.ids, e.ID)
	}
	b.known[e.ID] = e
	b.running[e.ID] = r.Running + r.Waiting
}

func (b *baseline) pick(_ time.Time, _ queuer.Item, r *rand.Rand) (planner.Plan, bool) {
	plan := planner.Plan{Model: model, Version: version}
	if b.inflight >= b.limit {
		return plan, false
	}
	for next := 0; next < layers; {
		var candidates []planner.Endpoint
		for _, id := range b.ids {
			if h := b.known[id].Held[0]; h.From <= next && next < h.To {
				candidates = append(candidates, b.known[id])
			}
		}
		e := b.choose(b, candidates, r)
		plan.Stages = append(plan.Stages, planner.Stage{Endpoint: e.ID, From: next, To: e.Held[0].To})
		next = e.Held[0].To
	}
	return plan, true
}

func (b *baseline) begin(time.Time, planner.Plan) {
	b.inflight++
}

func (b *baseline) progress(time.Time, planner.Plan, time.Duration) {}

func (b *baseline) end(time.Time, planner.Plan, picker.Result) {
	b.inflight--
}

func (b *baseline) failed(time.Time, string) {}

func (b *baseline) check(time.Time) {}

// ownPolicy is the name of the project's policy.
const ownPolicy = "share"

// named is a policy with its name in figures.
type named struct {
	name string
	make maker
}

// policies returns the project's policy and the baselines.
func policies() []named {
	return []named{
		{ownPolicy, newGraphPolicy},
		{"roundrobin", newBaseline(roundRobin)},
		{"random", newBaseline(uniform)},
		{"leastload", newBaseline(leastReported)},
	}
}
