package prover

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/bench/assembler"
	"github.com/heatherrock/heatherrock/internal/bench/counter"
	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/client/streamer"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
	"github.com/heatherrock/heatherrock/internal/standin/starter"
)

const (
	// stageTime is the time that a stage takes for one token.
	stageTime = 10 * time.Millisecond
	// answersPerRound is the number of concurrent answers in each round.
	answersPerRound = 8
	// roundCount is the number of rounds; each runs through an instance first and then directly.
	roundCount = 3
	// overheadTokens is the length of an answer in tokens.
	overheadTokens = 60
	// overheadTarget bounds the time per token through an instance, as a multiple of the time without one.
	overheadTarget = 1.05
)

// sample is the totals measured over a number of answers.
type sample struct {
	tokenCount    int
	gapTime       time.Duration
	gapCount      int
	processorTime time.Duration
}

// runOverhead compares answers through an instance with direct calls of the same stages.
func runOverhead(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("overhead", seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := startFleet(ctx, 1, 1, 0, assembler.WithStandins(setEvenStages))
	if err != nil {
		return result, err
	}
	defer s.Close()
	random := newRand(seed)
	var through, direct sample
	for range roundCount {
		if err := through.measureRound(ctx, func(prompt string) ([]time.Time, error) { return sendThroughInstance(ctx, s, prompt) }, random); err != nil {
			return result, err
		}
		if err := direct.measureRound(ctx, func(prompt string) ([]time.Time, error) { return sendDirect(ctx, s, prompt) }, random); err != nil {
			return result, err
		}
	}
	result.SetTarget("ratio", float64(through.meanGap())/float64(direct.meanGap()), "times direct", overheadTarget)
	result.Set("token", through.meanGap().Seconds()*1000, "ms")
	result.Set("token_direct", direct.meanGap().Seconds()*1000, "ms")
	extra := through.processorTime.Seconds()/float64(through.tokenCount) - direct.processorTime.Seconds()/float64(direct.tokenCount)
	result.Set("core", 1000*extra, "core-seconds for 1000 tokens, the caller's reading included")
	return result, nil
}

// setEvenStages leaves one engine for each third of the layers, all with the same time per token.
func setEvenStages(f *starter.Fleet) {
	f.Engines = nil
	for i := range 3 {
		kind := []string{"large", "medium", "small"}[i]
		k := f.Kinds[kind]
		k.LayerTime = starter.Duration(stageTime / (assembler.Layers / 3))
		f.Kinds[kind] = k
		f.Engines = append(f.Engines, starter.Engine{
			ID: fmt.Sprintf("%s-1", kind), Kind: kind, DataCentre: "a", Region: "r",
			Held: []streamer.LayerRange{{Model: assembler.Model, Version: "v1", From: i * assembler.Layers / 3, To: (i + 1) * assembler.Layers / 3}},
		})
	}
}

// meanGap returns the mean time between tokens.
func (s *sample) meanGap() time.Duration {
	return s.gapTime / time.Duration(max(1, s.gapCount))
}

// measureRound measures one round of concurrent answers.
func (s *sample) measureRound(_ context.Context, run func(prompt string) ([]time.Time, error), r *rand.Rand) error {
	var prompts []string
	for range answersPerRound {
		p, err := newPrompt(r, 10, overheadTokens)
		if err != nil {
			return err
		}
		prompts = append(prompts, p)
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	var lastErr error
	processorBefore := counter.ProcessorTime()
	for _, p := range prompts {
		wait.Go(func() {
			times, err := run(p)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lastErr = err
				return
			}
			s.tokenCount += len(times)
			s.gapCount += len(times) - 1
			s.gapTime += times[len(times)-1].Sub(times[0])
		})
	}
	wait.Wait()
	s.processorTime += counter.ProcessorTime() - processorBefore
	return lastErr
}

// sendThroughInstance sends a prompt to the instance and returns the times of the tokens.
func sendThroughInstance(ctx context.Context, s *assembler.Fleet, prompt string) ([]time.Time, error) {
	c := assembler.NewCaller(team)
	defer c.Close()
	a := sendRequest(ctx, c, s.Nodes[0], prompt, overheadTokens)
	<-a.done
	if !a.isComplete() {
		return nil, merry.Errorf("answer not whole: %d %s %v", a.answer.Status, a.answer.Code, a.err)
	}
	return a.answer.TokenTimes, nil
}

// sendDirect calls the stages without an instance and returns the times of the tokens.
func sendDirect(ctx context.Context, s *assembler.Fleet, prompt string) ([]time.Time, error) {
	client := streamer.NewClient()
	defer client.Close()
	r := streamer.Request{
		Request: "direct-" + prompt, Attempt: 1, Model: assembler.Model, Version: "v1", Prompt: prompt, MaxTokens: overheadTokens,
	}
	for _, e := range s.Standins.Fleet.Engines {
		stage := planner.Stage{Endpoint: e.ID, Address: s.Standins.StandIn(e.ID).Server.Address(), From: e.Held[0].From, To: e.Held[0].To}
		r.Stages = append(r.Stages, streamer.Stage(stage))
	}
	stream, _, err := client.Open(ctx, r)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var times []time.Time
	for {
		step, err := stream.Next()
		if err != nil {
			return nil, err
		}
		if step.Kind == streamer.KindEnd {
			return times, nil
		}
		if step.Kind == streamer.KindToken {
			times = append(times, time.Now())
		}
	}
}
