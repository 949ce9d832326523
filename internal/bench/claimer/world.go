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

// world is a fleet, its table service, and the callers' holds.
type world struct {
	clock     clock
	rand      *rand.Rand
	store     *store
	instances []*instance
	holds     []*hold
}

// option changes a world before it runs.
type option func(*world)

// alone turns grouping off.
func alone(w *world) {
	for _, i := range w.instances {
		i.group.Size = 1
		i.group.Parallel = groupSize
	}
}

// newWorld returns a world whose holds follow the plans and begin apart by interval.
func newWorld(seed uint64, plans []Plan, interval time.Duration, options ...option) *world {
	w := &world{clock: clock{now: epoch}, rand: rand.New(rand.NewPCG(seed, 1)), store: &store{rows: map[string]claimer.Row{}}}
	for range fleetInstances {
		i := &instance{world: w, waiting: map[int64]pending{}}
		i.group = claimer.Group{Delay: groupDelay, Size: groupSize, Parallel: groupParallel, Patience: groupPatience}
		i.budget.Share(epoch, fleetWrites, fleetInstances)
		w.instances = append(w.instances, i)
	}
	for _, o := range options {
		o(w)
	}
	for n, p := range plans {
		key := claimer.Key{Text: fmt.Sprintf("20260101-%d", n), Day: "20260101"}
		h := &hold{world: w, key: key, plan: p, told: map[int]classifier.Verdict{}}
		w.holds = append(w.holds, h)
		w.clock.after(time.Duration(n)*interval, h.begin)
	}
	return w
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

// run runs the world to its end and audits it.
func (w *world) run() Audit {
	w.clock.run()
	a := Audit{Holds: len(w.holds), Writes: w.store.writes}
	for _, h := range w.holds {
		f := h.audit()
		a.Duplicates += f.Duplicates
		a.Misreported += count(f.Misreported)
		a.Lost += count(f.Lost)
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
