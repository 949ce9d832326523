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
	// stageTime is the time that a stage takes for a token.
	stageTime = 10 * time.Millisecond
	// pairs is the number of answers that run at once in each round.
	pairs = 8
	// rounds is the number of rounds through an instance and directly, one after the other.
	rounds = 3
	// overheadTokens is the length of an answer.
	overheadTokens = 60
	// overheadTarget bounds the time of a token through an instance, as a multiple of that without.
	overheadTarget = 1.05
)

// sample is what was measured over some answers.
type sample struct {
	tokens  int
	between time.Duration
	gaps    int
	cpu     time.Duration
}

// runOverhead compares answers through an instance with the same stages called directly.
func runOverhead(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("overhead", seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := open(ctx, 1, 1, 0, assembler.WithFleet(evenStages))
	if err != nil {
		return result, err
	}
	defer s.Close()
	random := random(seed)
	var through, direct sample
	for range rounds {
		if err := through.add(ctx, func(prompt string) ([]time.Time, error) { return askThrough(ctx, s, prompt) }, random); err != nil {
			return result, err
		}
		if err := direct.add(ctx, func(prompt string) ([]time.Time, error) { return askDirect(ctx, s, prompt) }, random); err != nil {
			return result, err
		}
	}
	result.SetTarget("ratio", float64(through.mean())/float64(direct.mean()), "times direct", overheadTarget)
	result.Set("token", through.mean().Seconds()*1000, "ms")
	result.Set("token_direct", direct.mean().Seconds()*1000, "ms")
	added := through.cpu.Seconds()/float64(through.tokens) - direct.cpu.Seconds()/float64(direct.tokens)
	result.Set("core", 1000*added, "core-seconds for 1000 tokens, the caller's reading included")
	return result, nil
}

// evenStages leaves one engine for each third of the layers, each with the same time for a token.
func evenStages(f *starter.Fleet) {
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

// mean returns the mean time between tokens.
func (s *sample) mean() time.Duration {
	return s.between / time.Duration(max(1, s.gaps))
}

// add measures one round of answers at once.
func (s *sample) add(_ context.Context, run func(prompt string) ([]time.Time, error), r *rand.Rand) error {
	var prompts []string
	for range pairs {
		p, err := write(r, 10, overheadTokens)
		if err != nil {
			return err
		}
		prompts = append(prompts, p)
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	var failed error
	begun := counter.Processor()
	for _, p := range prompts {
		wait.Go(func() {
			times, err := run(p)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			s.tokens += len(times)
			s.gaps += len(times) - 1
			s.between += times[len(times)-1].Sub(times[0])
		})
	}
	wait.Wait()
	s.cpu += counter.Processor() - begun
	return failed
}

// askThrough asks the instance and returns the times of the tokens.
func askThrough(ctx context.Context, s *assembler.Fleet, prompt string) ([]time.Time, error) {
	c := assembler.NewCaller(team)
	defer c.Close()
	a := ask(ctx, c, s.Nodes[0], prompt, overheadTokens)
	<-a.done
	if !a.whole() {
		return nil, merry.Errorf("answer not whole: %d %s %v", a.answer.Status, a.answer.Code, a.err)
	}
	return a.answer.Tokens, nil
}

// askDirect calls the stages without an instance and returns the times of the tokens.
func askDirect(ctx context.Context, s *assembler.Fleet, prompt string) ([]time.Time, error) {
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
