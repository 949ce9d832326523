package prover

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/heatherrock/heatherrock/internal/bench/assembler"
	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/serving/server"
	"github.com/heatherrock/heatherrock/internal/standin/decoder"
)

const (
	// largeTeam and smallTeam are the teams' names, and their bearer tokens.
	largeTeam = "large"
	smallTeam = "small"
	// crowd is the number of the large team's callers, far more than the endpoints have places.
	crowd = 100
	// smallAnswers is the number of answers that the small team asks for, one after another, with and without the crowd.
	smallAnswers = 20
	// overloadTokens is the length of an answer at most.
	overloadTokens = 10
	// refusedPause is how long a caller of the crowd waits after a refusal. It is shorter than what the answer asks for.
	refusedPause = 50 * time.Millisecond
)

// runOverload asks for far more than the endpoints can run, and measures what a small team notices.
func runOverload(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("overload", seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := open(ctx, 2, 1, 200*time.Microsecond)
	if err != nil {
		return result, err
	}
	defer f.Close()
	if _, err := f.Accept(ctx, assembler.NewTeam(largeTeam, 1), assembler.NewTeam(smallTeam, 1)); err != nil {
		return result, err
	}
	small := newTally()
	small.ask(ctx, f, smallTeam, smallAnswers)
	o := &overload{fleet: f, done: make(chan struct{}), tally: newTally()}
	for i := range crowd {
		o.wait.Add(1)
		go o.loop(ctx, i)
	}
	err = assembler.Until(ctx, func() bool { return o.tally.answered() >= crowd })
	crowded := newTally()
	if err == nil {
		crowded.ask(ctx, f, smallTeam, smallAnswers)
	}
	close(o.done)
	o.wait.Wait()
	if err != nil {
		return result, err
	}
	result.Set("alone", small.first(), "ms to the first token at the 95th percentile")
	result.Set("crowded", crowded.first(), "ms to the first token at the 95th percentile")
	result.Set("served", float64(o.tally.whole), "answers of the crowd")
	result.Set("refused", float64(o.tally.refused+o.tally.late), "requests of the crowd")
	result.SetTarget("small_refused", float64(small.refused+crowded.refused), "requests refused", 0)
	// Whether a place comes free in time depends on how long the machine takes for an answer.
	result.SetTarget("small_late", float64(small.late+crowded.late), "requests for which no place came free in time", 0)
	result.SetTarget("cut", float64(small.cut+crowded.cut+o.tally.cut), "answers", 0)
	result.SetTarget("wrong", float64(small.wrong+crowded.wrong+o.tally.wrong), "answers", 0)
	return result, nil
}

// overload is a crowd of callers of one team.
type overload struct {
	fleet *assembler.Fleet
	done  chan struct{}
	wait  sync.WaitGroup
	tally *tally
}

// loop asks one request after another, until done is closed.
func (o *overload) loop(ctx context.Context, number int) {
	defer o.wait.Done()
	c := assembler.NewCaller(largeTeam)
	defer c.Close()
	for n := 0; ; n++ {
		select {
		case <-o.done:
			return
		default:
		}
		if o.tally.add(ctx, o.fleet, c, fmt.Sprintf("a sash for frame %d of car %d", n, number), number+n) {
			continue
		}
		select {
		case <-o.done:
			return
		case <-time.After(refusedPause):
		}
	}
}

// tally counts what callers got.
type tally struct {
	mu    sync.Mutex
	whole int
	// refused counts the requests that the queues or limits refused, and late those that would have begun too late.
	refused int
	late    int
	cut     int
	wrong   int
	// firsts holds the times to the first token, in microseconds.
	firsts *hdrhistogram.Histogram
}

// newTally returns a tally of nothing.
func newTally() *tally {
	return &tally{firsts: hdrhistogram.New(1, longest.Microseconds(), 3)}
}

// ask asks for a number of answers, one after another, from the instances in turn.
func (t *tally) ask(ctx context.Context, f *assembler.Fleet, team string, count int) {
	c := assembler.NewCaller(team)
	defer c.Close()
	for n := range count {
		t.add(ctx, f, c, fmt.Sprintf("a latch for till %d", n), n)
	}
}

// add asks for one answer, counts it and reports whether it was served.
func (t *tally) add(ctx context.Context, f *assembler.Fleet, c *assembler.Caller, prompt string, turn int) bool {
	nodes := f.Live()
	a, err := c.Complete(ctx, nodes[turn%len(nodes)].CallerAddress(), assembler.Model, prompt, overloadTokens)
	_, want := decoder.ExpectedAnswer(assembler.Model, "v1", "", prompt, assembler.Layers, overloadTokens)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case a.Code == string(server.CodeDeadline):
		t.late++
		return false
	case a.Outcome == "not-run":
		t.refused++
		return false
	case err != nil || !a.Whole:
		t.cut++
		return false
	case a.Text != want:
		t.wrong++
		return false
	}
	t.whole++
	if len(a.Tokens) > 0 {
		_ = t.firsts.RecordValue(a.Tokens[0].Sub(a.Asked).Microseconds())
	}
	return true
}

// answered counts the requests that were served or refused.
func (t *tally) answered() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.whole + t.refused + t.late
}

// first returns the 95th percentile of the times to the first token, in milliseconds.
func (t *tally) first() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.firsts.ValueAtQuantile(95)) / 1000
}
