// Package admitter decides when an answer may start. A request has to be within its team's rate limits, and then waits
// in the fair queue of its model until an endpoint has a free slot for it.
package admitter

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/routing/limiter"
	"github.com/heatherrock/heatherrock/internal/routing/queuer"
	"github.com/heatherrock/heatherrock/internal/serving/generator"
	"github.com/heatherrock/heatherrock/internal/serving/server"
)

// checkInterval is the time between two checks of the queues for free slots and passed deadlines.
const checkInterval = 20 * time.Millisecond

// SlotReserver reserves the endpoints' slots for answers.
type SlotReserver interface {
	// Reserve reserves a slot for the first attempt at a job. It returns false if all slots are taken.
	Reserve(now time.Time, j generator.Job) bool
	// Release releases a reserved slot that no attempt has used.
	Release(now time.Time, j generator.Job)
}

// waitingRequest is a request in a queue.
type waitingRequest struct {
	job      generator.Job
	admitted chan admission
}

// admission is the result of the wait: the admitted request, or the problem that it was refused with.
type admission struct {
	item    queuer.Item
	job     generator.Job
	problem *server.Problem
}

// Admitter owns the queues and the rate limits of one instance. Its methods may be called from any goroutine.
type Admitter struct {
	clock        func() time.Time
	slotReserver SlotReserver
	maxStreams   int
	maxQueued    int
	done         chan struct{}

	mu sync.Mutex
	// queues holds a queue for each model, so that a model without free slots does not block the others.
	queues  map[string]*queuer.Queue
	limits  *limiter.Limiter
	epoch   int64
	running int
	waiting map[string]*waitingRequest
}

// Option changes an Admitter under construction.
type Option func(*Admitter)

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option { return func(a *Admitter) { a.clock = clock } }

// WithMaxStreams limits the answers that run at once.
func WithMaxStreams(n int) Option { return func(a *Admitter) { a.maxStreams = n } }

// WithMaxQueued limits the requests in the queues. The fleet's record may set a lower limit.
func WithMaxQueued(n int) Option {
	return func(a *Admitter) { a.maxQueued = n }
}

// New returns an admitter that reserves slots with r, and starts its loop. Close stops it.
func New(r SlotReserver, options ...Option) *Admitter {
	a := &Admitter{
		clock:        time.Now,
		slotReserver: r,
		maxStreams:   1024,
		maxQueued:    1024,
		done:         make(chan struct{}),
		limits:       limiter.New(),
		epoch:        -1,
		waiting:      map[string]*waitingRequest{},
		queues:       map[string]*queuer.Queue{},
	}
	for _, o := range options {
		o(a)
	}
	go a.loop()
	return a
}

// Close stops the admitter. Requests that still wait end with their callers' contexts.
func (a *Admitter) Close() {
	close(a.done)
}

// Admit waits until an answer may start. It returns the job to run and the function to call at its end with the number
// of tokens used, or the problem that the request is refused with.
func (a *Admitter) Admit(ctx context.Context, view recorder.View, r server.AdmissionRequest) (server.Grant, *server.Problem) {
	w, p := a.enqueue(view, r)
	if p != nil {
		return server.Grant{}, p
	}
	select {
	case result := <-w.admitted:
		if result.problem != nil {
			return server.Grant{}, result.problem
		}
		return server.Grant{Job: result.job, Done: func(tokens int) { a.finish(result, tokens) }}, nil
	case <-ctx.Done():
		return server.Grant{}, a.cancelWait(w)
	}
}

// AdmitCall counts a call of a plain service against its team's request limit. It returns the problem that the call is
// refused with, or nil.
func (a *Admitter) AdmitCall(view recorder.View, team string) *server.Problem {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	a.applyLimits(now, view)
	if d := a.limits.Admit(now, team, 1, 0); !d.Admitted {
		return notRunProblem(server.CodeRateLimited, "the team's limit is reached", d.RetryAfter)
	}
	return nil
}

// enqueue adds a request that is within its team's limits to its model's queue.
func (a *Admitter) enqueue(view recorder.View, r server.AdmissionRequest) (*waitingRequest, *server.Problem) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	a.applyLimits(now, view)
	if decision := a.limits.Admit(now, r.Job.Team, 1, r.EstimatedTokens); !decision.Admitted {
		return nil, notRunProblem(server.CodeRateLimited, "the team's limit is reached", decision.RetryAfter)
	}
	decision := a.pushToQueue(now, view, r)
	if !decision.Accepted {
		a.limits.Settle(now, r.Job.Team, -r.EstimatedTokens)
		return nil, queueProblem(decision)
	}
	for _, s := range decision.Shed {
		a.endWait(s.ID, admission{problem: notRunProblem(server.CodeQueueFull, "the request gave way to others", time.Second)})
	}
	w := &waitingRequest{job: r.Job, admitted: make(chan admission, 1)}
	a.waiting[r.Job.Request] = w
	a.startWaiting(now)
	return w, nil
}

// pushToQueue adds a request to its model's queue.
func (a *Admitter) pushToQueue(now time.Time, view recorder.View, r server.AdmissionRequest) queuer.Decision {
	q, ok := a.queues[r.Job.Model]
	if !ok {
		q = queuer.New(queuer.WithLimit(a.queueLimit(view)))
		a.queues[r.Job.Model] = q
	}
	if len(a.waiting) >= a.queueLimit(view) && q.Len() < a.queueLimit(view) {
		return queuer.Decision{Reason: queuer.ReasonFull, RetryAfter: time.Second}
	}
	return q.Push(now, queuer.Item{
		ID:       r.Job.Request,
		Team:     r.Job.Team,
		Share:    float64(view.Teams[r.Job.Team].QueueWeight),
		Priority: r.Job.Priority,
		Tokens:   r.EstimatedTokens,
		Deadline: r.StartDeadline,
	})
}

// queueLimit returns the number of requests that may wait.
func (a *Admitter) queueLimit(view recorder.View) int {
	if view.Fleet.MaxQueued > 0 {
		return min(a.maxQueued, view.Fleet.MaxQueued)
	}
	return a.maxQueued
}

// queueProblem returns the problem of a request that the queue did not accept.
func queueProblem(d queuer.Decision) *server.Problem {
	if d.Reason == queuer.ReasonDeadline {
		return notRunProblem(server.CodeDeadline, "the request would begin after its deadline", d.RetryAfter)
	}
	return notRunProblem(server.CodeQueueFull, "the queue is full", d.RetryAfter)
}

// notRunProblem returns the problem of a request that was not run.
func notRunProblem(c server.Code, message string, retryAfter time.Duration) *server.Problem {
	return &server.Problem{Code: c, Message: message, Verdict: classifier.VerdictNotRun, RetryAfter: retryAfter}
}

// applyLimits applies the limits of a newer configuration.
func (a *Admitter) applyLimits(now time.Time, view recorder.View) {
	if view.Epoch <= a.epoch {
		return
	}
	a.epoch = view.Epoch
	limits := make(map[string]limiter.Limit, len(view.Teams))
	for name, team := range view.Teams {
		limits[name] = limiter.Limit{Requests: team.RequestsPerSecond, Tokens: team.TokensPerSecond}
	}
	a.limits.SetLimits(now, limits)
	for _, q := range a.queues {
		q.SetLimit(now, a.queueLimit(view))
	}
}

// startWaiting starts the waiting requests for which there are free slots, model by model.
func (a *Admitter) startWaiting(now time.Time) {
	for _, model := range slices.Sorted(maps.Keys(a.queues)) {
		a.startModel(now, a.queues[model])
	}
}

// startModel starts waiting requests of one model until one has no free slot.
func (a *Admitter) startModel(now time.Time, q *queuer.Queue) {
	for a.running < a.maxStreams {
		item, ok := q.Pop(now)
		if !ok {
			return
		}
		job := a.waiting[item.ID].job
		job.Priority += item.PriorityBoost
		job.Slack = item.Slack
		if !a.slotReserver.Reserve(now, job) {
			q.Requeue(now, item)
			return
		}
		a.running++
		a.endWait(item.ID, admission{item: item, job: job})
	}
}

// endWait ends the wait of a request with a result.
func (a *Admitter) endWait(id string, result admission) {
	if w, ok := a.waiting[id]; ok {
		delete(a.waiting, id)
		w.admitted <- result
	}
}

// finish releases the slot of an answer that has ended and records the tokens that it used.
func (a *Admitter) finish(admitted admission, tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	a.running--
	a.slotReserver.Release(now, admitted.job)
	a.queues[admitted.job.Model].RecordUsage(now, admitted.item, tokens)
	a.limits.Settle(now, admitted.item.Team, tokens-admitted.item.Tokens)
	a.startWaiting(now)
}

// cancelWait removes a request whose caller has disconnected. If it was admitted meanwhile, its slot is released.
func (a *Admitter) cancelWait(w *waitingRequest) *server.Problem {
	a.mu.Lock()
	a.queues[w.job.Model].Remove(a.clock(), w.job.Request)
	delete(a.waiting, w.job.Request)
	a.mu.Unlock()
	select {
	case result := <-w.admitted:
		if result.problem == nil {
			a.finish(result, 0)
		}
	default:
	}
	return notRunProblem(server.CodeDeadline, "the caller has left", 0)
}

// loop checks the queues until done is closed.
func (a *Admitter) loop() {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-a.done:
			return
		case <-t.C:
			a.expire()
		}
	}
}

// expire refuses the waiting requests whose deadline has passed, and starts those for which there are free slots.
func (a *Admitter) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	for _, q := range a.queues {
		for _, item := range q.Expire(now) {
			a.endWait(item.ID, admission{problem: notRunProblem(server.CodeDeadline, "no place came free in time", time.Second)})
		}
	}
	a.startWaiting(now)
}

// Counts returns what this instance has admitted, to be shared with the other instances.
func (a *Admitter) Counts() limiter.Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limits.Counts(a.clock())
}

// MergePeerCounts records the counts of another instance.
func (a *Admitter) MergePeerCounts(peer string, counts limiter.Counts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits.MergePeerCounts(a.clock(), peer, counts)
}

// SetInstanceCount sets the number of instances, this one included.
func (a *Admitter) SetInstanceCount(instances int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits.SetInstanceCount(a.clock(), instances)
}

// RemovePeer drops the counts of an instance that is gone.
func (a *Admitter) RemovePeer(peer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits.RemovePeer(a.clock(), peer)
}

// State is the admitter's state, for the state dump.
type State struct {
	// Running is the number of answers that run, and Streams the limit on it.
	Running int
	Streams int
	// Queues are the queues by model.
	Queues map[string]queuer.State
	Counts limiter.Counts
}

// State returns the admitter's state at now.
func (a *Admitter) State(now time.Time) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := State{Running: a.running, Streams: a.maxStreams, Queues: map[string]queuer.State{}, Counts: a.limits.Counts(now)}
	for model, q := range a.queues {
		s.Queues[model] = q.State(now)
	}
	return s
}
