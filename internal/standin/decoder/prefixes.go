package decoder

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/standin/answerer"
)

// timedEvent is a cache event and the time at which it happened.
type timedEvent struct {
	event streamer.CacheEvent
	time  time.Time
}

// prefixCache is a bounded LRU cache of prompt prefixes, one entry per block, with a log of its cache events.
type prefixCache struct {
	maxSize int

	mu       sync.Mutex
	sequence int64
	lastUsed map[uint64]int64
	useCount int64
	log      []timedEvent
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{maxSize: size, lastUsed: map[uint64]int64{}}
}

// markUsed caches the prefixes of a request, or marks them as just used, and returns how many of its positions were
// cached before, which is at most all but one.
func (p *prefixCache) markUsed(now time.Time, q streamer.Request, g streamer.Stage, positions int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	cached := 0
	for i, hash := range streamer.PrefixHashes(q.Model, q.Version, q.Adapter, q.Prompt) {
		p.useCount++
		if _, ok := p.lastUsed[hash]; ok && cached == i*streamer.BlockTokens {
			cached = (i + 1) * streamer.BlockTokens
		}
		if _, ok := p.lastUsed[hash]; !ok {
			p.recordEvent(now, hash, false)
		}
		p.lastUsed[hash] = p.useCount
	}
	for len(p.lastUsed) > p.maxSize {
		p.evict(now)
	}
	return min(cached, max(0, positions-1))
}

// evict removes the least recently used prefix.
func (p *prefixCache) evict(now time.Time) {
	var oldest uint64
	first := true
	for hash, used := range p.lastUsed {
		if first || used < p.lastUsed[oldest] {
			oldest, first = hash, false
		}
	}
	delete(p.lastUsed, oldest)
	p.recordEvent(now, oldest, true)
}

func (p *prefixCache) recordEvent(now time.Time, hash uint64, evicted bool) {
	p.sequence++
	e := streamer.CacheEvent{Sequence: p.sequence, Prefix: hash, Evicted: evicted}
	p.log = append(p.log, timedEvent{e, now})
	if len(p.log) > maxRetained {
		p.log = p.log[len(p.log)-maxRetained:]
	}
}

// clear empties the cache and its log, as a restart of the engine does. Sequence numbers continue.
func (p *prefixCache) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.lastUsed)
	p.log = nil
}

// events returns the events after a sequence number that happened at a time or before it.
func (p *prefixCache) events(after int64, before time.Time) []streamer.CacheEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	events := []streamer.CacheEvent{}
	for _, e := range p.log {
		if e.event.Sequence > after && !e.time.After(before) {
			events = append(events, e.event)
		}
	}
	return events
}

// getEvents responds with the cache events after a sequence number, delayed by reportLag and without the lost ones.
func (d *Decoder) getEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		d.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	kept := []streamer.CacheEvent{}
	for _, e := range d.prefixes.events(after, d.clock().Add(-d.reportLag)) {
		if !d.dropsEvent(e.Sequence) {
			e.Endpoint = d.endpoint
			kept = append(kept, e)
		}
	}
	answerer.WriteJSON(w, kept)
}
