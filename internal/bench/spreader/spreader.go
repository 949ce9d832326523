// Package spreader measures how configuration changes spread over the fleet, and explores random histories for
// violations.
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

// The size of the experiment and its timeouts.
const (
	histories        = 10_000
	healthyChanges   = 50
	faultChanges     = 6
	slowChanges      = 2
	slowCallDelay    = 500 * time.Millisecond
	pollInterval     = time.Millisecond
	rateWindow       = 3 * time.Second
	discoveryTimeout = 30 * time.Second
	spreadTimeout    = 15 * time.Second
)

// The targets of the results.
const (
	spreadTargetSeconds  = 5.0
	healthyTargetSeconds = 1.0
	bytesPerSecondTarget = 20_000.0
	coreShareTarget      = 0.021
)

// Experiments returns this package's experiments.
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

// run measures a fleet over loopback, explores random histories, and simulates the planned fleet and cut-offs.
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
	found, err := ExploreHistories(seed, histories)
	if err != nil {
		return result, err
	}
	report(result, found)
	reportPlanned(result, seed)
	for _, stale := range []time.Duration{5 * time.Second, follower.DefaultMaxStaleness, 5 * time.Minute, time.Hour} {
		c := runCutoff(stale)
		name := fmt.Sprintf("%.0f", stale.Seconds())
		result.Set("cutoff_old_"+name, c.OldSeconds, "s")
		result.Set("cutoff_refused_"+name, c.RefusedSeconds, "s")
	}
	return result, nil
}

// report sets the results of an exploration.
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
	fleet        *fleet
	r            *rand.Rand
	commandCount int
	revision     int64
}

// measure sets the results of a fleet: healthy, after the loss of the store, with a slow store, and with one instance
// cut off from its peers and another from the store.
func (m *meter) measure(result reporter.Result) error {
	if err := m.fleet.waitForPeers(time.Now().Add(discoveryTimeout)); err != nil {
		return err
	}
	if err := m.measureRates(result); err != nil {
		return err
	}
	healthyTimes, err := m.acceptChanges(healthyChanges, func() {})
	if err != nil {
		return err
	}
	result.SetTarget("p50", healthyTimes[len(healthyTimes)/2], "s", healthyTargetSeconds)
	result.SetTarget("p99", percentile99(healthyTimes), "s", healthyTargetSeconds)
	lostTimes, err := m.acceptChanges(faultChanges, func() { m.fleet.loseAfterCommit.Store(true) })
	if err != nil {
		return err
	}
	result.SetTarget("lost_p50", lostTimes[len(lostTimes)/2], "s", spreadTargetSeconds)
	result.SetTarget("lost_p99", percentile99(lostTimes), "s", spreadTargetSeconds)
	if err := m.measureSlowStore(result); err != nil {
		return err
	}
	m.fleet.cutOff.Store("i5", true)
	m.fleet.instances[6].table.isUnreachable.Store(true)
	cutTimes, err := m.acceptChanges(faultChanges, func() {})
	if err != nil {
		return err
	}
	result.SetTarget("cut_p50", cutTimes[len(cutTimes)/2], "s", spreadTargetSeconds)
	result.SetTarget("cut_p99", percentile99(cutTimes), "s", spreadTargetSeconds)
	return nil
}

// measureSlowStore sets the results with a store that delays each call.
func (m *meter) measureSlowStore(result reporter.Result) error {
	if err := m.fleet.faults.AddFaults(faulter.Fault{Kind: faulter.Delay, DelayMillis: slowCallDelay.Milliseconds()}); err != nil {
		return err
	}
	defer m.fleet.faults.Clear()
	times, err := m.acceptChanges(slowChanges, func() {})
	if err != nil {
		return err
	}
	result.SetTarget("slow_p50", times[len(times)/2], "s", spreadTargetSeconds)
	result.SetTarget("slow_p99", percentile99(times), "s", spreadTargetSeconds)
	return nil
}

// percentile99 returns the 99th percentile of sorted times.
func percentile99(sorted []float64) float64 {
	return sorted[(len(sorted)-1)*99/100]
}

// measureRates sets the traffic and reads of an idle instance, and the traffic of a change.
func (m *meter) measureRates(result reporter.Result) error {
	bytes, reads := m.fleet.exchangedBytes(), m.fleet.table.Usage().Reads
	time.Sleep(rateWindow)
	idleRate := float64(m.fleet.exchangedBytes()-bytes) / rateWindow.Seconds() / instanceCount
	result.Set("reads", float64(m.fleet.table.Usage().Reads-reads)/rateWindow.Seconds()/instanceCount, "reads a second")
	result.SetTarget("bytes", idleRate, "bytes a second", bytesPerSecondTarget)
	bytes = m.fleet.exchangedBytes()
	const changes = 20
	if _, err := m.acceptChanges(changes, func() {}); err != nil {
		return err
	}
	time.Sleep(rateWindow)
	changeBytes := float64(m.fleet.exchangedBytes()-bytes)/instanceCount - idleRate*rateWindow.Seconds()
	result.Set("bytes_change", max(0, changeBytes)/changes, "bytes a change")
	return nil
}

// acceptChanges makes changes one after another and returns the sorted times, in seconds, from sending the accept to
// the store until the change is in force on each instance. It calls before ahead of each accept.
func (m *meter) acceptChanges(n int, before func()) ([]float64, error) {
	var all []float64
	for range n {
		if err := m.submit(); err != nil {
			return nil, err
		}
		before()
		start := time.Now()
		r, err := m.fleet.runCommand(m.r.IntN(instanceCount-2), m.acceptCommand())
		if err != nil {
			return nil, err
		}
		m.revision++
		times, err := m.waitForEpoch(start, r.Epoch)
		m.restoreStore()
		if err != nil {
			return nil, err
		}
		all = append(all, times...)
	}
	slices.Sort(all)
	return all, nil
}

// restoreStore makes the store reachable again for all instances, unless one is cut off permanently.
func (m *meter) restoreStore() {
	_, cut := m.fleet.cutOff.Load("i5")
	if !cut {
		m.fleet.setStoreUnreachable(false)
	}
}

// submit submits the next revision.
func (m *meter) submit() error {
	r, err := newModelRecord(int(m.revision % 100))
	if err != nil {
		return err
	}
	_, err = m.fleet.runCommand(0, m.newCommand(accepter.Command{Action: accepter.ActionSubmit, Records: []recorder.Record{r}}))
	return err
}

// acceptCommand returns the command that accepts the next revision.
func (m *meter) acceptCommand() accepter.Command {
	change := accepter.Change{Kind: model.Kind, Name: model.Name, ExpectedRevision: m.revision, Revision: m.revision + 1}
	return m.newCommand(accepter.Command{Action: accepter.ActionAccept, Changes: []accepter.Change{change}})
}

// newCommand completes a command with an id and the operator.
func (m *meter) newCommand(c accepter.Command) accepter.Command {
	m.commandCount++
	c.ID, c.Operator = fmt.Sprint("m", m.commandCount), "bench"
	return c
}

// waitForEpoch waits until an epoch is in force on every instance and returns how long each took.
func (m *meter) waitForEpoch(start time.Time, epoch int64) ([]float64, error) {
	times := make([]float64, instanceCount)
	for remaining := instanceCount; remaining > 0; {
		if time.Since(start) > spreadTimeout {
			return nil, fmt.Errorf("epoch %d is not in force on %d instances after %v", epoch, remaining, spreadTimeout)
		}
		for i, instance := range m.fleet.instances {
			if times[i] == 0 && instance.poller.View().Epoch >= epoch {
				times[i] = time.Since(start).Seconds()
				remaining--
			}
		}
		time.Sleep(pollInterval)
	}
	return times, nil
}
