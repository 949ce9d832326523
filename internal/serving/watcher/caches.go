package watcher

import (
	"context"
	"time"

	"github.com/heatherrock/heatherrock/internal/platform/streamer"
)

const (
	// eventsBytes is what a read of cache events takes on the wire, both ways, and eventBytes each event, in bytes.
	eventsBytes = 400
	eventBytes  = 70
)

// Events reads the cache events of engines. They come late and with gaps.
type Events interface {
	Events(ctx context.Context, address string, after int64) ([]streamer.Event, error)
}

// Caches takes in which prompt prefixes engines have cached.
type Caches interface {
	Cached(now time.Time, endpoint string, prefix uint64, evicted bool)
}

// readEvents reads the cache events since those read before, unless the reads so far have used up the allowance.
func (v *watch) readEvents(ctx context.Context) {
	o := &v.watcher.options
	if o.events == nil || o.clock().Before(v.resume) {
		return
	}
	events, err := o.events.Events(ctx, v.address, v.sequence)
	if err != nil {
		o.logger.Debug("cache events not read", "address", v.address, "error", err)
		return
	}
	now := o.clock()
	v.resume = now.Add(v.rest(len(events)))
	for _, e := range events {
		v.sequence = max(v.sequence, e.Sequence)
		o.caches.Cached(now, v.id, e.Prefix, e.Evicted)
	}
}

// rest returns the time until the next read of events after one of a number of events, so that the reads of all watched
// endpoints stay within the allowance.
func (v *watch) rest(events int) time.Duration {
	allowance := v.watcher.options.eventAllowance
	if allowance <= 0 {
		return 0
	}
	v.watcher.mu.Lock()
	defer v.watcher.mu.Unlock()
	return time.Duration((eventsBytes+events*eventBytes)*v.watcher.reading) * time.Second / time.Duration(allowance)
}
