package claimer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The fleet of an exploration.
const (
	fleetInstances = 7
	fleetWrites    = 350
	groupDelay     = 5 * time.Millisecond
	groupSize      = 32
	groupParallel  = 4
	groupPatience  = 250 * time.Millisecond
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

// alone turns grouping off.
func alone(f *fleet) {
	for _, i := range f.instances {
		i.group.Size = 1
		i.group.Parallel = groupSize
	}
}

// newFleet returns a fleet whose holds follow the plans and begin apart by interval.
func newFleet(seed uint64, plans []Plan, interval time.Duration, options ...option) *fleet {
	f := &fleet{clock: clock{now: epoch}, rand: rand.New(rand.NewPCG(seed, 1)), store: &store{rows: map[string]claimer.Row{}}}
	for range fleetInstances {
		i := &instance{fleet: f, waiting: map[int64]pending{}}
		i.group = claimer.Group{Delay: groupDelay, Size: groupSize, Parallel: groupParallel, Patience: groupPatience}
		i.budget.SetShare(epoch, fleetWrites, fleetInstances)
		f.instances = append(f.instances, i)
	}
	for _, o := range options {
		o(f)
	}
	for n, p := range plans {
		key := claimer.Key{Text: fmt.Sprintf("20260101-%d", n), Day: "20260101"}
		h := &hold{fleet: f, key: key, plan: p, told: map[int]classifier.Verdict{}}
		f.holds = append(f.holds, h)
		f.clock.after(time.Duration(n)*interval, h.begin)
	}
	return f
}

// Audit sums up the findings of all holds.
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
	a := Audit{Holds: len(f.holds), Writes: f.store.writes}
	for _, h := range f.holds {
		found := h.audit()
		a.Duplicates += found.Duplicates
		a.Misreported += count(found.Misreported)
		a.Lost += count(found.Lost)
		v := h.verdict()
		a.Completed += count(v == classifier.VerdictCompleted)
		a.NotRun += count(v == classifier.VerdictNotRun)
		a.Unknown += count(v == classifier.VerdictUnknown)
	}
	return a
}

// bad counts the violations.
func (a Audit) bad() int {
	return a.Duplicates + a.Misreported + a.Lost
}

// count returns 1 if a condition holds.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
