package claimer

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// instance is an entry instance, which groups the mutations of its claims into transactions.
type instance struct {
	fleet  *fleet
	group  claimer.Group
	budget claimer.Budget
	// queued holds the mutations in the group by number.
	queued     map[int64]pendingMutation
	lastNumber int64
	// pumpAt is when the instance next checks its group.
	pumpAt time.Time
}

// pendingMutation is a queued mutation and the callback for its outcome.
type pendingMutation struct {
	mutation claimer.Mutation
	// first is true for a result, which is written before claims and is never rejected.
	first bool
	// since is when the mutation began to wait.
	since time.Time
	done  func(claimer.Commit)
}

// submit queues a mutation.
func (i *instance) submit(p pendingMutation) {
	now := i.fleet.clock.now
	i.lastNumber++
	entry := claimer.Entry{Number: i.lastNumber, Key: p.mutation.Key, Since: p.since, First: p.first}
	if !i.group.Add(now, entry, &i.budget) {
		p.done(claimer.Commit{Outcome: classifier.NotSent, Code: claimer.CodeTableBusy})
		return
	}
	i.queued[i.lastNumber] = p
	i.pump()
}

// pump starts the transactions that are due and schedules the next check.
func (i *instance) pump() {
	c := &i.fleet.clock
	for {
		numbers, nextCheck := i.group.Next(c.now, &i.budget)
		if numbers == nil {
			i.schedulePump(nextCheck)
			return
		}
		var batch []pendingMutation
		for _, n := range numbers {
			batch = append(batch, i.queued[n])
			delete(i.queued, n)
		}
		c.runAfter(storeLatency/2, func() { i.commitBatch(batch) })
	}
}

// schedulePump schedules a check of the group at a time, unless one is due before then.
func (i *instance) schedulePump(at time.Time) {
	c := &i.fleet.clock
	if at.IsZero() || (i.pumpAt.After(c.now) && !i.pumpAt.After(at)) {
		return
	}
	i.pumpAt = at
	c.runAt(at, i.pump)
}

// commitBatch commits a batch to the store and reports the outcomes after the latency of the response.
func (i *instance) commitBatch(batch []pendingMutation) {
	var mutations []claimer.Mutation
	for _, p := range batch {
		mutations = append(mutations, p.mutation)
	}
	conflicts := i.fleet.store.commitAll(mutations)
	var versions []int64
	for _, m := range mutations {
		versions = append(versions, i.fleet.store.rows[m.Key].Version)
	}
	i.fleet.clock.runAfter(storeLatency/2, func() {
		i.group.FinishTransaction()
		i.reportBatch(batch, conflicts, versions)
		i.pump()
	})
}

// reportBatch reports the outcome of each mutation of a batch, and requeues those that failed only due to the conflicts
// of others.
func (i *instance) reportBatch(batch []pendingMutation, conflicts []conflict, versions []int64) {
	conflictRows := map[int]claimer.Row{}
	for _, c := range conflicts {
		conflictRows[c.index] = c.row
	}
	for n, p := range batch {
		r, ok := conflictRows[n]
		switch {
		case ok:
			p.done(claimer.Commit{Outcome: classifier.Completed, Found: r})
		case len(conflicts) > 0:
			i.submit(p)
		default:
			p.done(claimer.Commit{Outcome: classifier.Completed, Applied: true, Version: versions[n]})
		}
	}
}
