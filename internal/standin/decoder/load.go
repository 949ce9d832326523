package decoder

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/standin/answerer"
)

// Load returns the engine's load now.
func (d *Decoder) Load() streamer.Load {
	waiting := d.batcher.waiting()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	return streamer.Load{
		Endpoint: d.endpoint,
		Kind:     d.kind,
		Held:     slices.Clone(d.held),
		Adapters: slices.Clone(d.adapters),
		Running:  d.sessions.running(now.Add(-idle)),
		Waiting:  waiting,
		Rate:     d.service.rate(),
		Leaving:  d.leaving,
		Stamp:    now.UnixMilli(),
	}
}

// rate returns the capacity in layer steps a second.
func (s Service) rate() float64 {
	if s.Layer <= 0 {
		return defaultRate
	}
	return float64(s.Batch) / s.Layer.Seconds()
}

// getLoad answers with a report of the load that is older than the engine's state by up to the lag.
func (d *Decoder) getLoad(w http.ResponseWriter, _ *http.Request) {
	now := d.Load()
	d.mu.Lock()
	if now.Stamp-d.report.Stamp >= d.lag.Milliseconds() || d.report.Endpoint == "" {
		d.report = now
	}
	report := d.report
	d.mu.Unlock()
	answerer.JSON(w, report)
}

// exportCache answers with the KV cache of a request's first stage in this engine, or of the stage that begins at the
// layer of the query's "from".
func (d *Decoder) exportCache(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	d.mu.Lock()
	c, ok := d.export(name, r.URL.Query().Get("from"))
	d.mu.Unlock()
	if !ok {
		d.refuse(w, http.StatusNotFound, "no such cache")
		return
	}
	answerer.JSON(w, c)
}

// importCache keeps a KV cache under a name, for requests that name it.
func (d *Decoder) importCache(w http.ResponseWriter, r *http.Request) {
	var c Cache
	if err := read(r, &c); err != nil {
		d.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if !c.whole() {
		d.refuse(w, http.StatusBadRequest, "cache is not whole")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.caches) >= defaultCache {
		clear(d.caches)
	}
	d.caches[mux.Vars(r)["name"]] = c
	w.WriteHeader(http.StatusNoContent)
}

// export returns a copy of a cache by the name of its request or of its import. From is a layer, or empty.
func (d *Decoder) export(name, from string) (Cache, bool) {
	var lowest *Cache
	for first, n := range d.sessions.stages[name] {
		if from != "" && from != strconv.Itoa(first) {
			continue
		}
		if lowest == nil || first < lowest.From {
			lowest = &n.cache
		}
	}
	if lowest != nil {
		return lowest.cut(len(lowest.Inputs)), true
	}
	c, ok := d.caches[name]
	return c, ok
}

// whole reports whether the cache holds a state of each layer and an output for each position.
func (c *Cache) whole() bool {
	if len(c.Outputs) != len(c.Inputs) || len(c.States) != len(c.Inputs) || c.From >= c.To {
		return false
	}
	for _, s := range c.States {
		if len(s) != c.To-c.From {
			return false
		}
	}
	return true
}
