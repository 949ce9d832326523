package forwarder

import (
	"context"
	"hash/fnv"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/matcher"
	"github.com/heatherrock/heatherrock/internal/serving/connector"
)

// refusal is an answer of the router's own.
type refusal struct {
	Status int
	Reason string
	// After tells the caller when to come back; zero if it is not told.
	After time.Duration
}

// refuse answers a request that no endpoint has run. A status of 408, 421, 429 or 503 promises that none will.
func (f *Forwarder) refuse(w http.ResponseWriter, began time.Time, r refusal, id string) {
	f.recorder.refused(r.Reason)
	f.log.Warn("request refused", "request", id, "status", r.Status, "reason", r.Reason, "after", r.After.Seconds(),
		"took", f.clock().Sub(began).Seconds())
	writeRefusal(w, r)
}

// writeRefusal writes an answer of the router's own.
func writeRefusal(w http.ResponseWriter, r refusal) {
	if r.After > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.After.Seconds(), 'f', 2, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(r.Status)
	_, _ = w.Write([]byte(r.Reason + "\n")) // A caller that has left reads nothing.
}

// call is one request in progress.
type call struct {
	f       *Forwarder
	w       http.ResponseWriter
	r       *http.Request
	q       Request
	config  *matcher.Configuration
	route   matcher.Route
	team    matcher.Team
	service string
	body    []byte
	began   time.Time
	// until is when the caller or the route no longer waits.
	until time.Time
	ctx   context.Context
	stop  context.CancelFunc

	// attempts counts the endpoints that the request was sent to, and ran is set if one may have run it.
	attempts int
	ran      bool
	trail    []string
	outcome  string
	status   int
	events   int
	first    time.Duration
	// pause is the longest time between two events, and waited the time spent waiting for memory.
	pause  time.Duration
	waited time.Duration
}

// defaultTimeout bounds a request that names no deadline on a route without one.
const defaultTimeout = 60 * time.Second

// writeTime is how long after the end of a request its last bytes may take to leave.
const writeTime = time.Second

// newCall returns a request in progress that came in at now.
func newCall(f *Forwarder, w http.ResponseWriter, r *http.Request, now time.Time, c *matcher.Configuration, q Request,
	route matcher.Route, team matcher.Team, body []byte,
) *call {
	wait := route.Timeout
	if q.Deadline > 0 && (wait == 0 || q.Deadline < wait) {
		wait = q.Deadline
	}
	if wait == 0 {
		wait = defaultTimeout
	}
	k := &call{
		f: f, w: w, r: r, q: q, config: c, route: route, team: team, body: body, began: now, until: now.Add(wait),
		service: route.Service(q.ID),
	}
	k.ctx, k.stop = context.WithTimeout(r.Context(), wait)
	// A caller that does not read must not hold the request for longer than it waits.
	if err := http.NewResponseController(w).SetWriteDeadline(k.until.Add(writeTime)); err != nil {
		f.log.Warn("no deadline for the answer", "request", q.ID, "error", err)
	}
	f.request(now, k.service)
	return k
}

// priority returns the rank of the request.
func (k *call) priority() int {
	if k.team.Priority >= 0 && k.team.Name != "" {
		return k.team.Priority
	}
	return k.route.Priority
}

// left returns the time left at now.
func (k *call) left(now time.Time) time.Duration { return k.until.Sub(now) }

// note adds a step to the request's story.
func (k *call) note(parts ...string) {
	k.trail = append(k.trail, strconv.FormatInt(k.f.clock().Sub(k.began).Milliseconds(), 10)+"ms "+strings.Join(parts, " "))
}

// message returns the message to an endpoint.
func (k *call) message(d Delivery) connector.Message {
	d.Team = k.team.Name
	return connector.Message{
		Method:  k.r.Method,
		Target:  k.r.RequestURI,
		Host:    k.r.Host,
		Header:  k.f.protocol.Encode(connector.EndToEnd(k.r.Header), k.q, d),
		Body:    k.body,
		Accepts: func(_ int, h http.Header) bool { return k.f.protocol.Owns(k.q, h) },
	}
}

// refuse answers that the request was not run.
func (k *call) refuse(reason string, after time.Duration) {
	k.answer(refusal{Status: http.StatusServiceUnavailable, Reason: reason, After: k.spread(after)})
}

// answer gives an answer of the router's own.
func (k *call) answer(r refusal) {
	k.outcome, k.status = r.Reason, r.Status
	k.f.recorder.refused(r.Reason)
	if r.After > 0 {
		k.note("come back in", r.After.String())
	}
	writeRefusal(k.w, r)
}

// spread returns a time between one and two times the given one, by the request's id, so that callers do not all come
// back at once.
func (k *call) spread(d time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.q.ID)) // A hash takes all bytes.
	return d + time.Duration(float64(d)*float64(h.Sum32()%1024)/1024)
}

// end logs the request and frees what it holds.
func (k *call) end() {
	k.stop()
	now := k.f.clock()
	level := slog.LevelInfo
	if k.status >= 500 || k.outcome != "" || k.attempts > 1 {
		level = slog.LevelWarn
	}
	outcome := k.outcome
	if outcome == "" {
		outcome = "answered"
	}
	k.f.recorder.ended(now, k)
	k.f.log.Log(context.Background(), level, "request", "request", k.q.ID, "route", k.route.Name, "kind", k.route.Kind.String(),
		"team", k.team.Name, "service", k.service, "configuration", k.config.Version, "outcome", outcome, "status", k.status,
		"attempts", k.attempts, "events", k.events, "first", k.first.Seconds(), "pause", k.pause.Seconds(), "took", now.Sub(k.began).Seconds(),
		"trail", strings.Join(k.trail, "; "))
}

// copyHeader writes the head of an endpoint's answer.
func (k *call) copyHeader(status int, h http.Header) {
	out := k.w.Header()
	for name, values := range connector.EndToEnd(h) {
		out[name] = values
	}
	if k.f.leaving.Load() {
		out.Set("Connection", "close")
	}
	k.status = status
	k.w.WriteHeader(status)
}
