package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

// Request is what a caller sent and got.
type Request struct {
	ID string
	// Route is the name of the route, Key the caller's key and Instance the number of the instance.
	Route    string
	Key      string
	Instance int
	Sent     time.Time
	Ended    time.Time
	// Status is 0 if no answer came, and Err is why the answer is not whole. Stamped is set if the answer bears a server's stamp
	// and the request's id, and After is when the caller is told to come back.
	Status  int
	Stamped bool
	After   string
	Body    string
	Err     string
	// Held is for how long the soak's own process was held up meanwhile: such times are not judged.
	Held time.Duration
}

// Span is a time in which a fault acts on some instances, or on all of them.
type Span struct {
	From, To time.Time
	// Instance is the number of the instance, or every.
	Instance int
	Fault    Fault
}

// every stands for all instances.
const every = -1

// The bounds that a run is judged by.
const (
	// settle is how long after a fault a request may still suffer from it: the platform's stability window.
	settle = 4 * time.Second
	// timeout is the routes' timeout, and late how long after it the final answer may come.
	timeout = 4 * time.Second
	late    = 500 * time.Millisecond
	// heldUp is the longest hold-up of the soak's own process for which times are judged.
	heldUp = 100 * time.Millisecond
	// force is how long after its acknowledgement a configuration may not be in force everywhere.
	force = 3 * time.Second
)

// Evidence is what callers, endpoints and the operator saw of a run.
type Evidence struct {
	Requests []Request
	Arrivals []hoster.Arrival
	// Runs holds how often each request was run, by id.
	Runs  map[string]int
	Spans []Span
	// Keyed holds when the second key was put in force and when it was dropped, in turn, first in force.
	Keyed []time.Time
	Exits []string
}

// Judge returns the promises that were broken, with what shows it.
func Judge(e Evidence) []string {
	out := slices.Clone(e.Exits)
	for _, r := range e.Requests {
		for _, broken := range judge(e, r) {
			out = append(out, fmt.Sprintf("%s: %s: %s to instance %d at %s after %v: status %d, error %q, ran %d times, %d bytes",
				r.ID, broken, r.Route, r.Instance, r.Sent.Format("15:04:05.000"), r.Ended.Sub(r.Sent).Round(time.Millisecond), r.Status,
				r.Err, e.Runs[r.ID], len(r.Body)))
		}
	}
	return append(out, overspent(e)...)
}

// judge returns the promises that were broken to one request.
func judge(e Evidence, r Request) []string {
	var out []string
	runs := e.Runs[r.ID]
	most := 1
	if r.Route != routeHold {
		most = 2
	}
	if runs > most && r.Route != routeModel {
		out = append(out, "ran too often")
	}
	refused := slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest}, r.Status)
	if refused && r.Route == routeHold && runs > 0 {
		out = append(out, "was refused and had run")
	}
	if r.Status == http.StatusServiceUnavailable && r.After == "" {
		out = append(out, "was refused without a time to come back")
	}
	if r.Status == http.StatusOK {
		out = append(out, wholeness(r)...)
	}
	if took := r.Ended.Sub(r.Sent); took > timeout+late && r.Held < heldUp && e.reached(r) {
		out = append(out, "was held past its timeout")
	}
	if (r.Status == 0 || r.Err != "") && runs > 0 && e.stopped(r) {
		out = append(out, "was cut off by a planned stop")
	}
	if slices.ContainsFunc(e.Spans, func(s Span) bool { return s.strikes(r) }) || r.Held >= heldUp {
		return out
	}
	if r.Key == secondKey {
		return append(out, e.keyed(r)...)
	}
	if r.Status != http.StatusOK || r.Err != "" {
		out = append(out, "was not served in calm")
	}
	return out
}

// wholeness returns what is wrong with an answer that says that it is a success.
func wholeness(r Request) []string {
	if !r.Stamped {
		return []string{"was answered for another request"}
	}
	if r.Route != routeModel {
		if r.Err == "" && r.Body != "answer of desk to "+path(r) {
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

// reached reports whether callers reached a request's instance, and it ran, all the while.
func (e Evidence) reached(r Request) bool {
	return !slices.ContainsFunc(e.Spans, func(s Span) bool {
		return s.strikes(r) && slices.Contains([]Kind{Kill, KillAll, Pause, CallerLink}, s.Fault.Kind)
	})
}

// stopped reports whether a planned stop of its instance was all that struck a request.
func (e Evidence) stopped(r Request) bool {
	found, others := false, false
	for _, s := range e.Spans {
		if !s.strikes(r) {
			continue
		}
		if s.Fault.Kind == Stop {
			found = true
		} else {
			others = true
		}
	}
	return found && !others
}

// strikes reports whether a fault acted on a request's instance before the request's end, or up to settle before it.
func (s Span) strikes(r Request) bool {
	return (s.Instance == every || s.Instance == r.Instance) && s.From.Before(r.Ended) && s.To.Add(settle).After(r.Sent)
}

// keyed judges a request with the second key in calm: it is refused once the key has been dropped for a while, and served
// once it has been in force for a while.
func (e Evidence) keyed(r Request) []string {
	n := 0
	for n < len(e.Keyed) && e.Keyed[n].Before(r.Ended) {
		n++
	}
	if n == 0 || r.Sent.Sub(e.Keyed[n-1]) < force+settle {
		return nil
	}
	if inForce := n%2 == 1; inForce && r.Status != http.StatusOK {
		return []string{"had a key in force and was not served"}
	} else if !inForce && r.Status != http.StatusUnauthorized {
		return []string{"had a key that was dropped and was not refused"}
	}
	return nil
}

// overspent returns the windows in which more was sent again than the budget of the whole fleet allows. A request counts in
// the window that it was sent in, the one before or the one half a window before, whichever has most.
func overspent(e Evidence) []string {
	var out []string
	for _, service := range []string{"pool", "desk"} {
		var requests, repeats []time.Time
		seen := map[string]bool{}
		for _, r := range e.Requests {
			if serviceOf(r.Route) == service {
				requests = append(requests, r.Sent)
			}
		}
		for _, a := range e.Arrivals {
			if a.Service == service && seen[a.ID] {
				repeats = append(repeats, a.At)
			}
			seen[a.ID] = true
		}
		for _, at := range repeats {
			n := within(repeats, at, hoster.BudgetWindow)
			asked := 0
			for _, back := range []time.Duration{0, hoster.BudgetWindow / 2, hoster.BudgetWindow} {
				asked = max(asked, within(requests, at.Add(-back), hoster.BudgetWindow))
			}
			if bound := hoster.BudgetRatio*float64(asked) + hoster.BudgetSlack; float64(n) > bound {
				out = append(out, fmt.Sprintf("%d repeats to %s from %s, of %.0f allowed", n, service, at.Format("15:04:05.000"), bound))
				break
			}
		}
	}
	return out
}

// within counts the times in a window that begins at a time.
func within(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}
