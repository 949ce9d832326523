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

// TestStreamIsWatchedOnItsNextPath has a silent stream go on over another path while the verdict on it is being taken in, as a
// request does that is quick: it is watched there as well.
func TestStreamIsWatchedOnItsNextPath(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAllocator("a", rand.New(rand.NewPCG(1, 1)))
	path := func(id string) reserver.Path {
		return reserver.Path{Stages: []reserver.Stage{{Endpoint: reserver.Endpoint{ID: id}}}}
	}
	var told []string
	a.Open(now, "s", path("e1"), func(v monitor.Verdict) {
		told = append(told, v.Suspects...)
		a.Done("s")
		a.Open(now, "s", path("e2"), func(v monitor.Verdict) {
			told = append(told, v.Suspects...)
		})
	})
	for range 2 * int(time.Minute/monitor.CheckInterval) {
		now = now.Add(monitor.CheckInterval)
		a.Check(now)
	}
	if len(told) < 2 || told[0] != "e1" || told[1] != "e2" {
		t.Errorf("told of %v, want e1 and then e2", told)
	}
}

// usable returns those of two endpoints with the same layers that an allocator may use.
func usable(now time.Time, a *Allocator) []string {
	var out []string
	for _, id := range []string{"e1", "e2"} {
		if !now.Before(a.reserver.SuspectedUntil[id]) {
			out = append(out, id)
		}
	}
	return out
}

// newPair returns an allocator with two endpoints that hold all layers.
func newPair(now time.Time) *Allocator {
	a := NewAllocator("a", rand.New(rand.NewPCG(1, 1)))
	held := placer.Range{From: 0, To: 4}
	a.Update(now, &placer.Engine{Layers: 4}, []reserver.Endpoint{{ID: "e1", Held: held}, {ID: "e2", Held: held}})
	return a
}

// TestToldEndpointIsUsedAgain takes an endpoint out of use for what another instance told, and lets a third one have an event of it.
func TestToldEndpointIsUsedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		play func(a *Allocator)
		want []string
	}{
		{"told", func(a *Allocator) { a.Tell(now, []string{"e1"}, nil) }, []string{"e2"}},
		{"told of both at once", func(a *Allocator) { a.Tell(now, []string{"e1"}, []string{"e1"}) }, []string{"e1", "e2"}},
		{"refuted later", func(a *Allocator) {
			a.Tell(now, []string{"e1"}, nil)
			a.Tell(now.Add(100*time.Millisecond), nil, []string{"e1"})
		}, []string{"e1", "e2"}},
		{"refuted by an event of its own", func(a *Allocator) {
			a.Open(now, "s", reserver.Path{Stages: []reserver.Stage{{Endpoint: reserver.Endpoint{ID: "e1"}}}}, nil)
			a.Tell(now, []string{"e1"}, nil)
			a.Progress(now.Add(100*time.Millisecond), "s")
		}, []string{"e1", "e2"}},
		{"blamed for something else too", func(a *Allocator) {
			a.Tell(now, []string{"e1"}, nil)
			a.Suspect(now, "e1", 2*suspectTime)
			a.Tell(now.Add(100*time.Millisecond), nil, []string{"e1"})
		}, []string{"e2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newPair(now)
			c.play(a)
			if diff := cmp.Diff(c.want, usable(now.Add(time.Second), a)); diff != "" {
				t.Errorf("usable (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHeldUpProbeNamesNobody asks endpoints without an answer, once within the bound of a question and once in a process that was held
// up meanwhile.
func TestHeldUpProbeNamesNobody(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		want []string
	}{{probeTime, []string{"e1"}}, {200 * time.Millisecond, nil}} {
		now := time.Unix(1000, 0)
		a := newPair(now)
		a.clock = func() time.Time { return now }
		a.probe = func(string, string) bool { now = now.Add(c.took); return false }
		a.run(reserver.Endpoint{ID: "e1"})
		if diff := cmp.Diff(c.want, a.Dead(now)); diff != "" {
			t.Errorf("after a question of %v (-want +got):\n%s", c.took, diff)
		}
	}
}
