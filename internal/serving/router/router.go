// Package router shares one picker between the requests of a process, and records the progress of attempts with the
// picker and the detector.
package router

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/detector"
	"github.com/heatherrock/heatherrock/internal/routing/limiter"
	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
	"github.com/heatherrock/heatherrock/internal/serving/generator"
)

const (
	// retryShare is the share of requests that may be retries, unless the fleet's record sets another.
	retryShare = 0.1
	// resumedSlack is the slack on endpoint load for an answer that resumes after a failed attempt: it takes precedence
	// over answers that have not begun.
	resumedSlack = 4
	// minRetriesPerSecond is always allowed, whatever the share.
	minRetriesPerSecond = 10
)

// Router holds the picker, the detector and the retry budget of one instance. Its methods may be called from any
// goroutine.
type Router struct {
	dataCentre string
	log        *slog.Logger

	mu       sync.Mutex
	random   *rand.Rand
	picker   *picker.Picker
	detector *detector.Detector
	budget   *limiter.RetryBudget
	epoch    int64
	attempts map[string]*Attempt
	counts   map[string]int
}

// Attempt is an attempt in progress.
type Attempt struct {
	Request string
	Team    string
	Plan    planner.Plan
	Began   time.Time
	// First and Last are the times of the first and the last token so far.
	First time.Time
	Last  time.Time
	// Tokens counts the tokens that the attempt has delivered.
	Tokens int
	// Reserved is true until the attempt begins.
	Reserved bool

	// overdueReported is true once the picker has been notified that the next token is overdue.
	overdueReported bool
}

// Option changes a Router under construction.
type Option func(*Router)

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option { return func(r *Router) { r.log = l } }

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a router for an instance in a data centre, with a detector and the options of the picker.
func New(dataCentre string, d *detector.Detector, p []picker.Option, options ...Option) *Router {
	r := &Router{
		dataCentre: dataCentre,
		log:        slog.Default(),
		random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		picker:     picker.New(append(p, picker.WithHealth(d))...),
		detector:   d,
		budget:     limiter.NewRetryBudget(retryShare, minRetriesPerSecond),
		attempts:   map[string]*Attempt{},
		counts:     map[string]int{},
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Observe records an endpoint and its load report with the picker and the detector.
func (r *Router) Observe(now time.Time, e planner.Endpoint, report picker.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.Observe(now, e, report)
	r.detector.SetGroup(now, e.ID, groupName(e))
	reportedAt := report.At
	if reportedAt.After(now) {
		// The endpoint's clock is ahead.
		reportedAt = now
	}
	r.detector.RecordReceived(reportedAt, e.ID)
}

// groupName returns the name of the group of endpoints that hold the same layers and can replace each other.
func groupName(e planner.Endpoint) string {
	name := ""
	for _, h := range e.Held {
		name += h.Model + "/" + h.Version + "/" + strconv.Itoa(h.From) + "-" + strconv.Itoa(h.To) + " "
	}
	return name
}

// MarkLeaving records that an endpoint is leaving: it receives no new requests.
func (r *Router) MarkLeaving(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.MarkLeaving(now, id)
}

// Remove removes an endpoint from the picker and the detector.
func (r *Router) Remove(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.Remove(now, id)
	r.detector.Remove(now, id)
}

// RecordLoadReadFailure records that an endpoint does not answer reads of its load.
func (r *Router) RecordLoadReadFailure(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordActions(r.detector.RecordLoadReadFailure(now, id))
}

// RecordLoadReadSuccess records that an endpoint answers reads of its load again.
func (r *Router) RecordLoadReadSuccess(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordActions(r.detector.RecordLoadReadSuccess(now, id))
}

// recordActions counts and logs the detector's actions. The lock is held.
func (r *Router) recordActions(actions []detector.Action) {
	for _, action := range actions {
		r.counts[action.Kind]++
		r.log.Warn("endpoint health", "action", action.Kind, "endpoint", action.Endpoint, "reason", action.Reason)
	}
}

// ObserveCacheEvent records that an endpoint has cached or evicted a prefix.
func (r *Router) ObserveCacheEvent(now time.Time, endpoint string, prefix uint64, evicted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.ObserveCacheEvent(now, endpoint, prefix, evicted)
}

// SetInstanceCount sets the number of instances, this one included.
func (r *Router) SetInstanceCount(now time.Time, instances int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.SetInstanceCount(now, instances)
}

// Route returns a plan for the next attempt of a job. The first attempt uses its reservation, unless there are endpoints
// to avoid, as there may be on trial. A later attempt keeps the stages of the previous one that can still be used.
func (r *Router) Route(now time.Time, j generator.Job, a generator.RouteRequest) generator.Route {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.PreviousPlan.Stages == nil && len(a.Avoid) == 0 && r.hasReservation(j) {
		return generator.Route{Plan: r.attempts[j.Request].Plan, OK: true}
	}
	r.releaseReservation(now, j)
	q := r.pickQuery(j, a)
	if plan, ok := r.picker.Repair(now, q, a.PreviousPlan, r.random); ok {
		r.counts["repair"]++
		return generator.Route{Plan: plan, OK: true}
	}
	plan, refusal := r.picker.Pick(now, q, r.random)
	if refusal.Refused() {
		r.counts[refusal.Reason]++
		return generator.Route{RetryDelay: refusal.RetryAfter, Reason: refusalReasons[refusal.Reason]}
	}
	return generator.Route{Plan: plan, OK: true}
}

// refusalReasons holds the reason reported to callers for each reason of the picker.
var refusalReasons = map[string]string{
	picker.ReasonUncovered: "no set of live endpoints covers the model's layers",
	picker.ReasonBusy:      "all endpoints of a part of the model's layers are busy",
}

// pickQuery returns the picker's query for the next attempt of a job.
func (r *Router) pickQuery(j generator.Job, a generator.RouteRequest) picker.Query {
	slack := j.Slack
	if a.PreviousPlan.Stages != nil {
		slack = resumedSlack
	}
	return picker.Query{
		Model:      j.Model,
		Version:    j.Version,
		Layers:     j.Layers,
		Adapter:    j.Adapter,
		DataCentre: r.dataCentre,
		Prefixes:   j.Prefixes,
		Avoid:      a.Avoid,
		Priority:   j.Priority,
		Tokens:     j.MaxTokens - a.DeliveredTokens,
		Slack:      slack,
	}
}

// Covers reports whether the endpoints known at now cover the layers of a model's version, whether or not they have
// capacity for a request.
func (r *Router) Covers(now time.Time, model, version string, layers int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := picker.Query{Model: model, Version: version, Layers: layers, DataCentre: r.dataCentre}
	_, refusal := r.picker.Pick(now, q, r.random)
	return refusal.Reason != picker.ReasonUncovered
}

// Reserve reserves capacity for the first attempt of a job, and reports false if all endpoints of a stage are busy. If
// no set of endpoints covers the model, it reports true without a reservation: waiting would not help, and the attempt
// itself returns the reason.
func (r *Router) Reserve(now time.Time, j generator.Job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	plan, refusal := r.picker.Pick(now, r.pickQuery(j, generator.RouteRequest{}), r.random)
	if refusal.Reason == picker.ReasonBusy {
		r.counts[refusal.Reason]++
		return false
	}
	r.budget.RecordRequest(now)
	if refusal.Refused() {
		return true
	}
	r.addAttempt(now, j, plan)
	r.attempts[j.Request].Reserved = true
	return true
}

// Release gives back a reservation that no attempt has used.
func (r *Router) Release(now time.Time, j generator.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseReservation(now, j)
}

// hasReservation reports whether a job has a reservation that no attempt has used. The lock is held.
func (r *Router) hasReservation(j generator.Job) bool {
	a, ok := r.attempts[j.Request]
	return ok && a.Reserved
}

// releaseReservation gives back a reservation that no attempt has used. The lock is held.
func (r *Router) releaseReservation(now time.Time, j generator.Job) {
	if !r.hasReservation(j) {
		return
	}
	r.picker.FinishRequest(now, r.attempts[j.Request].Plan, picker.Result{Failed: true})
	delete(r.attempts, j.Request)
}

// addAttempt adds an attempt, and one request to the endpoint of each of its stages. The lock is held.
func (r *Router) addAttempt(now time.Time, j generator.Job, p planner.Plan) {
	r.attempts[j.Request] = &Attempt{Request: j.Request, Team: j.Team, Plan: p, Began: now}
	r.picker.StartRequest(now, p, j.MaxTokens)
	r.picker.RecordSentPrefixes(now, p, j.Prefixes)
}

// RecordStart records that an attempt began.
func (r *Router) RecordStart(now time.Time, j generator.Job, p planner.Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasReservation(j) {
		r.addAttempt(now, j, p)
	}
	r.attempts[j.Request].Reserved = false
	r.detector.AddConnection(now, j.Request, p.Stages[0].Endpoint)
	r.detector.AddPendingStep(now, j.Request)
}

// RecordActivity records that something other than a token arrived on an attempt's stream: its first endpoint is not
// silent.
func (r *Router) RecordActivity(now time.Time, j generator.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detector.RecordProgress(now, j.Request)
}

// RecordToken records that an attempt delivered a token.
func (r *Router) RecordToken(now time.Time, j generator.Job, p planner.Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.attempts[j.Request]
	if !ok {
		return
	}
	r.detector.RecordProgress(now, j.Request)
	if a.Tokens == 0 {
		a.First = now
	} else {
		r.picker.ObserveTokenInterval(now, p, now.Sub(a.Last))
	}
	a.Tokens++
	a.Last = now
	a.overdueReported = false
}

// RecordEnd records how an attempt ended.
func (r *Router) RecordEnd(now time.Time, j generator.Job, t generator.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.attempts[j.Request]
	delete(r.attempts, j.Request)
	r.detector.RemoveConnection(now, j.Request)
	r.picker.FinishRequest(now, t.Plan, pickerResult(a, t))
	r.counts[t.Ending.String()]++
	if !blamesEndpoint(t) {
		return
	}
	r.recordActions(r.detector.RecordFailure(now, t.Endpoint, t.Reason))
}

// blamesEndpoint reports whether the end of an attempt counts as a failure of an endpoint.
func blamesEndpoint(t generator.Attempt) bool {
	switch t.Ending {
	case generator.EndingCrashed, generator.EndingUnreachable, generator.EndingStalled, generator.EndingInvalid:
		return t.Endpoint != ""
	default:
		return false
	}
}

// pickerResult returns the result of an attempt for the picker: its tokens, their mean interval and whether it failed.
func pickerResult(a *Attempt, t generator.Attempt) picker.Result {
	out := picker.Result{Tokens: t.Tokens, Failed: t.Ending != generator.EndingComplete}
	if a != nil && a.Tokens > 1 {
		out.TokenInterval = a.Last.Sub(a.First) / time.Duration(a.Tokens-1)
	}
	return out
}

// AllowRetry reports whether the retry budget allows one more attempt, and spends it if so.
func (r *Router) AllowRetry(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.AllowRetry(now)
}

// RecordTick records that the process is running. It must be called every detector.TickInterval.
func (r *Router) RecordTick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detector.RecordTick(now)
}

// PausedFor returns how much of the time from since until now the process was paused.
func (r *Router) PausedFor(now, since time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.detector.PausedFor(now, since)
}

// Check checks the health of the endpoints at now: it ejects failing ones, and readmits ejected ones after the ejection
// time. It also reports overdue tokens to the picker.
func (r *Router) Check(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordActions(r.detector.Check(now))
	for _, a := range r.attempts {
		r.reportOverdue(now, a)
	}
}

// reportOverdue reports an overdue token to the picker once, so that the picker can detect a slow stage before the token
// arrives. The lock is held.
func (r *Router) reportOverdue(now time.Time, a *Attempt) {
	wait := now.Sub(a.Last)
	if a.Tokens == 0 || a.overdueReported || wait < overdueAfter {
		return
	}
	a.overdueReported = true
	r.picker.ObserveTokenInterval(now, a.Plan, wait)
}

// overdueAfter is the time without a token after which the next one is reported as overdue.
const overdueAfter = 300 * time.Millisecond

// State is the router's state for the state dump.
type State struct {
	Picker   picker.State
	Detector detector.State
	// Attempts holds the attempts in progress, ordered by request.
	Attempts []Attempt
	// Counts counts refusals by reason, attempts by ending, repaired plans and the detector's actions.
	Counts map[string]int
}

// State returns the router's state at now, with the throughput bound of each model. The bounds are computed after the
// lock is released, so that requests do not wait for them.
func (r *Router) State(now time.Time) State {
	s := r.copyState(now)
	s.Picker = s.Picker.WithBounds()
	return s
}

// copyState returns the router's state at now without the bounds.
func (r *Router) copyState(now time.Time) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{
		Picker:   r.picker.State(now),
		Detector: r.detector.State(now),
		Attempts: r.runningAttempts(),
		Counts:   maps.Clone(r.counts),
	}
}

// Attempts returns the attempts in progress, ordered by request.
func (r *Router) Attempts() []Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runningAttempts()
}

// runningAttempts returns copies of the attempts in progress, ordered by request. The lock is held.
func (r *Router) runningAttempts() []Attempt {
	attempts := make([]Attempt, 0, len(r.attempts))
	for _, id := range slices.Sorted(maps.Keys(r.attempts)) {
		attempts = append(attempts, *r.attempts[id])
	}
	return attempts
}
