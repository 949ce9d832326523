// Package generator runs an answer over as many attempts as it takes, and passes its tokens on in order.
package generator

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
	"github.com/heatherrock/heatherrock/internal/routing/quarantiner"
	"github.com/heatherrock/heatherrock/internal/routing/tracker"
)

// cancelTimeout bounds the message that gives up an attempt.
const cancelTimeout = 2 * time.Second

// Job is one answer to run.
type Job struct {
	Request  string
	Team     string
	Model    string
	Version  string
	Layers   int
	Adapter  string
	Priority int
	// Slack multiplies the bound on how busy an endpoint may be. Zero counts as one.
	Slack    float64
	Prompt   string
	Sampling streamer.Sampling
	// Limit bounds the answer, in tokens.
	Limit int
	// Deadline is when the caller no longer waits for the end of the answer.
	Deadline time.Time
	// Limits are the deadlines of each attempt.
	Limits      tracker.Limits
	Fingerprint quarantiner.Fingerprint
	Prefixes    []uint64
}

// Route is where to run the next attempt, or how long to wait before asking again.
type Route struct {
	Plan planner.Plan
	OK   bool
	// After is when a plan may be had, if OK is not set.
	After time.Duration
	// Reason says why there is no plan, as told to the caller.
	Reason string
}

// Ending says how an attempt ended, for the parts that learn from it.
type Ending int

// The endings of an attempt.
const (
	// EndingComplete means that the answer is complete.
	EndingComplete Ending = iota
	// EndingLeft means that the caller left or its deadline passed.
	EndingLeft
	// EndingSilent means that the connection to the first stage carried nothing.
	EndingSilent
	// EndingStalled means that a stage made no progress.
	EndingStalled
	// EndingCrashed means that a stage went away while it ran the attempt.
	EndingCrashed
	// EndingRefused means that the first stage did not take the attempt.
	EndingRefused
	// EndingUnreachable means that no connection could be opened.
	EndingUnreachable
	// EndingBroken means that the steps did not make a correct answer.
	EndingBroken
)

// Attempt is one attempt that has ended.
type Attempt struct {
	Number  int
	Plan    planner.Plan
	Ending  Ending
	Outcome classifier.Outcome
	// Endpoint names the endpoint at fault, if it is known.
	Endpoint string
	Reason   string
	// Tokens counts the tokens that the attempt delivered.
	Tokens int
	// Pause is the time from the end of the attempt before to the first token of this one.
	Pause time.Duration
}

// Ask says what the plan of the next attempt has to respect.
type Ask struct {
	// Avoid lists endpoints that must not be used.
	Avoid []string
	// Delivered counts the tokens that the caller has.
	Delivered int
	// Last is the plan of the attempt before, empty for the first. Its surviving stages hold the request's KV cache.
	Last planner.Plan
}

// Router chooses the plan of each attempt and learns how it ended.
type Router interface {
	// Route returns a plan for the next attempt.
	Route(now time.Time, j Job, a Ask) Route
	// Started tells that an attempt at a plan began.
	Started(now time.Time, j Job, p planner.Plan)
	// Heard tells that a step other than a token to deliver arrived: the first endpoint of the attempt lives.
	Heard(now time.Time, j Job)
	// Moved tells that an attempt delivered a token.
	Moved(now time.Time, j Job, p planner.Plan)
	// Ended tells that an attempt ended.
	Ended(now time.Time, j Job, a Attempt)
	// Retry reports whether the retry budget allows one more attempt.
	Retry(now time.Time) bool
	// Held returns how much of the time from since until now this process was held up.
	Held(now, since time.Time) time.Duration
}

// Guard keeps requests that crash endpoints away from further ones.
type Guard interface {
	// Check says how a request may run.
	Check(now time.Time, f quarantiner.Fingerprint) quarantiner.Ruling
	// Open begins a trial on endpoints and reports whether it may begin now.
	Open(now time.Time, f quarantiner.Fingerprint, endpoints []string) bool
	// Withdraw ends a trial that found nothing.
	Withdraw(now time.Time, f quarantiner.Fingerprint)
	// Busy returns the endpoints of other trials.
	Busy(now time.Time, f quarantiner.Fingerprint) []string
	// Crash tells that an endpoint crashed while it ran the request. It returns once the other instances were told, as
	// far as they can be reached.
	Crash(now time.Time, f quarantiner.Fingerprint, endpoint string)
	// Clear tells that the request ran without a crash.
	Clear(now time.Time, f quarantiner.Fingerprint)
}

// Engines opens attempts at the endpoints.
type Engines interface {
	Open(ctx context.Context, r streamer.Request) (*streamer.Stream, classifier.Outcome, error)
	Cancel(ctx context.Context, address, request string, attempt int) error
	Replace(address string)
}

// Failure is why an answer is not complete.
type Failure int

// The failures of an answer.
const (
	// FailureNone means that the answer is complete.
	FailureNone Failure = iota
	// FailureCapacity means that no plan could be had before the deadline.
	FailureCapacity
	// FailureDeadline means that the deadline passed.
	FailureDeadline
	// FailureCaller means that the caller left.
	FailureCaller
	// FailureQuarantine means that the request is in quarantine.
	FailureQuarantine
	// FailureBudget means that the retry budget is spent.
	FailureBudget
)

// Result is how an answer ended.
type Result struct {
	Failure Failure
	Verdict classifier.Verdict
	Reason  string
	// Why says why there was no plan, on FailureCapacity.
	Why      string
	Prompt   int
	Tokens   int
	After    time.Duration
	Attempts []Attempt
}

// Generator runs answers.
type Generator struct {
	router  Router
	guard   Guard
	engines Engines
	clock   func() time.Time
	log     *slog.Logger
	afresh  bool
}

// Option changes a Generator under construction.
type Option func(*Generator)

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option {
	return func(g *Generator) { g.clock = clock }
}

// WithLog sets the log.
func WithLog(l *slog.Logger) Option {
	return func(g *Generator) { g.log = l }
}

// WithoutImports makes each attempt run the whole prefix again, also on stages that have the request's KV cache.
func WithoutImports() Option {
	return func(g *Generator) { g.afresh = true }
}

// New returns a generator.
func New(r Router, q Guard, e Engines, options ...Option) *Generator {
	g := &Generator{router: r, guard: q, engines: e, clock: time.Now, log: slog.Default()}
	for _, o := range options {
		o(g)
	}
	return g
}

// answer is one answer in progress.
type answer struct {
	*Generator
	job      Job
	tracker  *tracker.Tracker
	sink     func(text string) error
	avoid    []string
	attempts []Attempt
	// trial is set while the attempt in progress is a trial of a suspect.
	trial bool
	// ended is when the last attempt ended.
	ended time.Time
	// why says why there was no plan when one was asked for last.
	why string
}

// Run runs an answer and passes each token's text to sink, in order. It returns when the answer has ended. An error of
// sink means that the caller has left.
func (g *Generator) Run(ctx context.Context, j Job, sink func(text string) error) Result {
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	a := &answer{
		Generator: g,
		job:       j,
		tracker:   tracker.New(j.Request, j.Layers, j.Limit, j.Limits),
		sink:      sink,
	}
	for {
		failure, after := a.prepare(ctx)
		if failure != FailureNone {
			return a.result(failure, after)
		}
		last := a.attempt(ctx)
		if last.Ending == EndingComplete {
			return a.result(FailureNone, 0)
		}
		if last.Ending == EndingLeft {
			return a.result(a.left(ctx), 0)
		}
		a.learn(last)
		if !g.router.Retry(g.clock()) {
			return a.result(FailureBudget, time.Second)
		}
	}
}

// left returns why an answer was given up before its end.
func (a *answer) left(ctx context.Context) Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return FailureDeadline
	}
	return FailureCaller
}

// result sums up the answer.
func (a *answer) result(f Failure, after time.Duration) Result {
	outcomes := make([]classifier.Outcome, 0, len(a.attempts))
	for _, t := range a.attempts {
		outcomes = append(outcomes, t.Outcome)
	}
	r := Result{
		Failure:  f,
		Verdict:  classifier.Combine(outcomes...),
		Reason:   a.tracker.Reason,
		Why:      a.why,
		Prompt:   a.tracker.PromptTokens,
		Tokens:   len(a.tracker.Delivered),
		After:    after,
		Attempts: a.attempts,
	}
	return r
}

// prepare begins the next attempt as soon as there is a plan for it.
func (a *answer) prepare(ctx context.Context) (Failure, time.Duration) {
	for {
		if ctx.Err() != nil {
			return a.left(ctx), 0
		}
		now := a.clock()
		route, failure := a.route(now)
		if failure != FailureNone {
			return failure, 0
		}
		if route.OK && a.tracker.Begin(now, route.Plan) > 0 {
			return FailureNone, 0
		}
		if len(a.avoid) > 0 {
			// Endpoints that failed once are better than none.
			a.avoid = nil
		}
		a.why = route.Reason
		if now.Add(route.After).After(a.job.Deadline) || len(a.attempts) == 0 {
			return FailureCapacity, route.After
		}
		if !a.wait(ctx, min(route.After, retryWait)) {
			return a.left(ctx), 0
		}
	}
}

// route asks for a plan, on trial if the request is a suspect.
func (a *answer) route(now time.Time) (Route, Failure) {
	avoid := a.avoid
	ruling := a.guard.Check(now, a.job.Fingerprint)
	a.trial = ruling == quarantiner.Trial
	switch ruling {
	case quarantiner.Refuse:
		return Route{}, FailureQuarantine
	case quarantiner.Wait:
		return Route{After: trialWait, Reason: "the same request is on trial"}, FailureNone
	case quarantiner.Trial:
		avoid = append(a.guard.Busy(now, a.job.Fingerprint), avoid...)
	}
	route := a.router.Route(now, a.job, Ask{Avoid: avoid, Delivered: len(a.tracker.Delivered), Last: a.tracker.Plan})
	if a.trial && route.OK && !a.guard.Open(now, a.job.Fingerprint, endpoints(route.Plan)) {
		return Route{After: trialWait, Reason: "another request is on trial"}, FailureNone
	}
	return route, FailureNone
}

// endpoints returns the endpoints of a plan.
func endpoints(p planner.Plan) []string {
	var list []string
	for _, s := range p.Stages {
		list = append(list, s.Endpoint)
	}
	return list
}

// retryWait is the longest wait before a plan is asked for again for an answer in progress.
const retryWait = 100 * time.Millisecond

// trialWait is how long to wait while the same request is on trial.
const trialWait = 100 * time.Millisecond

// wait waits and reports whether the caller is still there.
func (a *answer) wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// learn notes what the end of an attempt says of its endpoints and of the request.
func (a *answer) learn(t Attempt) {
	switch t.Ending {
	case EndingSilent:
		a.engines.Replace(t.Plan.Stages[0].Address)
		if a.silences(t.Plan.Stages[0].Endpoint) > 1 {
			a.avoid = append(a.avoid, t.Plan.Stages[0].Endpoint)
		}
	case EndingCrashed:
		a.avoid = append(a.avoid, t.Endpoint)
		a.guard.Crash(a.clock(), a.job.Fingerprint, t.Endpoint)
	default:
		if t.Endpoint != "" {
			a.avoid = append(a.avoid, t.Endpoint)
		}
	}
}

// silences counts the attempts whose connection to an endpoint fell silent.
func (a *answer) silences(endpoint string) int {
	n := 0
	for _, t := range a.attempts {
		if t.Ending == EndingSilent && t.Plan.Stages[0].Endpoint == endpoint {
			n++
		}
	}
	return n
}

// streamEnded reports whether an error is the end of a stream without an explicit end.
func streamEnded(err error) bool {
	return errors.Is(err, io.EOF)
}

// endings names the endings of an attempt, in order.
var endings = []string{"complete", "left", "silent", "stalled", "crashed", "refused", "unreachable", "broken"}

// String returns the ending's name in logs and metrics.
func (e Ending) String() string {
	return endings[e]
}

// failures names the failures of an answer, in order.
var failures = []string{"none", "capacity", "deadline", "caller", "quarantine", "budget"}

// String returns the failure's name in logs and metrics.
func (f Failure) String() string {
	return failures[f]
}
