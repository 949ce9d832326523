package selector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestCallsStayWhileThatPaysOff guards against calls that cross between data centres for nothing, and against calls that stay where
// endpoints are full, slow or failing.
func TestCallsStayWhileThatPaysOff(t *testing.T) {
	calls := func(a, b float64) map[string]float64 { return map[string]float64{"a": a, "b": b, "c": b} }
	for _, c := range []struct {
		name   string
		calls  map[string]float64
		change func(s *Selector, now time.Time)
		// min and max bound the share of calls whose preferred endpoint is in the own data centre.
		min, max float64
	}{
		{"idle", nil, nil, 1, 1},
		{"others busier", calls(1, 3), nil, 1, 1},
		{"own endpoint busier than others", calls(1.7, 1.3), nil, 0.3, 0.6},
		{"own endpoint full", calls(6, 5), nil, 0.2, 0.45},
		{"own endpoint slow", nil, func(s *Selector, now time.Time) {
			for range 50 {
				s.RecordResult(now, "a", false, time.Second)
			}
		}, 0, 0.1},
		{"own endpoint fails", nil, func(s *Selector, now time.Time) {
			s.RecordResult(now, "a", true, 0)
			s.RecordResult(now, "a", true, 0)
		}, 0, 0},
		{"own endpoint has failed a call", nil, func(s *Selector, now time.Time) { s.RecordResult(now, "a", true, 0) }, 0.2, 0.45},
		{"own endpoint has refused a call", nil, func(s *Selector, now time.Time) {
			s.BeginCall("a")
			s.EndCall(now, "a", true)
		}, 0.2, 0.45},
		{"latency not known", nil, func(s *Selector, now time.Time) { s.Reset("b") }, 0.05, 0.45},
		{"no links known", nil, func(s *Selector, now time.Time) { s.Centre = ""; delete(s.spillers, "stock") }, 0.2, 0.45},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, now, random := New(), start, rand.New(rand.NewPCG(1, 1))
			s.Centre = "a"
			for _, id := range []string{"a", "b", "c"} {
				s.Observe(now, id, id, "stock")
				s.Place(id, id, 6)
				for range 50 {
					s.RecordResult(now, id, false, 10*time.Millisecond)
				}
			}
			for range 40 {
				now = now.Add(120 * time.Millisecond)
				s.MergePeerCalls(now, "stock", c.calls)
			}
			if c.change != nil {
				c.change(s, now)
			}
			own := 0.0
			for range 1000 {
				if list := s.Choose(now, "stock", random); len(list) != 3 {
					t.Fatalf("%d endpoints, want all 3 for retries", len(list))
				} else if list[0].ID == "a" {
					own += 0.001
				}
			}
			if own < c.min-0.001 || own > c.max+0.001 {
				t.Errorf("%.2f of the calls stay, want %.2f to %.2f", own, c.min, c.max)
			}
		})
	}
}

// TestCallsInProgress checks that the calls stated to the other instances are those in progress.
func TestCallsInProgress(t *testing.T) {
	s := New()
	s.Observe(start, "a", "x", "stock")
	s.BeginCall("a")
	s.BeginCall("a")
	s.EndCall(start, "a", false)
	if got := fmt.Sprint(s.Calls("stock"), s.Calls("orders")); got != "map[a:1] map[]" {
		t.Errorf("calls %s", got)
	}
}
