package forwarder

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/routing/monitor"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// TestStreamIsWatchedOnItsNextPath guards against a stream that is no longer monitored after a failover: a quick
// request continues on another path while the verdict on the first one is still being handled.
func TestStreamIsWatchedOnItsNextPath(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAllocator("a", rand.New(rand.NewPCG(1, 1)))
	path := func(id string) reserver.Path {
		return reserver.Path{Stages: []reserver.Stage{{Endpoint: reserver.Endpoint{ID: id}}}}
	}
	var suspects []string
	a.WatchStream(now, "s", path("e1"), func(v monitor.Verdict) {
		suspects = append(suspects, v.Suspects...)
		a.UnwatchStream("s")
		a.WatchStream(now, "s", path("e2"), func(v monitor.Verdict) {
			suspects = append(suspects, v.Suspects...)
		})
	})
	for range 2 * int(time.Minute/monitor.CheckInterval) {
		now = now.Add(monitor.CheckInterval)
		a.Check(now)
	}
	if len(suspects) < 2 || suspects[0] != "e1" || suspects[1] != "e2" {
		t.Errorf("suspects %v, want e1 and then e2", suspects)
	}
}

// usableEndpoints returns those of two endpoints with the same layers that an allocator may use.
func usableEndpoints(now time.Time, a *Allocator) []string {
	var out []string
	for _, id := range []string{"e1", "e2"} {
		if !now.Before(a.reserver.SuspectedUntil[id]) {
			out = append(out, id)
		}
	}
	return out
}

// newAllocatorOfTwo returns an allocator with two endpoints that hold all layers.
func newAllocatorOfTwo(now time.Time) *Allocator {
	a := NewAllocator("a", rand.New(rand.NewPCG(1, 1)))
	held := placer.Range{From: 0, To: 4}
	a.UpdateEndpoints(now, &placer.Engine{Layers: 4}, []reserver.Endpoint{{ID: "e1", Held: held}, {ID: "e2", Held: held}})
	return a
}

// TestReportedEndpointIsReadmitted guards against endpoints that stay excluded because another instance reported them as
// dead, although this instance or a third one has received an event through them.
func TestReportedEndpointIsReadmitted(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		act  func(a *Allocator)
		want []string
	}{
		{"reported dead", func(a *Allocator) { a.RecordReports(now, []string{"e1"}, nil) }, []string{"e2"}},
		{"reported dead and alive at once", func(a *Allocator) { a.RecordReports(now, []string{"e1"}, []string{"e1"}) }, []string{"e1", "e2"}},
		{"reported alive later", func(a *Allocator) {
			a.RecordReports(now, []string{"e1"}, nil)
			a.RecordReports(now.Add(100*time.Millisecond), nil, []string{"e1"})
		}, []string{"e1", "e2"}},
		{"event received by this instance", func(a *Allocator) {
			a.WatchStream(now, "s", reserver.Path{Stages: []reserver.Stage{{Endpoint: reserver.Endpoint{ID: "e1"}}}}, nil)
			a.RecordReports(now, []string{"e1"}, nil)
			a.RecordEvent(now.Add(100*time.Millisecond), "s")
		}, []string{"e1", "e2"}},
		{"suspected for another reason too", func(a *Allocator) {
			a.RecordReports(now, []string{"e1"}, nil)
			a.Suspect(now, "e1", 2*suspectCooldown)
			a.RecordReports(now.Add(100*time.Millisecond), nil, []string{"e1"})
		}, []string{"e2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newAllocatorOfTwo(now)
			c.act(a)
			if diff := cmp.Diff(c.want, usableEndpoints(now.Add(time.Second), a)); diff != "" {
				t.Errorf("usable (-want +got):\n%s", diff)
			}
		})
	}
}

// TestProbeDuringPauseIsDiscarded probes an endpoint that does not answer: once within the probe's timeout, and once in
// a process that was paused meanwhile, whose result must not count.
func TestProbeDuringPauseIsDiscarded(t *testing.T) {
	for _, c := range []struct {
		probeDuration time.Duration
		want          []string
	}{{probeTimeout, []string{"e1"}}, {200 * time.Millisecond, nil}} {
		now := time.Unix(1000, 0)
		a := newAllocatorOfTwo(now)
		a.clock = func() time.Time { return now }
		a.probe = func(string, string) bool { now = now.Add(c.probeDuration); return false }
		a.runProbe(reserver.Endpoint{ID: "e1"})
		if diff := cmp.Diff(c.want, a.UnresponsiveEndpoints(now)); diff != "" {
			t.Errorf("after a probe of %v (-want +got):\n%s", c.probeDuration, diff)
		}
	}
}
