package prover

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/bench/assembler"
	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	timeline "github.com/heatherrock/heatherrock/internal/bench/router"
	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/serving/generator"
	"github.com/heatherrock/heatherrock/internal/serving/router"
	"github.com/heatherrock/heatherrock/internal/serving/runner"
	"github.com/heatherrock/heatherrock/internal/standin/starter"
)

const (
	// kills is the number of answers that lose a stage, with and without KV import each.
	kills = 24
	// promptWords and answerTokens are the lengths of a prompt and of its answer.
	promptWords  = 300
	answerTokens = 40
	// prefill is the time that the fastest kind takes to run a layer for a position of a prefix.
	prefill = 20 * time.Microsecond
	// importTarget and rerunTarget bound the pause, as a multiple of the time to run the prefix again.
	importTarget = 1.5
	rerunTarget  = 2
)

// losses are the results of a series of killed stages.
type losses struct {
	wrong int
	cut   int
	// pauses holds the pauses in thousandths of the time to run the prefix again.
	pauses *hdrhistogram.Histogram
}

// runStageLoss kills a stage of each of many answers, with KV import and without.
func runStageLoss(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("stageloss", seed)
	var with, without losses
	var failed [2]error
	var wait sync.WaitGroup
	wait.Go(func() { with, failed[0] = lose(seed) })
	wait.Go(func() {
		without, failed[1] = lose(seed, assembler.WithRunner(runner.WithGenerator(generator.WithoutCacheImports())))
	})
	var loss timeline.Loss
	wait.Go(func() { loss = timeline.LoseEngine(seed) })
	wait.Wait()
	if err := errors.Join(failed[:]...); err != nil {
		return result, err
	}
	result.Set("kills", 2*kills, "stages")
	result.Set("bound", loss.After/loss.Before, "of the bound before, in virtual time")
	result.Set("back", loss.Back.Seconds(), "s until 0.95 of the new bound, in virtual time")
	result.SetTarget("wrong", float64(with.wrong+without.wrong), "answers", 0)
	result.SetTarget("cut", float64(with.cut+without.cut), "answers", 0)
	result.SetTarget("pause_import", ratio(with.pauses, 50), "times the rerun", importTarget)
	result.SetTarget("pause_import_p95", ratio(with.pauses, 95), "times the rerun", importTarget)
	result.SetTarget("pause_rerun", ratio(without.pauses, 50), "times the rerun", rerunTarget)
	result.SetTarget("pause_rerun_p95", ratio(without.pauses, 95), "times the rerun", rerunTarget)
	return result, nil
}

// ratio returns a quantile of a histogram of thousandths.
func ratio(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// lose runs answers one after another, each of which loses a stage.
func lose(seed uint64, options ...assembler.Option) (losses, error) {
	l := losses{pauses: hdrhistogram.New(1, 1_000_000, 3)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := open(ctx, 1, 3, 100*time.Microsecond, append(options, assembler.WithFleet(slowPrefill))...)
	if err != nil {
		return l, err
	}
	defer s.Close()
	c := assembler.NewCaller(team)
	defer c.Close()
	random := random(seed)
	for range kills {
		if err := l.kill(ctx, s, c, random); err != nil {
			return l, err
		}
	}
	return l, nil
}

// slowPrefill gives the kinds of a fleet a time to run a prefix.
func slowPrefill(f *starter.Fleet) {
	for name, k := range f.Kinds {
		k.PrefillTime = starter.Duration(prefill)
		f.Kinds[name] = k
	}
}

// kill runs one answer, crashes one of its stages, and starts that again. An answer that ends before its stage could be
// crashed is replaced by another.
func (l *losses) kill(ctx context.Context, s *assembler.Fleet, c *assembler.Caller, r *rand.Rand) error {
	node := s.Nodes[0]
	var a *asked
	var running router.Attempt
	var prompt string
	for seen := false; !seen; {
		var err error
		if prompt, err = write(r, promptWords, answerTokens); err != nil {
			return err
		}
		a = ask(ctx, c, node, prompt, answerTokens)
		if running, seen, err = progressed(ctx, node, a, 5+r.IntN(20)); err != nil {
			return err
		}
		if !seen && !a.whole() {
			return merry.Errorf("the answer %q ended before a stage was crashed: %v", a.answer.Code, a.err)
		}
	}
	victim := s.Standins.StandIn(running.Plan.Stages[r.IntN(len(running.Plan.Stages))].Endpoint)
	victim.Crash()
	<-a.done
	if a.wrong() {
		l.wrong++
	}
	if !a.whole() {
		l.cut++
	}
	if err := victim.Restore(); err != nil {
		return err
	}
	rerun, err := l.rerun(ctx, running, prompt)
	if err != nil {
		return err
	}
	return l.pauses.RecordValue(int64(1000 * a.gap() / rerun))
}

// rerun measures how long the stages of a plan take to run a prompt and the tokens delivered, called directly.
func (l *losses) rerun(ctx context.Context, a router.Attempt, prompt string) (time.Duration, error) {
	client := streamer.NewClient()
	defer client.Close()
	r := streamer.Request{
		Request: "rerun-" + strconv.FormatInt(time.Now().UnixNano(), 36), Attempt: 1,
		Model: a.Plan.Model, Version: a.Plan.Version, Prompt: prompt + "again", MaxTokens: 1,
	}
	for _, s := range a.Plan.Stages {
		r.Stages = append(r.Stages, streamer.Stage(s))
	}
	begun := time.Now()
	stream, _, err := client.Open(ctx, r)
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	for {
		step, err := stream.Next()
		if err != nil {
			return 0, err
		}
		if step.Kind != streamer.KindPing {
			return time.Since(begun), nil
		}
	}
}
