package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/dispatch/retrier"
)

// result is the outcome of one attempt of an idempotent call.
type result struct {
	outcome classifier.Outcome
	reply   *claimer.Reply
	latency time.Duration
}

// lookup runs an idempotent call: again after a failure within the budget, and beside a slow attempt where that pays.
func (d *Dispatcher) lookup(ctx context.Context, v visit) claimer.Answer {
	ctx, cancel := context.WithDeadline(ctx, v.begun.Add(v.deadline()))
	defer cancel()
	endpoints := d.chooser.Choose(v.service)
	if len(endpoints) == 0 {
		return claimer.Answer{Verdict: classifier.VerdictNotRun, Code: CodeEndpoints, Retry: true}
	}
	sole := d.quarantine != nil && d.quarantine.Suspect(v.print)
	l := &lookup{dispatcher: d, visit: v, endpoints: endpoints, sole: sole, results: make(chan result, v.call.Retries+2)}
	d.earn(v.service)
	answer := l.run(ctx)
	d.count(answer)
	return answer
}

// lookup is an idempotent call in flight.
type lookup struct {
	dispatcher *Dispatcher
	visit      visit
	endpoints  []Endpoint
	// sole is set if the call must not be repeated.
	sole     bool
	results  chan result
	started  int
	running  int
	outcomes []classifier.Outcome
	// last is the latest whole reply that was not a success.
	last *claimer.Reply
}

// run starts attempts until one completes, or none may be started.
func (l *lookup) run(ctx context.Context) claimer.Answer {
	l.start(ctx)
	hedge := l.hedge()
	for l.running > 0 {
		select {
		case r := <-l.results:
			if l.take(r) {
				return claimer.Answer{Verdict: classifier.VerdictCompleted, Reply: r.reply}
			}
			if l.running == 0 && l.again(ctx) {
				l.start(ctx)
			}
		case <-hedge:
			hedge = nil
			if l.again(ctx) {
				l.start(ctx)
			}
		case <-ctx.Done():
			l.outcomes = append(l.outcomes, classifier.Unknown)
			return l.failed()
		}
	}
	return l.failed()
}

// start begins one attempt at the next endpoint.
func (l *lookup) start(ctx context.Context) {
	e := l.endpoints[l.started%len(l.endpoints)]
	l.started++
	l.running++
	go l.attempt(ctx, e)
}

// attempt runs one attempt and reports its result.
func (l *lookup) attempt(ctx context.Context, e Endpoint) {
	begun := l.dispatcher.settings.now()
	outcome, reply := l.dispatcher.try(ctx, e, l.visit.message)
	l.results <- result{outcome: outcome, reply: reply, latency: l.dispatcher.settings.now().Sub(begun)}
}

// take notes a result and reports whether it completes the call.
func (l *lookup) take(r result) bool {
	l.running--
	l.outcomes = append(l.outcomes, r.outcome)
	if r.outcome == classifier.Completed {
		l.dispatcher.observe(l.visit.service, r.latency)
		return true
	}
	if r.reply != nil {
		l.last = r.reply
	}
	return false
}

// again reports whether one more attempt may be started.
func (l *lookup) again(ctx context.Context) bool {
	if l.sole || ctx.Err() != nil || l.started > l.visit.call.Retries {
		return false
	}
	return l.dispatcher.spend(l.visit.service)
}

// hedge returns a channel that fires when a second attempt beside the first pays, or nil.
func (l *lookup) hedge() <-chan time.Time {
	if l.sole || len(l.endpoints) < 2 {
		return nil
	}
	delay, pays := l.dispatcher.delay(l.visit.service)
	if !pays {
		return nil
	}
	return time.After(delay)
}

// failed returns the answer to a call of which no attempt completed. An idempotent call may always be sent again.
func (l *lookup) failed() claimer.Answer {
	verdict := classifier.Combine(l.outcomes...)
	if l.last != nil && l.last.Status != http.StatusServiceUnavailable {
		return claimer.Answer{Verdict: verdict, Reply: l.last, Retry: true}
	}
	return claimer.Answer{Verdict: verdict, Code: CodeFailed, Retry: true}
}

// tacticsOf returns the decisions about a service's repeats. The lock must be held.
func (d *Dispatcher) tacticsOf(service string) *tactics {
	t, ok := d.calls[service]
	if !ok {
		t = &tactics{budget: retrier.Budget{Reserve: defaultReserve, Saved: defaultReserve * 100}}
		d.calls[service] = t
	}
	t.budget.Percent = d.view.Fleet().Budget
	return t
}

// earn counts a call for the budget of repeats.
func (d *Dispatcher) earn(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tacticsOf(service).budget.Earn()
}

// spend takes one repeat from the budget, or returns false.
func (d *Dispatcher) spend(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tacticsOf(service).budget.Spend()
}

// observe takes the latency of a completed call.
func (d *Dispatcher) observe(service string, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tacticsOf(service).hedger.Observe(latency)
}

// delay returns when a second attempt pays.
func (d *Dispatcher) delay(service string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tacticsOf(service).hedger.Delay()
}
