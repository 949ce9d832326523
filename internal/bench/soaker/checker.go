package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

// Request is one request of a caller and its outcome.
type Request struct {
	ID string
	// Route is the route's name, Key the caller's key and Instance the number of the instance.
	Route    string
	Key      string
	Instance int
	SentAt   time.Time
	EndedAt  time.Time
	// Status is 0 if no answer came, and Err says why the answer is incomplete. IsOwnAnswer reports whether the answer
	// bears a server's stamp and the request's id. RetryAfter is the Retry-After header.
	Status      int
	IsOwnAnswer bool
	RetryAfter  string
	// Server is the id of the server that answered, and HasStatement is true if it stated a limit or its leave.
	Server       string
	HasStatement bool
	Body         string
	Err          string
	// PausedFor is how long the soak process itself was paused during the request. Durations of such requests are not
	// checked.
	PausedFor time.Duration
}

// Span is the time during which a fault acts on one instance or on all of them.
type Span struct {
	From, To time.Time
	// Instance is the number of the instance, or allInstances.
	Instance int
	Fault    Fault
	// Server is the id of the endpoint that stated something.
	Server string
}

const allInstances = -1

// The bounds that a run is checked against.
const (
	// settleTime is how long after a fault a request may still be affected by it: the platform's stability window.
	settleTime = 4 * time.Second
	// timeout is the routes' timeout, and timeoutSlack how long after it the final answer may come.
	timeout      = 4 * time.Second
	timeoutSlack = 500 * time.Millisecond
	// maxPause is the pause of the soak process itself from which durations are no longer checked.
	maxPause = 100 * time.Millisecond
)

// Observations are what callers, endpoints and the operator recorded during a run.
type Observations struct {
	Requests []Request
	// DeadlyRequests are the sends of a call that crashes endpoints.
	DeadlyRequests []Request
	Arrivals       []hoster.Arrival
	// RunCounts holds how often each request was run, by request id.
	RunCounts map[string]int
	Spans     []Span
	// KeyChanges holds the times at which the second key was alternately put in force and dropped, beginning with in
	// force.
	KeyChanges []time.Time
	Failures   []string
}

// FindViolations returns the guarantees that were violated, each with the observations that show it.
func FindViolations(e Observations) []string {
	out := slices.Clone(e.Failures)
	for _, r := range e.Requests {
		for _, violation := range requestViolations(e, r) {
			out = append(out, fmt.Sprintf("%s: %s: %s to instance %d at %s after %v: status %d, error %q, ran %d times, %d bytes",
				r.ID, violation, r.Route, r.Instance, r.SentAt.Format("15:04:05.000"), r.EndedAt.Sub(r.SentAt).Round(time.Millisecond), r.Status,
				r.Err, e.RunCounts[r.ID], len(r.Body)))
		}
	}
	out = append(out, statementViolations(e)...)
	out = append(out, deadlyViolations(e)...)
	return append(out, retryBudgetViolations(e)...)
}

// requestViolations returns the guarantees that were violated for one request.
func requestViolations(e Observations, r Request) []string {
	var out []string
	runs := e.RunCounts[r.ID]
	maxRuns := 1
	if r.Route != routeHold {
		maxRuns = 2
	}
	if runs > maxRuns && r.Route != routeModel {
		out = append(out, "ran too often")
	}
	refused := slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest}, r.Status)
	if refused && r.Route == routeHold && runs > 0 {
		out = append(out, "was refused and had run")
	}
	if r.Status == http.StatusServiceUnavailable && r.RetryAfter == "" {
		out = append(out, "was refused without a time to come back")
	}
	if r.Status == http.StatusOK {
		out = append(out, answerViolations(r)...)
	}
	if took := r.EndedAt.Sub(r.SentAt); took > timeout+timeoutSlack && r.PausedFor < maxPause && e.reachable(r) {
		out = append(out, "was held past its timeout")
	}
	if (r.Status == 0 || r.Err != "") && runs > 0 && e.onlyStopped(r) {
		out = append(out, "was cut off by a planned stop")
	}
	if slices.ContainsFunc(e.Spans, func(s Span) bool { return s.affects(r) }) || r.PausedFor >= maxPause {
		return out
	}
	if r.Key == secondKey {
		return append(out, e.secondKeyViolations(r)...)
	}
	if r.Status != http.StatusOK || r.Err != "" {
		out = append(out, "was not served in calm")
	}
	return out
}

// answerViolations returns what is wrong with an answer whose status reports success.
func answerViolations(r Request) []string {
	if !r.IsOwnAnswer {
		return []string{"was answered for another request"}
	}
	if r.Route != routeModel {
		if r.Err == "" && r.Body != "answer of desk to "+requestPath(r) {
			return []string{"got a body that is not its own"}
		}
		return nil
	}
	switch {
	case r.Err == "" && r.Body != hoster.StreamBody():
		return []string{"got a stream that ends as complete and is not"}
	case !strings.HasPrefix(hoster.StreamBody(), r.Body):
		return []string{"got events that are not the stream's"}
	}
	return nil
}

// reachable reports whether no fault kept callers from the request's instance, or stopped or paused the instance,
// during the request.
func (e Observations) reachable(r Request) bool {
	return !slices.ContainsFunc(e.Spans, func(s Span) bool {
		return s.affects(r) && slices.Contains([]Kind{Kill, KillAll, Pause, CallerLink}, s.Fault.Kind)
	})
}

// onlyStopped reports whether a planned stop of its instance was the only fault that affected a request.
func (e Observations) onlyStopped(r Request) bool {
	stopped, others := false, false
	for _, s := range e.Spans {
		if !s.affects(r) {
			continue
		}
		if s.Fault.Kind == Stop {
			stopped = true
		} else {
			others = true
		}
	}
	return stopped && !others
}

// affects reports whether a fault acted on a request's instance between settleTime before the request was sent and the
// request's end.
func (s Span) affects(r Request) bool {
	return (s.Instance == allInstances || s.Instance == r.Instance) && s.From.Before(r.EndedAt) && s.To.Add(settleTime).After(r.SentAt)
}

// secondKeyViolations checks a request with the second key that no fault affected. It must be rejected once the key has
// been dropped, and served once the key has been in force, for hoster.ConfigDelay plus settleTime.
func (e Observations) secondKeyViolations(r Request) []string {
	n := 0
	for n < len(e.KeyChanges) && e.KeyChanges[n].Before(r.EndedAt) {
		n++
	}
	if n == 0 || r.SentAt.Sub(e.KeyChanges[n-1]) < hoster.ConfigDelay+settleTime {
		return nil
	}
	if inForce := n%2 == 1; inForce && r.Status != http.StatusOK {
		return []string{"had a key in force and was not served"}
	} else if !inForce && r.Status != http.StatusUnauthorized {
		return []string{"had a key that was dropped and was not refused"}
	}
	return nil
}

// retryBudgetViolations returns, for each service, the first window with more retries than the retry budget of the
// whole fleet allows. Retries in a window are compared with the requests of the window that begins at the same time,
// half a window earlier or a window earlier, whichever has the most.
func retryBudgetViolations(e Observations) []string {
	var out []string
	for _, service := range []string{"pool", "desk"} {
		var requests, retries []time.Time
		seen := map[string]bool{}
		for _, r := range e.Requests {
			if serviceOf(r.Route) == service {
				requests = append(requests, r.SentAt)
			}
		}
		for _, a := range e.Arrivals {
			if a.Service == service && seen[a.ID] {
				retries = append(retries, a.At)
			}
			seen[a.ID] = true
		}
		for _, at := range retries {
			n := countWithin(retries, at, hoster.BudgetWindow)
			requestCount := 0
			for _, offset := range []time.Duration{0, hoster.BudgetWindow / 2, hoster.BudgetWindow} {
				requestCount = max(requestCount, countWithin(requests, at.Add(-offset), hoster.BudgetWindow))
			}
			if bound := hoster.BudgetRatio*float64(requestCount) + hoster.BudgetSlack; float64(n) > bound {
				out = append(out, fmt.Sprintf("%d repeats to %s from %s, of %.0f allowed", n, service, at.Format("15:04:05.000"), bound))
				break
			}
		}
	}
	return out
}

// countWithin counts the times in a window that begins at from.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}
