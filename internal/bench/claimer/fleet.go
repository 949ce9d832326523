package claimer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The size and settings of an explored fleet.
const (
	instanceCount        = 7
	fleetWritesPerSecond = 350
	groupDelay           = 5 * time.Millisecond
	groupSize            = 32
	groupParallel        = 4
	groupPatience        = 250 * time.Millisecond
)

// fleet is the instances, their table service, and the callers' holds.
type fleet struct {
	clock     clock
	rand      *rand.Rand
	store     *store
	instances []*instance
	holds     []*hold
}

// option changes a fleet before it runs.
type option func(*fleet)

// withoutGrouping puts each mutation into a transaction of its own.
func withoutGrouping(f *fleet) {
	for _, i := range f.instances {
		i.group.Size = 1
		i.group.Parallel = groupSize
	}
}

// newFleet returns a fleet whose holds follow the plans and start at the given interval.
func newFleet(seed uint64, plans []Plan, interval time.Duration, options ...option) *fleet {
	f := &fleet{clock: clock{now: startTime}, rand: rand.New(rand.NewPCG(seed, 1)), store: &store{rows: map[string]claimer.Row{}}}
	for range instanceCount {
		i := &instance{fleet: f, queued: map[int64]pendingMutation{}}
		i.group = claimer.Group{Delay: groupDelay, Size: groupSize, Parallel: groupParallel, Patience: groupPatience}
		i.budget.SetShare(startTime, fleetWritesPerSecond, instanceCount)
		f.instances = append(f.instances, i)
	}
	for _, o := range options {
		o(f)
	}
	for n, p := range plans {
		key := claimer.Key{Text: fmt.Sprintf("20260101-%d", n), Day: "20260101"}
		h := &hold{fleet: f, key: key, plan: p, verdicts: map[int]classifier.Verdict{}}
		f.holds = append(f.holds, h)
		f.clock.runAfter(time.Duration(n)*interval, h.start)
	}
	return f
}

// Audit is the totals of the findings and outcomes of all holds.
type Audit struct {
	Holds       int
	Duplicates  int
	Misreported int
	Lost        int
	Completed   int
	NotRun      int
	Unknown     int
	Writes      int
}

// run runs the fleet to its end and audits it.
func (f *fleet) run() Audit {
	f.clock.run()
	a := Audit{Holds: len(f.holds), Writes: f.store.transactionCount}
	for _, h := range f.holds {
		found := h.audit()
		a.Duplicates += found.Duplicates
		a.Misreported += countIf(found.Misreported)
		a.Lost += countIf(found.Lost)
		v := h.verdict()
		a.Completed += countIf(v == classifier.VerdictCompleted)
		a.NotRun += countIf(v == classifier.VerdictNotRun)
		a.Unknown += countIf(v == classifier.VerdictUnknown)
	}
	return a
}

// violationCount returns the number of violations.
func (a Audit) violationCount() int {
	return a.Duplicates + a.Misreported + a.Lost
}

// countIf returns 1 if a condition is true, and 0 otherwise.
func countIf(b bool) int {
	if b {
		return 1
	}
	return 0
}
