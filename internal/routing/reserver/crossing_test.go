package reserver

import (
	"fmt"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/spiller"
)

// TestCrossingFollowsTheLoads checks where paths begin at given loads of the data centres, and why.
func TestCrossingFollowsTheLoads(t *testing.T) {
	full := func(fill float64, names ...string) Usage {
		u := Usage{}
		for _, name := range names {
			u[name] = fill * 20000
		}
		return u
	}
	for _, c := range []struct {
		name   string
		usage  Usage
		change func(r *Reserver)
		left   int
		reason CrossingReason
	}{
		{"room at home", full(0.5, "a0", "a1"), nil, 0, ""},
		{"home busy", full(MaxMemoryShare-0.04, "a0", "a1"), nil, 20, ByShare},
		{"home full", full(MaxMemoryShare, "a0", "a1"), nil, 20, ByShare},
		{"both busy", full(0.7, "a0", "a1", "b0", "b1"), nil, 0, ""},
		{"home without its last layers", nil, func(r *Reserver) { delete(r.Endpoints, "a1") }, 20, ByShare},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, now := newReserver(1), startTime
			if c.change != nil {
				c.change(r)
			}
			for range 20 {
				now = now.Add(loadInterval)
				r.SetPeerUsage(now, "fleet", c.usage)
			}
			left := 0
			for range 20 {
				p, refusal := r.Reserve(now, usualRequest)
				if refusal != Granted {
					t.Fatal(refusal)
				}
				if len(p.Crossings) > 0 {
					left++
					if p.CrossingReason != c.reason || !p.Crossings[0].IsFirst || p.MB() > 1 {
						t.Errorf("path %v crosses by %q with %.2f MB", p.EndpointIDs(), p.CrossingReason, p.MB())
					}
				}
				r.MarkPromptRead(p)
				r.Release(p)
			}
			if left != c.left {
				t.Errorf("%d of 20 paths left, want %d", left, c.left)
			}
		})
	}
}

// TestOwnCallersComeFirst guards against endpoints that the callers of other data centres fill to the last.
func TestOwnCallersComeFirst(t *testing.T) {
	const limit = MaxMemoryShare * 20000
	usage := Usage{"a0": limit, "a1": limit, "b0": limit - 4800, "b1": limit - 4800}
	for centre, want := range map[string]Refusal{"a": Full, "b": Granted} {
		r := newReserver(1)
		r.DataCentre, r.Spiller = centre, spiller.New(centre)
		r.describeLinks()
		r.SetPeerUsage(startTime, "fleet", usage)
		if _, refusal := r.Reserve(startTime, PathRequest{PromptTokens: 800, AnswerTokens: 300}); refusal != want {
			t.Errorf("a request of %s: %q, want %q", centre, refusal, want)
		}
	}
}

// TestUnreachableCentreIsLeftAlone guards against attempts that go on into a data centre of which no endpoint responds, and against
// requests that get no path although only it holds some layers.
func TestUnreachableCentreIsLeftAlone(t *testing.T) {
	for name, want := range map[string]Refusal{"full": Full, "layers": Granted} {
		r, now := newReserver(1), startTime
		r.SetPeerUsage(now, "fleet", Usage{"a0": MaxMemoryShare * 20000, "a1": MaxMemoryShare * 20000})
		if name == "layers" {
			delete(r.Endpoints, "a1")
		}
		for i := range 3 {
			r.Spiller.RecordFailure(now, "b", fmt.Sprint(i))
		}
		if _, refusal := r.Reserve(now, usualRequest); refusal != want {
			t.Errorf("%s: %q, want %q", name, refusal, want)
		}
		if _, refusal := r.Reserve(now.Add(1100*time.Millisecond), usualRequest); refusal != Granted {
			t.Errorf("%s, once the data centre is tried again: %q", name, refusal)
		}
	}
}
