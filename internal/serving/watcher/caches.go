package watcher

import (
	"context"
	"time"

	"github.com/heatherrock/heatherrock/internal/platform/streamer"
)

// Events reads the cache events of engines. They come late and with gaps.
type Events interface {
	Events(ctx context.Context, address string, after int64) ([]streamer.Event, error)
}

// Caches takes in which prompt prefixes engines have cached.
type Caches interface {
	Cached(now time.Time, endpoint string, prefix uint64, evicted bool)
}

// readEvents reads the cache events since those read before.
func (v *watch) readEvents(ctx context.Context) {
	o := &v.watcher.options
	if o.events == nil {
		return
	}
	events, err := o.events.Events(ctx, v.address, v.sequence)
	if err != nil {
		o.logger.Debug("cache events not read", "address", v.address, "error", err)
		return
	}
	now := o.clock()
	for _, e := range events {
		v.sequence = max(v.sequence, e.Sequence)
		o.caches.Cached(now, v.id, e.Prefix, e.Evicted)
	}
}
