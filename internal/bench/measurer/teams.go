package measurer

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/routing/collector"
	"github.com/heatherrock/heatherrock/internal/routing/limiter"
	"github.com/heatherrock/heatherrock/internal/serving/meter"
	"github.com/heatherrock/heatherrock/internal/serving/tallier"
)

const (
	// shareTime is the time between shares of the teams' counts.
	shareTime = time.Second
	// scrapeTime is the time between reads of the metrics.
	scrapeTime = 30 * time.Second
	// seriesEach is the number of metric series for each team, and seriesBesides that of all others.
	seriesEach    = 1
	seriesBesides = 200
	// homeTime is the time in which each home has its turn.
	homeTime = 20 * time.Second
)

// teams measures the teams' counters at their homes, and what they would cost if each node shared them with its region.
func teams(r reporter.Result, p plan) cost {
	sizes := []float64{100, 400, 800, 1300}
	var size, encode, merge, batch, collect []float64
	for _, n := range sizes {
		c := count(int(n))
		size, encode, merge = append(size, c.size), append(encode, c.encode), append(merge, c.merge)
		batch, collect = append(batch, c.batch), append(collect, c.collect)
	}
	whole, out, in := fit(sizes, size), fit(sizes, encode), fit(sizes, merge)
	sent, added := fit(sizes, batch), fit(sizes, collect)
	all, peers := float64(p.teams), float64(p.instances/p.regions-1)
	r.Set("counts_bytes", whole.Slope, "bytes a share for each team")
	r.Set("counts_shared_bytes", whole.at(all)*2*peers/shareTime.Seconds()/kilo,
		"KB a second if each node shares all teams' counts with its region")
	r.Set("counts_shared_core", (out.at(all)+in.at(all)*peers)/shareTime.Seconds(), "share of a core in that case")
	active := active(p)
	r.Set("homes_active", active, "teams with requests on one node in the time between batches")
	r.Set("homes_bytes", sent.Slope, "bytes of a batch and its answer for each team")
	r.Set("homes_bytes_error", sent.Error, "bytes of a batch and its answer for each team")
	r.Set("homes_core", added.Slope, "core-seconds of a batch and its answer for each team, both ends")
	r.Set("homes_core_error", added.Error, "core-seconds of a batch and its answer for each team, both ends")
	return cost{
		core:  active * added.Slope / homeTime.Seconds(),
		bytes: 2 * (min(peers, active)*2*messageBytes + active*sent.Slope) / homeTime.Seconds(),
	}
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

// counts is the cost of a number of teams: bytes of a share, core-seconds to encode one and to take one in, and bytes
// and core-seconds of a batch to a home with its answer.
type counts struct {
	size    float64
	encode  float64
	merge   float64
	batch   float64
	collect float64
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
			other.MergePeerCounts(now.Add(time.Duration(i)*time.Second), "peer", c)
		}
	}) / mergesEach
	batch, collect := toHome(own.Counts(now))
	return counts{float64(len(value)), encode, merge, batch, collect}
}

// toHome measures a batch to a home and its answer: bytes, and core-seconds at both ends.
func toHome(own limiter.Counts) (size, core float64) {
	now := time.UnixMilli(1_700_000_000_000)
	var buffer bytes.Buffer
	encoder, decoder := gob.NewEncoder(&buffer), gob.NewDecoder(&buffer)
	home, other := collector.New(time.Minute), limiter.New()
	home.MergeReport(now, "entry-2", own)
	pass := func() {
		var b tallier.Batch
		var s tallier.Sum
		must(encoder.Encode(tallier.Batch{Owner: "entry-1", Counts: own}))
		size += float64(buffer.Len())
		must(decoder.Decode(&b))
		must(encoder.Encode(tallier.Sum{Home: "home entry-3", Counts: home.MergeReport(now, b.Owner, b.Counts)}))
		size += float64(buffer.Len())
		must(decoder.Decode(&s))
		other.MergePeerCounts(now, s.Home, s.Counts)
	}
	pass()
	size = 0
	core = spent(func() {
		for range mergesEach {
			pass()
		}
	})
	return size / mergesEach, core / mergesEach
}

// must stops the experiment if what has an encoding could not be encoded or decoded.
func must(err error) {
	if err != nil {
		panic(err)
	}
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
	var core, text, memory []float64
	for _, n := range sizes {
		c, err := scrape(int(n))
		if err != nil {
			return cost{}, err
		}
		core, text, memory = append(core, c.core), append(text, c.bytes), append(memory, c.memory)
	}
	time, size, held := fit(sizes, core), fit(sizes, text), fit(sizes, memory)
	series := float64(p.teams*seriesEach + seriesBesides)
	r.Set("metrics_core", time.Slope, "core-seconds a read for each series")
	r.Set("metrics_bytes", size.Slope, "bytes a packed read for each series")
	r.Set("metrics_memory", held.Slope, "bytes for each series")
	return cost{
		core: time.at(series) / scrapeTime.Seconds(), bytes: size.at(series) / scrapeTime.Seconds(), memory: held.at(series),
	}, nil
}

// scrape measures one read of the metrics with a number of series.
func scrape(series int) (cost, error) {
	var m *meter.Meter
	memory := grown(func() any {
		m = meter.New("entry-1", "centre-0")
		for i := range series {
			m.AddCount("tokens", "team", fmt.Sprintf("team-%04d", i), int64(i*i*7919))
		}
		return m
	})
	// Closing hands the counts on to the handler at once.
	if err := m.Close(); err != nil {
		return cost{}, err
	}
	var body []byte
	core := spent(func() {
		for range mergesEach {
			w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/metrics", nil)
			r.Header.Set("Accept-Encoding", "gzip")
			m.Handler().ServeHTTP(w, r)
			body, _ = io.ReadAll(w.Body)
		}
	}) / mergesEach
	return cost{core: core, bytes: float64(len(body)), memory: memory}, nil
}
