package router

import (
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

const (
	// checkInterval is the interval at which an instance checks its attempts for progress.
	checkInterval = 100 * time.Millisecond
	// lateTokenWait is the wait for a token from which it is reported to the policy as a long token interval.
	lateTokenWait = 300 * time.Millisecond
	// progressTimeout is the wait for a token after which the attempt is cancelled and restarted over another plan.
	progressTimeout = 2 * time.Second
	// firstTokenTimeout is the same for the first token.
	firstTokenTimeout = 6 * time.Second
)

// attempt is one attempt at a request, in progress over a plan.
type attempt struct {
	request        *request
	stream         *stream
	firstTokenAt   time.Time
	groupStartedAt time.Time
	lastTokenAt    time.Time
	tokenCount     int
}

// startAttempt runs a request over a plan. Tokens that an earlier attempt delivered are run as part of the prompt.
func (i *instance) startAttempt(r *request, plan planner.Plan) {
	t := i.trial
	i.policy.startRequest(t.clock.now, plan)
	a := &attempt{request: r, lastTokenAt: t.clock.now}
	a.stream = &stream{
		fleet: t.fleet, plan: plan, priority: r.item.PriorityBoost,
		prompt: float64(r.prompt + r.deliveredTokens), tokensLeft: r.tokens - r.deliveredTokens,
	}
	a.stream.onToken = func(work float64) { i.handleToken(a, work) }
	a.stream.onEnd = func() { i.handleEnd(a) }
	a.stream.onCrash = func(endpoint string) { i.handleCrash(a, endpoint) }
	i.active = append(i.active, a)
	a.stream.start()
}

// handleToken processes a token of an attempt. Running a prefix again does not count as work.
func (i *instance) handleToken(a *attempt, work float64) {
	now := i.trial.clock.now
	if a.request.deliveredTokens > 0 {
		work = 1
	}
	i.trial.addWork(work)
	a.request.answer.recordToken(now)
	a.request.deliveredTokens++
	a.tokenCount++
	a.lastTokenAt = now
	if a.tokenCount == 1 {
		a.firstTokenAt, a.groupStartedAt = now, now
		return
	}
	if (a.tokenCount-1)%progressTokens == 0 {
		i.policy.observeTokenInterval(now, a.stream.plan, now.Sub(a.groupStartedAt)/progressTokens)
		a.groupStartedAt = now
	}
}

// handleEnd processes the regular end of an attempt.
func (i *instance) handleEnd(a *attempt) {
	now := i.trial.clock.now
	i.removeAttempt(a)
	r := a.request
	r.answer.ended = true
	result := picker.Result{Tokens: a.tokenCount, TokenInterval: now.Sub(a.firstTokenAt) / time.Duration(max(1, a.tokenCount-1))}
	i.policy.finishRequest(now, a.stream.plan, result)
	i.queue.RecordUsage(now, r.item, r.item.Tokens-answerTokens+r.tokens)
	i.dispatch()
}

// removeAttempt removes an attempt from the active ones.
func (i *instance) removeAttempt(a *attempt) {
	i.active = slices.DeleteFunc(i.active, func(other *attempt) bool { return other == a })
}

// checkAttempts reports late tokens to the policy and restarts attempts without progress.
func (i *instance) checkAttempts() {
	now := i.trial.clock.now
	i.policy.checkHealth(now)
	for _, a := range slices.Clone(i.active) {
		wait := now.Sub(a.lastTokenAt)
		if a.tokenCount > 0 && wait >= lateTokenWait && wait < lateTokenWait+checkInterval {
			i.policy.observeTokenInterval(now, a.stream.plan, wait)
		}
		timeout := progressTimeout
		if a.tokenCount == 0 {
			timeout = firstTokenTimeout
		}
		if wait < timeout {
			continue
		}
		a.stream.cancel()
		i.removeAttempt(a)
		i.policy.finishRequest(now, a.stream.plan, picker.Result{Tokens: a.tokenCount, Failed: true})
		if plan, ok := i.policy.pick(now, a.request.item, i.random); ok {
			i.startAttempt(a.request, plan)
			continue
		}
		a.request.answer.refused = true
	}
}
