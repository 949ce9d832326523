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

// The planned fleet, which runs in virtual time: 390 instances in 4 regions.
const (
	plannedNodes   = 390
	plannedRegions = 4
	plannedChanges = 100
	nearDelay      = 2 * time.Millisecond
	farDelay       = 40 * time.Millisecond
	// lossShare is one in how many pushes is lost.
	lossShare = 50
)

// arrival is a change that reaches an instance.
type arrival struct {
	at   time.Duration
	node int
}

// arrivals is a heap of arrivals, the earliest first.
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

// Planned is how changes spread over the planned fleet.
type Planned struct {
	// Times holds, sorted and in seconds, how long each change took to each instance.
	Times []float64
	// Pushes counts the pushes of all changes.
	Pushes int
}

// spreadPlanned runs changes over the planned fleet. Without pushes, instances learn by reading the head alone.
func spreadPlanned(r *rand.Rand, push bool) Planned {
	var out Planned
	interval := follower.PollInterval(time.Second, plannedNodes)
	for range plannedChanges {
		known := make([]bool, plannedNodes)
		queue := &arrivals{}
		for node := range plannedNodes {
			heap.Push(queue, arrival{time.Duration(r.Int64N(int64(interval))), node})
		}
		heap.Push(queue, arrival{0, r.IntN(plannedNodes)})
		for queue.Len() > 0 {
			a := heap.Pop(queue).(arrival)
			if known[a.node] {
				continue
			}
			known[a.node] = true
			out.Times = append(out.Times, a.at.Seconds())
			for range poller.DefaultFanout {
				if !push {
					break
				}
				out.Pushes++
				to := r.IntN(plannedNodes)
				if r.IntN(lossShare) > 0 {
					heap.Push(queue, arrival{a.at + delay(a.node, to), to})
				}
			}
		}
	}
	slices.Sort(out.Times)
	return out
}

// delay returns the time between two instances.
func delay(a, b int) time.Duration {
	if a%plannedRegions == b%plannedRegions {
		return nearDelay
	}
	return farDelay
}

// reportPlanned sets the figures of the planned fleet.
func reportPlanned(result reporter.Result, seed uint64) {
	r := rand.New(rand.NewPCG(seed, plannedNodes))
	both, polls := spreadPlanned(r, true), spreadPlanned(r, false)
	result.SetTarget("planned_p50", both.Times[len(both.Times)/2], "s", targetSpread)
	result.SetTarget("planned_p99", last(both.Times), "s", targetSpread)
	result.SetTarget("planned_polls_p50", polls.Times[len(polls.Times)/2], "s", targetSpread)
	result.SetTarget("planned_polls_p99", last(polls.Times), "s", targetSpread)
	result.Set("planned_pushes", float64(both.Pushes)/plannedChanges/plannedNodes, "pushes a change and instance")
	result.Set("planned_reads", plannedNodes/follower.PollInterval(time.Second, plannedNodes).Seconds(), "reads a second")
}
