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
	// drainInstances is the number of instances that are replaced one after another.
	drainInstances = 7
	// probeInterval is the time between the balancer's readiness probes.
	probeInterval = 100 * time.Millisecond
	// leavingEndpoints is the number of endpoints that leave under load.
	leavingEndpoints = 4
	// lateTargetSeconds bounds the time after the leaving notice during which a leaving endpoint still receives new work.
	lateTargetSeconds = 3
	// leaveWatchTime is how long leaving endpoints are observed.
	leaveWatchTime = (lateTargetSeconds + 1) * time.Second
)

// balancer is the platform's load balancer: it sends requests to the instances that passed the latest readiness probe.
type balancer struct {
	fleet  *assembler.Fleet
	client *http.Client
	done   chan struct{}
	wait   sync.WaitGroup

	mu    sync.Mutex
	ready []*runner.Runner
	// pickCounts is the number of requests sent to each instance.
	pickCounts map[*runner.Runner]int64
}

// newBalancer returns a running balancer that has probed the instances once.
func newBalancer(s *assembler.Fleet) *balancer {
	b := &balancer{
		fleet: s, client: &http.Client{Timeout: time.Second}, done: make(chan struct{}), pickCounts: map[*runner.Runner]int64{},
	}
	b.probe()
	b.wait.Add(1)
	go b.loop()
	return b
}

// loop probes the instances at each interval until done is closed.
func (b *balancer) loop() {
	defer b.wait.Done()
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-t.C:
			b.probe()
		}
	}
}

// probe queries the readiness of each live instance.
func (b *balancer) probe() {
	var ready []*runner.Runner
	for _, r := range b.fleet.LiveNodes() {
		response, err := b.client.Get("http://" + r.OperatorAddress() + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, r)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// readyInstances returns the instances that receive requests.
func (b *balancer) readyInstances() []*runner.Runner {
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
	b.pickCounts[r]++
	return r
}

// awaitRemoval waits until the balancer no longer sends requests to a leaving instance, and the instance has received
// every request sent to it before.
func (b *balancer) awaitRemoval(ctx context.Context, r *runner.Runner) {
	// The wait fails only if the context ends, which ends the experiment too.
	_ = assembler.WaitUntil(ctx, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return !slices.Contains(b.ready, r) && b.pickCounts[r] == r.RequestsReceived()
	})
}

// close stops the balancer.
func (b *balancer) close() {
	close(b.done)
	b.wait.Wait()
	b.client.CloseIdleConnections()
}

// runDrain replaces every instance and then lets endpoints leave, under load throughout.
func runDrain(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("drain", seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var b *balancer
	awaitRemoval := func(ctx context.Context, r *runner.Runner) { b.awaitRemoval(ctx, r) }
	s, err := startFleet(ctx, drainInstances, 3, 200*time.Microsecond, assembler.WithRunnerOptions(runner.WithDrainWait(awaitRemoval)))
	if err != nil {
		return result, err
	}
	defer s.Close()
	b = newBalancer(s)
	load := startLoad(ctx, b.pick, 12, seed)
	cutOff, err := replaceInstances(ctx, s, b)
	if err != nil {
		return result, err
	}
	sentBefore := load.sent.Load()
	latestWork := leaveEndpoints(s)
	sentLeaving := load.sent.Load() - sentBefore
	load.stop()
	b.close()
	result.Set("replaced", drainInstances, "instances")
	result.Set("sent", float64(load.sent.Load()), "requests")
	result.Set("sent_leaving", float64(sentLeaving), "requests while endpoints leave")
	result.Set("refused", float64(load.refused.Load()), "requests")
	result.SetTarget("cut", float64(cutOff)+float64(load.cutOff.Load()), "requests", 0)
	result.SetTarget("wrong", float64(load.wrong.Load()), "answers", 0)
	result.SetTarget("late", latestWork.Seconds(), "s", lateTargetSeconds)
	return result, nil
}

// replaceInstances replaces each instance by a new one and returns the number of requests that instances cut off.
func replaceInstances(ctx context.Context, s *assembler.Fleet, b *balancer) (int, error) {
	cutOff := 0
	for range drainInstances {
		joined, err := s.Join()
		if err != nil {
			return cutOff, err
		}
		// The new instance receives requests before the old one leaves.
		err = assembler.WaitUntil(ctx, func() bool {
			return slices.Contains(b.readyInstances(), joined)
		})
		if err != nil {
			return cutOff, err
		}
		cutOff += s.DrainFirst(ctx)
	}
	return cutOff, nil
}

// leaveEndpoints marks one endpoint of each range as leaving and returns the longest time after the leaving notice at
// which one of them received new work.
func leaveEndpoints(s *assembler.Fleet) time.Duration {
	leaving := map[string]bool{}
	leavingAt := time.Now()
	for _, e := range s.Standins.Fleet.Engines[:leavingEndpoints] {
		leaving[e.ID] = true
		s.Standins.List.MarkLeaving(e.ID)
	}
	latest := time.Duration(0)
	for time.Since(leavingAt) < leaveWatchTime {
		for _, r := range s.LiveNodes() {
			for _, a := range r.Router().Attempts() {
				if usesAny(a.Plan, leaving) {
					latest = max(latest, a.Began.Sub(leavingAt))
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
	return latest
}

// usesAny reports whether a plan has a stage on one of the given endpoints.
func usesAny(p planner.Plan, endpoints map[string]bool) bool {
	return slices.ContainsFunc(p.Stages, func(s planner.Stage) bool { return endpoints[s.Endpoint] })
}
