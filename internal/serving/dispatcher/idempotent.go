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

// attemptResult is the result of one attempt of an idempotent call.
type attemptResult struct {
	endpoint string
	outcome  classifier.Outcome
	reply    *claimer.Reply
	latency  time.Duration
}

// runIdempotent runs an idempotent call. It retries failed attempts within the retry budget, and hedges a slow attempt
// where the service's latencies make that worthwhile.
func (d *Dispatcher) runIdempotent(ctx context.Context, in inbound) claimer.Answer {
	ctx, cancel := context.WithDeadline(ctx, in.receivedAt.Add(in.deadline()))
	defer cancel()
	c := &idempotentCall{
		dispatcher: d, inbound: in, endpoints: d.chooser.Choose(in.service), results: make(chan attemptResult, in.call.MaxRetries+2),
		fingerprint: quarantiner.Fingerprint(xxhash.Sum64String(in.team + "\x00" + in.callHash)),
	}
	d.recordCall(in.service)
	return c.run(ctx)
}

// idempotentCall is an idempotent call in flight.
type idempotentCall struct {
	dispatcher  *Dispatcher
	inbound     inbound
	endpoints   []Endpoint
	fingerprint quarantiner.Fingerprint
	// suspected is true once the call may have crashed an endpoint, on this or another instance.
	suspected       bool
	results         chan attemptResult
	attemptsStarted int
	attemptsRunning int
	outcomes        []classifier.Outcome
	// lastReply is the latest complete reply that was not a success.
	lastReply *claimer.Reply
}

// run makes attempts until one completes or no more are allowed.
func (c *idempotentCall) run(ctx context.Context) claimer.Answer {
	if len(c.endpoints) == 0 {
		return claimer.Answer{Verdict: classifier.VerdictNotRun, Code: CodeNoEndpoint, Retryable: true}
	}
	if code := c.checkQuarantine(); code != "" {
		return claimer.Answer{Verdict: classifier.VerdictNotRun, Code: code, Retryable: code == CodeOnTrial}
	}
	c.start(ctx)
	hedge := c.hedgeTimer()
	for c.attemptsRunning > 0 {
		select {
		case r := <-c.results:
			if c.handleResult(ctx, r) {
				return claimer.Answer{Verdict: classifier.VerdictCompleted, Reply: r.reply}
			}
			if c.attemptsRunning == 0 && c.allowRetry(ctx) {
				c.start(ctx)
			}
		case <-hedge:
			hedge = nil
			if !c.suspected && c.allowRetry(ctx) {
				c.start(ctx)
			}
		case <-ctx.Done():
			c.outcomes = append(c.outcomes, classifier.Unknown)
			return c.failureAnswer()
		}
	}
	return c.failureAnswer()
}

// nextEndpoint returns the endpoint of the next attempt.
func (c *idempotentCall) nextEndpoint() Endpoint {
	return c.endpoints[c.attemptsStarted%len(c.endpoints)]
}

// checkQuarantine returns the code of the reason why the next attempt must not run, or "". A suspected call runs on
// trial, on one endpoint at a time.
func (c *idempotentCall) checkQuarantine() string {
	q, now := c.dispatcher.quarantine, c.dispatcher.settings.now()
	switch q.Check(now, c.fingerprint) {
	case quarantiner.Allow:
		return ""
	case quarantiner.Refuse:
		return CodeQuarantined
	case quarantiner.Wait:
		return CodeOnTrial
	default:
		c.suspected = true
		if !q.BeginTrial(now, c.fingerprint, []string{c.nextEndpoint().ID}) {
			return CodeOnTrial
		}
		return ""
	}
}

// start starts one attempt at the next endpoint.
func (c *idempotentCall) start(ctx context.Context) {
	e := c.nextEndpoint()
	c.attemptsStarted++
	c.attemptsRunning++
	go c.attempt(ctx, e)
}

// attempt runs one attempt and sends its result to results.
func (c *idempotentCall) attempt(ctx context.Context, e Endpoint) {
	startedAt := c.dispatcher.settings.now()
	outcome, reply := c.dispatcher.sendAttempt(ctx, e, c.inbound.message)
	latency := c.dispatcher.settings.now().Sub(startedAt)
	c.results <- attemptResult{endpoint: e.ID, outcome: outcome, reply: reply, latency: latency}
}

// handleResult records a result and reports whether it completes the call. An endpoint that closes the connection
// without an answer may have crashed.
func (c *idempotentCall) handleResult(ctx context.Context, r attemptResult) bool {
	c.attemptsRunning--
	c.outcomes = append(c.outcomes, r.outcome)
	d := c.dispatcher
	if r.reply != nil && c.suspected {
		d.quarantine.Clear(d.settings.now(), c.fingerprint)
		c.suspected = false
	}
	if r.outcome == classifier.Completed {
		d.recordLatency(c.inbound.service, r.latency)
		return true
	}
	if r.outcome == classifier.Unknown && r.reply == nil && ctx.Err() == nil {
		d.quarantine.RecordCrash(d.settings.now(), c.fingerprint, r.endpoint)
		c.suspected = true
	}
	if r.reply != nil {
		c.lastReply = r.reply
	}
	return false
}

// allowRetry reports whether one more attempt may be started. If so, it is charged to the retry budget.
func (c *idempotentCall) allowRetry(ctx context.Context) bool {
	if ctx.Err() != nil || c.attemptsStarted > c.inbound.call.MaxRetries || (c.suspected && c.checkQuarantine() != "") {
		return false
	}
	return c.dispatcher.spendRetry(c.inbound.service)
}

// hedgeTimer returns a channel that fires when a hedged attempt becomes worthwhile, or nil if it never does.
func (c *idempotentCall) hedgeTimer() <-chan time.Time {
	if c.suspected || len(c.endpoints) < 2 {
		return nil
	}
	delay, worthwhile := c.dispatcher.hedgeDelay(c.inbound.service)
	if !worthwhile {
		return nil
	}
	return time.After(delay)
}

// failureAnswer returns the answer to a call of which no attempt completed. An idempotent call may always be retried.
func (c *idempotentCall) failureAnswer() claimer.Answer {
	verdict := classifier.Combine(c.outcomes...)
	if c.lastReply != nil && c.lastReply.Status != http.StatusServiceUnavailable {
		return claimer.Answer{Verdict: verdict, Reply: c.lastReply, Retryable: true}
	}
	return claimer.Answer{Verdict: verdict, Code: CodeServiceFailed, Retryable: true}
}

// retryStateOf returns a service's retry state and updates its budget's percentage. The lock must be held.
func (d *Dispatcher) retryStateOf(service string) *retryState {
	rs, ok := d.retryStates[service]
	if !ok {
		rs = &retryState{budget: retrier.Budget{Reserve: defaultRetryReserve, Saved: defaultRetryReserve * 100}}
		d.retryStates[service] = rs
	}
	rs.budget.Percent = d.view.Fleet().RetryBudgetPercent
	return rs
}

// recordCall credits a call to the service's retry budget.
func (d *Dispatcher) recordCall(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryStateOf(service).budget.Earn()
}

// spendRetry takes one retry from the service's budget, or returns false if none is left.
func (d *Dispatcher) spendRetry(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryStateOf(service).budget.Spend()
}

// recordLatency records the latency of a completed call for hedging.
func (d *Dispatcher) recordLatency(service string, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryStateOf(service).hedger.Observe(latency)
}

// hedgeDelay returns how long to wait before a hedged attempt, and reports whether one is worthwhile.
func (d *Dispatcher) hedgeDelay(service string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryStateOf(service).hedger.Delay()
}
