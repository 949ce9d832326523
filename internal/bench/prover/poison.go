package prover

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/assembler"
	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/serving/runner"
	"github.com/heatherrock/heatherrock/internal/standin/starter"
)

const (
	// poisonInstances is the number of instances, the same as in present fleets.
	poisonInstances = 7
	// resendsPerInstance is the number of times that the caller sends its request to each instance.
	resendsPerInstance = 3
	// poisonCallers is the number of callers of other requests, and minOtherRequests the minimum number of their requests.
	poisonCallers    = 12
	minOtherRequests = 300
	// restartDelay is how long a crashed engine stays down.
	restartDelay = 500 * time.Millisecond
	// crashTarget bounds the endpoints that one request may crash.
	crashTarget = 2
)

// runPoison repeatedly sends every instance a request that crashes the endpoints running it, among other requests.
func runPoison(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("poison", seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := startFleet(ctx, poisonInstances, 4, 100*time.Microsecond, assembler.WithStandins(setRestartDelay))
	if err != nil {
		return result, err
	}
	defer s.Close()
	pick := func(random *rand.Rand) *runner.Runner { return s.Nodes[random.IntN(len(s.Nodes))] }
	load := startLoad(ctx, pick, poisonCallers, seed)
	refused, codes := resendPoison(ctx, s)
	err = assembler.WaitUntil(ctx, func() bool { return load.sent.Load() >= minOtherRequests })
	load.stop()
	if err != nil {
		return result, err
	}
	crashed := 0
	for _, p := range s.Standins.StandIns() {
		crashed += p.Server.CrashCount()
	}
	result.Set("resends", poisonInstances*resendsPerInstance, "requests")
	result.Set("refused", float64(refused), "resends")
	result.Set("innocents", float64(load.sent.Load()), "requests")
	result.SetTarget("crashed", float64(crashed), "endpoints", crashTarget)
	result.SetTarget("innocent", float64(load.quarantined.Load()), "requests refused", 0)
	result.SetTarget("cut", float64(load.cutOff.Load()), "answers", 0)
	result.SetTarget("wrong", float64(load.wrong.Load()), "answers", 0)
	if codes[""] > 0 {
		result.Set("answered", float64(codes[""]), "resends")
	}
	return result, nil
}

// setRestartDelay makes crashed engines restart.
func setRestartDelay(f *starter.Fleet) {
	for name, k := range f.Kinds {
		k.RestartDelay = starter.Duration(restartDelay)
		f.Kinds[name] = k
	}
}

// resendPoison sends the request to each instance in turn, like a caller who gets no answer.
func resendPoison(ctx context.Context, s *assembler.Fleet) (int, map[string]int) {
	c := assembler.NewCaller(team)
	defer c.Close()
	codes := map[string]int{}
	for range resendsPerInstance {
		for _, r := range s.Nodes {
			a := sendRequest(ctx, c, r, assembler.PoisonMarker+" drawing", 20)
			<-a.done
			codes[a.answer.Code]++
		}
	}
	return codes["request_quarantined"], codes
}

// load is a number of callers, each of which sends one request after another.
type load struct {
	sent        atomic.Int64
	completed   atomic.Int64
	cutOff      atomic.Int64
	refused     atomic.Int64
	quarantined atomic.Int64
	wrong       atomic.Int64
	done        chan struct{}
	wait        sync.WaitGroup
}

// startLoad starts callers whose requests go to the instances that pick returns; pick may return nil if there is none.
func startLoad(ctx context.Context, pick func(*rand.Rand) *runner.Runner, callers int, seed uint64) *load {
	l := &load{done: make(chan struct{})}
	for i := range callers {
		l.wait.Add(1)
		go l.loop(ctx, pick, seed+uint64(i)+1)
	}
	return l
}

// stop stops the callers once their pending requests are finished.
func (l *load) stop() {
	close(l.done)
	l.wait.Wait()
}

// loop sends one request after another until done is closed.
func (l *load) loop(ctx context.Context, pick func(*rand.Rand) *runner.Runner, seed uint64) {
	defer l.wait.Done()
	c := assembler.NewCaller(team)
	defer c.Close()
	random := newRand(seed)
	for {
		select {
		case <-l.done:
			return
		default:
		}
		prompt, err := newPrompt(random, 8, 30)
		if err != nil {
			return
		}
		node := pick(random)
		if node == nil {
			continue
		}
		a := sendRequest(ctx, c, node, prompt, 30)
		<-a.done
		l.recordAnswer(a)
	}
}

// recordAnswer counts the outcome of an answer.
func (l *load) recordAnswer(a *pendingAnswer) {
	l.sent.Add(1)
	switch {
	case a.isWrong():
		l.wrong.Add(1)
	case a.isComplete():
		l.completed.Add(1)
	case a.answer.Code == "request_quarantined":
		l.quarantined.Add(1)
	case a.answer.Outcome == "not-run":
		l.refused.Add(1)
	default:
		l.cutOff.Add(1)
	}
}
