package prover

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/bench/assembler"
	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/standin/decoder"
	"github.com/heatherrock/heatherrock/internal/standin/starter"
)

const (
	// exportCount is the number of answers that lose a stage, each with its cache exported before.
	exportCount = 16
	// deliveredTokens is the number of tokens delivered to the caller before the stage is lost.
	deliveredTokens = 8
	// replicas is the number of engines of each layer range: the one that is lost, two replacements, and one of a chain
	// that runs the whole prefix again.
	replicas = 4
)

// The planned size and the assumed model.
const (
	plannedTokensPerSecond = 12e6
	plannedInstances       = 390
	// plannedTokenIntervalSeconds is the time between two tokens of an answer.
	plannedTokenIntervalSeconds = 0.043
	// plannedLayers and plannedLayerTokenBytes are those of a model of 70 billion parameters with 8 heads of keys and
	// values of 128 numbers of 2 bytes each: the bytes are those of one layer for one token.
	plannedLayers          = 80
	plannedLayerTokenBytes = 2 * 8 * 128 * 2
	// plannedPrefixTokens is the mean length of a prompt and the tokens generated so far.
	plannedPrefixTokens = 1500
	// plannedExportIntervalSeconds is the time between two exports of an answer's cache.
	plannedExportIntervalSeconds = 1
)

// exportTrial measures the recovery of answers whose middle stage is lost.
type exportTrial struct {
	standins   *starter.Starter
	client     *streamer.Client
	httpClient *http.Client
	// cacheBytes and cachePositions are the totals of the exported caches, and stageLayers the layers of the stage.
	cacheBytes     int
	cachePositions int
	stageLayers    int
	wrongAnswers   int
	// Histograms in microseconds: of an export, of an import, and of the time to the first token after the loss if the
	// replacement reruns the stage's layers for the prefix, if it imports their cache, and if all stages start again.
	exportTime   *hdrhistogram.Histogram
	importTime   *hdrhistogram.Histogram
	rerunPause   *hdrhistogram.Histogram
	importPause  *hdrhistogram.Histogram
	restartPause *hdrhistogram.Histogram
}

// runExport compares periodic exports of KV caches with rerunning the lost stage's layers.
func runExport(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("export", seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fleet := assembler.MixedFleet(replicas, 100*time.Microsecond)
	setPrefillTime(&fleet)
	standins, err := starter.Start(fleet)
	if err != nil {
		return result, err
	}
	defer standins.Close()
	t := &exportTrial{standins: standins, client: streamer.NewClient(), httpClient: &http.Client{}}
	defer t.client.Close()
	defer t.httpClient.CloseIdleConnections()
	for _, g := range []**hdrhistogram.Histogram{&t.exportTime, &t.importTime, &t.rerunPause, &t.importPause, &t.restartPause} {
		*g = hdrhistogram.New(1, maxHistogramTime.Microseconds(), 3)
	}
	random := newRand(seed)
	for i := range exportCount {
		prompt, err := newPrompt(random, promptWords, deliveredTokens+3)
		if err != nil {
			return result, err
		}
		if err := t.loseStage(ctx, "export-"+strconv.Itoa(i), prompt); err != nil {
			return result, err
		}
	}
	t.recordFigures(result)
	recordPlanned(result)
	return result, nil
}

// loseStage runs an answer, exports the cache of its middle stage and continues in each of the three ways.
func (t *exportTrial) loseStage(ctx context.Context, name, prompt string) error {
	tokens, _ := decoder.ExpectedAnswer(assembler.Model, "v1", "", prompt, assembler.Layers, deliveredTokens+3)
	r := streamer.Request{
		Request: name, Attempt: 1, Model: assembler.Model, Version: "v1", Prompt: prompt,
		MaxTokens: deliveredTokens, Stages: t.planStages("1", "1"),
	}
	if _, err := t.firstToken(ctx, r); err != nil {
		return err
	}
	lost := r.Stages[1]
	startedAt := time.Now()
	cache, err := t.exportCache(ctx, lost, name)
	if err != nil {
		return err
	}
	if err := t.exportTime.RecordValue(time.Since(startedAt).Microseconds()); err != nil {
		return err
	}
	t.cacheBytes += len(cache)
	t.cachePositions += promptWords + deliveredTokens
	t.stageLayers = lost.To - lost.From
	recoveries := []struct {
		name  string
		chain []streamer.Stage
		cache []byte
		times *hdrhistogram.Histogram
	}{
		{name, t.planStages("1", "2"), nil, t.rerunPause},
		{name, t.planStages("1", "3"), cache, t.importPause},
		{name + "-afresh", t.planStages("4", "4"), nil, t.restartPause},
	}
	for i, w := range recoveries {
		r.Request, r.Attempt, r.Stages, r.Imports = w.name, i+2, w.chain, []string{w.name}
		r.Delivered, r.MaxTokens = tokens[:deliveredTokens+i], deliveredTokens+i+1
		startedAt := time.Now()
		if w.cache != nil {
			if err := t.importCache(ctx, w.chain[1], w.name, w.cache); err != nil {
				return err
			}
			if err := t.importTime.RecordValue(time.Since(startedAt).Microseconds()); err != nil {
				return err
			}
		}
		token, err := t.firstToken(ctx, r)
		if err != nil {
			return err
		}
		if token != tokens[deliveredTokens+i] {
			t.wrongAnswers++
		}
		if err := w.times.RecordValue(time.Since(startedAt).Microseconds()); err != nil {
			return err
		}
	}
	return nil
}

// planStages returns the stages of a plan: the outer ones of one replica and the middle one of another.
func (t *exportTrial) planStages(outer, middle string) []streamer.Stage {
	var stages []streamer.Stage
	for _, id := range []string{"large-0-" + outer, "medium-1-" + middle, "small-3-" + outer} {
		i := slices.IndexFunc(t.standins.Fleet.Engines, func(e starter.Engine) bool { return e.ID == id })
		held := t.standins.Fleet.Engines[i].Held[0]
		stages = append(stages, streamer.Stage{
			Endpoint: id, Address: t.standins.StandIn(id).Server.Address(), From: held.From, To: held.To,
		})
	}
	return stages
}

// firstToken runs an attempt to its end and returns its first token.
func (t *exportTrial) firstToken(ctx context.Context, r streamer.Request) (int, error) {
	stream, _, err := t.client.Open(ctx, r)
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	token := -1
	for {
		step, err := stream.Next()
		if err != nil {
			return 0, err
		}
		switch step.Kind {
		case streamer.KindToken:
			if token < 0 {
				token = step.Token
			}
		case streamer.KindEnd:
			return token, nil
		case streamer.KindFault:
			return 0, merry.Errorf("attempt %d: %s at %s", r.Attempt, step.Reason, step.Endpoint)
		}
	}
}

// exportCache returns the KV cache of a request from the engine of a stage.
func (t *exportTrial) exportCache(ctx context.Context, s streamer.Stage, name string) ([]byte, error) {
	return t.callEngine(ctx, http.MethodGet, s.Address, "/engine/caches/"+name+"?from="+strconv.Itoa(s.From), nil)
}

// importCache sends a KV cache to the engine of a stage.
func (t *exportTrial) importCache(ctx context.Context, s streamer.Stage, name string, cache []byte) error {
	_, err := t.callEngine(ctx, http.MethodPost, s.Address, "/engine/caches/"+name, cache)
	return err
}

// callEngine sends a request to an engine and returns the body of its response.
func (t *exportTrial) callEngine(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := t.httpClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return nil, merry.Errorf("%s %s: %s", method, path, response.Status)
	}
	return io.ReadAll(response.Body)
}

// recordFigures records the measured figures.
func (t *exportTrial) recordFigures(r reporter.Result) {
	median := func(g *hdrhistogram.Histogram) float64 { return float64(g.ValueAtQuantile(50)) / 1e6 }
	r.SetTarget("wrong", float64(t.wrongAnswers), "answers", 0)
	r.Set("prefix", promptWords+deliveredTokens, "tokens")
	r.Set("cache", float64(t.cacheBytes)/exportCount, "bytes")
	r.Set("cache_step", float64(t.cacheBytes)/float64(t.cachePositions*t.stageLayers), "bytes a token and layer, of the stand-in")
	r.Set("export", median(t.exportTime), "s")
	r.Set("import", median(t.importTime), "s")
	r.Set("pause_repair", median(t.rerunPause), "s")
	r.Set("pause_export", median(t.importPause), "s")
	r.Set("pause_afresh", median(t.restartPause), "s")
	r.Set("saved", median(t.rerunPause)-median(t.importPause), "s")
}

// recordPlanned records the cost of periodic exports at the planned size.
func recordPlanned(r reporter.Result) {
	const token = plannedLayers * plannedLayerTokenBytes
	answers := plannedTokensPerSecond * plannedTokenIntervalSeconds
	tokenExports := plannedTokensPerSecond * token
	wholeExports := answers * plannedPrefixTokens * token / plannedExportIntervalSeconds
	r.Set("planned_token", token, "bytes a token, assumed")
	r.Set("planned_answers", answers, "answers at once")
	r.Set("planned_increments", tokenExports/1e12, "TB a second if only new tokens are exported")
	r.Set("planned_increments_node", tokenExports/plannedInstances/1e9, "GB a second and node, each way")
	r.Set("planned_whole", wholeExports/1e12, "TB a second if whole caches are exported each second")
	r.Set("planned_whole_node", wholeExports/plannedInstances/1e9, "GB a second and node, each way")
	r.Set("planned_memory", answers*plannedPrefixTokens*token/1e12, "TB that hold the last exports")
}
