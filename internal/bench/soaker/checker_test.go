package soaker

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/standin/hoster"
)

// begin is when the requests of the tests are sent.
var begin = time.Unix(1000, 0)

// served returns a request that was served whole after 100 ms.
func served(route string, change func(r *Request)) Request {
	r := Request{
		ID: "c1-1", Route: route, Key: firstKey, Sent: begin, Ended: begin.Add(100 * time.Millisecond),
		Status: http.StatusOK, Stamped: true, Body: "answer of desk to /" + route + "/c1-1",
	}
	if route == routeModel {
		r.Body = hoster.StreamBody()
	}
	if change != nil {
		change(&r)
	}
	return r
}

// TestJudge breaks each promise, and shows what is allowed beside it.
func TestJudge(t *testing.T) {
	refuse := func(r *Request) {
		r.Status, r.Stamped, r.Body, r.After = http.StatusServiceUnavailable, false, "", "1.50"
	}
	cut := func(r *Request) { r.Status, r.Err = 0, "EOF" }
	during := func(k Kind) []Span {
		return []Span{{From: begin.Add(-time.Second), To: begin.Add(time.Second), Fault: Fault{Kind: k}}}
	}
	cases := []struct {
		name    string
		request Request
		runs    int
		spans   []Span
		keyed   []time.Time
		want    string
	}{
		{"served", served(routeHold, nil), 1, nil, nil, ""},
		{"a stream", served(routeModel, nil), 2, nil, nil, ""},
		{"an unsafe request runs twice", served(routeHold, nil), 2, nil, nil, "ran too often"},
		{"a safe request runs three times", served(routeLook, nil), 3, during(Crash), nil, "ran too often"},
		{"refused and had run", served(routeHold, refuse), 1, during(Crash), nil, "was refused and had run"},
		{"refused without a time", served(routeHold, func(r *Request) { refuse(r); r.After = "" }), 0, during(Crash), nil,
			"was refused without a time to come back"},
		{"refused in trouble", served(routeHold, refuse), 0, during(Crash), nil, ""},
		{"refused in calm", served(routeHold, refuse), 0, nil, nil, "was not served in calm"},
		{"trouble of another instance", served(routeHold, refuse), 0,
			[]Span{{From: begin, To: begin, Instance: 1, Fault: Fault{Kind: Kill}}}, nil, "was not served in calm"},
		{"another's answer", served(routeHold, func(r *Request) { r.Stamped = false }), 1, during(Trouble), nil,
			"was answered for another request"},
		{"another's body", served(routeHold, func(r *Request) { r.Body = "answer of desk to /hold/c1-2" }), 1, nil, nil,
			"got a body that is not its own"},
		{"a stream without its end", served(routeModel, func(r *Request) { r.Body = r.Body[:60] }), 1, during(Crash), nil,
			"got a stream that ends as complete and is not"},
		{"a stream that was openly broken off", served(routeModel, func(r *Request) { r.Body, r.Err = r.Body[:60], "EOF" }), 1,
			during(Crash), nil, ""},
		{"an event is missing", served(routeModel, func(r *Request) {
			r.Body, r.Err = strings.Replace(r.Body, "id: 2\ndata: token 2\n\n", "", 1), "EOF"
		}), 1, during(Crash), nil, "got events that are not the stream's"},
		{"held past the timeout", served(routeHold, func(r *Request) { r.Ended = begin.Add(timeout + late + 1) }), 1, during(StoreDown), nil,
			"was held past its timeout"},
		{"held while the instance was paused", served(routeHold, func(r *Request) { r.Ended = begin.Add(timeout + late + 1) }), 1,
			during(Pause), nil, ""},
		{"held while the soak itself was held up", served(routeHold, func(r *Request) {
			r.Ended, r.Held = begin.Add(timeout+late+1), time.Second
		}), 1, nil, nil, ""},
		{"cut by a planned stop", served(routeHold, cut), 1, during(Stop), nil, "was cut off by a planned stop"},
		{"a planned stop beside a crash", served(routeHold, cut), 1, append(during(Stop), during(Crash)...), nil, ""},
		{"not connected as the instance has stopped", served(routeHold, cut), 0, during(Stop), nil, ""},
		{"a dropped key is served", served(routeLook, func(r *Request) { r.Key = secondKey }), 1, nil,
			[]time.Time{begin.Add(-time.Minute), begin.Add(-8 * time.Second)}, "had a key that was dropped and was not refused"},
		{"a key that was dropped just now", served(routeLook, func(r *Request) { r.Key = secondKey }), 1, nil,
			[]time.Time{begin.Add(-time.Minute), begin.Add(-time.Second)}, ""},
		{"a key in force is refused", served(routeLook, func(r *Request) { r.Key, r.Status = secondKey, http.StatusUnauthorized }), 0, nil,
			[]time.Time{begin.Add(-time.Minute)}, "had a key in force and was not served"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := strings.Join(judge(Evidence{Runs: map[string]int{"c1-1": c.runs}, Spans: c.spans, Keyed: c.keyed}, c.request), "; ")
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("judgement (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOverspent sends more again than the budget allows, in one window and spread over several.
func TestOverspent(t *testing.T) {
	for _, c := range []struct {
		name    string
		repeats int
		every   time.Duration
		want    int
	}{
		{"within the number", hoster.BudgetSlack, time.Millisecond, 0},
		{"over it", hoster.BudgetSlack + 1, time.Millisecond, 1},
		{"spread over time", hoster.BudgetSlack + 1, time.Second, 0},
	} {
		e := Evidence{Arrivals: []hoster.Arrival{{At: begin, ID: "x", Service: "desk"}}}
		for n := range c.repeats {
			e.Arrivals = append(e.Arrivals, hoster.Arrival{At: begin.Add(time.Duration(n) * c.every), ID: "x", Service: "desk"})
		}
		if got := overspent(e); len(got) != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestPlan draws the same faults for the same seed, within the time of the run, and all kinds over some seeds.
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
			if f.At < calm || f.At+f.For > run-calm || f.Mode == Sound {
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
