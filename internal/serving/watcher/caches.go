package watcher

import (
	"context"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
)

// Events reads the cache events of engines. They come late and with gaps.
type Events interface {
	Events(ctx context.Context, address string, after int64) ([]streamer.Event, error)
}

// Caches takes in which prompt prefixes engines have cached.
type Caches interface {
	Cached(now time.Time, endpoint string, prefix uint64, evicted bool)
}

// readEvents reads the cache events since those read before. An instance that watches a part of the endpoints only reads
// none: their number grows with the requests, and control has no bytes for them.
func (v *watch) readEvents(ctx context.Context) {
	o := &v.watcher.options
	if o.events == nil || !v.watcher.all() {
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

// all reports whether this instance watches every endpoint of its region by itself.
func (w *Watcher) all() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reading == 0
}
