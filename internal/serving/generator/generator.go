// Package generator runs an answer, retrying it on new routes as needed, and passes its tokens on in order.
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

// cancelTimeout bounds the request that cancels an attempt at an endpoint.
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
	// Slack multiplies the load limit above which an endpoint is not used. 0 counts as 1.
	Slack    float64
	Prompt   string
	Sampling streamer.Sampling
	// MaxTokens bounds the answer.
	MaxTokens int
	// Deadline is the caller's deadline for the whole answer.
	Deadline time.Time
	// Limits are the timeouts of each attempt.
	Limits      tracker.Limits
	Fingerprint quarantiner.Fingerprint
	Prefixes    []uint64
}

// Route is the plan of the next attempt, or the delay before a plan is requested again.
type Route struct {
	Plan planner.Plan
	OK   bool
	// RetryDelay is the delay after which a plan may be available, if OK is false.
	RetryDelay time.Duration
	// Reason is why there is no plan, as reported to the caller.
	Reason string
}

// Ending is how an attempt ended. The router and the health checks use it.
type Ending int

// The endings of an attempt.
const (
	// EndingComplete means that the answer is complete.
	EndingComplete Ending = iota
	// EndingCancelled means that the caller disconnected or its deadline passed.
	EndingCancelled
	// EndingSilent means that the connection to the first stage delivered nothing before the timeout.
	EndingSilent
	// EndingStalled means that no token arrived before the timeout, or that a stage did not respond to the one before
	// it in time.
	EndingStalled
	// EndingCrashed means that a stage failed while it ran the attempt, or that the stream broke off without an end.
	EndingCrashed
	// EndingRefused means that a stage rejected the attempt.
	EndingRefused
	// EndingUnreachable means that no connection to a stage could be opened.
	EndingUnreachable
	// EndingInvalid means that the steps did not form a correct answer.
	EndingInvalid
)

// Attempt is one attempt that has ended.
type Attempt struct {
	Number  int
	Plan    planner.Plan
	Ending  Ending
	Outcome classifier.Outcome
	// Endpoint is the endpoint at fault, if it is known.
	Endpoint string
	Reason   string
	// Tokens counts the tokens that the attempt delivered.
	Tokens int
	// ResumeDelay is the time from the end of the previous attempt to the first token of this one.
	ResumeDelay time.Duration
}

// RouteRequest holds the constraints on the plan of the next attempt.
type RouteRequest struct {
	// Avoid lists endpoints that must not be used.
	Avoid []string
	// DeliveredTokens counts the tokens already passed to the caller.
	DeliveredTokens int
	// PreviousPlan is the plan of the previous attempt, empty for the first. Its live stages hold the request's KV
	// cache.
	PreviousPlan planner.Plan
}

// Router chooses the plan of each attempt and is notified of its progress and end.
type Router interface {
	// Route returns a plan for the next attempt.
	Route(now time.Time, j Job, a RouteRequest) Route
	// RecordStart records that an attempt on a plan began.
	RecordStart(now time.Time, j Job, p planner.Plan)
	// RecordActivity records that a step other than a token to deliver arrived: the first endpoint is alive.
	RecordActivity(now time.Time, j Job)
	// RecordToken records that an attempt delivered a token.
	RecordToken(now time.Time, j Job, p planner.Plan)
	// RecordEnd records how an attempt ended.
	RecordEnd(now time.Time, j Job, a Attempt)
	// AllowRetry reports whether the retry budget allows one more attempt, and spends it if so.
	AllowRetry(now time.Time) bool
	// PausedFor returns how much of the time from since until now this process was paused.
	PausedFor(now, since time.Time) time.Duration
}

// Guard keeps requests that crash endpoints from being sent to further ones.
type Guard interface {
	// Check returns whether a request may run, and how.
	Check(now time.Time, f quarantiner.Fingerprint) quarantiner.Ruling
	// BeginTrial begins a trial of a suspect request on endpoints. It reports false if the trial may not begin now.
	BeginTrial(now time.Time, f quarantiner.Fingerprint, endpoints []string) bool
	// CancelTrial ends a trial without a result. It returns once the other instances that can be reached have been
	// notified.
	CancelTrial(now time.Time, f quarantiner.Fingerprint)
	// EndpointsOnTrial returns the endpoints of other requests' trials.
	EndpointsOnTrial(now time.Time, f quarantiner.Fingerprint) []string
	// RecordCrash records that an endpoint crashed while it ran the request. It returns once the other instances that
	// can be reached have been notified.
	RecordCrash(now time.Time, f quarantiner.Fingerprint, endpoint string)
	// Clear records that the request ran without a crash.
	Clear(now time.Time, f quarantiner.Fingerprint)
}

// Engines opens and cancels attempts at the endpoints, by their addresses. Replace makes later calls use a new
// connection.
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
	// FailureCapacity means that no plan was available before the deadline.
	FailureCapacity
	// FailureDeadline means that the deadline passed.
	FailureDeadline
	// FailureCallerLeft means that the caller disconnected.
	FailureCallerLeft
	// FailureQuarantine means that the request is in quarantine.
	FailureQuarantine
	// FailureRetryBudget means that the retry budget is exhausted.
	FailureRetryBudget
)

// Result is how an answer ended.
type Result struct {
	Failure Failure
	Verdict classifier.Verdict
	Reason  string
	// NoRouteReason is why there was no plan, on FailureCapacity.
	NoRouteReason string
	PromptTokens  int
	Tokens        int
	RetryAfter    time.Duration
	Attempts      []Attempt
}

// Generator runs answers.
type Generator struct {
	router    Router
	guard     Guard
	engines   Engines
	clock     func() time.Time
	log       *slog.Logger
	noImports bool
}

// Option changes a Generator under construction.
type Option func(*Generator)

// WithClock sets the source of the current time.
func WithClock(clock func() time.Time) Option {
	return func(g *Generator) { g.clock = clock }
}

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option {
	return func(g *Generator) { g.log = l }
}

// WithoutCacheImports makes each attempt recompute the whole prefix, also on stages that have the request's KV cache.
func WithoutCacheImports() Option {
	return func(g *Generator) { g.noImports = true }
}

func New(r Router, crashGuard Guard, e Engines, options ...Option) *Generator {
	g := &Generator{router: r, guard: crashGuard, engines: e, clock: time.Now, log: slog.Default()}
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
	// onTrial is true while the attempt in progress is a trial of a suspect request.
	onTrial bool
	// lastEndedAt is the end of the last attempt.
	lastEndedAt time.Time
	// noRouteReason is why the last request for a plan failed.
	noRouteReason string
}

// Run runs an answer and passes each token's text to sink, in order. It returns when the answer has ended. An error of
// sink means that the caller has disconnected.
func (g *Generator) Run(ctx context.Context, j Job, sink func(text string) error) Result {
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	a := &answer{
		Generator: g,
		job:       j,
		tracker:   tracker.New(j.Request, j.Layers, j.MaxTokens, j.Limits),
		sink:      sink,
	}
	for {
		failure, after := a.beginAttempt(ctx)
		if failure != FailureNone {
			return a.result(failure, after)
		}
		last := a.runAttempt(ctx)
		if last.Ending == EndingComplete {
			return a.result(FailureNone, 0)
		}
		if last.Ending == EndingCancelled {
			return a.result(a.cancelFailure(ctx), 0)
		}
		a.recordFailure(last)
		if !g.router.AllowRetry(g.clock()) {
			return a.result(FailureRetryBudget, time.Second)
		}
	}
}

// cancelFailure returns why an answer was cancelled before its end: by the deadline or by the caller.
func (a *answer) cancelFailure(ctx context.Context) Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return FailureDeadline
	}
	return FailureCallerLeft
}

// result returns the result of the answer, with the verdict over all its attempts.
func (a *answer) result(f Failure, after time.Duration) Result {
	outcomes := make([]classifier.Outcome, 0, len(a.attempts))
	for _, t := range a.attempts {
		outcomes = append(outcomes, t.Outcome)
	}
	r := Result{
		Failure:       f,
		Verdict:       classifier.Combine(outcomes...),
		Reason:        a.tracker.Reason,
		NoRouteReason: a.noRouteReason,
		PromptTokens:  a.tracker.PromptTokens,
		Tokens:        len(a.tracker.Delivered),
		RetryAfter:    after,
		Attempts:      a.attempts,
	}
	return r
}

// beginAttempt begins the next attempt as soon as there is a plan for it. If it cannot, it returns why, and the delay
// after which the caller may retry. Only an answer in progress waits for a plan.
func (a *answer) beginAttempt(ctx context.Context) (Failure, time.Duration) {
	for {
		if ctx.Err() != nil {
			return a.cancelFailure(ctx), 0
		}
		now := a.clock()
		route, failure := a.findRoute(now)
		if failure != FailureNone {
			return failure, 0
		}
		if route.OK && a.tracker.Begin(now, route.Plan) > 0 {
			return FailureNone, 0
		}
		if len(a.avoid) > 0 {
			// An endpoint that has failed once is preferred to none.
			a.avoid = nil
		}
		a.noRouteReason = route.Reason
		if now.Add(route.RetryDelay).After(a.job.Deadline) || len(a.attempts) == 0 {
			return FailureCapacity, route.RetryDelay
		}
		if !a.sleep(ctx, min(route.RetryDelay, maxRouteWait)) {
			return a.cancelFailure(ctx), 0
		}
	}
}

// findRoute requests a plan, and begins a trial on it if the request is a suspect.
func (a *answer) findRoute(now time.Time) (Route, Failure) {
	avoid := a.avoid
	ruling := a.guard.Check(now, a.job.Fingerprint)
	a.onTrial = ruling == quarantiner.Trial
	switch ruling {
	case quarantiner.Refuse:
		return Route{}, FailureQuarantine
	case quarantiner.Wait:
		return Route{RetryDelay: trialRetryAfter, Reason: "the same request is on trial"}, FailureNone
	case quarantiner.Trial:
		avoid = append(a.guard.EndpointsOnTrial(now, a.job.Fingerprint), avoid...)
	}
	route := a.router.Route(now, a.job, RouteRequest{Avoid: avoid, DeliveredTokens: len(a.tracker.Delivered), PreviousPlan: a.tracker.Plan})
	if a.onTrial && route.OK && !a.guard.BeginTrial(now, a.job.Fingerprint, endpointIDs(route.Plan)) {
		return Route{RetryDelay: trialRetryAfter, Reason: "another request is on trial"}, FailureNone
	}
	return route, FailureNone
}

// endpointIDs returns the ids of a plan's endpoints.
func endpointIDs(p planner.Plan) []string {
	var list []string
	for _, s := range p.Stages {
		list = append(list, s.Endpoint)
	}
	return list
}

// maxRouteWait is the longest delay before a plan is requested again for an answer in progress.
const maxRouteWait = 100 * time.Millisecond

// trialRetryAfter is the delay before a plan is requested again while the same or another request is on trial.
const trialRetryAfter = 100 * time.Millisecond

// sleep waits for d, and reports false if the context ended first.
func (a *answer) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// recordFailure records the endpoints that the next attempt avoids, and a crash with the guard. The endpoint of a silent
// connection is avoided only after the second silent attempt, because the connection alone may have failed.
func (a *answer) recordFailure(t Attempt) {
	switch t.Ending {
	case EndingSilent:
		a.engines.Replace(t.Plan.Stages[0].Address)
		if a.silentAttempts(t.Plan.Stages[0].Endpoint) > 1 {
			a.avoid = append(a.avoid, t.Plan.Stages[0].Endpoint)
		}
	case EndingCrashed:
		a.avoid = append(a.avoid, t.Endpoint)
		a.guard.RecordCrash(a.clock(), a.job.Fingerprint, t.Endpoint)
	default:
		if t.Endpoint != "" {
			a.avoid = append(a.avoid, t.Endpoint)
		}
	}
}

// silentAttempts counts the attempts whose connection to an endpoint went silent.
func (a *answer) silentAttempts(endpoint string) int {
	n := 0
	for _, t := range a.attempts {
		if t.Ending == EndingSilent && t.Plan.Stages[0].Endpoint == endpoint {
			n++
		}
	}
	return n
}

// isStreamEnd reports whether an error is the end of a stream that had no end step.
func isStreamEnd(err error) bool {
	return errors.Is(err, io.EOF)
}

// endingNames holds the names of the endings, in the order of the constants.
var endingNames = []string{"complete", "left", "silent", "stalled", "crashed", "refused", "unreachable", "broken"}

// String returns the ending's name in logs and metrics.
func (e Ending) String() string {
	return endingNames[e]
}

// failureNames holds the names of the failures, in the order of the constants.
var failureNames = []string{"none", "capacity", "deadline", "caller", "quarantine", "budget"}

// String returns the failure's name in logs and metrics.
func (f Failure) String() string {
	return failureNames[f]
}
