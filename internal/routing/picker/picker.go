// Package picker chooses the stages that run a request, from load reports that lag and while other instances choose
// too.
package picker

import (
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/detector"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// Health tells what is believed of endpoints and links, and takes in how long steps took.
type Health interface {
	// Share returns the share of its rate that an endpoint or link gives, 0 if it is ejected.
	Share(now time.Time, id string) float64
	// Compare takes in how long a step took over its parts.
	Compare(now time.Time, parts []detector.Part, took time.Duration)
}

// Report is an endpoint's load at a time in the past.
type Report struct {
	// Running and Waiting count requests.
	Running int
	Waiting int
	// Rate is the capacity in layer steps a second. Zero means that the endpoint's own Rate stands.
	Rate float64
	At   time.Time
}

// Query is what a plan is asked for.
type Query struct {
	Model   string
	Version string
	Layers  int
	// Adapter must be loaded on each stage, unless it is empty.
	Adapter string
	// DataCentre is where the instance that asks is.
	DataCentre string
	// Prefixes holds the hashes of the prompt's prefixes, the shortest first.
	Prefixes []uint64
	// Avoid holds endpoints that must not be used.
	Avoid []string
	// Priority lets a request above 0 use an endpoint that is too busy for others, and holds one below 0 back earlier.
	Priority int
	// Slack multiplies the bound on how busy an endpoint may be. Zero counts as one.
	Slack float64
	// Tokens is the expected length of prompt and answer in tokens.
	Tokens int
	// Alone asks for endpoints that run nothing else, and keeps others off them until Finish.
	Alone bool
}

// The reasons of a Refusal.
const (
	// ReasonCover means that no set of usable endpoints covers the layers.
	ReasonCover = "cover"
	// ReasonBusy means that all ways through the layers are at their bound.
	ReasonBusy = "busy"
)

// Refusal tells why there is no plan. The zero value means that there is one. The request was not run.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Refused reports whether there is no plan.
func (r Refusal) Refused() bool {
	return r.Reason != ""
}

// Result is what became of an attempt.
type Result struct {
	// Tokens counts the tokens that were generated.
	Tokens int
	// Between is the mean time between tokens, zero if there were fewer than two.
	Between time.Duration
	// Failed is set if the attempt did not complete.
	Failed bool
}

// Picker chooses plans. It holds what is known of each endpoint: the last report, the own requests started and
// finished since then, the cached prefixes, and when it came.
type Picker struct {
	choices    int
	pace       time.Duration
	ramp       time.Duration
	imbalance  float64
	refresh    time.Duration
	stale      time.Duration
	peers      int
	batches    map[string]int
	health     Health
	loads      map[string]*load
	links      map[way]*linkCost
	graphs     map[graphKey]*graph
	membership int
	started    time.Time
}

// way is a link by its data centres.
type way struct {
	from, to string
}

// Option changes a Picker under construction.
type Option func(*Picker)

const (
	// defaultChoices is the number of paths that are drawn and compared.
	defaultChoices = 2
	// defaultPace is the longest time in which an endpoint may run one step of each of its requests.
	defaultPace = 55 * time.Millisecond
	// defaultRamp is the time over which a new or returned endpoint comes to its full weight.
	defaultRamp = 5 * time.Second
	// defaultImbalance is how far above the mean of its class an endpoint with a cached prefix may be loaded.
	defaultImbalance = 0.25
	// defaultRefresh is the longest age of the weights.
	defaultRefresh = 250 * time.Millisecond
	// defaultStale is the age from which a report counts no more.
	defaultStale = 5 * time.Second
	// retryAfterBusy and retryAfterCover are when to try again after a refusal.
	retryAfterBusy  = time.Second
	retryAfterCover = 2 * time.Second
)

// WithChoices sets the number of paths that are drawn and compared.
func WithChoices(choices int) Option {
	return func(p *Picker) { p.choices = max(1, choices) }
}

// WithPace sets the longest time in which an endpoint may run one step of each of its requests. It bounds the
// requests on an endpoint.
func WithPace(pace time.Duration) Option {
	return func(p *Picker) { p.pace = pace }
}

// WithRamp sets the time over which a new or returned endpoint comes to its full weight.
func WithRamp(ramp time.Duration) Option {
	return func(p *Picker) { p.ramp = ramp }
}

// WithImbalance sets how far above the mean of its class an endpoint with a cached prefix may be loaded, as a share
// of the mean.
func WithImbalance(share float64) Option {
	return func(p *Picker) { p.imbalance = share }
}

// WithPeers sets the number of instances that choose between the same endpoints, this one included.
func WithPeers(instances int) Option {
	return func(p *Picker) { p.peers = max(1, instances) }
}

// WithHealth sets where the health of endpoints and links comes from. Without it all are healthy.
func WithHealth(health Health) Option {
	return func(p *Picker) { p.health = health }
}

// New returns a picker that knows no endpoint.
func New(options ...Option) *Picker {
	p := &Picker{
		choices: defaultChoices, pace: defaultPace, ramp: defaultRamp, imbalance: defaultImbalance,
		refresh: defaultRefresh, stale: defaultStale, peers: 1, health: healthy{},
		loads: map[string]*load{}, links: map[way]*linkCost{}, graphs: map[graphKey]*graph{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// SetPeers sets the number of instances that choose between the same endpoints, this one included.
func (p *Picker) SetPeers(_ time.Time, instances int) {
	p.peers = max(1, instances)
}

// Pick returns a plan for a query. It draws paths through the layer graph at random by the weights of a spread of the
// bound, takes the better of two endpoints for each stage, and returns the path with the least expected time for a
// token (power of two choices; Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001). If all
// drawn paths are too busy or none goes through, it searches all paths. Ejected endpoints are used only where no other
// holds a layer.
func (p *Picker) Pick(now time.Time, q Query, r *rand.Rand) (planner.Plan, Refusal) {
	c := chooser{picker: p, graph: p.graph(now, q), query: q, now: now, random: r}
	if q.Alone {
		return c.alone()
	}
	best, found := c.draw()
	if found {
		return c.plan(best), Refusal{}
	}
	best, found = c.search()
	if !found {
		c.ejected = true
		best, found = c.search()
	}
	if !found {
		return planner.Plan{}, Refusal{Reason: ReasonCover, RetryAfter: retryAfterCover}
	}
	if best.crowd > c.bound() {
		return planner.Plan{}, Refusal{Reason: ReasonBusy, RetryAfter: retryAfterBusy}
	}
	return c.plan(best), Refusal{}
}

// healthy is the health of a fleet without faults.
type healthy struct{}

// Share returns 1.
func (healthy) Share(time.Time, string) float64 { return 1 }

// Compare does nothing.
func (healthy) Compare(time.Time, []detector.Part, time.Duration) {}
