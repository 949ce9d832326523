package spreader

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/control/follower"
	"github.com/heatherrock/heatherrock/internal/serving/poller"
)

// The planned fleet, simulated in virtual time: 390 instances in 4 regions.
const (
	plannedNodes   = 390
	plannedRegions = 4
	plannedChanges = 100
	nearDelay      = 2 * time.Millisecond
	farDelay       = 40 * time.Millisecond
	// One in lossOneIn pushes is lost.
	lossOneIn = 50
)

// arrival is the time at which a change reaches an instance, by a push or by a poll.
type arrival struct {
	at   time.Duration
	node int
}

// arrivals is a heap of arrivals, ordered by time.
type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push adds an arrival.
func (a *arrivals) Push(x any) { *a = append(*a, x.(arrival)) }

// Pop removes the last arrival.
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// PlannedSpread is how changes spread over the planned fleet.
type PlannedSpread struct {
	// SpreadSeconds holds how long each change took to reach each instance, sorted.
	SpreadSeconds []float64
	// PushCount counts the pushes of all changes.
	PushCount int
}

// spreadPlanned spreads changes over the planned fleet. Without pushes, instances receive changes only by polling the
// head.
func spreadPlanned(r *rand.Rand, push bool) PlannedSpread {
	var out PlannedSpread
	interval := follower.PollInterval(time.Second, plannedNodes)
	for range plannedChanges {
		reached := make([]bool, plannedNodes)
		queue := &arrivals{}
		for node := range plannedNodes {
			heap.Push(queue, arrival{time.Duration(r.Int64N(int64(interval))), node})
		}
		heap.Push(queue, arrival{0, r.IntN(plannedNodes)})
		for queue.Len() > 0 {
			a := heap.Pop(queue).(arrival)
			if reached[a.node] {
				continue
			}
			reached[a.node] = true
			out.SpreadSeconds = append(out.SpreadSeconds, a.at.Seconds())
			for range poller.DefaultFanout {
				if !push {
					break
				}
				out.PushCount++
				to := r.IntN(plannedNodes)
				if r.IntN(lossOneIn) > 0 {
					heap.Push(queue, arrival{a.at + linkDelay(a.node, to), to})
				}
			}
		}
	}
	slices.Sort(out.SpreadSeconds)
	return out
}

// linkDelay returns the delay between two instances.
func linkDelay(a, b int) time.Duration {
	if a%plannedRegions == b%plannedRegions {
		return nearDelay
	}
	return farDelay
}

// reportPlanned sets the results of the planned fleet.
func reportPlanned(result reporter.Result, seed uint64) {
	r := rand.New(rand.NewPCG(seed, plannedNodes))
	pushed, polled := spreadPlanned(r, true), spreadPlanned(r, false)
	result.SetTarget("planned_p50", pushed.SpreadSeconds[len(pushed.SpreadSeconds)/2], "s", spreadTargetSeconds)
	result.SetTarget("planned_p99", percentile99(pushed.SpreadSeconds), "s", spreadTargetSeconds)
	result.SetTarget("planned_polls_p50", polled.SpreadSeconds[len(polled.SpreadSeconds)/2], "s", spreadTargetSeconds)
	result.SetTarget("planned_polls_p99", percentile99(polled.SpreadSeconds), "s", spreadTargetSeconds)
	result.Set("planned_pushes", float64(pushed.PushCount)/plannedChanges/plannedNodes, "pushes a change and instance")
	result.Set("planned_reads", plannedNodes/follower.PollInterval(time.Second, plannedNodes).Seconds(), "reads a second")
}
