package accountant

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/heatherrock/heatherrock/internal/routing/limiter"
	"github.com/heatherrock/heatherrock/internal/routing/prioritizer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// drawUsages draws a report on up to two services and three endpoints.
func drawUsages(t *rapid.T) Usages {
	names := []string{"e0", "e1", "e2"}
	u := Usages{}
	for n := range rapid.IntRange(0, 2).Draw(t, "services") {
		h := Holding{Memory: reserver.Usage{}, Sent: limiter.Tally{
			Requests: float64(rapid.IntRange(0, 9).Draw(t, "requests")), Repeats: float64(rapid.IntRange(0, 3).Draw(t, "retries")),
			Age: float64(rapid.IntRange(0, 20).Draw(t, "age")), Instances: 1,
		}}
		for _, name := range names[:rapid.IntRange(0, 3).Draw(t, "endpoints")] {
			h.Memory[name] = rapid.Float64Range(0, 1e9).Draw(t, "memory")
		}
		h.Dead = slices.Clone(names[:rapid.IntRange(0, 2).Draw(t, "dead")])
		h.Alive = slices.Clone(names[:rapid.IntRange(0, 2).Draw(t, "alive")])
		for _, name := range names[:rapid.IntRange(0, 2).Draw(t, "failing")] {
			h.Failing = map[string]int{name: rapid.IntRange(1, 3).Draw(t, "instances")}
		}
		h.Demand = prioritizer.Sums{}
		for priority := range rapid.IntRange(0, 2).Draw(t, "priorities") {
			h.Demand[priority] = prioritizer.Counts{Arrived: float64(rapid.IntRange(0, 9).Draw(t, "arrived"))}
		}
		u[fmt.Sprint("s", n)] = h
	}
	return u
}

// TestLedgerSumsTheLatestReports records reports in any order and lets them expire: the sum without each owner is that of
// the latest reports of the others.
func TestLedgerSumsTheLatestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		l := newLedger()
		latest := map[string]receivedReport{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			owner := fmt.Sprint("o", rapid.IntRange(0, 4).Draw(t, "owner"))
			u := drawUsages(t)
			l.record(now, owner, u)
			latest[owner] = receivedReport{u, now}
			l.expire(now)
			for o, r := range latest {
				if now.Sub(r.receivedAt) > reportExpiry {
					delete(latest, o)
				}
			}
			for _, except := range []string{"", "o0", "o3"} {
				want := Usages{}
				for o, r := range latest {
					if o != except {
						want.merge(r.usages.rounded())
					}
				}
				// A service that no other owner reports may be listed without amounts.
				got := l.sum(except)
				for service := range got {
					if _, ok := want[service]; !ok {
						want[service] = Holding{}
					}
				}
				ignoreAge := cmpopts.IgnoreFields(limiter.Tally{}, "Age")
				sorted := cmpopts.SortSlices(func(a, b string) bool { return a < b })
				if diff := cmp.Diff(want, got, ignoreAge, sorted, cmpopts.EquateEmpty()); diff != "" {
					t.Fatalf("sum without %q (-want +got):\n%s", except, diff)
				}
			}
		}
	})
}

// TestLedgerKeepsTheHighestAge drops the owner that has counted for longest.
func TestLedgerKeepsTheHighestAge(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger()
	l.record(now, "old", Usages{"s": {Sent: limiter.Tally{Age: 50, Instances: 1}}})
	now = now.Add(reportExpiry)
	l.record(now, "new", Usages{"s": {Sent: limiter.Tally{Age: 3, Instances: 1}}})
	if got := l.sum("new")["s"].Sent.Age; got != 50 {
		t.Errorf("age %v, want 50", got)
	}
	l.expire(now.Add(time.Millisecond))
	if got := l.sum("")["s"].Sent.Age; got != 3 {
		t.Errorf("age %v once the oldest has expired, want 3", got)
	}
}

// BenchmarkLedger records one report of 60 endpoints and returns the sum of the others.
func BenchmarkLedger(b *testing.B) {
	for _, members := range []int{3, 40, 400} {
		for _, endpoints := range []int{33, 190, 5100} {
			b.Run(fmt.Sprintf("%d-members/%d-endpoints", members, endpoints), func(b *testing.B) {
				now := time.Unix(1000, 0)
				l := newLedger()
				report := func(i int) Usages {
					h := Holding{Memory: reserver.Usage{}, Sent: limiter.Tally{Instances: 1}}
					for n := range min(60, endpoints) {
						h.Memory[fmt.Sprint("e", (i*7+n)%endpoints)] = float64(1000 + i + n)
					}
					return Usages{"s": h}
				}
				reports := make([]Usages, 2*members)
				for i := range reports {
					reports[i] = report(i)
					l.record(now, fmt.Sprint("m", i%members), reports[i])
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					owner := fmt.Sprint("m", i%members)
					l.record(now, owner, reports[i%len(reports)])
					l.sum(owner)
				}
			})
		}
	}
}

// TestLedgerPassesRefusalsOn guards against an instance that does not learn of the refusals of others, or of more than a bound.
func TestLedgerPassesRefusalsOn(t *testing.T) {
	l := newLedger()
	now := time.Unix(1000, 0)
	l.record(now, "a", Usages{"s": {Refused: []uint32{1, 2}}})
	l.record(now, "b", Usages{"s": {Refused: []uint32{3}}})
	if diff := cmp.Diff([]uint32{3}, l.sum("a")["s"].Refused); diff != "" {
		t.Errorf("refusals for a (-want +got):\n%s", diff)
	}
	l.record(now, "c", Usages{"s": {Refused: make([]uint32, 2*maxRefused)}})
	if n := len(l.sum("a")["s"].Refused); n != maxRefused {
		t.Errorf("%d refusals are passed on, want at most %d", n, maxRefused)
	}
}
