package watcher

import (
	"context"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
)

// CacheEventReader reads the cache events of engines. They may arrive late, and with gaps.
type CacheEventReader interface {
	Events(ctx context.Context, address string, after int64) ([]streamer.CacheEvent, error)
}

// CacheObserver receives which prompt prefixes engines have cached or evicted.
type CacheObserver interface {
	ObserveCacheEvent(now time.Time, endpoint string, prefix uint64, evicted bool)
}

// readCacheEvents reads the cache events after the last one read and passes them to the cache observer. An instance that
// watches only some of its region's endpoints reads none: the number of events grows with the number of requests, and the
// control traffic has no bandwidth for them.
func (v *watch) readCacheEvents(ctx context.Context) {
	o := &v.watcher.options
	if o.eventReader == nil || !v.watcher.watchesAll() {
		return
	}
	events, err := o.eventReader.Events(ctx, v.address, v.lastSequence)
	if err != nil {
		o.logger.Debug("cache events not read", "address", v.address, "error", err)
		return
	}
	now := o.clock()
	for _, e := range events {
		v.lastSequence = max(v.lastSequence, e.Sequence)
		o.cacheObserver.ObserveCacheEvent(now, v.id, e.Prefix, e.Evicted)
	}
}

// watchesAll reports whether this instance watches every engine of its region.
func (w *Watcher) watchesAll() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.readsPerInterval == 0
}
