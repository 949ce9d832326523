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
	// largeTeam and smallTeam are the names of the teams and also their bearer tokens.
	largeTeam = "large"
	smallTeam = "small"
	// crowdCallers is the number of the large team's callers, far more than the capacity of the endpoints.
	crowdCallers = 100
	// smallAnswers is the number of answers that the small team requests in sequence, with and without the crowd.
	smallAnswers = 20
	// overloadTokens is the maximum length of an answer in tokens.
	overloadTokens = 10
	// refusedRetryDelay is how long a caller of the crowd waits after a refusal, less than the response asks for.
	refusedRetryDelay = 50 * time.Millisecond
)

// runOverload offers far more load than the endpoints can run and measures the effect on a small team.
func runOverload(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("overload", seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := startFleet(ctx, 2, 1, 200*time.Microsecond)
	if err != nil {
		return result, err
	}
	defer f.Close()
	if _, err := f.Accept(ctx, assembler.NewTeamRecord(largeTeam, 1), assembler.NewTeamRecord(smallTeam, 1)); err != nil {
		return result, err
	}
	small := newTally()
	small.sendAll(ctx, f, smallTeam, smallAnswers)
	cr := &callerCrowd{fleet: f, done: make(chan struct{}), tally: newTally()}
	for i := range crowdCallers {
		cr.wait.Add(1)
		go cr.loop(ctx, i)
	}
	err = assembler.WaitUntil(ctx, func() bool { return cr.tally.answeredCount() >= crowdCallers })
	withCrowd := newTally()
	if err == nil {
		withCrowd.sendAll(ctx, f, smallTeam, smallAnswers)
	}
	close(cr.done)
	cr.wait.Wait()
	if err != nil {
		return result, err
	}
	result.Set("alone", small.firstTokenP95(), "ms to the first token at the 95th percentile")
	result.Set("crowded", withCrowd.firstTokenP95(), "ms to the first token at the 95th percentile")
	result.Set("served", float64(cr.tally.completed), "answers of the crowd")
	result.Set("refused", float64(cr.tally.refused+cr.tally.pastDeadline), "requests of the crowd")
	result.SetTarget("small_refused", float64(small.refused+withCrowd.refused), "requests refused", 0)
	// Whether capacity is free in time depends on how long the machine takes for an answer.
	result.SetTarget("small_late", float64(small.pastDeadline+withCrowd.pastDeadline), "requests for which no place came free in time", 0)
	result.SetTarget("cut", float64(small.cutOff+withCrowd.cutOff+cr.tally.cutOff), "answers", 0)
	result.SetTarget("wrong", float64(small.wrong+withCrowd.wrong+cr.tally.wrong), "answers", 0)
	return result, nil
}

// callerCrowd is a crowd of callers of one team.
type callerCrowd struct {
	fleet *assembler.Fleet
	done  chan struct{}
	wait  sync.WaitGroup
	tally *tally
}

// loop sends one request after another until done is closed.
func (cr *callerCrowd) loop(ctx context.Context, number int) {
	defer cr.wait.Done()
	c := assembler.NewCaller(largeTeam)
	defer c.Close()
	for n := 0; ; n++ {
		select {
		case <-cr.done:
			return
		default:
		}
		if cr.tally.sendOne(ctx, cr.fleet, c, fmt.Sprintf("a sash for frame %d of car %d", n, number), number+n) {
			continue
		}
		select {
		case <-cr.done:
			return
		case <-time.After(refusedRetryDelay):
		}
	}
}

// tally counts the outcomes of requests.
type tally struct {
	mu        sync.Mutex
	completed int
	// refused counts the requests that the queues or limits refused, and pastDeadline those that would have begun too late.
	refused      int
	pastDeadline int
	cutOff       int
	wrong        int
	// firstTokenTimes holds the times to the first token in microseconds.
	firstTokenTimes *hdrhistogram.Histogram
}

// newTally returns an empty tally.
func newTally() *tally {
	return &tally{firstTokenTimes: hdrhistogram.New(1, maxHistogramTime.Microseconds(), 3)}
}

// sendAll requests a number of answers in sequence, from the instances in turn.
func (t *tally) sendAll(ctx context.Context, f *assembler.Fleet, team string, count int) {
	c := assembler.NewCaller(team)
	defer c.Close()
	for n := range count {
		t.sendOne(ctx, f, c, fmt.Sprintf("a latch for till %d", n), n)
	}
}

// sendOne requests one answer, counts its outcome and reports whether it was complete and correct.
func (t *tally) sendOne(ctx context.Context, f *assembler.Fleet, c *assembler.Caller, prompt string, turn int) bool {
	nodes := f.LiveNodes()
	a, err := c.Complete(ctx, nodes[turn%len(nodes)].CallerAddress(), assembler.Model, prompt, overloadTokens)
	_, want := decoder.ExpectedAnswer(assembler.Model, "v1", "", prompt, assembler.Layers, overloadTokens)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case a.Code == string(server.CodeDeadline):
		t.pastDeadline++
		return false
	case a.Outcome == "not-run":
		t.refused++
		return false
	case err != nil || !a.IsComplete:
		t.cutOff++
		return false
	case a.Text != want:
		t.wrong++
		return false
	}
	t.completed++
	if len(a.TokenTimes) > 0 {
		_ = t.firstTokenTimes.RecordValue(a.TokenTimes[0].Sub(a.SentAt).Microseconds())
	}
	return true
}

// answeredCount returns the number of requests that were served or refused.
func (t *tally) answeredCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.completed + t.refused + t.pastDeadline
}

// firstTokenP95 returns the 95th percentile of the times to the first token in milliseconds.
func (t *tally) firstTokenP95() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.firstTokenTimes.ValueAtQuantile(95)) / 1000
}
