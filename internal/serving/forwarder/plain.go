package forwarder

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/heatherrock/heatherrock/internal/routing/matcher"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/routing/screener"
	"github.com/heatherrock/heatherrock/internal/routing/selector"
	"github.com/heatherrock/heatherrock/internal/serving/connector"
)

// latencyBuckets are the upper bounds of the buckets of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 20 * time.Second,
}

// The limits of a plain call.
const (
	// maxReplyBytes bounds the response of a plain service, which is held in memory as a whole.
	maxReplyBytes = 4 << 20
	// maxEndpointTries bounds the endpoints that are tried before the response to the caller begins, and the attempts
	// at a stream that end without a whole response.
	maxEndpointTries = 4
	// attemptTargetShare is the share of its route's target after which an attempt at an idempotent call is given up
	// for another endpoint.
	attemptTargetShare = 0.6
	// maxPlainWaitShare is the share of its route's target for which a call waits for an endpoint that accepts it.
	maxPlainWaitShare = 0.5
	// plainRetryAfter is the least retry delay stated if no endpoint of a plain service accepts the request.
	plainRetryAfter = 200 * time.Millisecond
	// noEndpointRetryAfter is the least retry delay stated if the service has no endpoint.
	noEndpointRetryAfter = time.Second
)

// reply is a whole response of an endpoint.
type reply struct {
	status int
	header http.Header
	body   connector.Content
}

// attemptResult is the result of one attempt.
type attemptResult int

// The results of an attempt.
const (
	// answered means that the response goes to the caller.
	answered attemptResult = iota
	// unsent means that nothing was sent.
	unsent
	// notRun means that the endpoint states that it did not run the request.
	notRun
	// failed means that the endpoint responded with a server error.
	failed
	// lost means that no whole response arrived.
	lost
)

// servePlain serves a request whose response is forwarded as a whole.
func (k *call) servePlain() {
	var last *reply
	var refusalReason string
	var retryAfter time.Duration
	tried := map[string]bool{}
	for n := 0; n < maxEndpointTries && !isDone(k.ctx); n++ {
		var ruling screener.Ruling
		ruling, retryAfter = k.awaitRuling(k.checkKeys)
		if refusalReason = refusalReasons[ruling]; refusalReason != "" {
			break
		}
		server, ok := k.pickServer(tried)
		if !ok {
			break
		}
		tried[server.ID] = true
		isLast := k.attempts+1 >= k.route.MaxAttempts
		startedAt := k.forwarder.clock()
		r, result := k.tryEndpoint(server.ID, server.Address, isLast)
		k.forwarder.recorder.recordPlainCrossing(k.service, k.forwarder.dataCentre, server, result != unsent, k.sizeMB(r))
		k.forwarder.recordResult(k.forwarder.clock(), server.ID, result != answered && result != notRun, k.forwarder.clock().Sub(startedAt))
		if r != nil {
			last = r
		}
		if result == answered || !k.shouldRetry(result) {
			break
		}
	}
	k.finishPlain(last, refusalReason, retryAfter)
}

// pickServer returns the endpoint for the next attempt: if there is one, one that was not tried yet. It waits for an endpoint
// that accepts the request while the response can still be in time.
func (k *call) pickServer(tried map[string]bool) (selector.Server, bool) {
	for !isDone(k.ctx) {
		servers := k.forwarder.chooseServers(k.forwarder.clock(), k.service)
		if len(servers) == 0 {
			held, ok := k.forwarder.plainHeldFor(k.forwarder.clock(), k.service)
			if !ok || !k.canWait(held) || !k.sleep(held) {
				return selector.Server{}, false
			}
			continue
		}
		i := max(0, slices.IndexFunc(servers, func(s selector.Server) bool { return !tried[s.ID] }))
		granted, retryAfter := k.takeGrant(servers[i].ID)
		if granted {
			return servers[i], true
		}
		k.forwarder.hold(k.forwarder.clock(), k.service, servers[i].ID, retryAfter)
	}
	return selector.Server{}, false
}

// canWait reports whether the request may wait for a time before it is sent.
func (k *call) canWait(d time.Duration) bool {
	limit := time.Duration(maxPlainWaitShare * float64(k.route.FirstByteTarget))
	return k.forwarder.clock().Add(d).Sub(k.startedAt) <= limit
}

// shouldRetry reports whether the request may be sent once more after an attempt. If the attempt sent it, the retry is
// counted against the budget.
func (k *call) shouldRetry(result attemptResult) bool {
	if result == unsent {
		return true
	}
	if k.attempts >= k.route.MaxAttempts || k.timeLeft(k.forwarder.clock()) <= 0 {
		return false
	}
	if result != notRun && !k.route.Repeatable() {
		return false
	}
	return k.takeRetry()
}

// takeRetry reports whether the fleet's retry budget allows a retry, and counts it if so.
func (k *call) takeRetry() bool {
	if k.forwarder.allowRetry(k.forwarder.clock(), k.service) {
		return true
	}
	k.addToTrail("budget for sending again is spent")
	return false
}

// finishPlain sends the caller the last response, or an error that states what is known if there is none. The reason is empty
// unless the request must not be sent before retryAfter.
func (k *call) finishPlain(last *reply, reason string, retryAfter time.Duration) {
	switch {
	case k.httpRequest.Context().Err() != nil:
		k.abort()
	case last != nil:
		k.timeToFirstByte = k.forwarder.clock().Sub(k.startedAt)
		if err := k.sendWhole(last); err != nil {
			k.abort()
		}
	case k.mayHaveRun && isDone(k.ctx):
		k.sendRefusal(k.timeoutRefusal())
	case k.mayHaveRun:
		k.sendRefusal(refusal{Status: http.StatusBadGateway, Reason: cmp.Or(reason, "no whole answer")})
	case k.isEnded():
		k.sendUnavailable(reasonLeaving, leavingRetryAfter)
	case reason != "":
		k.sendUnavailable(reason, retryAfter)
	default:
		k.sendUnavailable(k.plainRefusal())
	}
}

// plainRefusal returns why a request was sent to no endpoint of a plain service, and the least retry delay.
func (k *call) plainRefusal() (string, time.Duration) {
	now := k.forwarder.clock()
	if held, ok := k.forwarder.plainHeldFor(now, k.service); ok {
		return string(reserver.Held), max(plainRetryAfter, held)
	}
	if k.attempts == 0 && len(k.forwarder.chooseServers(now, k.service)) == 0 {
		return "service has no endpoint", noEndpointRetryAfter
	}
	return "no endpoint took the request", plainRetryAfter
}

// tryEndpoint sends the request to one endpoint of a plain service. The reply is not nil if the endpoint ran the
// request and its whole response arrived.
func (k *call) tryEndpoint(id, address string, isLast bool) (r *reply, result attemptResult) {
	k.forwarder.beginPlain(id)
	defer func() { k.forwarder.endPlain(k.forwarder.clock(), id, result == notRun) }()
	ctx, cancel := context.WithCancel(k.ctx)
	defer cancel()
	if !isLast && k.route.Kind == matcher.Safe && k.route.FirstByteTarget > 0 {
		var cancelTimeout context.CancelFunc
		ctx, cancelTimeout = context.WithTimeout(ctx, time.Duration(attemptTargetShare*float64(k.route.FirstByteTarget)))
		defer cancelTimeout()
	}
	screening := k.forwarder.screening
	number := screening.begin(k.forwarder.clock(), k.screenKeys(), []string{id}, false, k.stopAttempt(cancel))
	defer func() {
		screenResult := screenResults[result]
		if r != nil {
			screenResult = screener.Whole // Also a response that states a failure.
		}
		screening.end(k.forwarder.clock(), number, screenResult)
	}()
	resp, err := k.send(ctx, address, Delivery{Endpoint: id, TimeLeft: k.timeLeft(k.forwarder.clock()), Priority: k.priority()})
	if errors.Is(err, connector.ErrNotSent) {
		k.addToTrail("endpoint", id, "not reached:", err.Error())
		return nil, unsent
	}
	k.attempts++
	if err != nil {
		return nil, k.recordBroken(ctx, id, address, "lost:", err)
	}
	head := k.forwarder.protocol.Read(resp.Status, resp.Header)
	k.recordStatement(id, head)
	if err := checkHead(resp, head); err != nil {
		resp.Finish(false)
		return nil, k.recordBroken(ctx, id, address, "lost:", err)
	}
	if head.NotRun {
		resp.Discard(k.forwarder.clock())
		k.addToTrail("endpoint", id, "did not run it:", http.StatusText(resp.Status))
		return nil, notRun
	}
	body, err := k.readReply(resp, id, maxReplyBytes)
	if err != nil {
		return nil, k.recordBroken(ctx, id, address, "broke its answer off:", err)
	}
	screening.recordFirstEvent(k.forwarder.clock(), number)
	r = &reply{resp.Status, resp.Header, body}
	k.mayHaveRun = true
	if resp.Status >= 500 {
		k.addToTrail("endpoint", id, "failed it:", http.StatusText(resp.Status))
		return r, failed
	}
	return r, answered
}

// recordBroken records that an attempt ended without a whole response, and checks whether the endpoint is lost unless the attempt
// was given up here.
func (k *call) recordBroken(ctx context.Context, id, address, what string, err error) attemptResult {
	k.mayHaveRun = true
	k.addToTrail("endpoint", id, what, err.Error())
	if !isDone(ctx) {
		k.checkLoss(id, address)
	}
	return lost
}
