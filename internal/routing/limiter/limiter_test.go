package limiter

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// begin is the time at which the tests begin.
var begin = time.Unix(1000, 0)

// admit asks n times and returns how many were admitted.
func admit(l *Limiter, now time.Time, team string, n int) int {
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
		{"a team without a limit", func(l *Limiter) int { return admit(l, begin, "free", 100) }, 100},
		{"a burst of two seconds", func(l *Limiter) int { return admit(l, begin, "a", 100) }, 20},
		{"the rate after the burst", func(l *Limiter) int {
			admit(l, begin, "a", 100)
			return admit(l, begin.Add(time.Second), "a", 100)
		}, 10},
		{"a peer's admissions count", func(l *Limiter) int {
			l.Merge(begin, "p", Counts{"a": {Requests: 5}})
			l.Merge(begin, "p", Counts{"a": {Requests: 25}})
			return admit(l, begin, "a", 100)
		}, 0},
		{"counts that arrive twice or out of order count once", func(l *Limiter) int {
			l.Merge(begin, "p", Counts{})
			l.Merge(begin, "p", Counts{"a": {Requests: 12}})
			l.Merge(begin, "p", Counts{"a": {Requests: 6}})
			l.Merge(begin, "p", Counts{"a": {Requests: 12}})
			return admit(l, begin, "a", 100)
		}, 2},
		{"without a peer the instance falls back to its part", func(l *Limiter) int {
			l.Expect(begin, 4)
			return admit(l, begin, "a", 100)
		}, 5},
		{"a request larger than the bucket is not refused for ever", func(l *Limiter) int {
			if l.Admit(begin, "tokens", 1, 5000).Admitted {
				return 1
			}
			return 0
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New()
			l.SetLimits(begin, limits)
			if diff := cmp.Diff(c.want, c.run(l)); diff != "" {
				t.Errorf("admitted mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestError draws how callers spread over instances that exchange counts, or are cut off, and checks the stated bound on
// what the fleet admits.
func TestError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, interval = 50.0, 500 * time.Millisecond
		n := rapid.IntRange(1, 7).Draw(t, "instances")
		cut := rapid.Bool().Draw(t, "cut")
		var fleet []*Limiter
		for range n {
			l := New()
			l.SetLimits(begin, map[string]Limit{"a": {Requests: limit}})
			l.Expect(begin, n)
			fleet = append(fleet, l)
		}
		admitted, now := 0, begin
		for range 40 {
			for i, l := range fleet {
				offered := rapid.IntRange(0, 60).Draw(t, "offered")
				admitted += admit(l, now.Add(time.Duration(i)*time.Millisecond), "a", offered)
			}
			now = now.Add(interval)
			if cut {
				continue
			}
			for i, l := range fleet {
				for j, peer := range fleet {
					if i != j {
						peer.Merge(now, fmt.Sprint(i), l.Counts(now))
					}
				}
			}
		}
		bucket := limit * defaultBurst.Seconds()
		bound := limit*now.Sub(begin).Seconds() + bucket + bucket*float64(n+1)/2 + float64(n)
		if float64(admitted) > bound {
			t.Errorf("%d instances admitted %d, want at most %v", n, admitted, bound)
		}
	})
}

func TestBudget(t *testing.T) {
	b := NewBudget(0.1, 1)
	for range 100 {
		b.Request(begin)
	}
	retries := 0
	for range 50 {
		if b.Retry(begin) {
			retries++
		}
	}
	// A tenth of 100 requests, and the one retry that the floor allows in the first second.
	if diff := cmp.Diff(11, retries); diff != "" {
		t.Errorf("retries mismatch (-want +got):\n%s", diff)
	}
	if !b.Retry(begin.Add(time.Second)) {
		t.Error("Retry after a second = false, want the floor's retry")
	}
}
