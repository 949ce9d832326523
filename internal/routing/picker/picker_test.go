package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/heatherrock/heatherrock/internal/routing/detector"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

// startTime is the time at which the tests begin.
var startTime = time.Unix(1000, 0)

// fixedHealth is a Health with fixed shares. An endpoint without one is healthy.
type fixedHealth map[string]float64

func (h fixedHealth) Share(_ time.Time, id string) float64 {
	if share, ok := h[id]; ok {
		return share
	}
	return 1
}

func (fixedHealth) Compare(time.Time, []detector.Part, time.Duration) {}

// holder returns an endpoint that holds one range.
func holder(id, centre string, from, to int) planner.Endpoint {
	return planner.Endpoint{
		ID: id, DataCentre: centre, Rate: 20000, Adapters: []string{"oak"},
		Held: []planner.Held{{Model: "m", Version: "1", From: from, To: to}},
	}
}

// baseQuery is the query from which the tests derive theirs.
var baseQuery = Query{Model: "m", Version: "1", Layers: 20, DataCentre: "x"}

// countPicks picks n plans and returns how often each endpoint is used.
func countPicks(p *Picker, now time.Time, q Query, n int) (map[string]int, Refusal) {
	r := rand.New(rand.NewPCG(1, 2))
	used := map[string]int{}
	for range n {
		plan, refusal := p.Pick(now, q, r)
		if refusal.Refused() {
			return used, refusal
		}
		if !planner.Covers(plan.Stages, q.Layers) {
			panic(fmt.Sprint("a plan that does not cover the layers: ", plan))
		}
		for _, s := range plan.Stages {
			used[s.Endpoint]++
		}
	}
	return used, Refusal{}
}

func TestPick(t *testing.T) {
	fleet := []planner.Endpoint{holder("a", "x", 0, 10), holder("b", "x", 0, 10), holder("c", "x", 10, 20)}
	cases := []struct {
		name   string
		health fixedHealth
		feed   func(p *Picker)
		query  func(q *Query)
		// never lists endpoints that must not be used, and always those that every plan must use.
		never  []string
		always []string
		want   Refusal
	}{
		{name: "all healthy", always: []string{"c"}},
		{name: "a leaving endpoint", feed: func(p *Picker) {
			p.MarkLeaving(startTime, "a")
			p.Observe(startTime, fleet[0], Report{At: startTime.Add(time.Millisecond)})
		}, never: []string{"a"}, always: []string{"b", "c"}},
		{name: "the last of a layer leaves", feed: func(p *Picker) { p.MarkLeaving(startTime, "c") },
			want: Refusal{Reason: ReasonUncovered, RetryAfter: retryAfterCover}},
		{name: "a removed endpoint", feed: func(p *Picker) { p.Remove(startTime, "b") }, always: []string{"a", "c"}},
		{name: "an ejected endpoint", health: fixedHealth{"a": 0}, never: []string{"a"}, always: []string{"b", "c"}},
		{name: "an ejected endpoint that is the last of a layer", health: fixedHealth{"c": 0}, always: []string{"c"}},
		{name: "an endpoint to avoid", query: func(q *Query) { q.Avoid = []string{"b"} }, never: []string{"b"}},
		{name: "an endpoint to avoid that is the last of a layer", query: func(q *Query) { q.Avoid = []string{"c"} },
			want: Refusal{Reason: ReasonUncovered, RetryAfter: retryAfterCover}},
		{name: "an adapter that is loaded", query: func(q *Query) { q.Adapter = "oak" }, always: []string{"c"}},
		{name: "an adapter that is not", query: func(q *Query) { q.Adapter = "elm" },
			want: Refusal{Reason: ReasonUncovered, RetryAfter: retryAfterCover}},
		{name: "another version", query: func(q *Query) { q.Version = "2" },
			want: Refusal{Reason: ReasonUncovered, RetryAfter: retryAfterCover}},
		{name: "the less loaded endpoint", feed: func(p *Picker) {
			p.Observe(startTime, fleet[0], Report{Running: 79, At: startTime.Add(time.Millisecond)})
		}, never: []string{"a"}, always: []string{"b"}},
		{name: "a range that is too busy", feed: func(p *Picker) {
			p.Observe(startTime, fleet[2], Report{Running: 80, At: startTime.Add(time.Millisecond)})
			p.changeInflight(startTime.Add(time.Second), planner.Plan{Stages: []planner.Stage{{Endpoint: "c", From: 10, To: 20}}}, 80)
		}, want: Refusal{Reason: ReasonBusy, RetryAfter: retryAfterBusy}},
		{name: "a range that is slow and idle", feed: func(p *Picker) {
			p.Observe(startTime, fleet[2], Report{Rate: 1, At: startTime.Add(time.Millisecond)})
		}, always: []string{"c"}},
		{name: "a cached prefix", feed: func(p *Picker) { p.ObserveCacheEvent(startTime, "b", 7, false) },
			query: func(q *Query) { q.Prefixes = []uint64{6, 7} }, always: []string{"b"}},
		{name: "a cached prefix on a busier endpoint", feed: func(p *Picker) {
			p.ObserveCacheEvent(startTime, "b", 7, false)
			p.Observe(startTime, fleet[1], Report{Running: 40, At: startTime.Add(time.Millisecond)})
		}, query: func(q *Query) { q.Prefixes = []uint64{6, 7} }, never: []string{"b"}},
		{name: "alone where nothing runs", query: func(q *Query) { q.Exclusive = true }, always: []string{"c"}},
		{name: "alone where something runs", feed: func(p *Picker) {
			p.Observe(startTime, fleet[2], Report{Running: 1, At: startTime.Add(time.Millisecond)})
		}, query: func(q *Query) { q.Exclusive = true }, want: Refusal{Reason: ReasonBusy, RetryAfter: retryAfterBusy}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := New(WithHealth(c.health), WithMaxRoundTime(40*time.Millisecond))
			for _, e := range fleet {
				p.Observe(startTime, e, Report{At: startTime})
			}
			if c.feed != nil {
				c.feed(p)
			}
			q := baseQuery
			if c.query != nil {
				c.query(&q)
			}
			const picks = 50
			used, refusal := countPicks(p, startTime.Add(time.Second), q, picks)
			if diff := cmp.Diff(c.want, refusal); diff != "" {
				t.Errorf("Refusal mismatch (-want +got):\n%s", diff)
			}
			for _, id := range c.never {
				if used[id] > 0 {
					t.Errorf("%s was used %d times, want never", id, used[id])
				}
			}
			for _, id := range c.always {
				if used[id] != picks {
					t.Errorf("%s was used %d times, want always (%d)", id, used[id], picks)
				}
			}
		})
	}
}

// TestSlowStart checks that an endpoint that joins a running fleet gets little work at first.
func TestSlowStart(t *testing.T) {
	p := New(WithChoices(1))
	later := startTime
	for range 10 {
		later = later.Add(defaultStaleAfter)
		p.Observe(later, holder("old", "x", 0, 20), Report{At: later})
	}
	p.Observe(later, holder("new", "x", 0, 20), Report{At: later})
	first, _ := countPicks(p, later, baseQuery, 400)
	then, _ := countPicks(p, later.Add(defaultSlowStart), baseQuery, 400)
	if first["new"] >= then["new"] || first["new"] == 0 {
		t.Errorf("a new endpoint got %d of 400 at first and %d later, want some and then more", first["new"], then["new"])
	}
}

// TestLateReports checks the estimated load of an endpoint when reports arrive late and out of order.
func TestLateReports(t *testing.T) {
	e := holder("a", "x", 0, 20)
	plan := planner.Plan{Stages: []planner.Stage{{Endpoint: "a", From: 0, To: 20}}}
	p := New()
	p.Observe(startTime, e, Report{Running: 5, At: startTime})
	p.StartRequest(startTime.Add(time.Second), plan, 10)
	p.StartRequest(startTime.Add(2*time.Second), plan, 10)
	var got []float64
	recordRunning := func() { got = append(got, p.State(startTime.Add(3 * time.Second)).Endpoints[0].Running) }
	recordRunning()
	p.Observe(startTime.Add(3*time.Second), e, Report{Running: 9, At: startTime.Add(1500 * time.Millisecond)})
	recordRunning()
	p.Observe(startTime.Add(3*time.Second), e, Report{Running: 1, At: startTime.Add(500 * time.Millisecond)})
	recordRunning()
	p.FinishRequest(startTime.Add(3*time.Second), plan, Result{})
	recordRunning()
	if diff := cmp.Diff([]float64{7, 10, 10, 9}, got); diff != "" {
		t.Errorf("Running mismatch (-want +got):\n%s", diff)
	}
}

// TestPickCovers draws fleets and events. It checks that each plan covers the layers once and in order with endpoints
// that hold them and are not leaving, and that a plan is found whenever one exists.
func TestPickCovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		health, p := fixedHealth{}, (*Picker)(nil)
		p = New(WithHealth(health))
		held := map[string]planner.Held{}
		for i := range rapid.IntRange(1, 10).Draw(t, "endpoints") {
			from := rapid.IntRange(0, 3).Draw(t, "from")
			to := rapid.IntRange(from+1, 4).Draw(t, "to")
			e := holder(fmt.Sprint(i), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "centre"), from*5, to*5)
			p.Observe(startTime, e, Report{At: startTime})
			if rapid.IntRange(0, 4).Draw(t, "health") == 0 {
				health[e.ID] = 0
			}
			if rapid.IntRange(0, 4).Draw(t, "leave") == 0 {
				p.MarkLeaving(startTime, e.ID)
				continue
			}
			held[e.ID] = e.Held[0]
		}
		covered := true
		for layer := range baseQuery.Layers {
			any := false
			for _, h := range held {
				any = any || h.From <= layer && layer < h.To
			}
			covered = covered && any
		}
		plan, refusal := p.Pick(startTime, baseQuery, r)
		if refusal.Refused() == covered {
			t.Fatalf("Pick refused = %v (%+v), want %v", refusal.Refused(), refusal, !covered)
		}
		if !covered {
			return
		}
		if !planner.Covers(plan.Stages, baseQuery.Layers) {
			t.Fatalf("stages %+v do not cover the layers", plan.Stages)
		}
		for _, s := range plan.Stages {
			h, ok := held[s.Endpoint]
			if !ok || s.From < h.From || s.To > h.To {
				t.Fatalf("stage %+v is not held by its endpoint (%+v)", s, h)
			}
		}
	})
}
