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
	// poisonNodes is the number of instances, as the fleets of today have.
	poisonNodes = 7
	// poisonResends is the number of times that the caller sends its request to each instance.
	poisonResends = 3
	// poisonCallers is the number of callers of other requests, and innocents the least number of their requests.
	poisonCallers = 12
	innocents     = 300
	// restart is how long a crashed engine stays down.
	restart = 500 * time.Millisecond
	// crashTarget bounds the endpoints that one request may crash.
	crashTarget = 2
)

// runPoison sends a request that crashes what runs it to every instance, again and again, among the requests of others.
func runPoison(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("poison", seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := open(ctx, poisonNodes, 4, 100*time.Microsecond, assembler.WithFleet(restarting))
	if err != nil {
		return result, err
	}
	defer s.Close()
	pick := func(random *rand.Rand) *runner.Runner { return s.Nodes[random.IntN(len(s.Nodes))] }
	load := startLoad(ctx, pick, poisonCallers, seed)
	refused, codes := resend(ctx, s)
	err = assembler.Until(ctx, func() bool { return load.sent.Load() >= innocents })
	load.stop()
	if err != nil {
		return result, err
	}
	crashed := 0
	for _, p := range s.Standins.StandIns() {
		crashed += p.Server.CrashCount()
	}
	result.Set("resends", poisonNodes*poisonResends, "requests")
	result.Set("refused", float64(refused), "resends")
	result.Set("innocents", float64(load.sent.Load()), "requests")
	result.SetTarget("crashed", float64(crashed), "endpoints", crashTarget)
	result.SetTarget("innocent", float64(load.quarantined.Load()), "requests refused", 0)
	result.SetTarget("cut", float64(load.cut.Load()), "answers", 0)
	result.SetTarget("wrong", float64(load.wrong.Load()), "answers", 0)
	if codes[""] > 0 {
		result.Set("answered", float64(codes[""]), "resends")
	}
	return result, nil
}

// restarting lets crashed engines start again.
func restarting(f *starter.Fleet) {
	for name, k := range f.Kinds {
		k.RestartDelay = starter.Duration(restart)
		f.Kinds[name] = k
	}
}

// resend sends the request to each instance in turn, as a caller does who gets no answer.
func resend(ctx context.Context, s *assembler.Fleet) (int, map[string]int) {
	c := assembler.NewCaller(team)
	defer c.Close()
	codes := map[string]int{}
	for range poisonResends {
		for _, r := range s.Nodes {
			a := ask(ctx, c, r, assembler.Poison+" drawing", 20)
			<-a.done
			codes[a.answer.Code]++
		}
	}
	return codes["request_quarantined"], codes
}

// load is a number of callers who ask one request after another.
type load struct {
	sent        atomic.Int64
	whole       atomic.Int64
	cut         atomic.Int64
	refused     atomic.Int64
	quarantined atomic.Int64
	wrong       atomic.Int64
	done        chan struct{}
	wait        sync.WaitGroup
}

// startLoad starts callers whose requests go to the instances that pick returns. Pick may return nil if there is none.
func startLoad(ctx context.Context, pick func(*rand.Rand) *runner.Runner, callers int, seed uint64) *load {
	l := &load{done: make(chan struct{})}
	for i := range callers {
		l.wait.Add(1)
		go l.loop(ctx, pick, seed+uint64(i)+1)
	}
	return l
}

// stop ends the callers after their requests.
func (l *load) stop() {
	close(l.done)
	l.wait.Wait()
}

// loop asks one request after another until done is closed.
func (l *load) loop(ctx context.Context, pick func(*rand.Rand) *runner.Runner, seed uint64) {
	defer l.wait.Done()
	c := assembler.NewCaller(team)
	defer c.Close()
	random := random(seed)
	for {
		select {
		case <-l.done:
			return
		default:
		}
		prompt, err := write(random, 8, 30)
		if err != nil {
			return
		}
		node := pick(random)
		if node == nil {
			continue
		}
		a := ask(ctx, c, node, prompt, 30)
		<-a.done
		l.count(a)
	}
}

// count takes in an answer.
func (l *load) count(a *asked) {
	l.sent.Add(1)
	switch {
	case a.wrong():
		l.wrong.Add(1)
	case a.whole():
		l.whole.Add(1)
	case a.answer.Code == "request_quarantined":
		l.quarantined.Add(1)
	case a.answer.Outcome == "not-run":
		l.refused.Add(1)
	default:
		l.cut.Add(1)
	}
}
