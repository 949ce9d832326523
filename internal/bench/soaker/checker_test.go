package soaker

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

// sentAt is when the requests of the tests are sent.
var sentAt = time.Unix(1000, 0)

// servedRequest returns a request that was served completely after 100 ms.
func servedRequest(route string, change func(r *Request)) Request {
	r := Request{
		ID: "c1-1", Route: route, Key: firstKey, SentAt: sentAt, EndedAt: sentAt.Add(100 * time.Millisecond),
		Status: http.StatusOK, IsOwnAnswer: true, Body: "answer of desk to /" + route + "/c1-1",
	}
	if route == routeModel {
		r.Body = hoster.StreamBody()
	}
	if change != nil {
		change(&r)
	}
	return r
}

// TestJudge violates each guarantee, and checks that similar cases that are allowed pass.
func TestJudge(t *testing.T) {
	refuse := func(r *Request) {
		r.Status, r.IsOwnAnswer, r.Body, r.RetryAfter = http.StatusServiceUnavailable, false, "", "1.50"
	}
	cut := func(r *Request) { r.Status, r.Err = 0, "EOF" }
	during := func(k Kind) []Span {
		return []Span{{From: sentAt.Add(-time.Second), To: sentAt.Add(time.Second), Fault: Fault{Kind: k}}}
	}
	cases := []struct {
		name    string
		request Request
		runs    int
		spans   []Span
		keyed   []time.Time
		want    string
	}{
		{"served", servedRequest(routeHold, nil), 1, nil, nil, ""},
		{"a stream", servedRequest(routeModel, nil), 2, nil, nil, ""},
		{"an unsafe request runs twice", servedRequest(routeHold, nil), 2, nil, nil, "ran too often"},
		{"a safe request runs three times", servedRequest(routeRead, nil), 3, during(Crash), nil, "ran too often"},
		{"refused and had run", servedRequest(routeHold, refuse), 1, during(Crash), nil, "was refused and had run"},
		{"refused without Retry-After", servedRequest(routeHold, func(r *Request) { refuse(r); r.RetryAfter = "" }), 0, during(Crash), nil,
			"was refused without a time to come back"},
		{"refused during a fault", servedRequest(routeHold, refuse), 0, during(Crash), nil, ""},
		{"refused without a fault", servedRequest(routeHold, refuse), 0, nil, nil, "was not served in calm"},
		{"fault of another instance", servedRequest(routeHold, refuse), 0,
			[]Span{{From: sentAt, To: sentAt, Instance: 1, Fault: Fault{Kind: Kill}}}, nil, "was not served in calm"},
		{"answer to another request", servedRequest(routeHold, func(r *Request) { r.IsOwnAnswer = false }), 1, during(EndpointFault), nil,
			"was answered for another request"},
		{"body of another request", servedRequest(routeHold, func(r *Request) { r.Body = "answer of desk to /hold/c1-2" }), 1, nil, nil,
			"got a body that is not its own"},
		{"a stream without its end", servedRequest(routeModel, func(r *Request) { r.Body = r.Body[:60] }), 1, during(Crash), nil,
			"got a stream that ends as complete and is not"},
		{"a stream that was broken off with an error", servedRequest(routeModel, func(r *Request) { r.Body, r.Err = r.Body[:60], "EOF" }), 1,
			during(Crash), nil, ""},
		{"an event is missing", servedRequest(routeModel, func(r *Request) {
			r.Body, r.Err = strings.Replace(r.Body, "id: 2\ndata: token 2\n\n", "", 1), "EOF"
		}), 1, during(Crash), nil, "got events that are not the stream's"},
		{"late past the timeout", servedRequest(routeHold, func(r *Request) { r.EndedAt = sentAt.Add(timeout + timeoutSlack + 1) }), 1, during(StoreDown), nil,
			"was held past its timeout"},
		{"late while the instance was paused", servedRequest(routeHold, func(r *Request) { r.EndedAt = sentAt.Add(timeout + timeoutSlack + 1) }), 1,
			during(Pause), nil, ""},
		{"late while the soak process was paused", servedRequest(routeHold, func(r *Request) {
			r.EndedAt, r.PausedFor = sentAt.Add(timeout+timeoutSlack+1), time.Second
		}), 1, nil, nil, ""},
		{"cut off by a planned stop", servedRequest(routeHold, cut), 1, during(Stop), nil, "was cut off by a planned stop"},
		{"a planned stop beside a crash", servedRequest(routeHold, cut), 1, append(during(Stop), during(Crash)...), nil, ""},
		{"not connected as the instance has stopped", servedRequest(routeHold, cut), 0, during(Stop), nil, ""},
		{"a dropped key is served", servedRequest(routeRead, func(r *Request) { r.Key = secondKey }), 1, nil,
			[]time.Time{sentAt.Add(-time.Minute), sentAt.Add(-8 * time.Second)}, "had a key that was dropped and was not refused"},
		{"a key that was dropped just now", servedRequest(routeRead, func(r *Request) { r.Key = secondKey }), 1, nil,
			[]time.Time{sentAt.Add(-time.Minute), sentAt.Add(-time.Second)}, ""},
		{"a key in force is refused", servedRequest(routeRead, func(r *Request) { r.Key, r.Status = secondKey, http.StatusUnauthorized }), 0, nil,
			[]time.Time{sentAt.Add(-time.Minute)}, "had a key in force and was not served"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := strings.Join(requestViolations(Observations{RunCounts: map[string]int{"c1-1": c.runs}, Spans: c.spans, KeyChanges: c.keyed}, c.request), "; ")
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOverspent sends more retries than the budget allows, in one window and spread over several.
func TestOverspent(t *testing.T) {
	for _, c := range []struct {
		name    string
		repeats int
		every   time.Duration
		want    int
	}{
		{"within the budget", hoster.BudgetSlack, time.Millisecond, 0},
		{"over the budget", hoster.BudgetSlack + 1, time.Millisecond, 1},
		{"spread over time", hoster.BudgetSlack + 1, time.Second, 0},
	} {
		e := Observations{Arrivals: []hoster.Arrival{{At: sentAt, ID: "x", Service: "desk"}}}
		for n := range c.repeats {
			e.Arrivals = append(e.Arrivals, hoster.Arrival{At: sentAt.Add(time.Duration(n) * c.every), ID: "x", Service: "desk"})
		}
		if got := retryBudgetViolations(e); len(got) != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestPlan checks that a seed always gives the same faults, within the time of the run, and that some seeds draw every
// kind.
func TestPlan(t *testing.T) {
	const run = 20 * time.Second
	kinds := map[Kind]bool{}
	for seed := range uint64(40) {
		plan := Plan(seed, run, 3, 9)
		if diff := cmp.Diff(plan, Plan(seed, run, 3, 9)); diff != "" {
			t.Errorf("seed %d differs:\n%s", seed, diff)
		}
		for _, f := range plan {
			kinds[f.Kind] = true
			if f.StartAfter < quietTime || f.StartAfter+f.ActiveTime > run-quietTime || f.LinkMode == Healthy {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
	for _, w := range weights {
		if !kinds[w.kind] {
			t.Errorf("no seed has %q", w.kind)
		}
	}
}
