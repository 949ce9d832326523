package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/heatherrock/heatherrock/internal/routing/matcher"
	"github.com/heatherrock/heatherrock/internal/serving/connector"
)

// latencies are the upper bounds of the buckets of times.
var latencies = tally.DurationBuckets{
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 20 * time.Second,
}

// The bounds of a plain call.
const (
	// maxReply bounds the answer of a plain service, in bytes.
	maxReply = 16 << 20
	// dials bounds the endpoints that are tried while no byte has left, and those that run a stream without a whole answer.
	dials = 4
	// firstPart is the part of its target after which an idempotent call is given to another endpoint.
	firstPart = 0.6
	// comeBack is when a caller of a plain service that has no place is told to come back at the earliest.
	comeBack = 200 * time.Millisecond
	// comeBackLater is when one is told to come back if the service has no endpoint.
	comeBackLater = time.Second
)

// reply is a whole answer of an endpoint.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// verdict says what follows from one try.
type verdict int

// The verdicts on a try.
const (
	// answered means that the reply goes to the caller.
	answered verdict = iota
	// unsent means that nothing was sent.
	unsent
	// notRun means that the endpoint states that it did not run the request.
	notRun
	// failed means that the endpoint answered with a failure of its own.
	failed
	// lost means that no whole answer came.
	lost
)

// plain serves a request whose answer is passed on whole.
func (k *call) plain() {
	var last *reply
	servers := k.f.choose(k.f.clock(), k.service)
	if len(servers) == 0 {
		k.refuse("service has no endpoint", comeBackLater)
		return
	}
	for n := 0; n < dials && !gone(k.ctx); n++ {
		s := servers[n%len(servers)]
		final := k.attempts+1 >= k.route.MaxAttempts
		begun := k.f.clock()
		r, v := k.try(s.ID, s.Address, final)
		k.f.report(k.f.clock(), s.ID, v != answered && v != notRun, k.f.clock().Sub(begun))
		if r != nil {
			last = r
		}
		if v == answered || !k.again(v) {
			break
		}
	}
	k.finish(last)
}

// again reports whether the request may be sent once more after a try.
func (k *call) again(v verdict) bool {
	if v == unsent {
		return true
	}
	if k.attempts >= k.route.MaxAttempts || k.left(k.f.clock()) <= 0 {
		return false
	}
	if v != notRun && !k.route.Repeatable() {
		return false
	}
	return k.mayRepeat()
}

// mayRepeat reports whether the fleet's budget allows to send the request again, and counts it if so.
func (k *call) mayRepeat() bool {
	if k.f.repeat(k.f.clock(), k.service) {
		return true
	}
	k.note("budget for sending again is spent")
	return false
}

// finish gives the caller the last reply, or says what is known if there is none.
func (k *call) finish(last *reply) {
	switch {
	case k.r.Context().Err() != nil:
		k.outcome = "caller left"
	case last != nil:
		k.first = k.f.clock().Sub(k.began)
		k.copyHeader(last.status, last.header)
		if _, err := k.w.Write(last.body); err != nil {
			k.outcome = "caller left"
		}
	case k.ran && gone(k.ctx):
		k.answer(refusal{Status: http.StatusGatewayTimeout, Reason: "no answer in time"})
	case k.ran:
		k.answer(refusal{Status: http.StatusBadGateway, Reason: "no whole answer"})
	default:
		k.refuse("no endpoint took the request", comeBack)
	}
}

// try sends the request to one endpoint of a plain service. The reply is set if the endpoint ran it and answered whole.
func (k *call) try(id, address string, final bool) (*reply, verdict) {
	ctx, cancel := k.ctx, context.CancelFunc(func() {})
	if !final && k.route.Kind == matcher.Safe && k.route.FirstByteTarget > 0 {
		ctx, cancel = context.WithTimeout(k.ctx, time.Duration(firstPart*float64(k.route.FirstByteTarget)))
	}
	defer cancel()
	m := k.message(Delivery{Endpoint: id, Left: k.left(k.f.clock()), Priority: k.priority()})
	a, err := k.f.pool.Send(ctx, address, m)
	if errors.Is(err, connector.ErrNotSent) {
		k.note("endpoint", id, "not reached:", err.Error())
		return nil, unsent
	}
	k.attempts++
	if err != nil {
		k.ran = true
		k.note("endpoint", id, "lost:", err.Error())
		return nil, lost
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxReply))
	a.Finish(err == nil && len(body) < maxReply)
	if err != nil || len(body) >= maxReply {
		k.ran = true
		k.note("endpoint", id, "broke its answer off")
		return nil, lost
	}
	reading := k.f.protocol.Read(a.Status, a.Header)
	r := &reply{a.Status, a.Header, body}
	switch {
	case reading.NotRun:
		k.note("endpoint", id, "did not run it:", http.StatusText(a.Status))
		return nil, notRun
	case a.Status >= 500:
		k.ran = true
		k.note("endpoint", id, "failed it:", http.StatusText(a.Status))
		return r, failed
	}
	k.ran = true
	return r, answered
}
