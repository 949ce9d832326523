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

// policy chooses plans for one instance.
type policy interface {
	observe(now time.Time, e planner.Endpoint, r picker.Report)
	pick(now time.Time, i queuer.Item, r *rand.Rand) (planner.Plan, bool)
	startRequest(now time.Time, plan planner.Plan)
	observeTokenInterval(now time.Time, plan planner.Plan, interval time.Duration)
	finishRequest(now time.Time, plan planner.Plan, r picker.Result)
	// recordCrash reports that an endpoint crashed, and checkHealth is called periodically.
	recordCrash(now time.Time, endpoint string)
	checkHealth(now time.Time)
}

// policyMaker makes the policy of one instance in a data centre.
type policyMaker func(f *fleet, dataCentre string) policy

// graphPolicy is the policy under test: the project's picker and detector.
type graphPolicy struct {
	picker         *picker.Picker
	healthDetector *detector.Detector
	query          picker.Query
}

// newGraphPolicy makes a graphPolicy.
func newGraphPolicy(f *fleet, dataCentre string) policy {
	health := detector.New()
	p := graphPolicy{
		picker:         picker.New(picker.WithInstanceCount(instanceCount), picker.WithHealth(health)),
		healthDetector: health,
		query:          picker.Query{Model: model, Version: version, Layers: layers, DataCentre: dataCentre},
	}
	for _, l := range f.links() {
		p.picker.ObserveLink(f.clock.now, l)
	}
	return p
}

func (p graphPolicy) observe(now time.Time, e planner.Endpoint, r picker.Report) {
	p.picker.Observe(now, e, r)
	p.healthDetector.SetGroup(now, e.ID, fmt.Sprint(e.Held))
}

func (p graphPolicy) pick(now time.Time, i queuer.Item, r *rand.Rand) (planner.Plan, bool) {
	query := p.query
	query.Slack = i.Slack
	plan, refusal := p.picker.Pick(now, query, r)
	return plan, !refusal.Refused()
}

func (p graphPolicy) startRequest(now time.Time, plan planner.Plan) {
	p.picker.StartRequest(now, plan, answerTokens)
}

func (p graphPolicy) observeTokenInterval(now time.Time, plan planner.Plan, interval time.Duration) {
	p.picker.ObserveTokenInterval(now, plan, interval)
}

func (p graphPolicy) finishRequest(now time.Time, plan planner.Plan, r picker.Result) {
	p.picker.FinishRequest(now, plan, r)
}

func (p graphPolicy) recordCrash(now time.Time, endpoint string) {
	p.healthDetector.RecordFailure(now, endpoint, "crashed")
}

func (p graphPolicy) checkHealth(now time.Time) {
	p.healthDetector.Check(now)
}

// baseline chooses, stage by stage, between the endpoints that hold the next layer, and runs each to the end of its
// range. It limits only the answers in flight on its instance, to twice the number that reaches the bound at the target
// token interval.
type baseline struct {
	choose      func(b *baseline, candidates []planner.Endpoint, r *rand.Rand) planner.Endpoint
	ids         []string
	endpoints   map[string]planner.Endpoint
	running     map[string]int
	turnCount   map[int]int
	inflight    int
	maxInflight int
}

// baselineInflightFactor is the number of answers in flight that a baseline allows, as a multiple of those that reach
// the bound at the target token interval.
const baselineInflightFactor = 2

// newBaseline returns a maker of baselines that choose by a rule.
func newBaseline(choose func(*baseline, []planner.Endpoint, *rand.Rand) planner.Endpoint) policyMaker {
	return func(f *fleet, _ string) policy {
		limit := baselineInflightFactor * f.bound() * tokenIntervalTarget.Seconds() / instanceCount
		return &baseline{
			choose: choose, endpoints: map[string]planner.Endpoint{}, running: map[string]int{}, turnCount: map[int]int{},
			maxInflight: int(limit),
		}
	}
}

// roundRobin chooses the endpoints that hold a layer in turn.
func roundRobin(b *baseline, candidates []planner.Endpoint, _ *rand.Rand) planner.Endpoint {
	at := candidates[0].Held[0].From
	b.turnCount[at]++
	return candidates[b.turnCount[at]%len(candidates)]
}

// uniform chooses at random between the endpoints that hold a layer.
func uniform(_ *baseline, candidates []planner.Endpoint, r *rand.Rand) planner.Endpoint {
	return candidates[r.IntN(len(candidates))]
}

// leastReported chooses the endpoint with the lowest last reported load relative to its rate.
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
	if _, ok := b.endpoints[e.ID]; !ok {
		b.ids = append(b.ids, e.ID)
	}
	b.endpoints[e.ID] = e
	b.running[e.ID] = r.Running + r.Waiting
}

func (b *baseline) pick(_ time.Time, _ queuer.Item, r *rand.Rand) (planner.Plan, bool) {
	plan := planner.Plan{Model: model, Version: version}
	if b.inflight >= b.maxInflight {
		return plan, false
	}
	for next := 0; next < layers; {
		var candidates []planner.Endpoint
		for _, id := range b.ids {
			if h := b.endpoints[id].Held[0]; h.From <= next && next < h.To {
				candidates = append(candidates, b.endpoints[id])
			}
		}
		e := b.choose(b, candidates, r)
		plan.Stages = append(plan.Stages, planner.Stage{Endpoint: e.ID, From: next, To: e.Held[0].To})
		next = e.Held[0].To
	}
	return plan, true
}

func (b *baseline) startRequest(time.Time, planner.Plan) {
	b.inflight++
}

func (b *baseline) observeTokenInterval(time.Time, planner.Plan, time.Duration) {}

func (b *baseline) finishRequest(time.Time, planner.Plan, picker.Result) {
	b.inflight--
}

func (b *baseline) recordCrash(time.Time, string) {}

func (b *baseline) checkHealth(time.Time) {}

// ownPolicy is the name of the project's policy in results.
const ownPolicy = "share"

// namedPolicy is a policy with its name in results.
type namedPolicy struct {
	name      string
	newPolicy policyMaker
}

// policies returns the project's policy, which is the first, and the baselines.
func policies() []namedPolicy {
	return []namedPolicy{
		{ownPolicy, newGraphPolicy},
		{"roundrobin", newBaseline(roundRobin)},
		{"random", newBaseline(uniform)},
		{"leastload", newBaseline(leastReported)},
	}
}
