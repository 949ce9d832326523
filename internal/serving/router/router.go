// Package router shares one picker between the requests of a process, and tells it and the detector how attempts go.
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
	// retryShare is the share of requests that may be retries, unless the fleet's record says otherwise.
	retryShare = 0.1
	// movedSlack is the slack of an answer that lost its place: it goes before those that have not begun.
	movedSlack = 4
	// retryFloor is the number of retries a second that are always allowed.
	retryFloor = 10
)

// Router holds the picker, the detector and the retry budget of one instance. Its methods may be called from any
// goroutine.
type Router struct {
	datacentre string
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
	// Reserved is set until the attempt begins.
	Reserved bool

	// told is set once the picker knows that the next token is overdue.
	told bool
}

// Option changes a Router under construction.
type Option func(*Router)

// WithLog sets the log.
func WithLog(l *slog.Logger) Option { return func(r *Router) { r.log = l } }

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a router of an instance in a data centre, over a detector and the options of the picker.
func New(datacentre string, d *detector.Detector, p []picker.Option, options ...Option) *Router {
	r := &Router{
		datacentre: datacentre,
		log:        slog.Default(),
		random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		picker:     picker.New(append(p, picker.WithHealth(d))...),
		detector:   d,
		budget:     limiter.NewRetryBudget(retryShare, retryFloor),
		attempts:   map[string]*Attempt{},
		counts:     map[string]int{},
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Observe takes in an endpoint and its load report.
func (r *Router) Observe(now time.Time, e planner.Endpoint, report picker.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.Observe(now, e, report)
	r.detector.SetGroup(now, e.ID, group(e))
	heard := report.At
	if heard.After(now) {
		// The endpoint's clock is ahead.
		heard = now
	}
	r.detector.RecordReceived(heard, e.ID)
}

// group names the endpoints that can stand in for each other.
func group(e planner.Endpoint) string {
	name := ""
	for _, h := range e.Held {
		name += h.Model + "/" + h.Version + "/" + strconv.Itoa(h.From) + "-" + strconv.Itoa(h.To) + " "
	}
	return name
}

// Leave takes in that an endpoint is leaving: it gets no new work.
func (r *Router) Leave(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.MarkLeaving(now, id)
}

// Remove forgets an endpoint.
func (r *Router) Remove(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.Remove(now, id)
	r.detector.Remove(now, id)
}

// Missed takes in that an endpoint does not answer reads of its load.
func (r *Router) Missed(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(r.detector.RecordLoadReadFailure(now, id))
}

// Answered takes in that an endpoint answers reads of its load again.
func (r *Router) Answered(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(r.detector.RecordLoadReadSuccess(now, id))
}

// note counts and logs what the detector decided. The lock is held.
func (r *Router) note(actions []detector.Action) {
	for _, action := range actions {
		r.counts[action.Kind]++
		r.log.Warn("endpoint health", "action", action.Kind, "endpoint", action.Endpoint, "reason", action.Reason)
	}
}

// Cached takes in a cache event of an endpoint.
func (r *Router) Cached(now time.Time, endpoint string, prefix uint64, evicted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.ObserveCacheEvent(now, endpoint, prefix, evicted)
}

// SetPeers takes in the number of instances, this one included.
func (r *Router) SetPeers(now time.Time, instances int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.SetInstanceCount(now, instances)
}

// Route returns a plan for the next attempt of a job. A new attempt keeps the stages of the one before that can still be
// used; on trial it may be told to avoid some.
func (r *Router) Route(now time.Time, j generator.Job, a generator.Ask) generator.Route {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Last.Stages == nil && len(a.Avoid) == 0 && r.reserved(j) {
		return generator.Route{Plan: r.attempts[j.Request].Plan, OK: true}
	}
	r.release(now, j)
	q := r.query(j, a)
	if plan, ok := r.picker.Repair(now, q, a.Last, r.random); ok {
		r.counts["repair"]++
		return generator.Route{Plan: plan, OK: true}
	}
	plan, refusal := r.picker.Pick(now, q, r.random)
	if refusal.Refused() {
		r.counts[refusal.Reason]++
		return generator.Route{After: refusal.RetryAfter, Reason: reasons[refusal.Reason]}
	}
	return generator.Route{Plan: plan, OK: true}
}

// reasons holds what callers are told of each refusal of the picker.
var reasons = map[string]string{
	picker.ReasonUncovered: "no set of live endpoints covers the model's layers",
	picker.ReasonBusy:      "all endpoints of a part of the model's layers are busy",
}

// query returns what the picker is asked for.
func (r *Router) query(j generator.Job, a generator.Ask) picker.Query {
	slack := j.Slack
	if a.Last.Stages != nil {
		slack = movedSlack
	}
	return picker.Query{
		Model:      j.Model,
		Version:    j.Version,
		Layers:     j.Layers,
		Adapter:    j.Adapter,
		DataCentre: r.datacentre,
		Prefixes:   j.Prefixes,
		Avoid:      a.Avoid,
		Priority:   j.Priority,
		Tokens:     j.Limit - a.Delivered,
		Slack:      slack,
	}
}

// Covers reports whether the endpoints known at now cover the layers of a model's version, whether or not they have a
// place.
func (r *Router) Covers(now time.Time, model, version string, layers int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := picker.Query{Model: model, Version: version, Layers: layers, DataCentre: r.datacentre}
	_, refusal := r.picker.Pick(now, q, r.random)
	return refusal.Reason != picker.ReasonUncovered
}

// Reserve takes a place for the first attempt at a job, and reports false if all are taken. Where no set of endpoints
// covers the model there is nothing to wait for, and the attempt itself says so.
func (r *Router) Reserve(now time.Time, j generator.Job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	plan, refusal := r.picker.Pick(now, r.query(j, generator.Ask{}), r.random)
	if refusal.Reason == picker.ReasonBusy {
		r.counts[refusal.Reason]++
		return false
	}
	r.budget.RecordRequest(now)
	if refusal.Refused() {
		return true
	}
	r.begin(now, j, plan)
	r.attempts[j.Request].Reserved = true
	return true
}

// Release gives back a place that no attempt has used.
func (r *Router) Release(now time.Time, j generator.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(now, j)
}

// reserved reports whether a job has a place that no attempt has used.
func (r *Router) reserved(j generator.Job) bool {
	a, ok := r.attempts[j.Request]
	return ok && a.Reserved
}

// release gives back a place that no attempt has used. The lock is held.
func (r *Router) release(now time.Time, j generator.Job) {
	if !r.reserved(j) {
		return
	}
	r.picker.FinishRequest(now, r.attempts[j.Request].Plan, picker.Result{Failed: true})
	delete(r.attempts, j.Request)
}

// begin takes in that an endpoint of each stage has one more request. The lock is held.
func (r *Router) begin(now time.Time, j generator.Job, p planner.Plan) {
	r.attempts[j.Request] = &Attempt{Request: j.Request, Team: j.Team, Plan: p, Began: now}
	r.picker.StartRequest(now, p, j.Limit)
	r.picker.RecordSentPrefixes(now, p, j.Prefixes)
}

// Started takes in that an attempt began.
func (r *Router) Started(now time.Time, j generator.Job, p planner.Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.reserved(j) {
		r.begin(now, j, p)
	}
	r.attempts[j.Request].Reserved = false
	r.detector.AddConnection(now, j.Request, p.Stages[0].Endpoint)
	r.detector.AddPendingStep(now, j.Request)
}

// Heard takes in that something other than a token arrived on an attempt's stream: its first endpoint is not silent.
func (r *Router) Heard(now time.Time, j generator.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detector.RecordProgress(now, j.Request)
}

// Moved takes in that an attempt delivered a token.
func (r *Router) Moved(now time.Time, j generator.Job, p planner.Plan) {
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
	a.told = false
}

// Ended takes in how an attempt ended.
func (r *Router) Ended(now time.Time, j generator.Job, t generator.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.attempts[j.Request]
	delete(r.attempts, j.Request)
	r.detector.RemoveConnection(now, j.Request)
	r.picker.FinishRequest(now, t.Plan, result(a, t))
	r.counts[t.Ending.String()]++
	if !blames(t) {
		return
	}
	r.note(r.detector.RecordFailure(now, t.Endpoint, t.Reason))
}

// blames reports whether the end of an attempt is a failure of an endpoint.
func blames(t generator.Attempt) bool {
	switch t.Ending {
	case generator.EndingCrashed, generator.EndingUnreachable, generator.EndingStalled, generator.EndingBroken:
		return t.Endpoint != ""
	default:
		return false
	}
}

// result returns what the picker learns from an attempt.
func result(a *Attempt, t generator.Attempt) picker.Result {
	out := picker.Result{Tokens: t.Tokens, Failed: t.Ending != generator.EndingComplete}
	if a != nil && a.Tokens > 1 {
		out.TokenInterval = a.Last.Sub(a.First) / time.Duration(a.Tokens-1)
	}
	return out
}

// Retry reports whether the retry budget allows one more attempt.
func (r *Router) Retry(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.AllowRetry(now)
}

// Beat takes in that the process runs. It is to be called every detector.BeatInterval.
func (r *Router) Beat(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detector.RecordTick(now)
}

// Held returns how much of the time from since until now the process was held up.
func (r *Router) Held(now, since time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.detector.PausedFor(now, since)
}

// Check looks at the health of the endpoints at now: ejected ones come back after their time.
func (r *Router) Check(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(r.detector.Check(now))
	for _, a := range r.attempts {
		r.overdue(now, a)
	}
}

// overdue tells the picker once of a token that is long in coming, so that a stage which has become slow is known before
// the token is there. The lock is held.
func (r *Router) overdue(now time.Time, a *Attempt) {
	wait := now.Sub(a.Last)
	if a.Tokens == 0 || a.told || wait < overdueWait {
		return
	}
	a.told = true
	r.picker.ObserveTokenInterval(now, a.Plan, wait)
}

// overdueWait is the time without a token after which the picker is told.
const overdueWait = 300 * time.Millisecond

// State is the router's state, for the state dump.
type State struct {
	Picker   picker.State
	Detector detector.State
	// Attempts are those in progress, ordered by request.
	Attempts []Attempt
	// Counts counts refusals by reason and attempts by ending.
	Counts map[string]int
}

// State returns the router's state at now, with the bound of each model. The bounds are worked out after the lock is
// given up, so that requests do not wait for them.
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
		Attempts: r.running(),
		Counts:   maps.Clone(r.counts),
	}
}

// Attempts returns the attempts in progress, ordered by request.
func (r *Router) Attempts() []Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running()
}

// running returns copies of the attempts in progress, ordered by request. The lock is held.
func (r *Router) running() []Attempt {
	attempts := make([]Attempt, 0, len(r.attempts))
	for _, id := range slices.Sorted(maps.Keys(r.attempts)) {
		attempts = append(attempts, *r.attempts[id])
	}
	return attempts
}
