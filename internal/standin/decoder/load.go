package decoder

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/standin/answerer"
)

// Load returns the engine's current load.
func (d *Decoder) Load() streamer.Load {
	waiting := d.batcher.queueLength()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	return streamer.Load{
		Endpoint:            d.endpoint,
		Kind:                d.kind,
		Held:                slices.Clone(d.held),
		Adapters:            slices.Clone(d.adapters),
		RunningRequests:     d.sessions.countRunning(now.Add(-idleTimeout)),
		WaitingRequests:     waiting,
		LayerStepsPerSecond: d.timing.layerStepsPerSecond(),
		Leaving:             d.leaving,
		ReportedAtMillis:    now.UnixMilli(),
	}
}

// layerStepsPerSecond returns the engine's capacity in layer steps per second.
func (t Timing) layerStepsPerSecond() float64 {
	if t.LayerTime <= 0 {
		return defaultLayerStepsPerSecond
	}
	return float64(t.MaxBatch) / t.LayerTime.Seconds()
}

// getLoad responds with a load report that is at most reportLag old.
func (d *Decoder) getLoad(w http.ResponseWriter, _ *http.Request) {
	current := d.Load()
	d.mu.Lock()
	if current.ReportedAtMillis-d.lastReport.ReportedAtMillis >= d.reportLag.Milliseconds() || d.lastReport.Endpoint == "" {
		d.lastReport = current
	}
	report := d.lastReport
	d.mu.Unlock()
	answerer.WriteJSON(w, report)
}

// exportCache responds with the KV cache of a request's first stage in this engine, or of the stage that begins at the
// layer in the query parameter "from".
func (d *Decoder) exportCache(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	d.mu.Lock()
	c, ok := d.findCache(name, r.URL.Query().Get("from"))
	d.mu.Unlock()
	if !ok {
		d.refuse(w, http.StatusNotFound, "no such cache")
		return
	}
	answerer.WriteJSON(w, c)
}

// importCache stores a KV cache under a name, for requests that list it in their imports.
func (d *Decoder) importCache(w http.ResponseWriter, r *http.Request) {
	var c Cache
	if err := readJSON(r, &c); err != nil {
		d.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if !c.isComplete() {
		d.refuse(w, http.StatusBadRequest, "cache is not whole")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.importedCaches) >= defaultCacheSize {
		clear(d.importedCaches)
	}
	d.importedCaches[mux.Vars(r)["name"]] = c
	w.WriteHeader(http.StatusNoContent)
}

// findCache returns a copy of a cache by the name of its request or of its import. From is the first layer of the
// stage; if it is empty, the stage with the lowest one is chosen.
func (d *Decoder) findCache(name, from string) (Cache, bool) {
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
		return lowest.firstPositions(len(lowest.Inputs)), true
	}
	c, ok := d.importedCaches[name]
	return c, ok
}

// isComplete reports whether the cache has an output and the state of every layer for each position.
func (c *Cache) isComplete() bool {
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
