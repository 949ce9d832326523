// Package spreader measures how changes of the configuration spread over the fleet, and explores random histories.
package spreader

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/follower"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
)

// The size of the experiment.
const (
	histories    = 10_000
	healthy      = 50
	faulty       = 6
	slowChanges  = 2
	slowCall     = 500 * time.Millisecond
	step         = time.Millisecond
	window       = 3 * time.Second
	settleWithin = 30 * time.Second
	spreadWithin = 15 * time.Second
)

// The targets of the figures.
const (
	targetSpread  = 5.0
	targetHealthy = 1.0
	targetBytes   = 20_000.0
	targetCore    = 0.021
)

// Experiments is the table of this package's experiments.
func Experiments() []reporter.Experiment {
	return []reporter.Experiment{{
		Name: "epoch",
		Help: "time from accept to in force over 7 instances, its cost, and reversions over random histories",
		Run:  run,
	}, {
		Name: "layout",
		Help: "bytes written and read a change under each layout of the configuration, at the planned size",
		Run:  runLayout,
	}}
}

// run measures a fleet over loopback and explores random histories.
func run(seed uint64) (reporter.Result, error) {
	result := reporter.NewResult("epoch", seed)
	f, err := newFleet(seed)
	if err != nil {
		return result, err
	}
	defer f.close()
	m := &meter{fleet: f, r: rand.New(rand.NewPCG(seed, seed))}
	if err := m.measure(result); err != nil {
		return result, err
	}
	found, err := Explore(seed, histories)
	if err != nil {
		return result, err
	}
	report(result, found)
	reportPlanned(result, seed)
	for _, stale := range []time.Duration{5 * time.Second, follower.DefaultMaxStaleness, 5 * time.Minute, time.Hour} {
		c := cutOff(stale)
		name := fmt.Sprintf("%.0f", stale.Seconds())
		result.Set("cutoff_old_"+name, c.Old, "s")
		result.Set("cutoff_refused_"+name, c.Refused, "s")
	}
	return result, nil
}

// report sets the figures of an exploration.
func report(result reporter.Result, f Findings) {
	result.Set("histories", float64(f.Histories), "histories")
	result.Set("epochs", float64(f.Epochs), "epochs")
	result.Set("applied", float64(f.Applied), "changes")
	result.SetTarget("reversions", float64(f.Reversions), "changes", 0)
	result.SetTarget("divergent", float64(f.Divergent), "changes", 0)
	result.SetTarget("misreported", float64(f.Misreported), "changes", 0)
	result.SetTarget("behind", float64(f.Behind), "instances", 0)
}

// meter measures one fleet.
type meter struct {
	fleet    *fleet
	r        *rand.Rand
	made     int
	revision int64
}

// measure sets the figures of a fleet.
func (m *meter) measure(result reporter.Result) error {
	if err := m.fleet.settle(time.Now().Add(settleWithin)); err != nil {
		return err
	}
	if err := m.rates(result); err != nil {
		return err
	}
	fine, err := m.accepts(healthy, func() {})
	if err != nil {
		return err
	}
	result.SetTarget("p50", fine[len(fine)/2], "s", targetHealthy)
	result.SetTarget("p99", last(fine), "s", targetHealthy)
	lost, err := m.accepts(faulty, func() { m.fleet.lose.Store(true) })
	if err != nil {
		return err
	}
	result.SetTarget("lost_p50", lost[len(lost)/2], "s", targetSpread)
	result.SetTarget("lost_p99", last(lost), "s", targetSpread)
	if err := m.slow(result); err != nil {
		return err
	}
	m.fleet.cut.Store("i5", true)
	m.fleet.instances[6].gate.shut.Store(true)
	cut, err := m.accepts(faulty, func() {})
	if err != nil {
		return err
	}
	result.SetTarget("cut_p50", cut[len(cut)/2], "s", targetSpread)
	result.SetTarget("cut_p99", last(cut), "s", targetSpread)
	return nil
}

// slow sets the figures with a store that takes its time over each call.
func (m *meter) slow(result reporter.Result) error {
	if err := m.fleet.faults.AddFaults(faulter.Fault{Kind: faulter.Delay, DelayMillis: slowCall.Milliseconds()}); err != nil {
		return err
	}
	defer m.fleet.faults.Clear()
	times, err := m.accepts(slowChanges, func() {})
	if err != nil {
		return err
	}
	result.SetTarget("slow_p50", times[len(times)/2], "s", targetSpread)
	result.SetTarget("slow_p99", last(times), "s", targetSpread)
	return nil
}

// last returns the 99th percentile of sorted times.
func last(sorted []float64) float64 {
	return sorted[(len(sorted)-1)*99/100]
}

// rates sets the bytes and reads of an instance at rest and the cost of a change.
func (m *meter) rates(result reporter.Result) error {
	bytes, reads := m.fleet.exchanged(), m.fleet.table.Usage().Reads
	time.Sleep(window)
	rest := float64(m.fleet.exchanged()-bytes) / window.Seconds() / count
	result.Set("reads", float64(m.fleet.table.Usage().Reads-reads)/window.Seconds()/count, "reads a second")
	result.SetTarget("bytes", rest, "bytes a second", targetBytes)
	bytes = m.fleet.exchanged()
	const changes = 20
	if _, err := m.accepts(changes, func() {}); err != nil {
		return err
	}
	time.Sleep(window)
	busy := float64(m.fleet.exchanged()-bytes)/count - rest*window.Seconds()
	result.Set("bytes_change", max(0, busy)/changes, "bytes a change")
	return nil
}

// accepts makes changes one after another and returns the sorted times from each accept to its being in force on each
// instance, in seconds. The time begins before the accept is sent to the store.
func (m *meter) accepts(n int, before func()) ([]float64, error) {
	var all []float64
	for range n {
		if err := m.submit(); err != nil {
			return nil, err
		}
		before()
		start := time.Now()
		r, err := m.fleet.do(m.r.IntN(count-2), m.accept())
		if err != nil {
			return nil, err
		}
		m.revision++
		times, err := m.spread(start, r.Epoch)
		m.reopen()
		if err != nil {
			return nil, err
		}
		all = append(all, times...)
	}
	slices.Sort(all)
	return all, nil
}

// reopen brings the store back to the instances that had lost it, unless one is cut off for good.
func (m *meter) reopen() {
	_, cut := m.fleet.cut.Load("i5")
	if !cut {
		m.fleet.shut(false)
	}
}

// submit submits the next revision.
func (m *meter) submit() error {
	r, err := record(int(m.revision % 100))
	if err != nil {
		return err
	}
	_, err = m.fleet.do(0, m.command(accepter.Command{Action: accepter.ActionSubmit, Records: []recorder.Record{r}}))
	return err
}

// accept returns the command that accepts the next revision.
func (m *meter) accept() accepter.Command {
	change := accepter.Change{Kind: model.Kind, Name: model.Name, ExpectedRevision: m.revision, Revision: m.revision + 1}
	return m.command(accepter.Command{Action: accepter.ActionAccept, Changes: []accepter.Change{change}})
}

// command names a command.
func (m *meter) command(c accepter.Command) accepter.Command {
	m.made++
	c.ID, c.Operator = fmt.Sprint("m", m.made), "bench"
	return c
}

// spread waits until an epoch is in force on every instance and returns how long each took.
func (m *meter) spread(start time.Time, epoch int64) ([]float64, error) {
	times := make([]float64, count)
	for missing := count; missing > 0; {
		if time.Since(start) > spreadWithin {
			return nil, fmt.Errorf("epoch %d is not in force on %d instances after %v", epoch, missing, spreadWithin)
		}
		for i, in := range m.fleet.instances {
			if times[i] == 0 && in.poller.View().Epoch >= epoch {
				times[i] = time.Since(start).Seconds()
				missing--
			}
		}
		time.Sleep(step)
	}
	return times, nil
}
