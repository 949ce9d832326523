package watcher

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
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

// TestEventsAreReadOnce reads the events of an endpoint while this instance watches all endpoints, and then a part.
func TestEventsAreReadOnce(t *testing.T) {
	c := &cache{}
	w := &Watcher{options: defaults()}
	WithCaches(c, c)(&w.options)
	v := &watch{watcher: w, id: "e1"}
	steps := []struct {
		name    string
		reading int
		adds    []streamer.Event
		asked   []int64
	}{
		{"the first read", 0, []streamer.Event{{Sequence: 3, Prefix: 30}, {Sequence: 5, Prefix: 50}}, []int64{0}},
		{"after a gap", 0, []streamer.Event{{Sequence: 9, Prefix: 90}}, []int64{0, 5}},
		{"a part of the endpoints", 2, []streamer.Event{{Sequence: 10, Prefix: 100}}, []int64{0, 5}},
	}
	for _, s := range steps {
		w.reading = s.reading
		c.events = append(c.events, s.adds...)
		v.readEvents(context.Background())
		if diff := cmp.Diff(s.asked, c.asked); diff != "" {
			t.Errorf("%s: reads mismatch (-want +got):\n%s", s.name, diff)
		}
	}
	if diff := cmp.Diff([]uint64{30, 50, 90}, c.taken); diff != "" {
		t.Errorf("prefixes mismatch (-want +got):\n%s", diff)
	}
}
