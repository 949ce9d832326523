package collector

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/heatherrock/heatherrock/internal/routing/limiter"
)

// TestMergeReport checks for any order of reports, including late and repeated ones, that an instance gets the sum of the
// counts that the others have reported, and never less than before.
func TestMergeReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(time.Minute)
		now := time.Unix(1000, 0)
		reported := map[string]float64{}
		lastSums := map[string]float64{}
		for range rapid.IntRange(1, 50).Draw(t, "batches") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Second)
			owner := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "owner"))
			count := float64(rapid.IntRange(0, 100).Draw(t, "count"))
			if _, ok := c.Owners[owner]; !ok || now.Sub(c.Owners[owner].LastReportAt) > c.Retention {
				owner += fmt.Sprint("-", now.Unix())
			}
			got := c.MergeReport(now, owner, limiter.Counts{"team": {Requests: count}})["team"].Requests
			reported[owner] = max(reported[owner], count)
			want := 0.0
			for other, h := range reported {
				if other != owner {
					want += h
				}
			}
			if got != want || got < lastSums[owner] {
				t.Fatalf("%s gets %v, want %v, before %v", owner, got, want, lastSums[owner])
			}
			lastSums[owner] = got
		}
	})
}

func TestBatches(t *testing.T) {
	home := func(h string) func(string) string { return func(string) string { return h } }
	own := limiter.Counts{"a": {Requests: 1}, "b": {Requests: 2}}
	// next returns the first batch for the home h within as many rounds as there are slots.
	next := func(s *Sender, own limiter.Counts, h string) limiter.Counts {
		for range s.Slots {
			if b := s.Batches(own, home(h))[h]; b != nil {
				return b
			}
		}
		return nil
	}
	s := NewSender(4)
	if diff := cmp.Diff(own, next(s, own, "x")); diff != "" {
		t.Errorf("first batch mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(own, next(s, own, "x")); diff != "" {
		t.Errorf("batch without a confirmation mismatch (-want +got):\n%s", diff)
	}
	s.Confirm("x", own)
	if diff := cmp.Diff(limiter.Counts(nil), next(s, own, "x")); diff != "" {
		t.Errorf("batch without a change mismatch (-want +got):\n%s", diff)
	}
	changed := limiter.Counts{"a": {Requests: 1}, "b": {Requests: 3}}
	if diff := cmp.Diff(limiter.Counts{"b": {Requests: 3}}, next(s, changed, "x")); diff != "" {
		t.Errorf("batch after a change mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(changed, next(s, changed, "y")); diff != "" {
		t.Errorf("batch to another home mismatch (-want +got):\n%s", diff)
	}
}
