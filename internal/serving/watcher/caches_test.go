package watcher

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/platform/streamer"
)

// cache is an engine's cache events and what was taken in of them.
type cache struct {
	events []streamer.Event
	asked  []int64
	taken  []uint64
}

func (c *cache) Events(_ context.Context, _ string, after int64) ([]streamer.Event, error) {
	c.asked = append(c.asked, after)
	var out []streamer.Event
	for _, e := range c.events {
		if e.Sequence > after {
			out = append(out, e)
		}
	}
	return out, nil
}

func (c *cache) Cached(_ time.Time, _ string, prefix uint64, _ bool) {
	c.taken = append(c.taken, prefix)
}

// TestEventsKeepToAllowance reads events of one of two endpoints with 1,000 bytes a second for both.
func TestEventsKeepToAllowance(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	c := &cache{}
	w := &Watcher{options: defaults(), reading: 2}
	w.options.clock = func() time.Time { return now }
	WithCaches(c, c, 1000)(&w.options)
	v := &watch{watcher: w, id: "e1"}
	steps := []struct {
		at     time.Duration
		adds   []streamer.Event
		asked  []int64
		reason string
	}{
		{0, []streamer.Event{{Sequence: 3, Prefix: 30}, {Sequence: 5, Prefix: 50}}, []int64{0}, "the first read"},
		{time.Second, []streamer.Event{{Sequence: 6, Prefix: 60}}, []int64{0}, "540 bytes of one endpoint take 1.08 s for two"},
		{1080 * time.Millisecond, nil, []int64{0, 5}, "the allowance is met again"},
	}
	for _, s := range steps {
		now = start.Add(s.at)
		c.events = append(c.events, s.adds...)
		v.readEvents(context.Background())
		if diff := cmp.Diff(s.asked, c.asked); diff != "" {
			t.Errorf("%s: reads mismatch (-want +got):\n%s", s.reason, diff)
		}
	}
	if diff := cmp.Diff([]uint64{30, 50, 60}, c.taken); diff != "" {
		t.Errorf("prefixes mismatch (-want +got):\n%s", diff)
	}
}
