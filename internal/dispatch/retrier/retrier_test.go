package retrier

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestBudgetBoundsTheShareOfRepeats(t *testing.T) {
	b := Budget{Percent: 20, Reserve: 5}
	spent := 0
	for range 1000 {
		b.Earn()
		if b.Spend() {
			spent++
		}
	}
	if diff := cmp.Diff(200, spent); diff != "" {
		t.Errorf("repeats mismatch (-want +got):\n%s", diff)
	}
}

func TestBudgetIsCappedByReserve(t *testing.T) {
	b := Budget{Percent: 20, Reserve: 5}
	for range 1000 {
		b.Earn()
	}
	spent := 0
	for b.Spend() {
		spent++
	}
	if diff := cmp.Diff(5, spent); diff != "" {
		t.Errorf("repeats mismatch (-want +got):\n%s", diff)
	}
}

func TestHedger(t *testing.T) {
	ms := time.Millisecond
	cases := []struct {
		name      string
		latencies func(n int) time.Duration
		calls     int
		delay     time.Duration
		hedged    bool
	}{
		{"too few", func(int) time.Duration { return ms }, minSamples - 1, 0, false},
		{"narrow", func(n int) time.Duration { return time.Duration(10+n%3) * ms }, 200, 12 * ms, false},
		{"long tail", func(n int) time.Duration {
			if n%10 == 0 {
				return 100 * ms
			}
			return 10 * ms
		}, 200, 100 * ms, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var h Hedger
			for n := range c.calls {
				h.Observe(c.latencies(n))
			}
			delay, hedged := h.Delay()
			if diff := cmp.Diff([]any{c.delay, c.hedged}, []any{delay, hedged}); diff != "" {
				t.Errorf("mismatch (-want +got):\n%s", diff)
			}
		})
	}
}
