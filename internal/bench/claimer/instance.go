package claimer

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// instance is one entry instance: it groups the mutations of its claims.
type instance struct {
	fleet  *fleet
	group  claimer.Group
	budget claimer.Budget
	// waiting holds the mutations of the group by number.
	waiting map[int64]pending
	number  int64
	// armed is when the instance looks at its group again.
	armed time.Time
}

// pending is a mutation that waits, and what gets its outcome.
type pending struct {
	mutation claimer.Mutation
	first    bool
	since    time.Time
	report   func(claimer.Commit)
}

// submit queues a mutation.
func (i *instance) submit(p pending) {
	now := i.fleet.clock.now
	i.number++
	entry := claimer.Entry{Number: i.number, Key: p.mutation.Key, Since: p.since, First: p.first}
	if !i.group.Add(now, entry, &i.budget) {
		p.report(claimer.Commit{Outcome: classifier.NotSent, Code: claimer.CodeTableBusy})
		return
	}
	i.waiting[i.number] = p
	i.pump()
}

// pump starts the transactions that are due.
func (i *instance) pump() {
	c := &i.fleet.clock
	for {
		numbers, again := i.group.Next(c.now, &i.budget)
		if numbers == nil {
			i.arm(again)
			return
		}
		var batch []pending
		for _, n := range numbers {
			batch = append(batch, i.waiting[n])
			delete(i.waiting, n)
		}
		c.after(storeLatency/2, func() { i.commit(batch) })
	}
}

// arm looks at the group again at a time.
func (i *instance) arm(at time.Time) {
	c := &i.fleet.clock
	if at.IsZero() || (i.armed.After(c.now) && !i.armed.After(at)) {
		return
	}
	i.armed = at
	c.at(at, i.pump)
}

// commit applies a batch at the store and reports after the way back.
func (i *instance) commit(batch []pending) {
	var mutations []claimer.Mutation
	for _, p := range batch {
		mutations = append(mutations, p.mutation)
	}
	conflicts := i.fleet.store.commit(mutations)
	var versions []int64
	for _, m := range mutations {
		versions = append(versions, i.fleet.store.rows[m.Key].Version)
	}
	i.fleet.clock.after(storeLatency/2, func() {
		i.group.FinishTransaction()
		i.report(batch, conflicts, versions)
		i.pump()
	})
}

// report tells each mutation of a batch its outcome, and queues again those that others stood in the way of.
func (i *instance) report(batch []pending, conflicts []found, versions []int64) {
	rows := map[int]claimer.Row{}
	for _, f := range conflicts {
		rows[f.index] = f.row
	}
	for n, p := range batch {
		r, ok := rows[n]
		switch {
		case ok:
			p.report(claimer.Commit{Outcome: classifier.Completed, Found: r})
		case len(conflicts) > 0:
			i.submit(p)
		default:
			p.report(claimer.Commit{Outcome: classifier.Completed, Applied: true, Version: versions[n]})
		}
	}
}
