package prover

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/assembler"
	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
	"github.com/heatherrock/heatherrock/internal/serving/runner"
)

const (
	// drainNodes is the number of instances that are replaced one after another.
	drainNodes = 7
	// balancerInterval is the time between the balancer's looks at the instances' readiness.
	balancerInterval = 100 * time.Millisecond
	// leavingEndpoints is the number of endpoints that leave under load.
	leavingEndpoints = 4
	// lateTarget bounds the time after the first sign in which a leaving endpoint gets new work, in seconds.
	lateTarget = 3
	// settle is how long endpoints that leave are watched.
	settle = (lateTarget + 1) * time.Second
)

// balancer is the platform's balancer: it sends requests to the instances that were ready when it looked last.
type balancer struct {
	fleet  *assembler.Fleet
	client *http.Client
	done   chan struct{}
	wait   sync.WaitGroup

	mu    sync.Mutex
	ready []*runner.Runner
	// picked counts the requests that were sent to each instance.
	picked map[*runner.Runner]int64
}

// newBalancer returns a balancer that has looked once.
func newBalancer(s *assembler.Fleet) *balancer {
	b := &balancer{
		fleet: s, client: &http.Client{Timeout: time.Second}, done: make(chan struct{}), picked: map[*runner.Runner]int64{},
	}
	b.look()
	b.wait.Add(1)
	go b.loop()
	return b
}

// loop looks at each interval until done is closed.
func (b *balancer) loop() {
	defer b.wait.Done()
	t := time.NewTicker(balancerInterval)
	defer t.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-t.C:
			b.look()
		}
	}
}

// look asks each instance that the platform runs whether it is ready.
func (b *balancer) look() {
	var ready []*runner.Runner
	for _, r := range b.fleet.Live() {
		answer, err := b.client.Get("http://" + r.OperatorAddress() + "/readyz")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			ready = append(ready, r)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// nodes returns the instances that requests go to.
func (b *balancer) nodes() []*runner.Runner {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready
}

// pick returns the instance for one request, or nil if none is ready.
func (b *balancer) pick(random *rand.Rand) *runner.Runner {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	r := b.ready[random.IntN(len(b.ready))]
	b.picked[r]++
	return r
}

// noticed waits until the balancer has seen that an instance leaves, and the instance has got every request that was sent
// to it before.
func (b *balancer) noticed(ctx context.Context, r *runner.Runner) {
	// The wait ends early only with the context, and then the experiment does.
	_ = assembler.Until(ctx, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return !slices.Contains(b.ready, r) && b.picked[r] == r.RequestsReceived()
	})
}

// close ends the balancer.
func (b *balancer) close() {
	close(b.done)
	b.wait.Wait()
	b.client.CloseIdleConnections()
}

// runDrain replaces every instance and lets endpoints leave, all under load.
func runDrain(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("drain", seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var b *balancer
	noticed := func(ctx context.Context, r *runner.Runner) { b.noticed(ctx, r) }
	s, err := open(ctx, drainNodes, 3, 200*time.Microsecond, assembler.WithRunner(runner.WithDrainWait(noticed)))
	if err != nil {
		return result, err
	}
	defer s.Close()
	b = newBalancer(s)
	load := startLoad(ctx, b.pick, 12, seed)
	cut, err := replace(ctx, s, b)
	if err != nil {
		return result, err
	}
	before := load.sent.Load()
	late := leave(s)
	during := load.sent.Load() - before
	load.stop()
	b.close()
	result.Set("replaced", drainNodes, "instances")
	result.Set("sent", float64(load.sent.Load()), "requests")
	result.Set("sent_leaving", float64(during), "requests while endpoints leave")
	result.Set("refused", float64(load.refused.Load()), "requests")
	result.SetTarget("cut", float64(cut)+float64(load.cut.Load()), "requests", 0)
	result.SetTarget("wrong", float64(load.wrong.Load()), "answers", 0)
	result.SetTarget("late", late.Seconds(), "s", lateTarget)
	return result, nil
}

// replace puts a new instance in the place of each. It returns the number of requests that instances cut off.
func replace(ctx context.Context, s *assembler.Fleet, b *balancer) (int, error) {
	cut := 0
	for range drainNodes {
		joined, err := s.Join()
		if err != nil {
			return cut, err
		}
		// The new instance takes requests before the old one leaves.
		err = assembler.Until(ctx, func() bool {
			return slices.Contains(b.nodes(), joined)
		})
		if err != nil {
			return cut, err
		}
		cut += s.Retire(ctx)
	}
	return cut, nil
}

// leave lets one endpoint of each range leave and returns the longest time after the first sign at which one of them got
// new work.
func leave(s *assembler.Fleet) time.Duration {
	left := map[string]bool{}
	sign := time.Now()
	for _, e := range s.Standins.Fleet.Engines[:leavingEndpoints] {
		left[e.ID] = true
		s.Standins.List.MarkLeaving(e.ID)
	}
	late := time.Duration(0)
	for time.Since(sign) < settle {
		for _, r := range s.Live() {
			for _, a := range r.Router().Attempts() {
				if uses(a.Plan, left) {
					late = max(late, a.Began.Sub(sign))
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
	return late
}

// uses reports whether a plan has a stage on one of some endpoints.
func uses(p planner.Plan, endpoints map[string]bool) bool {
	return slices.ContainsFunc(p.Stages, func(s planner.Stage) bool { return endpoints[s.Endpoint] })
}
