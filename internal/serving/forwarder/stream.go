package forwarder

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/monitor"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/routing/waiter"
	"github.com/heatherrock/heatherrock/internal/serving/connector"
)

// The limits of a stream.
const (
	// refusedCooldown is how long an endpoint backs off after it refused its stage of a path or its response broke off.
	refusedCooldown = 500 * time.Millisecond
	// unreachedCooldown is how long an endpoint is excluded after a request could not be sent to it.
	unreachedCooldown = 2 * time.Second
	// streamRetryAfter is the least retry delay stated if no endpoint has run a stream, mostly for want of memory.
	streamRetryAfter = 1500 * time.Millisecond
	// limitedRetryAfter is stated in its place while many requests of the fleet wait for memory: with jitter, retries spread over the 3 to 6 s
	// after a burst of 3 to 4 s. Callers wait for at most a third of the time they have left, so it is less near a deadline.
	limitedRetryAfter = 3 * time.Second
	// retryTimeShare is the share of a request's time left that the delay takes at most, before the jitter of up to twice as long.
	retryTimeShare = 1.0 / 6
	// budgetCheckInterval is the time between two checks of the retry budget: about the 120 ms between two reports of
	// what the other instances have sent.
	budgetCheckInterval = 125 * time.Millisecond
	// answerMarginShare is the share of the usual answer's length that is added to a caller's own estimate, which is
	// often too low.
	answerMarginShare = 0.25
)

// streamCall is the state of a stream over all its attempts.
type streamCall struct {
	*call
	engine    *placer.Engine
	allocator *Allocator
	// avoid holds the endpoints that the next paths must not use.
	avoid map[string]bool
	// firstEndpoints holds the endpoints that the request was sent to: the first of each path.
	firstEndpoints map[string]bool
	// unreached counts the endpoints that were not reached, and failures those that ran the request without a whole
	// response.
	unreached, failures int
	// headSent is true once the status and headers have been sent to the caller.
	headSent bool
	// readingPrompt is true while the prompt is being read on a path.
	readingPrompt bool
	// sentAt is when the attempt in progress was sent.
	sentAt time.Time
	// screenNumber is the number of the attempt in progress, and begunAt the time of its first event, zero before.
	screenNumber uint64
	begunAt      time.Time
	// hasSettled is true once an endpoint has lasted for screener.SettleTime after the first event.
	hasSettled bool
	// lastEventID is the id of the last event delivered, and lastEventAt when that was.
	lastEventID string
	lastEventAt time.Time
}

// serveStream serves a request whose response is a stream of events.
func (k *call) serveStream(e *placer.Engine) {
	s := &streamCall{call: k, engine: e, allocator: k.forwarder.Allocator(k.service), avoid: map[string]bool{},
		firstEndpoints: map[string]bool{}, lastEventID: k.request.LastEventID}
	if s.isSuspect() {
		return
	}
	if s.request.LastEventID == "" && s.allocator.HasReturned(s.forwarder.clock(), s.hash()) {
		s.isReturned = true
		s.addToTrail("came back after a refusal")
	}
	path, refusal := s.acquire()
	for {
		if refusal != reserver.Granted {
			load, waiting := s.allocator.Load(s.forwarder.clock())
			s.addToTrail("no path:", string(refusal), "with", strconv.FormatFloat(load, 'f', 2, 64), "of the memory reserved,",
				strconv.Itoa(waiting), "waiting")
			if refusal == reserver.Full && !s.mayHaveRun {
				s.allocator.RecordRefusal(s.forwarder.clock(), s.hash())
			}
			s.giveUpAfter(string(refusal), s.retryDelay())
			return
		}
		if !s.awaitTrial(path) {
			return
		}
		if !s.takePathGrant(path) {
			s.dropPath(path)
			if s.denials >= maxDenials && !s.headSent {
				s.giveUpAfter(string(reserver.Held), s.retryDelay())
				return
			}
			path, refusal = s.acquire()
			continue
		}
		result, next := s.attempt(path)
		if result == answered {
			return
		}
		if next == nil && !isDone(k.ctx) {
			if first := path.Stages[0].Endpoint; result == lost {
				s.checkLoss(first.ID, first.Address)
			}
			if s.isSuspect() {
				return
			}
		}
		if next != nil {
			path = *next
			continue
		}
		if isDone(k.ctx) || !s.shouldRetry(result) {
			reason := "no whole answer"
			if !s.mayHaveRun {
				reason = "no endpoint took the request"
			}
			s.giveUp(reason)
			return
		}
		path, refusal = s.acquire()
	}
}

// dropPath gives up a path that the stream is not sent along.
func (s *streamCall) dropPath(path reserver.Path) {
	s.allocator.MarkPromptRead(path)
	s.allocator.Release(s.forwarder.clock(), path)
}

// releasePath releases a path that the stream was sent along.
func (s *streamCall) releasePath(path reserver.Path) {
	s.markPromptRead(path)
	s.allocator.Release(s.forwarder.clock(), path)
}

// retryDelay returns the least retry delay stated if there is no path for the stream.
func (s *streamCall) retryDelay() time.Duration {
	now := s.forwarder.clock()
	held, _ := s.allocator.HeldFor(now, s.queueItem().Request)
	delay := streamRetryAfter
	if s.allocator.IsLimiting(now) {
		delay = max(delay, min(limitedRetryAfter, time.Duration(retryTimeShare*float64(s.timeLeft(now)))))
	}
	return max(delay, held)
}

// acquire waits for a path.
func (s *streamCall) acquire() (reserver.Path, reserver.Refusal) {
	now := s.forwarder.clock()
	path, refusal := s.allocator.Acquire(s.ctx, now, s.queueItem())
	s.waitTime += s.forwarder.clock().Sub(now)
	return path, refusal
}

// shouldRetry reports whether the stream may be sent once more, and counts a retry against the budget. A stream that
// has begun is broken off only after several endpoints have failed it or at its deadline: it waits for memory and for
// the budget.
func (s *streamCall) shouldRetry(result attemptResult) bool {
	if result == unsent {
		s.unreached++
	}
	switch {
	case s.failures >= maxEndpointTries || s.timeLeft(s.forwarder.clock()) <= 0:
		return false
	case s.headSent:
		return result == unsent || s.route.Repeatable() && s.awaitRetry()
	case s.attempts+s.unreached >= maxEndpointTries:
		return false
	case result == unsent:
		return true
	}
	return (result == notRun || s.route.Repeatable()) && s.takeRetry()
}

// awaitRetry waits until the budget allows a retry, and counts it. It returns false if the request's context ends
// first.
func (k *call) awaitRetry() bool {
	if k.forwarder.allowRetry(k.forwarder.clock(), k.service) {
		return true
	}
	k.addToTrail("waits for the budget for sending again")
	ticker := time.NewTicker(budgetCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-k.ctx.Done():
			return false
		case <-ticker.C:
		}
		if k.forwarder.allowRetry(k.forwarder.clock(), k.service) {
			return true
		}
	}
}

// markPromptRead records that the prompt has been read on a path, or that the path is given up.
func (s *streamCall) markPromptRead(path reserver.Path) {
	if s.readingPrompt {
		s.readingPrompt = false
		s.allocator.MarkPromptRead(path)
	}
}

// queueItem returns the request as an item of the queue for memory.
func (s *streamCall) queueItem() waiter.Item {
	usualAnswer := float64(s.engine.UsualAnswerTokens)
	answerTokens := usualAnswer
	if s.request.ExpectedTokens > 0 {
		answerTokens = float64(s.request.ExpectedTokens) + answerMarginShare*usualAnswer
	}
	if s.request.MaxTokens > 0 {
		answerTokens = min(answerTokens, float64(s.request.MaxTokens))
	}
	promptTokens := s.request.PromptTokens
	if promptTokens == 0 {
		promptTokens = s.engine.UsualPromptTokens
	}
	// The endpoints that continue the answer read what has been generated as a part of the prompt.
	generated := s.eventCount * s.engine.TokensPerEvent
	promptTokens += generated
	answerTokens = max(answerTokens-float64(generated), answerMarginShare*usualAnswer)
	// A caller that resumes a stream has received its beginning, so the target for the first event no longer applies.
	late := s.request.LastEventID != "" || s.isReturned
	return waiter.Item{
		ID: s.request.ID,
		Request: reserver.PathRequest{
			PromptTokens: promptTokens, AnswerTokens: int(answerTokens), Avoid: s.avoid, FirstEndpoints: s.allowedFirst(s.firstEndpoints), IgnoreFirstEventTime: late,
			InProgress: s.headSent,
		},
		Team:             s.team.Name,
		Priority:         s.priority(),
		FirstEventTarget: s.route.FirstByteTarget,
		Resumed:          s.headSent,
		Late:             late,
		Returned:         s.isReturned && !s.headSent,
		Deadline:         s.deadline,
		ReceivedAt:       s.startedAt,
	}
}

// allowedFirst returns the endpoints that the next path may begin at: those already used once the route's attempts are
// used up, and nil, which allows any, before.
func (s *streamCall) allowedFirst(used map[string]bool) map[string]bool {
	if len(used) < s.route.MaxAttempts {
		return nil
	}
	return maps.Clone(used)
}

// giveUp ends a stream that is not whole. One that has begun is broken off, so that it does not look complete.
func (s *streamCall) giveUp(reason string) { s.giveUpAfter(reason, streamRetryAfter) }

// giveUpAfter is giveUp with the least retry delay stated if no endpoint has run the stream.
func (s *streamCall) giveUpAfter(reason string, retryAfter time.Duration) {
	switch {
	case s.httpRequest.Context().Err() != nil:
		s.abort()
	case s.headSent:
		s.outcome = "broken off: " + reason
		s.addToTrail("broken off after event", s.lastEventID)
		panic(http.ErrAbortHandler) // net/http closes the connection without ending the body.
	case s.mayHaveRun && isDone(s.ctx):
		s.sendRefusal(s.timeoutRefusal())
	case s.mayHaveRun:
		s.sendRefusal(refusal{Status: http.StatusBadGateway, Reason: reason})
	case s.isEnded():
		s.sendUnavailable(reasonLeaving, leavingRetryAfter)
	default:
		s.sendUnavailable(reason, retryAfter)
	}
}

// attempt sends the request along a path, forwards the events and releases the path. It returns the path to continue on if the
// stream was handed over. A panic releases both paths, as net/http recovers it.
func (s *streamCall) attempt(path reserver.Path) (attemptResult, *reserver.Path) {
	defer s.releasePath(path)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	s.readingPrompt = true
	first := path.Stages[0].Endpoint
	h := &handover{}
	s.firstEndpoints[first.ID] = true
	pathRequest, failures := s.queueItem().Request, s.failures
	pathRequest.Avoid = maps.Clone(pathRequest.Avoid)
	s.allocator.WatchStream(s.forwarder.clock(), s.request.ID, path, func(verdict monitor.Verdict) {
		s.handOver(h, verdict, pathRequest, failures, cancel)
	})
	defer s.abandon(h)
	s.screenNumber = s.forwarder.screening.begin(s.forwarder.clock(), s.screenKeys(), path.EndpointIDs(), s.hasSettled, s.stopAttempt(cancel))
	result := unsent
	defer func() { s.endScreening(result) }()
	s.addToTrail("path", describePath(path), "expecting", path.TimeToFirstToken.Round(time.Millisecond).String(), "then",
		path.TimePerToken.Round(100*time.Microsecond).String())
	s.forwarder.recorder.recordCrossings(s.service, path)
	s.sentAt = s.forwarder.clock()
	resp, err := s.send(ctx, first.Address, Delivery{
		Endpoint: first.ID, TimeLeft: s.timeLeft(s.forwarder.clock()), LastEventID: s.lastEventID, Path: path.Stages, Priority: s.priority(),
	})
	switch {
	case err == nil:
		result, err = s.receive(resp, path)
	case errors.Is(err, connector.ErrNotSent):
		delete(s.firstEndpoints, first.ID)
		s.allocator.RecordUnreached(s.forwarder.clock(), first, unreachedCooldown)
		s.avoid[first.ID] = true
		s.addToTrail("not reached:", err.Error())
	default:
		s.attempts++
		result = lost
	}
	if result == failed || result == lost {
		s.failures++
	}
	s.allocator.UnwatchStream(s.request.ID)
	handoverVerdict, next := h.finish()
	if result == answered && next != nil {
		s.dropPath(*next)
		return answered, nil
	}
	if result == lost {
		s.recordLost(path, err, handoverVerdict)
	}
	return result, next
}

// describePath formats a path for the log.
func describePath(p reserver.Path) string {
	var b strings.Builder
	for i, stage := range p.Stages {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d-%d", stage.Endpoint.ID, stage.Range.From, stage.Range.To)
	}
	return b.String()
}
