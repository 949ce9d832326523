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
	// exports is the number of answers that lose a stage, each with a cache exported before.
	exports = 16
	// deliveredTokens is the number of tokens that the caller has when the stage is lost.
	deliveredTokens = 8
	// replicas is the number of engines of each range: the one that is lost, two that take its place, and one of a
	// chain that runs the whole prefix again.
	replicas = 4
)

// The planned size, and what is assumed of a model.
const (
	plannedTokens = 12e6
	plannedNodes  = 390
	// plannedBetween is the time between two tokens of an answer, in seconds.
	plannedBetween = 0.043
	// plannedLayers and plannedBytes are those of a model of 70 billion parameters with 8 heads of keys and values of 128
	// numbers of 2 bytes each: the bytes are those of one layer for one token.
	plannedLayers = 80
	plannedBytes  = 2 * 8 * 128 * 2
	// plannedPrefix is the mean length of prompt and tokens so far, in tokens.
	plannedPrefix = 1500
	// plannedPeriod is the time between two exports of an answer, in seconds.
	plannedPeriod = 1
)

// handover measures what becomes of answers whose middle stage is lost.
type handover struct {
	standins *starter.Starter
	client   *streamer.Client
	plain    *http.Client
	// bytes and positions sum up the caches exported, and layers those of the stage.
	bytes     int
	positions int
	layers    int
	wrong     int
	// The times are in microseconds: of an export and an import, and of the first token after the loss if the
	// replacement runs the stage's layers for the prefix, if it imports their cache, and if all stages start afresh.
	export *hdrhistogram.Histogram
	load   *hdrhistogram.Histogram
	repair *hdrhistogram.Histogram
	cached *hdrhistogram.Histogram
	afresh *hdrhistogram.Histogram
}

// runExport weighs periodic exports of KV caches against running the lost stage's layers again.
func runExport(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("export", seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fleet := assembler.Mixed(replicas, 100*time.Microsecond)
	slowPrefill(&fleet)
	standins, err := starter.Start(fleet)
	if err != nil {
		return result, err
	}
	defer standins.Close()
	h := &handover{standins: standins, client: streamer.NewClient(), plain: &http.Client{}}
	defer h.client.Close()
	defer h.plain.CloseIdleConnections()
	for _, g := range []**hdrhistogram.Histogram{&h.export, &h.load, &h.repair, &h.cached, &h.afresh} {
		*g = hdrhistogram.New(1, longest.Microseconds(), 3)
	}
	random := random(seed)
	for i := range exports {
		prompt, err := write(random, promptWords, deliveredTokens+3)
		if err != nil {
			return result, err
		}
		if err := h.lose(ctx, "export-"+strconv.Itoa(i), prompt); err != nil {
			return result, err
		}
	}
	h.report(result)
	planned(result)
	return result, nil
}

// lose runs an answer, exports the cache of its middle stage and goes on in each of the three ways.
func (h *handover) lose(ctx context.Context, name, prompt string) error {
	tokens, _ := decoder.ExpectedAnswer(assembler.Model, "v1", "", prompt, assembler.Layers, deliveredTokens+3)
	r := streamer.Request{
		Request: name, Attempt: 1, Model: assembler.Model, Version: "v1", Prompt: prompt,
		MaxTokens: deliveredTokens, Stages: h.chain("1", "1"),
	}
	if _, err := h.first(ctx, r); err != nil {
		return err
	}
	lost := r.Stages[1]
	begun := time.Now()
	cache, err := h.exported(ctx, lost, name)
	if err != nil {
		return err
	}
	if err := h.export.RecordValue(time.Since(begun).Microseconds()); err != nil {
		return err
	}
	h.bytes += len(cache)
	h.positions += promptWords + deliveredTokens
	h.layers = lost.To - lost.From
	ways := []struct {
		name  string
		chain []streamer.Stage
		cache []byte
		times *hdrhistogram.Histogram
	}{
		{name, h.chain("1", "2"), nil, h.repair},
		{name, h.chain("1", "3"), cache, h.cached},
		{name + "-afresh", h.chain("4", "4"), nil, h.afresh},
	}
	for i, w := range ways {
		r.Request, r.Attempt, r.Stages, r.Imports = w.name, i+2, w.chain, []string{w.name}
		r.Delivered, r.MaxTokens = tokens[:deliveredTokens+i], deliveredTokens+i+1
		begun := time.Now()
		if w.cache != nil {
			if err := h.imported(ctx, w.chain[1], w.name, w.cache); err != nil {
				return err
			}
			if err := h.load.RecordValue(time.Since(begun).Microseconds()); err != nil {
				return err
			}
		}
		token, err := h.first(ctx, r)
		if err != nil {
			return err
		}
		if token != tokens[deliveredTokens+i] {
			h.wrong++
		}
		if err := w.times.RecordValue(time.Since(begun).Microseconds()); err != nil {
			return err
		}
	}
	return nil
}

// chain returns the stages of a plan: the outer ones of one replica and the middle one of another.
func (h *handover) chain(outer, middle string) []streamer.Stage {
	var stages []streamer.Stage
	for _, id := range []string{"large-0-" + outer, "medium-1-" + middle, "small-3-" + outer} {
		i := slices.IndexFunc(h.standins.Fleet.Engines, func(e starter.Engine) bool { return e.ID == id })
		held := h.standins.Fleet.Engines[i].Held[0]
		stages = append(stages, streamer.Stage{
			Endpoint: id, Address: h.standins.StandIn(id).Server.Address(), From: held.From, To: held.To,
		})
	}
	return stages
}

// first runs an attempt to its end and returns its first token.
func (h *handover) first(ctx context.Context, r streamer.Request) (int, error) {
	stream, _, err := h.client.Open(ctx, r)
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

// exported returns the cache of a stage of a request.
func (h *handover) exported(ctx context.Context, s streamer.Stage, name string) ([]byte, error) {
	return h.call(ctx, http.MethodGet, s.Address, "/engine/caches/"+name+"?from="+strconv.Itoa(s.From), nil)
}

// imported gives a cache to the engine of a stage.
func (h *handover) imported(ctx context.Context, s streamer.Stage, name string, cache []byte) error {
	_, err := h.call(ctx, http.MethodPost, s.Address, "/engine/caches/"+name, cache)
	return err
}

// call sends a request to an engine and returns the body of its answer.
func (h *handover) call(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	answer, err := h.plain.Do(r)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode/100 != 2 {
		return nil, merry.Errorf("%s %s: %s", method, path, answer.Status)
	}
	return io.ReadAll(answer.Body)
}

// report records what was measured.
func (h *handover) report(r reporter.Result) {
	median := func(g *hdrhistogram.Histogram) float64 { return float64(g.ValueAtQuantile(50)) / 1e6 }
	r.SetTarget("wrong", float64(h.wrong), "answers", 0)
	r.Set("prefix", promptWords+deliveredTokens, "tokens")
	r.Set("cache", float64(h.bytes)/exports, "bytes")
	r.Set("cache_step", float64(h.bytes)/float64(h.positions*h.layers), "bytes a token and layer, of the stand-in")
	r.Set("export", median(h.export), "s")
	r.Set("import", median(h.load), "s")
	r.Set("pause_repair", median(h.repair), "s")
	r.Set("pause_export", median(h.cached), "s")
	r.Set("pause_afresh", median(h.afresh), "s")
	r.Set("saved", median(h.repair)-median(h.cached), "s")
}

// planned records what periodic exports come to at the planned size.
func planned(r reporter.Result) {
	const token = plannedLayers * plannedBytes
	answers := plannedTokens * plannedBetween
	increments := plannedTokens * token
	whole := answers * plannedPrefix * token / plannedPeriod
	r.Set("planned_token", token, "bytes a token, assumed")
	r.Set("planned_answers", answers, "answers at once")
	r.Set("planned_increments", increments/1e12, "TB a second if only new tokens are exported")
	r.Set("planned_increments_node", increments/plannedNodes/1e9, "GB a second and node, each way")
	r.Set("planned_whole", whole/1e12, "TB a second if whole caches are exported each second")
	r.Set("planned_whole_node", whole/plannedNodes/1e9, "GB a second and node, each way")
	r.Set("planned_memory", answers*plannedPrefix*token/1e12, "TB that hold the last exports")
}
