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
	// stageKills is the number of answers that lose a stage, for each of the runs with and without KV import.
	stageKills = 24
	// promptWords and answerTokens are the lengths of a prompt and of its answer.
	promptWords  = 300
	answerTokens = 40
	// layerPrefillTime is the time that the fastest kind takes to run one layer for one position of a prefix.
	layerPrefillTime = 20 * time.Microsecond
	// importTarget and rerunTarget bound the pause, as a multiple of the time to rerun the prefix.
	importTarget = 1.5
	rerunTarget  = 2
)

// killResults is the outcome of a series of killed stages.
type killResults struct {
	wrong  int
	cutOff int
	// pauses holds the pauses in thousandths of the time to rerun the prefix.
	pauses *hdrhistogram.Histogram
}

// runStageLoss kills a stage of each of a series of answers, with and without KV import.
func runStageLoss(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("stageloss", seed)
	var with, without killResults
	var errs [2]error
	var wait sync.WaitGroup
	wait.Go(func() { with, errs[0] = runKills(seed) })
	wait.Go(func() {
		without, errs[1] = runKills(seed, assembler.WithRunnerOptions(runner.WithGenerator(generator.WithoutCacheImports())))
	})
	var engineLoss timeline.Loss
	wait.Go(func() { engineLoss = timeline.LoseEngine(seed) })
	wait.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		return result, err
	}
	result.Set("kills", 2*stageKills, "stages")
	result.Set("bound", engineLoss.BoundAfter/engineLoss.BoundBefore, "of the bound before, in virtual time")
	result.Set("back", engineLoss.RecoveryTime.Seconds(), "s until 0.95 of the new bound, in virtual time")
	result.SetTarget("wrong", float64(with.wrong+without.wrong), "answers", 0)
	result.SetTarget("cut", float64(with.cutOff+without.cutOff), "answers", 0)
	result.SetTarget("pause_import", ratioQuantile(with.pauses, 50), "times the rerun", importTarget)
	result.SetTarget("pause_import_p95", ratioQuantile(with.pauses, 95), "times the rerun", importTarget)
	result.SetTarget("pause_rerun", ratioQuantile(without.pauses, 50), "times the rerun", rerunTarget)
	result.SetTarget("pause_rerun_p95", ratioQuantile(without.pauses, 95), "times the rerun", rerunTarget)
	return result, nil
}

// ratioQuantile returns a quantile of a histogram of thousandths.
func ratioQuantile(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// runKills runs answers in sequence, each of which loses a stage.
func runKills(seed uint64, options ...assembler.Option) (killResults, error) {
	k := killResults{pauses: hdrhistogram.New(1, 1_000_000, 3)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := startFleet(ctx, 1, 3, 100*time.Microsecond, append(options, assembler.WithStandins(setPrefillTime))...)
	if err != nil {
		return k, err
	}
	defer s.Close()
	c := assembler.NewCaller(team)
	defer c.Close()
	random := newRand(seed)
	for range stageKills {
		if err := k.killStage(ctx, s, c, random); err != nil {
			return k, err
		}
	}
	return k, nil
}

// setPrefillTime sets the time that the kinds of a fleet take to run a prefix.
func setPrefillTime(f *starter.Fleet) {
	for name, k := range f.Kinds {
		k.PrefillTime = starter.Duration(layerPrefillTime)
		f.Kinds[name] = k
	}
}

// killStage runs one answer, crashes one of its stages and restarts it. An answer that ends before its stage could be
// crashed is replaced by another.
func (k *killResults) killStage(ctx context.Context, s *assembler.Fleet, c *assembler.Caller, r *rand.Rand) error {
	node := s.Nodes[0]
	var a *pendingAnswer
	var running router.Attempt
	var prompt string
	for found := false; !found; {
		var err error
		if prompt, err = newPrompt(r, promptWords, answerTokens); err != nil {
			return err
		}
		a = sendRequest(ctx, c, node, prompt, answerTokens)
		if running, found, err = awaitTokens(ctx, node, a, 5+r.IntN(20)); err != nil {
			return err
		}
		if !found && !a.isComplete() {
			return merry.Errorf("the answer %q ended before a stage was crashed: %v", a.answer.Code, a.err)
		}
	}
	victim := s.Standins.StandIn(running.Plan.Stages[r.IntN(len(running.Plan.Stages))].Endpoint)
	victim.Crash()
	<-a.done
	if a.isWrong() {
		k.wrong++
	}
	if !a.isComplete() {
		k.cutOff++
	}
	if err := victim.Restore(); err != nil {
		return err
	}
	rerun, err := k.measureRerun(ctx, running, prompt)
	if err != nil {
		return err
	}
	return k.pauses.RecordValue(int64(1000 * a.longestGap() / rerun))
}

// measureRerun measures how long the stages of a plan take to run a prompt and its first token when called directly.
func (k *killResults) measureRerun(ctx context.Context, a router.Attempt, prompt string) (time.Duration, error) {
	client := streamer.NewClient()
	defer client.Close()
	r := streamer.Request{
		Request: "rerun-" + strconv.FormatInt(time.Now().UnixNano(), 36), Attempt: 1,
		Model: a.Plan.Model, Version: a.Plan.Version, Prompt: prompt + "again", MaxTokens: 1,
	}
	for _, s := range a.Plan.Stages {
		r.Stages = append(r.Stages, streamer.Stage(s))
	}
	startedAt := time.Now()
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
			return time.Since(startedAt), nil
		}
	}
}
