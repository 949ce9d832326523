package forwarder

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/heatherrock/heatherrock/internal/routing/screener"
)

// Option changes a Forwarder under construction.
type Option func(*Forwarder)

// WithLog sets the log.
func WithLog(l *slog.Logger) Option { return func(f *Forwarder) { f.log = l } }

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option { return func(f *Forwarder) { f.clock = clock } }

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(f *Forwarder) { f.scope = s } }

// RetryBudget bounds the retries that the whole fleet sends to a service within Window: a Share of the requests sent to
// it in that time, plus a fixed number, Slack.
type RetryBudget struct {
	Share  float64
	Slack  float64
	Window time.Duration
}

// defaultBudget applies unless the settings state another one.
var defaultBudget = RetryBudget{Share: 0.1, Slack: 10, Window: 10 * time.Second}

// WithRetryBudget sets the fleet's retry budget.
func WithRetryBudget(b RetryBudget) Option { return func(f *Forwarder) { f.budget = b } }

// DefaultCrossingCost is the time of callers that one MB between data centres is worth unless the settings state another one. At
// 25 MB for a usual prompt between two stages this adds 100 ms to the cost of such a path.
const DefaultCrossingCost = 4 * time.Millisecond

// WithCrossingCost sets the time of callers that one MB between data centres is worth.
func WithCrossingCost(perMB time.Duration) Option {
	return func(f *Forwarder) { f.crossingCost = perMB }
}

// Prober probes whether an endpoint answers.
type Prober interface {
	Probe(ctx context.Context, endpoint, address string) error
}

// WithProber sets the prober for endpoints whose streams stopped together. Without one, all of them count as dead.
func WithProber(p Prober) Option { return func(f *Forwarder) { f.prober = p } }

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option {
	return func(f *Forwarder) { f.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithSuspicionReporter sets the function that tells the other instances what this one has found out about requests that
// crash endpoints. It must not wait for them.
func WithSuspicionReporter(report func(screener.Report)) Option {
	return func(f *Forwarder) { f.screening.report = report }
}

// WithEvidenceKeeper sets where the evidence against refused parts of prompts is kept.
func WithEvidenceKeeper(k EvidenceKeeper) Option {
	return func(f *Forwarder) { f.screening.keeper = k }
}

// WithLossCheck sets the function that checks whether an endpoint is lost, and reports its loss if so.
func WithLossCheck(check func(ctx context.Context, endpoint, address string)) Option {
	return func(f *Forwarder) { f.checkLoss = check }
}

// WithLeavingHandler sets the function that is called with each endpoint that states in a response that it leaves.
func WithLeavingHandler(handle func(endpoint string)) Option {
	return func(f *Forwarder) { f.handleLeaving = handle }
}
