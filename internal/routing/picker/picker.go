// Package picker chooses the endpoints that run a request, stage by stage, from load reports that arrive late and
// while other instances choose at the same time.
package picker

import (
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/detector"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// Health estimates the health of endpoints and links from the times of steps.
type Health interface {
	// Share returns the share of its rate that an endpoint or link is estimated to have; it is 0 if it is ejected.
	Share(now time.Time, id string) float64
	// Compare compares the time that a step took with the times expected of its parts.
	Compare(now time.Time, parts []detector.Part, took time.Duration)
}

// Report is an endpoint's load at a time in the past.
type Report struct {
	// Running and Waiting are numbers of requests.
	Running int
	Waiting int
	// Rate is the capacity in layer steps a second. If it is zero, the endpoint's own Rate applies.
	Rate float64
	At   time.Time
}

// Query describes the request that a plan is for.
type Query struct {
	Model   string
	Version string
	Layers  int
	// Adapter is an adapter that each stage must have loaded; empty if the request needs none.
	Adapter string
	// DataCentre is the data centre of the instance that makes the query.
	DataCentre string
	// Prefixes holds the hashes of the prompt's prefixes, the shortest first.
	Prefixes []uint64
	// Avoid holds the IDs of endpoints that must not be used.
	Avoid []string
	// Priority raises the limit on an endpoint's round for a request above 0, and lowers it for one below 0.
	Priority int
	// Slack multiplies the limit on an endpoint's round. Zero counts as one.
	Slack float64
	// Tokens is the expected number of tokens of prompt and answer.
	Tokens int
	// Exclusive is true if the request needs endpoints that run nothing else. They take no other requests until
	// FinishRequest.
	Exclusive bool
}

// The reasons of a Refusal.
const (
	// ReasonUncovered means that no set of usable endpoints covers the layers.
	ReasonUncovered = "cover"
	// ReasonBusy means that no path through the layers is within the round limit.
	ReasonBusy = "busy"
)

// Refusal is the reason why there is no plan. The zero value means that there is one. A refused request was not run.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Refused reports whether there is no plan.
func (r Refusal) Refused() bool {
	return r.Reason != ""
}

// Result is the outcome of an attempt.
type Result struct {
	// Tokens is the number of tokens that were generated.
	Tokens int
	// TokenInterval is the mean time between tokens, zero if there were fewer than two.
	TokenInterval time.Duration
	// Failed is true if the attempt did not complete.
	Failed bool
}

// Picker chooses plans. For each endpoint it keeps the last report, this instance's requests started and finished
// since then, the cached prefixes, and when the endpoint joined. It is not safe for concurrent use.
type Picker struct {
	choices           int
	maxRoundTime      time.Duration
	slowStart         time.Duration
	maxImbalance      float64
	refreshInterval   time.Duration
	staleAfter        time.Duration
	instanceCount     int
	batchLimits       map[string]int
	health            Health
	loads             map[string]*load
	links             map[linkKey]*linkRecord
	graphs            map[graphKey]*graph
	membershipVersion int
	startedAt         time.Time
}

// linkKey identifies a link by its data centres.
type linkKey struct {
	from, to string
}

// Option changes a Picker under construction.
type Option func(*Picker)

const (
	// defaultChoices is the number of paths that are drawn and compared.
	defaultChoices = 2
	// defaultMaxRoundTime is the longest time in which an endpoint may run one step of each of its requests.
	defaultMaxRoundTime = 55 * time.Millisecond
	// defaultSlowStart is the time over which an endpoint that joins or rejoins reaches its full weight.
	defaultSlowStart = 5 * time.Second
	// defaultImbalance is how far above the mean of its class an endpoint with a cached prefix may be loaded, as a
	// share of the mean.
	defaultImbalance = 0.25
	// defaultRefreshInterval is the age from which a layer graph is checked against the current rates.
	defaultRefreshInterval = 250 * time.Millisecond
	// defaultStaleAfter is the age from which a report no longer counts.
	defaultStaleAfter = 5 * time.Second
	// retryAfterBusy and retryAfterCover are the times after which a refused request should be retried.
	retryAfterBusy  = time.Second
	retryAfterCover = 2 * time.Second
)

// WithChoices sets the number of paths that are drawn and compared.
func WithChoices(choices int) Option {
	return func(p *Picker) { p.choices = max(1, choices) }
}

// WithMaxRoundTime sets the longest time in which an endpoint may run one step of each of its requests. It bounds the
// requests on an endpoint.
func WithMaxRoundTime(limit time.Duration) Option {
	return func(p *Picker) { p.maxRoundTime = limit }
}

// WithSlowStart sets the time over which an endpoint that joins or rejoins reaches its full weight.
func WithSlowStart(duration time.Duration) Option {
	return func(p *Picker) { p.slowStart = duration }
}

// WithImbalance sets how far above the mean of its class an endpoint with a cached prefix may be loaded, as a share
// of the mean.
func WithImbalance(share float64) Option {
	return func(p *Picker) { p.maxImbalance = share }
}

// WithInstanceCount sets the number of instances that choose between the same endpoints, this one included.
func WithInstanceCount(instances int) Option {
	return func(p *Picker) { p.instanceCount = max(1, instances) }
}

// WithHealth sets the source of the health of endpoints and links. Without it all count as healthy.
func WithHealth(health Health) Option {
	return func(p *Picker) { p.health = health }
}

// New returns a picker without endpoints.
func New(options ...Option) *Picker {
	p := &Picker{
		choices: defaultChoices, maxRoundTime: defaultMaxRoundTime, slowStart: defaultSlowStart, maxImbalance: defaultImbalance,
		refreshInterval: defaultRefreshInterval, staleAfter: defaultStaleAfter, instanceCount: 1, health: healthy{},
		loads: map[string]*load{}, links: map[linkKey]*linkRecord{}, graphs: map[graphKey]*graph{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// SetInstanceCount sets the number of instances that choose between the same endpoints, this one included.
func (p *Picker) SetInstanceCount(_ time.Time, instances int) {
	p.instanceCount = max(1, instances)
}

// Pick returns a plan for a query. It draws paths through the layer graph at random, weighted by a spread of the
// highest throughput, takes the better of two endpoints for each stage, and returns the path with the least expected
// time per token (power of two choices; Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001).
// If all drawn paths exceed the round limit or none is complete, it searches all paths. Ejected endpoints are used
// only where no other holds a layer.
func (p *Picker) Pick(now time.Time, q Query, r *rand.Rand) (planner.Plan, Refusal) {
	c := chooser{picker: p, graph: p.graph(now, q), query: q, now: now, random: r}
	if q.Exclusive {
		return c.planExclusive()
	}
	best, found := c.drawBest()
	if found {
		return c.toPlan(best), Refusal{}
	}
	best, found = c.search()
	if !found {
		c.allowsEjected = true
		best, found = c.search()
	}
	if !found {
		return planner.Plan{}, Refusal{Reason: ReasonUncovered, RetryAfter: retryAfterCover}
	}
	if best.maxRoundSeconds > c.roundLimit() {
		return planner.Plan{}, Refusal{Reason: ReasonBusy, RetryAfter: retryAfterBusy}
	}
	return c.toPlan(best), Refusal{}
}

// healthy is a Health that reports no faults.
type healthy struct{}

// Share returns 1.
func (healthy) Share(time.Time, string) float64 { return 1 }

// Compare does nothing.
func (healthy) Compare(time.Time, []detector.Part, time.Duration) {}
