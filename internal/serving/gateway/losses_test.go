package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/routing/matcher"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/serving/director"
)

// TestEndpointsAreWatchedOnceInstancesAreKnown checks that an instance opens no connections to endpoints before it can know
// which of them it is to watch.
func TestEndpointsAreWatchedOnceInstancesAreKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	g := New(Settings{ID: "a", DataCentre: "d", Region: "r"}, Platform{}, slog.New(slog.DiscardHandler), func() time.Time { return now })
	defer g.sentry.Close()
	g.startedAt, g.endpointsChanged = now, true
	g.forwarder.Configure(&matcher.Configuration{Services: map[string]matcher.Service{"s": {Engine: &placer.Engine{}}}})
	g.endpoints["e"] = director.Endpoint{Holder: placer.Holder{ID: "e", DataCentre: "d"}, Service: "s", Address: "127.0.0.1:1"}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{250 * time.Millisecond, 0}, {watchDelay - time.Millisecond, 0}, {watchDelay, 1}} {
		g.assignWatches(now.Add(c.after))
		if got := g.sentry.Watched(); got != c.want {
			t.Errorf("%v after the start %d endpoints are watched, want %d", c.after, got, c.want)
		}
	}
}

// TestReportsReachEachInstanceOnce passes a report on through fleets of different sizes: each instance gets it once, after a
// bounded number of calls one after another, and none calls more than spreadFanOut others.
func TestReportsReachEachInstanceOnce(t *testing.T) {
	for _, c := range []struct{ instances, maxDepth int }{{0, 0}, {1, 1}, {7, 1}, {72, 2}, {195, 3}, {390, 3}} {
		var targets []gossiper.Peer
		for i := range c.instances {
			targets = append(targets, gossiper.Peer{ID: fmt.Sprint("i", i), DataCentre: fmt.Sprint("d", i%5)})
		}
		received := map[string]int{}
		maxDepth := 0
		var spread func(targets []gossiper.Peer, depth int)
		spread = func(targets []gossiper.Peer, depth int) {
			groups := fanOut(targets, spreadFanOut)
			if len(groups) > spreadFanOut {
				t.Errorf("%d instances: %d calls by one", c.instances, len(groups))
			}
			for _, group := range groups {
				maxDepth = max(maxDepth, depth)
				received[group[0].ID]++
				spread(group[1:], depth+1)
			}
		}
		spread(orderTargets("self", targets), 1)
		for _, p := range targets {
			if received[p.ID] != 1 {
				t.Errorf("%d instances: %s got the report %d times", c.instances, p.ID, received[p.ID])
			}
		}
		if maxDepth > c.maxDepth {
			t.Errorf("%d instances: %d calls one after another, want %d at most", c.instances, maxDepth, c.maxDepth)
		}
	}
}
