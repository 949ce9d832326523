// Package admitter says when an answer may start: the teams' limits first, then the fair queue of its model, from which
// an answer is taken once there is a place for it on the endpoints.
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

// tick is the time between looks at the requests that wait: for a place, or past their deadline.
const tick = 20 * time.Millisecond

// Placer finds places for answers on the endpoints.
type Placer interface {
	// Reserve takes a place for the first attempt at a job, and reports false if all are taken.
	Reserve(now time.Time, j generator.Job) bool
	// Release gives back a place that no attempt has used.
	Release(now time.Time, j generator.Job)
}

// waiter is a request that waits.
type waiter struct {
	job      generator.Job
	admitted chan admission
}

// admission is the end of a wait.
type admission struct {
	item    queuer.Item
	job     generator.Job
	problem *server.Problem
}

// Admitter guards the queues and the limits of one instance. Its methods may be called from any goroutine.
type Admitter struct {
	clock   func() time.Time
	placer  Placer
	streams int
	bound   int
	done    chan struct{}

	mu sync.Mutex
	// queues holds a queue for each model: one that has no place does not hold up another.
	queues  map[string]*queuer.Queue
	limits  *limiter.Limiter
	epoch   int64
	running int
	waiting map[string]*waiter
}

// Option changes an Admitter under construction.
type Option func(*Admitter)

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option { return func(a *Admitter) { a.clock = clock } }

// WithStreams bounds the answers that run at once.
func WithStreams(n int) Option { return func(a *Admitter) { a.streams = n } }

// WithQueue bounds the answers that wait. The fleet's record may set a lower bound.
func WithQueue(n int) Option {
	return func(a *Admitter) { a.bound = n }
}

// New returns an admitter over the places of a placer. Close ends it.
func New(p Placer, options ...Option) *Admitter {
	a := &Admitter{
		clock:   time.Now,
		placer:  p,
		streams: 1024,
		bound:   1024,
		done:    make(chan struct{}),
		limits:  limiter.New(),
		epoch:   -1,
		waiting: map[string]*waiter{},
		queues:  map[string]*queuer.Queue{},
	}
	for _, o := range options {
		o(a)
	}
	go a.loop()
	return a
}

// Close ends the admitter. Requests that wait stay with their callers' contexts.
func (a *Admitter) Close() {
	close(a.done)
}

// Admit waits until an answer may start. It returns the job as it is to run and the function to call with the tokens
// used at its end, or why the answer does not run.
func (a *Admitter) Admit(ctx context.Context, view recorder.View, t server.Ticket) (server.Grant, *server.Problem) {
	w, p := a.enter(view, t)
	if p != nil {
		return server.Grant{}, p
	}
	select {
	case v := <-w.admitted:
		if v.problem != nil {
			return server.Grant{}, v.problem
		}
		return server.Grant{Job: v.job, Done: func(tokens int) { a.leave(v, tokens) }}, nil
	case <-ctx.Done():
		return server.Grant{}, a.abandon(w)
	}
}

// Call counts a call of a plain service within its team's limit of requests. It returns why the call does not run, or
// nil.
func (a *Admitter) Call(view recorder.View, team string) *server.Problem {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	a.configure(now, view)
	if d := a.limits.Admit(now, team, 1, 0); !d.Admitted {
		return refuse(server.CodeRate, "the team's limit is reached", d.RetryAfter)
	}
	return nil
}

// enter takes a request into its model's queue, within its team's limits.
func (a *Admitter) enter(view recorder.View, t server.Ticket) (*waiter, *server.Problem) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	a.configure(now, view)
	if d := a.limits.Admit(now, t.Job.Team, 1, t.Tokens); !d.Admitted {
		return nil, refuse(server.CodeRate, "the team's limit is reached", d.RetryAfter)
	}
	d := a.push(now, view, t)
	if !d.Accepted {
		a.limits.Settle(now, t.Job.Team, -t.Tokens)
		return nil, refused(d)
	}
	for _, s := range d.Shed {
		a.answer(s.ID, admission{problem: refuse(server.CodeQueue, "the request gave way to others", time.Second)})
	}
	w := &waiter{job: t.Job, admitted: make(chan admission, 1)}
	a.waiting[t.Job.Request] = w
	a.start(now)
	return w, nil
}

// push puts a request into its model's queue.
func (a *Admitter) push(now time.Time, view recorder.View, t server.Ticket) queuer.Decision {
	q, ok := a.queues[t.Job.Model]
	if !ok {
		q = queuer.New(queuer.WithLimit(a.limit(view)))
		a.queues[t.Job.Model] = q
	}
	if len(a.waiting) >= a.limit(view) && q.Len() < a.limit(view) {
		return queuer.Decision{Reason: queuer.ReasonFull, RetryAfter: time.Second}
	}
	return q.Push(now, queuer.Item{
		ID:       t.Job.Request,
		Team:     t.Job.Team,
		Share:    float64(view.Teams[t.Job.Team].QueueWeight),
		Priority: t.Job.Priority,
		Tokens:   t.Tokens,
		Deadline: t.Deadline,
	})
}

// limit returns the number of requests that may wait.
func (a *Admitter) limit(view recorder.View) int {
	if view.Fleet.MaxQueued > 0 {
		return min(a.bound, view.Fleet.MaxQueued)
	}
	return a.bound
}

// refused returns the problem of a request that the queue did not take.
func refused(d queuer.Decision) *server.Problem {
	if d.Reason == queuer.ReasonDeadline {
		return refuse(server.CodeDeadline, "the request would begin after its deadline", d.RetryAfter)
	}
	return refuse(server.CodeQueue, "the queue is full", d.RetryAfter)
}

// refuse returns the problem of a request that did not run.
func refuse(c server.Code, message string, after time.Duration) *server.Problem {
	return &server.Problem{Code: c, Message: message, Verdict: classifier.VerdictNotRun, After: after}
}

// configure takes over the limits of a newer configuration.
func (a *Admitter) configure(now time.Time, view recorder.View) {
	if view.Epoch <= a.epoch {
		return
	}
	a.epoch = view.Epoch
	limits := make(map[string]limiter.Limit, len(view.Teams))
	for name, t := range view.Teams {
		limits[name] = limiter.Limit{Requests: t.RequestsPerSecond, Tokens: t.TokensPerSecond}
	}
	a.limits.SetLimits(now, limits)
	for _, q := range a.queues {
		q.SetLimit(now, a.limit(view))
	}
}

// start starts the requests that have a place, model by model.
func (a *Admitter) start(now time.Time) {
	for _, model := range slices.Sorted(maps.Keys(a.queues)) {
		a.startModel(now, a.queues[model])
	}
}

// startModel starts requests of one model until one has no place.
func (a *Admitter) startModel(now time.Time, q *queuer.Queue) {
	for a.running < a.streams {
		item, ok := q.Pop(now)
		if !ok {
			return
		}
		job := a.waiting[item.ID].job
		job.Priority += item.PriorityBoost
		job.Slack = item.Slack
		if !a.placer.Reserve(now, job) {
			q.Requeue(now, item)
			return
		}
		a.running++
		a.answer(item.ID, admission{item: item, job: job})
	}
}

// answer ends the wait of a request.
func (a *Admitter) answer(id string, v admission) {
	if w, ok := a.waiting[id]; ok {
		delete(a.waiting, id)
		w.admitted <- v
	}
}

// leave takes in the end of an answer.
func (a *Admitter) leave(v admission, tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	a.running--
	a.placer.Release(now, v.job)
	a.queues[v.job.Model].RecordUsage(now, v.item, tokens)
	a.limits.Settle(now, v.item.Team, tokens-v.item.Tokens)
	a.start(now)
}

// abandon takes a request out whose caller has left.
func (a *Admitter) abandon(w *waiter) *server.Problem {
	a.mu.Lock()
	a.queues[w.job.Model].Remove(a.clock(), w.job.Request)
	delete(a.waiting, w.job.Request)
	a.mu.Unlock()
	select {
	case v := <-w.admitted:
		if v.problem == nil {
			a.leave(v, 0)
		}
	default:
	}
	return refuse(server.CodeDeadline, "the caller has left", 0)
}

// loop looks at the requests that wait until done is closed.
func (a *Admitter) loop() {
	t := time.NewTicker(tick)
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

// expire answers the requests whose deadline has passed, and starts those that have a place now.
func (a *Admitter) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	for _, q := range a.queues {
		for _, item := range q.Expire(now) {
			a.answer(item.ID, admission{problem: refuse(server.CodeDeadline, "no place came free in time", time.Second)})
		}
	}
	a.start(now)
}

// Counts returns what this instance has admitted, to share with the others.
func (a *Admitter) Counts() limiter.Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limits.Counts(a.clock())
}

// Merge takes in the counts of another instance.
func (a *Admitter) Merge(peer string, counts limiter.Counts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits.MergePeerCounts(a.clock(), peer, counts)
}

// Expect takes in the number of instances, this one included.
func (a *Admitter) Expect(instances int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits.SetInstanceCount(a.clock(), instances)
}

// Forget drops an instance that is gone.
func (a *Admitter) Forget(peer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits.RemovePeer(a.clock(), peer)
}

// State is the admitter's state, for the state dump.
type State struct {
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
	s := State{Running: a.running, Streams: a.streams, Queues: map[string]queuer.State{}, Counts: a.limits.Counts(now)}
	for model, q := range a.queues {
		s.Queues[model] = q.State(now)
	}
	return s
}
