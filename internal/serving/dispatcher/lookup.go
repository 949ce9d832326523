package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/dispatch/retrier"
	"github.com/heatherrock/heatherrock/internal/routing/quarantiner"
)

// result is the outcome of one attempt of an idempotent call.
type result struct {
	endpoint string
	outcome  classifier.Outcome
	reply    *claimer.Reply
	latency  time.Duration
}

// lookup runs an idempotent call: again after a failure within the budget, and beside a slow attempt where that pays.
func (d *Dispatcher) lookup(ctx context.Context, v inbound) claimer.Answer {
	ctx, cancel := context.WithDeadline(ctx, v.begun.Add(v.deadline()))
	defer cancel()
	l := &lookup{
		dispatcher: d, inbound: v, endpoints: d.chooser.Choose(v.service), results: make(chan result, v.call.MaxRetries+2),
		fingerprint: quarantiner.Fingerprint(xxhash.Sum64String(v.team + "\x00" + v.print)),
	}
	d.earn(v.service)
	return l.run(ctx)
}

// lookup is an idempotent call in flight.
type lookup struct {
	dispatcher  *Dispatcher
	inbound     inbound
	endpoints   []Endpoint
	fingerprint quarantiner.Fingerprint
	// suspect is set once the call may have crashed an endpoint, here or elsewhere.
	suspect  bool
	results  chan result
	started  int
	running  int
	outcomes []classifier.Outcome
	// last is the latest whole reply that was not a success.
	last *claimer.Reply
}

// run starts attempts until one completes, or none may be started.
func (l *lookup) run(ctx context.Context) claimer.Answer {
	if len(l.endpoints) == 0 {
		return claimer.Answer{Verdict: classifier.VerdictNotRun, Code: CodeEndpoints, Retryable: true}
	}
	if code := l.judge(); code != "" {
		return claimer.Answer{Verdict: classifier.VerdictNotRun, Code: code, Retryable: code == CodeTrial}
	}
	l.start(ctx)
	hedge := l.hedge()
	for l.running > 0 {
		select {
		case r := <-l.results:
			if l.take(ctx, r) {
				return claimer.Answer{Verdict: classifier.VerdictCompleted, Reply: r.reply}
			}
			if l.running == 0 && l.again(ctx) {
				l.start(ctx)
			}
		case <-hedge:
			hedge = nil
			if !l.suspect && l.again(ctx) {
				l.start(ctx)
			}
		case <-ctx.Done():
			l.outcomes = append(l.outcomes, classifier.Unknown)
			return l.failed()
		}
	}
	return l.failed()
}

// next returns the endpoint of the next attempt.
func (l *lookup) next() Endpoint {
	return l.endpoints[l.started%len(l.endpoints)]
}

// judge returns the code of why the next attempt must not run, or "". A suspect runs on trial, one endpoint at a time.
func (l *lookup) judge() string {
	q, now := l.dispatcher.quarantine, l.dispatcher.settings.now()
	switch q.Check(now, l.fingerprint) {
	case quarantiner.Allow:
		return ""
	case quarantiner.Refuse:
		return CodeQuarantined
	case quarantiner.Wait:
		return CodeTrial
	default:
		l.suspect = true
		if !q.Open(now, l.fingerprint, []string{l.next().ID}) {
			return CodeTrial
		}
		return ""
	}
}

// start begins one attempt at the next endpoint.
func (l *lookup) start(ctx context.Context) {
	e := l.next()
	l.started++
	l.running++
	go l.attempt(ctx, e)
}

// attempt runs one attempt and reports its result.
func (l *lookup) attempt(ctx context.Context, e Endpoint) {
	begun := l.dispatcher.settings.now()
	outcome, reply := l.dispatcher.try(ctx, e, l.inbound.message)
	latency := l.dispatcher.settings.now().Sub(begun)
	l.results <- result{endpoint: e.ID, outcome: outcome, reply: reply, latency: latency}
}

// take notes a result and reports whether it completes the call. An endpoint that breaks off without an answer may have
// crashed.
func (l *lookup) take(ctx context.Context, r result) bool {
	l.running--
	l.outcomes = append(l.outcomes, r.outcome)
	d := l.dispatcher
	if r.reply != nil && l.suspect {
		d.quarantine.Clear(d.settings.now(), l.fingerprint)
		l.suspect = false
	}
	if r.outcome == classifier.Completed {
		d.observe(l.inbound.service, r.latency)
		return true
	}
	if r.outcome == classifier.Unknown && r.reply == nil && ctx.Err() == nil {
		d.quarantine.Crash(d.settings.now(), l.fingerprint, r.endpoint)
		l.suspect = true
	}
	if r.reply != nil {
		l.last = r.reply
	}
	return false
}

// again reports whether one more attempt may be started.
func (l *lookup) again(ctx context.Context) bool {
	if ctx.Err() != nil || l.started > l.inbound.call.MaxRetries || (l.suspect && l.judge() != "") {
		return false
	}
	return l.dispatcher.spend(l.inbound.service)
}

// hedge returns a channel that fires when a second attempt beside the first pays, or nil.
func (l *lookup) hedge() <-chan time.Time {
	if l.suspect || len(l.endpoints) < 2 {
		return nil
	}
	delay, pays := l.dispatcher.delay(l.inbound.service)
	if !pays {
		return nil
	}
	return time.After(delay)
}

// failed returns the answer to a call of which no attempt completed. An idempotent call may always be sent again.
func (l *lookup) failed() claimer.Answer {
	verdict := classifier.Combine(l.outcomes...)
	if l.last != nil && l.last.Status != http.StatusServiceUnavailable {
		return claimer.Answer{Verdict: verdict, Reply: l.last, Retryable: true}
	}
	return claimer.Answer{Verdict: verdict, Code: CodeFailed, Retryable: true}
}

// repeatsOf returns the decisions about a service's repeats. The lock must be held.
func (d *Dispatcher) repeatsOf(service string) *repeats {
	t, ok := d.calls[service]
	if !ok {
		t = &repeats{budget: retrier.Budget{Reserve: defaultReserve, Saved: defaultReserve * 100}}
		d.calls[service] = t
	}
	t.budget.Percent = d.view.Fleet().RetryBudgetPercent
	return t
}

// earn counts a call for the budget of repeats.
func (d *Dispatcher) earn(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.repeatsOf(service).budget.Earn()
}

// spend takes one repeat from the budget, or returns false.
func (d *Dispatcher) spend(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.repeatsOf(service).budget.Spend()
}

// observe takes the latency of a completed call.
func (d *Dispatcher) observe(service string, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.repeatsOf(service).hedger.Observe(latency)
}

// delay returns when a second attempt pays.
func (d *Dispatcher) delay(service string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.repeatsOf(service).hedger.Delay()
}
