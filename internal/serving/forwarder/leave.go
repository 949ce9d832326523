package forwarder

import (
	"net/http"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/matcher"
)

const (
	// reasonLeaving is the reason for which a request is refused or ended by an instance that leaves.
	reasonLeaving = "the instance is leaving"
	// leavingRetryAfter is the least retry delay stated by an instance that leaves: the others accept the request at once.
	leavingRetryAfter = 50 * time.Millisecond
)

// Leave is the end of an instance's service.
type Leave struct {
	// NoticedAt is when the load balancer has noticed that the instance leaves: requests that come later come on connections that
	// were open before. EndsAt is when the requests in progress are ended.
	NoticedAt time.Time
	EndsAt    time.Time
}

// Accepts reports whether a request with a deadline may begin at now. A late one may if its deadline ends it before the instance
// does: otherwise its caller may not learn whether it has run. A stream that can be resumed goes on at another instance.
func (l *Leave) Accepts(now, deadline time.Time, resumable bool) bool {
	return l == nil || now.Before(l.NoticedAt) || resumable || !deadline.After(l.EndsAt)
}

// BeginLeave makes each further response close its connection, and refuses requests that may outlast the instance.
func (f *Forwarder) BeginLeave(l Leave) { f.leave.Store(&l) }

// isLeaving reports whether the instance leaves.
func (f *Forwarder) isLeaving() bool { return f.leave.Load() != nil }

// EndRequests ends the requests in progress: their callers are told what is known of them.
func (f *Forwarder) EndRequests() { f.endRequests() }

// outlastsInstance reports whether the request may still be in progress when the instance ends.
func (k *call) outlastsInstance(now time.Time) bool {
	resumable := k.route.Kind == matcher.Stream && k.route.Resumable
	return !k.forwarder.leave.Load().Accepts(now, k.deadline, resumable)
}

// isEnded reports whether the request is ended because the instance ends.
func (k *call) isEnded() bool { return isDone(k.forwarder.ending) }

// timeoutRefusal returns the response to a request that may have run and whose context has ended.
func (k *call) timeoutRefusal() refusal {
	if k.isEnded() {
		return refusal{Status: http.StatusBadGateway, Reason: reasonLeaving}
	}
	return refusal{Status: http.StatusGatewayTimeout, Reason: "no answer in time"}
}
