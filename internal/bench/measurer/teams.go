package measurer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/routing/limiter"
	"github.com/heatherrock/heatherrock/internal/serving/meter"
)

const (
	// shareTime is the time between shares of the teams' counts.
	shareTime = time.Second
	// scrapeTime is the time between reads of the metrics.
	scrapeTime = 15 * time.Second
	// seriesEach is the number of metric series for each team, and seriesBesides that of all others.
	seriesEach    = 1
	seriesBesides = 200
	// countBytes is the size of a team's count in a compact batch, and homeTime the time between batches, for the
	// counters that are added up at one instance for each team.
	countBytes = 8
	homeTime   = 8 * time.Second
)

// teams measures the teams' counters: their encoding, and taking a peer's in. It returns what they cost as each node
// shares them with its region, and what they would cost if one node of the region added up each team's.
func teams(r reporter.Result, p plan) (shared, homes cost) {
	sizes := []float64{100, 400, 800, 1300}
	var size, encode, merge []float64
	for _, n := range sizes {
		c := count(int(n))
		size, encode, merge = append(size, c.size), append(encode, c.encode), append(merge, c.merge)
	}
	bytes, out, in := fit(sizes, size), fit(sizes, encode), fit(sizes, merge)
	all, peers := float64(p.teams), float64(p.instances/p.regions-1)
	r.Set("counts_bytes", bytes.Slope, "bytes a share for each team")
	r.Set("counts_encode", out.Slope, "core-seconds a share for each team")
	r.Set("counts_merge", in.Slope, "core-seconds a peer's share for each team")
	shared = cost{
		core:  (out.at(all) + in.at(all)*peers) / shareTime.Seconds(),
		bytes: bytes.at(all) * 2 * peers / shareTime.Seconds(),
	}
	active := active(p)
	homes = cost{
		core:  2 * active * (out.Slope + in.Slope) / homeTime.Seconds(),
		bytes: 2 * (min(peers, active)*2*messageBytes + 2*active*countBytes) / homeTime.Seconds(),
	}
	r.Set("homes_active", active, "teams with requests on one node in the time between batches")
	r.Set("homes_bytes", homes.bytes/kilo, "KB a second if one node of the region adds up each team's counts")
	return shared, homes
}

// active returns the number of teams of which a node has requests between two batches, if requests fall on teams
// evenly.
func active(p plan) float64 {
	requests := p.requests / float64(p.instances) * homeTime.Seconds()
	left := float64(p.teams)
	for range int(requests) {
		left -= left / float64(p.teams)
	}
	return float64(p.teams) - left
}

// counts is the cost of a number of teams: bytes of a share, and core-seconds to encode one and to take one in.
type counts struct {
	size   float64
	encode float64
	merge  float64
}

// mergesEach is the number of shares of one measurement.
const mergesEach = 20

// count measures counters of a number of teams.
func count(teams int) counts {
	now := time.UnixMilli(1_700_000_000_000)
	limits := map[string]limiter.Limit{}
	for i := range teams {
		limits[fmt.Sprintf("team-%04d", i)] = limiter.Limit{Requests: 1e6, Tokens: 1e9}
	}
	own, other := limiter.New(), limiter.New()
	own.SetLimits(now, limits)
	other.SetLimits(now, limits)
	for name := range limits {
		own.Admit(now, name, 1, 400)
	}
	var value []byte
	encode := spent(func() {
		for range mergesEach {
			value = encoded(own.Counts(now))
		}
	}) / mergesEach
	merge := spent(func() {
		for i := range mergesEach {
			var c limiter.Counts
			if err := json.Unmarshal(value, &c); err != nil {
				panic(err) // What was encoded can be read.
			}
			other.Merge(now.Add(time.Duration(i)*time.Second), "peer", c)
		}
	}) / mergesEach
	return counts{float64(len(value)), encode, merge}
}

// encoded returns counts as they are shared.
func encoded(c limiter.Counts) []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // Counts always have an encoding.
	}
	return b
}

// metrics measures reads of the metrics by the number of series.
func metrics(r reporter.Result, p plan) (cost, error) {
	sizes := []float64{200, 600, 1500}
	var core, bytes, memory []float64
	for _, n := range sizes {
		c, err := scrape(int(n))
		if err != nil {
			return cost{}, err
		}
		core, bytes, memory = append(core, c.core), append(bytes, c.bytes), append(memory, c.memory)
	}
	time, size, held := fit(sizes, core), fit(sizes, bytes), fit(sizes, memory)
	series := float64(p.teams*seriesEach + seriesBesides)
	r.Set("metrics_core", time.Slope, "core-seconds a read for each series")
	r.Set("metrics_bytes", size.Slope, "bytes a read for each series")
	r.Set("metrics_memory", held.Slope, "bytes for each series")
	r.Set("metrics_rate", size.at(series)/scrapeTime.Seconds()/kilo, "KB a second at the planned size, not packed")
	return cost{core: time.at(series) / scrapeTime.Seconds(), memory: held.at(series)}, nil
}

// scrape measures one read of the metrics with a number of series.
func scrape(series int) (cost, error) {
	var m *meter.Meter
	memory := grown(func() any {
		m = meter.New("entry-1", "centre-0")
		for i := range series {
			m.Count("tokens", "team", fmt.Sprintf("team-%04d", i), 400)
		}
		return m
	})
	var body []byte
	core := spent(func() {
		for range mergesEach {
			w := httptest.NewRecorder()
			m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			body, _ = io.ReadAll(w.Body)
		}
	}) / mergesEach
	return cost{core: core, bytes: float64(len(body)), memory: memory}, m.Close()
}
