package forwarder

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/monitor"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// TestStreamIsWatchedOnItsNextPath has a silent stream go on over another path while the verdict on it is being taken in, as a
// request does that is quick: it is watched there as well.
func TestStreamIsWatchedOnItsNextPath(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAllocator("a", rand.New(rand.NewPCG(1, 1)))
	path := func(id string) reserver.Path {
		return reserver.Path{Parts: []reserver.Part{{Endpoint: reserver.Endpoint{ID: id}}}}
	}
	var told []string
	a.Open(now, "s", path("e1"), func(v monitor.Verdict) {
		told = append(told, v.Suspects...)
		a.Done("s")
		a.Open(now, "s", path("e2"), func(v monitor.Verdict) {
			told = append(told, v.Suspects...)
		})
	})
	for range 2 * int(time.Minute/monitor.Interval) {
		now = now.Add(monitor.Interval)
		a.Check(now)
	}
	if len(told) < 2 || told[0] != "e1" || told[1] != "e2" {
		t.Errorf("told of %v, want e1 and then e2", told)
	}
}
