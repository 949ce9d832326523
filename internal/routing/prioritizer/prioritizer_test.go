package prioritizer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// TestCountsOfTheFleet guards against requests that count for longer than a second, and against counts of others that count once they
// are old.
func TestCountsOfTheFleet(t *testing.T) {
	p := New()
	p.RecordArrival(start, 1)
	p.RecordDelay(start, 1)
	p.RecordGrant(start.Add(100*time.Millisecond), 1)
	if diff := cmp.Diff(Sums{1: {Arrived: 1, Delayed: 1, Granted: 1}}, p.OwnCounts(start.Add(500*time.Millisecond))); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(Sums{}, p.OwnCounts(start.Add(1200*time.Millisecond))); diff != "" {
		t.Errorf("counts after a second (-want +got):\n%s", diff)
	}
	p.MergeCounts(start, Sums{2: {Arrived: 20, Delayed: 10}, 0: {Arrived: 100}})
	want := []reserver.Demand{{Priority: 0, Rate: 100}, {Priority: 2, Rate: 20}}
	if diff := cmp.Diff(want, p.OtherDemands()); diff != "" {
		t.Errorf("demands (-want +got):\n%s", diff)
	}
	if p.IsOutdated(start.Add(sumExpiry)) || !p.IsOutdated(start.Add(sumExpiry+time.Millisecond)) {
		t.Errorf("the counts of others are not outdated after %v", sumExpiry)
	}
}

// TestShortage guards against callers that are kept longer than needed while few requests wait.
func TestShortage(t *testing.T) {
	for _, c := range []struct {
		delayed float64
		after   time.Duration
		want    bool
	}{{5, 0, false}, {50, 0, true}, {50, sumExpiry + time.Millisecond, false}} {
		p := New()
		p.MergeCounts(start, Sums{0: {Arrived: 100}, 1: {Arrived: 100, Delayed: c.delayed}})
		if got := p.IsLimiting(start.Add(c.after)); got != c.want {
			t.Errorf("%.0f of 200 wait, %v later: limiting is %v", c.delayed, c.after, got)
		}
	}
}
