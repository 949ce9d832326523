package repairer

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var (
	start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	need  = []Need{{Model: "oak", Version: "v1", Layers: 30}}
)

func layers(from, to int) Range {
	return Range{Model: "oak", Version: "v1", From: from, To: to}
}

func engine(id string, rate float64, held ...Range) Endpoint {
	return Endpoint{ID: id, Kind: "a", Rate: rate, Held: held}
}

func newRepairer() *Repairer {
	s := DefaultSettings()
	s.LayersPerSecond = 10
	return New(s, func(n int64) string { return fmt.Sprint("o", n) })
}

// nextAfterGrace plans once at the start and once after the grace period, and returns the loads of the second time.
func nextAfterGrace(r *Repairer, endpoints ...Endpoint) []Load {
	r.NextLoads(start, need, endpoints)
	return r.NextLoads(start.Add(r.Settings.GracePeriod), need, endpoints)
}

func TestNext(t *testing.T) {
	full := []Endpoint{engine("e1", 1, layers(0, 10)), engine("e2", 1, layers(10, 30))}
	unavailable := engine("e2", 1, layers(10, 30))
	unavailable.Unavailable = true
	busy := engine("s9", 9)
	busy.Busy = true
	cases := []struct {
		name      string
		endpoints []Endpoint
		want      []Load
		event     string
	}{
		{"all held", append(full, engine("s1", 1)), nil, ""},
		{"fastest spare", []Endpoint{full[0], unavailable, engine("s1", 1), engine("s2", 2), busy},
			[]Load{{"o1", "s2", layers(10, 30), start.Add(3 * time.Second)}}, EventOrdered},
		{"no spare", []Endpoint{full[0], unavailable}, nil, EventWaiting},
		{"only a busy spare", []Endpoint{full[0], unavailable, busy}, nil, EventWaiting},
		{"no more than the kind can hold", []Endpoint{full[0], engine("s1", 1)},
			[]Load{{"o1", "s1", layers(10, 20), start.Add(3 * time.Second)}}, EventOrdered},
		{"gap in the middle", []Endpoint{engine("e1", 1, layers(0, 25)), engine("e3", 1, layers(27, 30)), engine("s1", 1)},
			[]Load{{"o1", "s1", layers(25, 27), start.Add(3 * time.Second)}}, EventOrdered},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRepairer()
			if diff := cmp.Diff(c.want, nextAfterGrace(r, c.endpoints...)); diff != "" {
				t.Errorf("orders mismatch (-want +got):\n%s", diff)
			}
			event := ""
			if len(r.Events) > 0 {
				event = r.Events[len(r.Events)-1].What
			}
			if diff := cmp.Diff(c.event, event); diff != "" {
				t.Errorf("event mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPolicies checks that loads follow the replicas of the stages of a model and the ranges that the records of
// endpoints allow.
func TestPolicies(t *testing.T) {
	at := start.Add(3 * time.Second)
	restricted := func(e Endpoint, allowed ...Range) Endpoint {
		e.Allowed = allowed
		return e
	}
	oak := func(from, to int) Range { return Range{Model: "oak", From: from, To: to} }
	cases := []struct {
		name      string
		stages    []Stage
		endpoints []Endpoint
		want      []Load
	}{
		{"one replica short", []Stage{{0, 10, 2}, {10, 30, 1}},
			[]Endpoint{engine("e1", 1, layers(0, 30)), engine("s1", 1)}, []Load{{"o1", "s1", layers(0, 10), at}}},
		{"enough replicas", []Stage{{0, 30, 2}},
			[]Endpoint{engine("e1", 1, layers(0, 30)), engine("e2", 1, layers(0, 30)), engine("s1", 1)}, nil},
		{"a layer that no endpoint holds goes first", []Stage{{0, 20, 3}, {20, 30, 1}},
			[]Endpoint{engine("e1", 1, layers(0, 20)), engine("s1", 1)}, []Load{{"o1", "s1", layers(20, 30), at}}},
		{"only an allowed range", nil,
			[]Endpoint{engine("e1", 1, layers(0, 10)), restricted(engine("s1", 1), oak(0, 10), oak(15, 25))},
			[]Load{{"o1", "s1", layers(15, 25), at}}},
		{"restricted to the range before unrestricted", nil,
			[]Endpoint{engine("e1", 1, layers(0, 20)), engine("s1", 9), restricted(engine("s2", 1), oak(20, 30))},
			[]Load{{"o1", "s2", layers(20, 30), at}}},
		{"allowed another model", nil,
			[]Endpoint{engine("e1", 1, layers(0, 20)), restricted(engine("s1", 1), Range{Model: "elm", To: 30})}, nil},
		{"a range without a spare does not block the next", nil,
			[]Endpoint{engine("e1", 1, layers(10, 20)), restricted(engine("s1", 1), oak(20, 30))},
			[]Load{{"o1", "s1", layers(20, 30), at}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRepairer()
			needs := []Need{{Model: "oak", Version: "v1", Layers: 30, Stages: c.stages}}
			r.CapacityByKind["a"] = 10
			r.NextLoads(start, needs, c.endpoints)
			if diff := cmp.Diff(c.want, r.NextLoads(at, needs, c.endpoints)); diff != "" {
				t.Errorf("orders mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestLoadIsConfirmedByReport(t *testing.T) {
	r := newRepairer()
	nextAfterGrace(r, engine("s1", 1))
	if got := r.NextLoads(start.Add(time.Minute), need, []Endpoint{engine("s1", 1), engine("s2", 1)}); got != nil {
		t.Errorf("a range in flight was ordered again: %+v", got)
	}
	r.NextLoads(start.Add(time.Minute), need, []Endpoint{engine("s1", 1, layers(0, 30))})
	if e := r.Events[len(r.Events)-1]; e.What != EventLoaded || len(r.Loads) != 0 {
		t.Errorf("last event is %+v, %d loads", e, len(r.Loads))
	}
}

func TestFailedLoadGoesToAnother(t *testing.T) {
	r := newRepairer()
	nextAfterGrace(r, engine("s1", 2), engine("s2", 1))
	late := start.Add(r.Settings.GracePeriod + r.Settings.LoadTimeout + time.Second)
	endpoints := []Endpoint{engine("s1", 2), engine("s2", 1)}
	r.NextLoads(start.Add(time.Minute), need, endpoints)
	got := r.NextLoads(late, need, endpoints)
	want := []Load{{"o2", "s2", layers(0, 30), late}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("orders mismatch (-want +got):\n%s", diff)
	}
}

func TestWeightStoreRate(t *testing.T) {
	r := newRepairer()
	var spares []Endpoint
	for i := range 6 {
		spares = append(spares, engine(fmt.Sprint("s", i), 1))
	}
	r.CapacityByKind["a"] = 10
	total := 0
	for second := range 4 {
		for _, l := range r.NextLoads(start.Add(time.Duration(second)*time.Second), need, spares) {
			total += l.Range.To - l.Range.From
		}
	}
	if total != 10 {
		t.Errorf("%d layers were ordered in the first second after the grace, want 10", total)
	}
}
