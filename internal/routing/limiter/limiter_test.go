package limiter

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// startTime is the time at which the tests begin.
var startTime = time.Unix(1000, 0)

// countAdmitted makes n requests and returns how many are admitted.
func countAdmitted(l *Limiter, now time.Time, team string, n int) int {
	admitted := 0
	for range n {
		if l.Admit(now, team, 1, 0).Admitted {
			admitted++
		}
	}
	return admitted
}

func TestAdmit(t *testing.T) {
	limits := map[string]Limit{"a": {Requests: 10}, "tokens": {Tokens: 100}}
	cases := []struct {
		name string
		run  func(l *Limiter) int
		want int
	}{
		{"a team without a limit", func(l *Limiter) int { return countAdmitted(l, startTime, "free", 100) }, 100},
		{"a burst of two seconds", func(l *Limiter) int { return countAdmitted(l, startTime, "a", 100) }, 20},
		{"the rate after the burst", func(l *Limiter) int {
			countAdmitted(l, startTime, "a", 100)
			return countAdmitted(l, startTime.Add(time.Second), "a", 100)
		}, 10},
		{"a peer's admissions count", func(l *Limiter) int {
			l.MergePeerCounts(startTime, "p", Counts{"a": {Requests: 5}})
			l.MergePeerCounts(startTime, "p", Counts{"a": {Requests: 25}})
			return countAdmitted(l, startTime, "a", 100)
		}, 0},
		{"counts that arrive twice or out of order count once", func(l *Limiter) int {
			l.MergePeerCounts(startTime, "p", Counts{})
			l.MergePeerCounts(startTime, "p", Counts{"a": {Requests: 12}})
			l.MergePeerCounts(startTime, "p", Counts{"a": {Requests: 6}})
			l.MergePeerCounts(startTime, "p", Counts{"a": {Requests: 12}})
			return countAdmitted(l, startTime, "a", 100)
		}, 2},
		{"without a live peer an instance falls back to its share", func(l *Limiter) int {
			l.SetInstanceCount(startTime, 4)
			return countAdmitted(l, startTime, "a", 100)
		}, 5},
		{"a request larger than the bucket is not rejected forever", func(l *Limiter) int {
			if l.Admit(startTime, "tokens", 1, 5000).Admitted {
				return 1
			}
			return 0
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New()
			l.SetLimits(startTime, limits)
			if diff := cmp.Diff(c.want, c.run(l)); diff != "" {
				t.Errorf("admitted mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestError draws how callers spread over instances that exchange counts or are cut off from each other, and checks
// the documented bound on what the fleet admits.
func TestError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, interval = 50.0, 500 * time.Millisecond
		n := rapid.IntRange(1, 7).Draw(t, "instances")
		isCutOff := rapid.Bool().Draw(t, "cut")
		var fleet []*Limiter
		for range n {
			l := New()
			l.SetLimits(startTime, map[string]Limit{"a": {Requests: limit}})
			l.SetInstanceCount(startTime, n)
			fleet = append(fleet, l)
		}
		admitted, now := 0, startTime
		for range 40 {
			for i, l := range fleet {
				offered := rapid.IntRange(0, 60).Draw(t, "offered")
				admitted += countAdmitted(l, now.Add(time.Duration(i)*time.Millisecond), "a", offered)
			}
			now = now.Add(interval)
			if isCutOff {
				continue
			}
			for i, l := range fleet {
				for j, peer := range fleet {
					if i != j {
						peer.MergePeerCounts(now, fmt.Sprint(i), l.Counts(now))
					}
				}
			}
		}
		bucket := limit * defaultBurst.Seconds()
		bound := limit*now.Sub(startTime).Seconds() + bucket + bucket*float64(n+1)/2 + float64(n)
		if float64(admitted) > bound {
			t.Errorf("%d instances admitted %d, want at most %v", n, admitted, bound)
		}
	})
}

func TestBudget(t *testing.T) {
	b := NewRetryBudget(0.1, 1)
	for range 100 {
		b.RecordRequest(startTime)
	}
	retries := 0
	for range 50 {
		if b.AllowRetry(startTime) {
			retries++
		}
	}
	// A tenth of the 100 requests, and the one retry that the floor allows in the first second.
	if diff := cmp.Diff(11, retries); diff != "" {
		t.Errorf("retries mismatch (-want +got):\n%s", diff)
	}
	if !b.AllowRetry(startTime.Add(time.Second)) {
		t.Error("Retry after a second = false, want the floor's retry")
	}
}
