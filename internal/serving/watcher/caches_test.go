package watcher

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
)

// fakeCache serves the cache events of one engine and records the reads and the prefixes observed.
type fakeCache struct {
	events         []streamer.CacheEvent
	afterSequences []int64
	prefixes       []uint64
}

func (c *fakeCache) Events(_ context.Context, _ string, after int64) ([]streamer.CacheEvent, error) {
	c.afterSequences = append(c.afterSequences, after)
	var out []streamer.CacheEvent
	for _, e := range c.events {
		if e.Sequence > after {
			out = append(out, e)
		}
	}
	return out, nil
}

func (c *fakeCache) ObserveCacheEvent(_ time.Time, _ string, prefix uint64, _ bool) {
	c.prefixes = append(c.prefixes, prefix)
}

// TestEventsAreReadOnce checks that each cache event is read once while the instance watches all endpoints, and that none
// is read once it watches only some of them.
func TestEventsAreReadOnce(t *testing.T) {
	c := &fakeCache{}
	w := &Watcher{options: defaultOptions()}
	WithCacheEvents(c, c)(&w.options)
	v := &watch{watcher: w, id: "e1"}
	steps := []struct {
		name             string
		rateLimitedReads int
		newEvents        []streamer.CacheEvent
		wantReads        []int64
	}{
		{"first read", 0, []streamer.CacheEvent{{Sequence: 3, Prefix: 30}, {Sequence: 5, Prefix: 50}}, []int64{0}},
		{"after a gap", 0, []streamer.CacheEvent{{Sequence: 9, Prefix: 90}}, []int64{0, 5}},
		{"only some of the endpoints watched", 2, []streamer.CacheEvent{{Sequence: 10, Prefix: 100}}, []int64{0, 5}},
	}
	for _, s := range steps {
		w.readsPerInterval = s.rateLimitedReads
		c.events = append(c.events, s.newEvents...)
		v.readCacheEvents(context.Background())
		if diff := cmp.Diff(s.wantReads, c.afterSequences); diff != "" {
			t.Errorf("%s: reads mismatch (-want +got):\n%s", s.name, diff)
		}
	}
	if diff := cmp.Diff([]uint64{30, 50, 90}, c.prefixes); diff != "" {
		t.Errorf("prefixes mismatch (-want +got):\n%s", diff)
	}
}
