// Package admitter says when an answer may start: the teams' limits first, then the fair queue, then a bound on the
// answers that run at once.
package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/routing/limiter"
	"github.com/heatherrock/heatherrock/internal/routing/queuer"
	"github.com/heatherrock/heatherrock/internal/serving/server"
)

// tick is the time between looks for waiting requests whose deadline has passed.
const tick = 100 * time.Millisecond

// Admitter guards the queue and the limits of one instance. Its methods may be called from any goroutine.
type Admitter struct {
	clock   func() time.Time
	streams int
	bound   int
	done    chan struct{}

	mu      sync.Mutex
	queue   *queuer.Queue
	limits  *limiter.Limiter
	epoch   int64
	running int
	waiting map[string]chan *server.Problem
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

// New returns an admitter. Close ends it.
func New(options ...Option) *Admitter {
	a := &Admitter{
		clock:   time.Now,
		streams: 1024,
		bound:   1024,
		done:    make(chan struct{}),
		limits:  limiter.New(),
		epoch:   -1,
		waiting: map[string]chan *server.Problem{},
	}
	for _, o := range options {
		o(a)
	}
	a.queue = queuer.New(queuer.WithLimit(a.bound))
	go a.loop()
	return a
}

// Close ends the admitter. Requests that wait stay with their callers' contexts.
func (a *Admitter) Close() {
	close(a.done)
}

// Admit waits until an answer may start. It returns the function to call with the tokens used at its end, or why the
// answer does not run.
func (a *Admitter) Admit(ctx context.Context, view recorder.View, t server.Ticket) (func(tokens int), *server.Problem) {
	item, admitted, p := a.enter(view, t)
	if p != nil {
		return nil, p
	}
	select {
	case p := <-admitted:
		if p != nil {
			return nil, p
		}
		return func(tokens int) { a.leave(item, tokens) }, nil
	case <-ctx.Done():
		return nil, a.abandon(item, admitted)
	}
}

// enter takes a request into the queue, within its team's limits.
func (a *Admitter) enter(view recorder.View, t server.Ticket) (queuer.Item, chan *server.Problem, *server.Problem) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	a.configure(now, view)
	team := view.Teams[t.Team]
	item := queuer.Item{
		ID:       t.Request,
		Team:     t.Team,
		Share:    float64(team.Share),
		Priority: t.Priority,
		Tokens:   t.Tokens,
		Deadline: t.Deadline,
	}
	if d := a.limits.Admit(now, t.Team, 1, t.Tokens); !d.Admitted {
		return item, nil, refuse(server.CodeRate, "the team's limit is reached", d.RetryAfter)
	}
	d := a.queue.Push(now, item)
	if !d.Accepted {
		a.limits.Settle(now, t.Team, -t.Tokens)
		return item, nil, refused(d)
	}
	for _, s := range d.Shed {
		a.answer(s.ID, refuse(server.CodeQueue, "the request gave way to others", time.Second))
	}
	admitted := make(chan *server.Problem, 1)
	a.waiting[t.Request] = admitted
	a.start(now)
	return item, admitted, nil
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
		limits[name] = limiter.Limit{Requests: t.Requests, Tokens: t.Tokens}
	}
	a.limits.SetLimits(now, limits)
	if view.Fleet.Queue > 0 {
		a.queue.SetLimit(now, min(a.bound, view.Fleet.Queue))
	}
}

// start starts waiting requests while there is room.
func (a *Admitter) start(now time.Time) {
	for a.running < a.streams {
		item, ok := a.queue.Pop(now)
		if !ok {
			return
		}
		a.running++
		a.answer(item.ID, nil)
	}
}

// answer tells a waiting request that it may start, or why it does not run.
func (a *Admitter) answer(id string, p *server.Problem) {
	if admitted, ok := a.waiting[id]; ok {
		delete(a.waiting, id)
		admitted <- p
	}
}

// leave takes in the end of an answer.
func (a *Admitter) leave(item queuer.Item, tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	a.running--
	a.queue.Settle(now, item, tokens)
	a.limits.Settle(now, item.Team, tokens-item.Tokens)
	a.start(now)
}

// abandon takes a request out whose caller has left.
func (a *Admitter) abandon(item queuer.Item, admitted chan *server.Problem) *server.Problem {
	a.mu.Lock()
	waited := a.queue.Remove(a.clock(), item.ID)
	delete(a.waiting, item.ID)
	a.mu.Unlock()
	if !waited {
		select {
		case p := <-admitted:
			if p == nil {
				a.leave(item, 0)
			}
		default:
		}
	}
	return refuse(server.CodeDeadline, "the caller has left", 0)
}

// loop answers waiting requests whose deadline has passed, until done is closed.
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

// expire answers the requests whose deadline has passed.
func (a *Admitter) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, item := range a.queue.Expire(a.clock()) {
		a.answer(item.ID, refuse(server.CodeDeadline, "the request's deadline passed", time.Second))
	}
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
	a.limits.Merge(a.clock(), peer, counts)
}

// Expect takes in the number of instances, this one included.
func (a *Admitter) Expect(instances int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits.Expect(a.clock(), instances)
}

// Forget drops an instance that is gone.
func (a *Admitter) Forget(peer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits.Forget(a.clock(), peer)
}

// State is the admitter's state, for the state dump.
type State struct {
	Running int
	Streams int
	Queue   queuer.State
	Counts  limiter.Counts
}

// State returns the admitter's state at now.
func (a *Admitter) State(now time.Time) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{Running: a.running, Streams: a.streams, Queue: a.queue.State(now), Counts: a.limits.Counts(now)}
}
