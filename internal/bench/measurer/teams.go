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
	// shareInterval is the time between shares of the teams' counts.
	shareInterval = time.Second
	// scrapeInterval is the time between reads of the metrics.
	scrapeInterval = 30 * time.Second
	// seriesPerTeam is the number of metric series for each team, and otherSeries the number of all others.
	seriesPerTeam = 1
	otherSeries   = 200
	// batchInterval is the time in which a node sends a batch to each home once.
	batchInterval = 20 * time.Second
)

// measureTeams measures the teams' counters at their homes, and what they would cost if each instance shared them with
// its region.
func measureTeams(r reporter.Result, p plan) cost {
	sizes := []float64{100, 400, 800, 1300}
	var size, encode, merge, batch, collect []float64
	for _, n := range sizes {
		c := measureCounters(int(n))
		size, encode, merge = append(size, c.size), append(encode, c.encode), append(merge, c.merge)
		batch, collect = append(batch, c.batch), append(collect, c.collect)
	}
	sizeFit, encodeFit, mergeFit := fitLine(sizes, size), fitLine(sizes, encode), fitLine(sizes, merge)
	batchFit, collectFit := fitLine(sizes, batch), fitLine(sizes, collect)
	teamCount, peerCount := float64(p.teams), float64(p.instances/p.regions-1)
	r.Set("counts_bytes", sizeFit.Slope, "bytes a share for each team")
	r.Set("counts_shared_bytes", sizeFit.costAt(teamCount)*2*peerCount/shareInterval.Seconds()/bytesPerKB,
		"KB a second if each node shares all teams' counts with its region")
	r.Set("counts_shared_core", (encodeFit.costAt(teamCount)+mergeFit.costAt(teamCount)*peerCount)/shareInterval.Seconds(), "share of a core in that case")
	activeCount := activeTeams(p)
	r.Set("homes_active", activeCount, "teams with requests on one node in the time between batches")
	r.Set("homes_bytes", batchFit.Slope, "bytes of a batch and its answer for each team")
	r.Set("homes_bytes_error", batchFit.Error, "bytes of a batch and its answer for each team")
	r.Set("homes_core", collectFit.Slope, "core-seconds of a batch and its answer for each team, both ends")
	r.Set("homes_core_error", collectFit.Error, "core-seconds of a batch and its answer for each team, both ends")
	return cost{
		core:  activeCount * collectFit.Slope / batchInterval.Seconds(),
		bytes: 2 * (min(peerCount, activeCount)*2*messageOverheadBytes + activeCount*batchFit.Slope) / batchInterval.Seconds(),
	}
}

// activeTeams returns the number of teams of which an instance receives requests between two batches, if requests are
// spread evenly over teams.
func activeTeams(p plan) float64 {
	requests := p.requestsPerSecond / float64(p.instances) * batchInterval.Seconds()
	inactive := float64(p.teams)
	for range int(requests) {
		inactive -= inactive / float64(p.teams)
	}
	return float64(p.teams) - inactive
}

// counterCost is the cost of the counters of a number of teams: bytes of a share, core-seconds to encode one and to
// merge one, and bytes and core-seconds of a batch to a home with its answer.
type counterCost struct {
	size    float64
	encode  float64
	merge   float64
	batch   float64
	collect float64
}

// repetitions is the number of repetitions of a measured step.
const repetitions = 20

// measureCounters measures the counters of a number of teams.
func measureCounters(teams int) counterCost {
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
	encode := processorSeconds(func() {
		for range repetitions {
			value = encodeCounts(own.Counts(now))
		}
	}) / repetitions
	merge := processorSeconds(func() {
		for i := range repetitions {
			var c limiter.Counts
			if err := json.Unmarshal(value, &c); err != nil {
				panic(err) // What was encoded can be read.
			}
			other.MergePeerCounts(now.Add(time.Duration(i)*time.Second), "peer", c)
		}
	}) / repetitions
	batch, collect := measureBatch(own.Counts(now))
	return counterCost{float64(len(value)), encode, merge, batch, collect}
}

// measureBatch measures a batch to a home and its answer: bytes, and core-seconds at both ends.
func measureBatch(own limiter.Counts) (size, core float64) {
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
	core = processorSeconds(func() {
		for range repetitions {
			pass()
		}
	})
	return size / repetitions, core / repetitions
}

// must panics if a value that always has an encoding could not be encoded or decoded.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// encodeCounts returns counts as encoded for sharing.
func encodeCounts(c limiter.Counts) []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // Counts always have an encoding.
	}
	return b
}

// measureMetrics measures scrapes of the metrics by the number of series.
func measureMetrics(r reporter.Result, p plan) (cost, error) {
	sizes := []float64{200, 600, 1500}
	var core, bodySize, memory []float64
	for _, n := range sizes {
		c, err := measureScrape(int(n))
		if err != nil {
			return cost{}, err
		}
		core, bodySize, memory = append(core, c.core), append(bodySize, c.bytes), append(memory, c.memory)
	}
	timeFit, sizeFit, memoryFit := fitLine(sizes, core), fitLine(sizes, bodySize), fitLine(sizes, memory)
	series := float64(p.teams*seriesPerTeam + otherSeries)
	r.Set("metrics_core", timeFit.Slope, "core-seconds a read for each series")
	r.Set("metrics_bytes", sizeFit.Slope, "bytes a packed read for each series")
	r.Set("metrics_memory", memoryFit.Slope, "bytes for each series")
	return cost{
		core: timeFit.costAt(series) / scrapeInterval.Seconds(), bytes: sizeFit.costAt(series) / scrapeInterval.Seconds(), memory: memoryFit.costAt(series),
	}, nil
}

// measureScrape measures one scrape of the metrics with a number of series.
func measureScrape(series int) (cost, error) {
	var m *meter.Meter
	memory := heapGrowth(func() any {
		m = meter.New("entry-1", "centre-0")
		for i := range series {
			m.AddCount("tokens", "team", fmt.Sprintf("team-%04d", i), int64(i*i*7919))
		}
		return m
	})
	// Closing flushes the counts to the handler at once.
	if err := m.Close(); err != nil {
		return cost{}, err
	}
	var body []byte
	core := processorSeconds(func() {
		for range repetitions {
			w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/metrics", nil)
			r.Header.Set("Accept-Encoding", "gzip")
			m.Handler().ServeHTTP(w, r)
			body, _ = io.ReadAll(w.Body)
		}
	}) / repetitions
	return cost{core: core, bytes: float64(len(body)), memory: memory}, nil
}
