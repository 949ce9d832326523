package spiller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// startTime is when the tests begin.
var startTime = time.Unix(1000, 0)

// newSpiller returns a spiller of data centre a with a usual request of 3 s.
func newSpiller() *Spiller {
	s := New("a")
	s.RequestTime, s.RequestMB = 3*time.Second, TextMB(800, 220)
	s.Links = Links{MBPerSecond: 830, CostPerMB: 4 * time.Millisecond}
	return s
}

// loads returns the loads of data centres a, b and so on, each of 1,000 tokens.
func loads(fills ...float64) map[string]Load {
	out := map[string]Load{}
	for i, fill := range fills {
		out[string(rune('a'+i))] = Load{Capacity: 1000, Used: 1000 * fill}
	}
	return out
}

// settle updates a spiller with the same loads for 5 s and returns the time after it.
func settle(s *Spiller, now time.Time, l map[string]Load) time.Time {
	for range 25 {
		now = now.Add(200 * time.Millisecond)
		s.Update(now, l)
	}
	return now
}

func TestShares(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []float64
		loads  map[string]Load
		b, c   float64
	}{
		{"own endpoints have room", nil, loads(0.65, 0.1, 0.1), 0, 0},
		{"own endpoints busy", nil, loads(0.9, 0.3, 0.9), 1, 0},
		{"both others idle", nil, loads(0.9, 0.3, 0.3), 0.5, 0.5},
		{"all as busy", nil, loads(0.9, 0.9, 0.9), 0, 0},
		{"the others' own callers need what is left", nil, loads(0.92, 0.8, 0.8), 0, 0},
		{"a part of the room of another", nil, loads(0.92, 0.65, 0.9), 0.5, 0},
		{"the own one lacks a layer", nil, map[string]Load{"a": {}, "b": {Capacity: 1000}}, 1, 0},
		{"another lacks a layer", nil, map[string]Load{"a": {Capacity: 1000, Used: 900}, "b": {}}, 0, 0},
		{"between the thresholds, closed before", []float64{0.3, 0.1, 0.9}, loads(0.65, 0.1, 0.9), 0, 0},
		{"between the thresholds, open before", []float64{0.9, 0.1, 0.9}, loads(0.65, 0.1, 0.9), 0.91, 0},
		{"below the thresholds, open before", []float64{0.9, 0.1, 0.9}, loads(0.55, 0.1, 0.9), 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, now := newSpiller(), startTime
			if c.before != nil {
				now = settle(s, now, loads(c.before...))
			}
			now = settle(s, now, c.loads)
			if b, c1 := s.Share(now, "b"), s.Share(now, "c"); max(b-c.b, c.b-b, c1-c.c, c.c-c1) > 0.02 {
				t.Errorf("shares %.2f and %.2f, want %.2f and %.2f", b, c1, c.b, c.c)
			}
		})
	}
}

// TestInstancesLeaveByShares guards against instances that all leave or all return at once: as many requests leave as the share says,
// and it moves in steps.
func TestInstancesLeaveByShares(t *testing.T) {
	s := newSpiller()
	now := settle(s, startTime, loads(0.92, 0.65, 0.9))
	random := rand.New(rand.NewPCG(1, 1))
	left := 0
	for range 10000 {
		if s.Destination(now, random.Float64) == "b" {
			left++
		}
	}
	if share := s.Share(now, "b"); share < 0.4 || max(float64(left)/10000-share, share-float64(left)/10000) > 0.02 {
		t.Errorf("%d of 10000 requests left, at a share of %.2f", left, share)
	}
	for _, l := range []map[string]Load{loads(0.5, 0.9, 0.9), loads(0.92, 0.1, 0.9)} {
		before := s.Share(now, "b")
		now = now.Add(200 * time.Millisecond)
		s.Update(now, l)
		if after := s.Share(now, "b"); max(after-before, before-after) > 0.41 || after == before {
			t.Errorf("share from %.2f to %.2f within 0.2 s", before, after)
		}
	}
}

// TestStaleAccounts guards against requests that go on leaving by loads that are seconds old.
func TestStaleAccounts(t *testing.T) {
	s := newSpiller()
	now := settle(s, startTime, loads(0.9, 0.1))
	s.TakeChanges(now)
	var got []float64
	for range 4 {
		got = append(got, s.Share(now, "b"))
		now = now.Add(750 * time.Millisecond)
	}
	if diff := cmp.Diff([]float64{1, 1, 0.5, 0}, got); diff != "" {
		t.Errorf("shares at 0, 0.75, 1.5 and 2.25 s mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]Change{{"b", 0, 1, Stale}}, s.TakeChanges(now)); diff != "" {
		t.Errorf("changes mismatch (-want +got):\n%s", diff)
	}
}

// TestUnreachableCentre guards against requests that are sent on and on into a data centre of which no endpoint responds, and against
// one that is closed for single endpoints.
func TestUnreachableCentre(t *testing.T) {
	s := newSpiller()
	now := settle(s, startTime, loads(0.9, 0.1))
	for i := range 2 * outageEndpoints {
		s.RecordFailure(now, "b", fmt.Sprint(i))
		s.RecordFailure(now, "b", fmt.Sprint(i, "as well"))
		s.RecordSuccess(now, "b")
		s.RecordFailure(now, "a", fmt.Sprint(i))
	}
	for i := range 2 * outageEndpoints {
		s.RecordFailure(now, "b", fmt.Sprint(i))
	}
	if s.IsAnyClosed(now) {
		t.Error("closed although endpoints responded in between")
	}
	now = now.Add(respondedTime)
	for i := range outageEndpoints {
		s.RecordFailure(now, "b", fmt.Sprint(i))
	}
	s.Update(now, loads(0.9, 0.1))
	if !s.IsClosed(now, "b") || s.Share(now, "b") != 0 {
		t.Errorf("share %.2f after %d endpoints did not respond", s.Share(now, "b"), outageEndpoints)
	}
	now = now.Add(minClosedTime)
	s.RecordFailure(now, "b", "0")
	if !s.IsClosed(now.Add(2*minClosedTime-time.Millisecond), "b") {
		t.Error("one failure after the first trial does not close for twice as long")
	}
	now = settle(s, now.Add(2*minClosedTime), loads(0.9, 0.1))
	if share := s.Share(now, "b"); share != trialShare {
		t.Errorf("share %.2f before an endpoint responds", share)
	}
	s.RecordSuccess(now, "b")
	now = settle(s, now, loads(0.9, 0.1))
	if s.IsClosed(now, "b") || s.Share(now, "b") != 1 {
		t.Errorf("share %.2f after an endpoint responded", s.Share(now, "b"))
	}
}

// TestCrossingCost guards against paths that cross a slow link, or cross for nothing.
func TestCrossingCost(t *testing.T) {
	s := newSpiller()
	now := settle(s, startTime, loads(0.5, 0.1))
	stay := Crossing{From: "a", To: "b", IsFirst: true, PromptTokens: 800, AnswerTokens: 220, TokenMB: 0.0246}
	chosen, hop := stay, stay
	chosen.IsChosen, hop.IsFirst = true, false
	costs := func() (a, b, c time.Duration) {
		return s.CrossingCost(now, chosen), s.CrossingCost(now, stay), s.CrossingCost(now, hop)
	}
	a, b, c := costs()
	if !(a < s.RequestTime/8 && a < b && b < c) {
		t.Errorf("costs %v of a chosen request, %v of another, %v of a hop between stages", a, b, c)
	}
	for range 8 {
		s.RecordFirstEvent(now, hop, 300*time.Millisecond)
		s.RecordFirstEvent(now, chosen, 100*time.Millisecond)
	}
	if a1, _, c1 := costs(); a1 < a+FirstEventWeight*80*time.Millisecond || c1 < c+FirstEventWeight*240*time.Millisecond {
		t.Errorf("costs %v and %v after late first events, %v and %v before", a1, c1, a, c)
	}
	s.Links.MBPerSecond /= 10
	if _, perToken := s.Links.Times(hop); perToken < 300*time.Microsecond {
		t.Errorf("a token takes %v more over a link at a tenth of its rate", perToken)
	}
	now = settle(s, now, map[string]Load{"a": {}, "b": {Capacity: 1000}})
	if _, b1, _ := costs(); b1 > b/2 {
		t.Errorf("cost %v of leaving a data centre without layers", b1)
	}
}
