package decoder

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/standin/answerer"
)

// stamped is an event and the time at which it happened.
type stamped struct {
	event streamer.Event
	time  time.Time
}

// prefixes is the limited cache of prompt prefixes, by blocks. It evicts what has not been used for longest.
type prefixes struct {
	size int

	mu       sync.Mutex
	sequence int64
	used     map[uint64]int64
	tick     int64
	log      []stamped
}

func newPrefixes(size int) *prefixes {
	return &prefixes{size: size, used: map[uint64]int64{}}
}

// touch marks the prefixes of a request as used and returns how many of its positions were cached.
func (p *prefixes) touch(now time.Time, q streamer.Request, g streamer.Stage, positions int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	cached := 0
	for i, hash := range streamer.Prefixes(q.Model, q.Version, q.Adapter, q.Prompt) {
		p.tick++
		if _, ok := p.used[hash]; ok && cached == i*streamer.Block {
			cached = (i + 1) * streamer.Block
		}
		if _, ok := p.used[hash]; !ok {
			p.note(now, hash, false)
		}
		p.used[hash] = p.tick
	}
	for len(p.used) > p.size {
		p.evict(now)
	}
	return min(cached, max(0, positions-1))
}

// evict removes the prefix that has not been used for longest.
func (p *prefixes) evict(now time.Time) {
	var oldest uint64
	first := true
	for hash, used := range p.used {
		if first || used < p.used[oldest] {
			oldest, first = hash, false
		}
	}
	delete(p.used, oldest)
	p.note(now, oldest, true)
}

func (p *prefixes) note(now time.Time, hash uint64, evicted bool) {
	p.sequence++
	e := streamer.Event{Sequence: p.sequence, Prefix: hash, Evicted: evicted}
	p.log = append(p.log, stamped{e, now})
	if len(p.log) > retained {
		p.log = p.log[len(p.log)-retained:]
	}
}

// clear empties the cache as a restart does. The sequence numbers go on.
func (p *prefixes) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.used)
	p.log = nil
}

// events returns the events after a sequence number that happened before a time.
func (p *prefixes) events(after int64, before time.Time) []streamer.Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	events := []streamer.Event{}
	for _, s := range p.log {
		if s.event.Sequence > after && !s.time.After(before) {
			events = append(events, s.event)
		}
	}
	return events
}

// getEvents answers with the cache events after a sequence number, late and with gaps.
func (d *Decoder) getEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		d.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	kept := []streamer.Event{}
	for _, e := range d.prefixes.events(after, d.clock().Add(-d.lag)) {
		if !d.drop(e.Sequence) {
			e.Endpoint = d.endpoint
			kept = append(kept, e)
		}
	}
	answerer.JSON(w, kept)
}
