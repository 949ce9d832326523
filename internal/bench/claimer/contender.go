package claimer

import (
	"fmt"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/leaser"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// contender is an instance that competes for the lease and orders engines while it holds it.
type contender struct {
	history    *history
	instanceID string
	lease      *leaser.Lease
	// clockRate is the rate of the instance's clock relative to virtual time, and clockOffset its initial error.
	clockRate   float64
	clockOffset time.Duration
	// pausedUntil is the time at which the current pause ends.
	pausedUntil time.Time
	dead        bool
	// orderCount is the number of orders that were given an ID.
	orderCount int
}

// localTime returns the time on the contender's own clock.
func (c *contender) localTime() time.Time {
	passed := c.history.clock.now.Sub(startTime)
	return startTime.Add(c.clockOffset + time.Duration(float64(passed)*c.clockRate))
}

// runAfterLocal runs f once d has passed on the contender's clock, but not during a pause or after its death.
func (c *contender) runAfterLocal(d time.Duration, f func()) {
	c.history.clock.runAfter(time.Duration(float64(d)/c.clockRate)+time.Microsecond, func() { c.runUnpaused(f) })
}

// runUnpaused runs f now, or at the end of the contender's pause.
func (c *contender) runUnpaused(f func()) {
	now := c.history.clock.now
	switch {
	case c.dead:
	case now.Before(c.pausedUntil):
		c.history.clock.runAt(c.pausedUntil, func() { c.runUnpaused(f) })
	default:
		f()
	}
}

// loop runs the lease's next step, possibly after a fault.
func (c *contender) loop() {
	c.history.injectFault(c)
	c.runUnpaused(c.performStep)
}

// performStep performs the lease's next step.
func (c *contender) performStep() {
	a := c.lease.Next(c.localTime())
	switch a.Step {
	case leaser.StepWait:
		c.runAfterLocal(a.Until.Sub(c.localTime()), c.loop)
	case leaser.StepRead:
		c.readRow()
	default:
		c.writeRow(a)
	}
}

// readRow reads the lease row.
func (c *contender) readRow() {
	h := c.history
	if h.clock.now.Before(h.storeDownUntil) {
		c.runAfterLocal(storeTimeout, func() {
			c.lease.HandleReadError(c.localTime())
			c.loop()
		})
		return
	}
	row := h.row
	c.runAfterLocal(h.drawLatency(), func() {
		c.lease.HandleRead(c.localTime(), row)
		c.loop()
	})
}

// writeRow writes the lease row under a randomly drawn fault.
func (c *contender) writeRow(a leaser.Action) {
	h := c.history
	h.writeCount++
	outcome, applied, found := classifier.Unknown, false, leaser.Row{}
	fault := h.drawWriteFault()
	switch {
	case h.clock.now.Before(h.storeDownUntil):
		outcome = classifier.NotSent
	case fault == FaultEffectLate:
		h.clock.runAfter(h.drawDuration(time.Second, 30*time.Second), func() { h.commitRow(a) })
	case fault == FaultStepLost:
	case fault == FaultAnswerLost:
		h.commitRow(a)
	case fault == FaultRefused:
		outcome = classifier.Refused
	default:
		outcome = classifier.Completed
		applied, found = h.commitRow(a)
	}
	c.runAfterLocal(h.drawLatency(), func() {
		held := c.lease.Held
		c.lease.HandleWrite(c.localTime(), outcome, applied, found)
		c.recordIfAcquired(held)
		c.loop()
	})
}

// recordIfAcquired records that the contender has become the holder.
func (c *contender) recordIfAcquired(held bool) {
	if held || !c.lease.Held {
		return
	}
	if c.history.policy.forgetsIntents {
		c.lease.InheritedIntents = nil
	}
	c.history.recordHolder(c)
}

// tryOrder tries to order a random engine, and repeats that at random intervals.
func (c *contender) tryOrder() {
	c.runAfterLocal(c.history.drawDuration(500*time.Millisecond, 1500*time.Millisecond), c.tryOrder)
	e := c.history.engines[c.history.rand.IntN(len(c.history.engines))]
	c.orderCount++
	id := fmt.Sprintf("%s-%d", c.instanceID, c.orderCount)
	if c.lease.AddIntent(c.localTime(), leaser.Intent{ID: id, Endpoint: e.name, Order: "load"}) {
		c.runAfterLocal(0, func() { c.startOrder(e, id, 0) })
	}
}

// startOrder sends an order once its intent is written, or abandons it after maxChecks checks.
func (c *contender) startOrder(e *engine, id string, checks int) {
	const maxChecks = 100
	if _, ok := c.lease.OrderDeadline(c.localTime(), id); ok {
		c.sendOrder(e, id)
		return
	}
	if checks == maxChecks {
		c.lease.RemoveIntent(id)
		return
	}
	c.runAfterLocal(100*time.Millisecond, func() { c.startOrder(e, id, checks+1) })
}

// sendOrder sends an order over the network. The instance may pause as a whole between the last check and the first
// byte; the order is cut off after the order timeout of the terms.
func (c *contender) sendOrder(e *engine, id string) {
	h := c.history
	fence := c.lease.Row.Record.Fence
	pause := time.Duration(0)
	if h.rand.IntN(20) == 0 {
		pause = h.drawDuration(0, h.policy.maxPause)
		c.pausedUntil = h.clock.now.Add(pause)
	}
	transit := h.drawDuration(time.Millisecond, 50*time.Millisecond)
	if h.rand.IntN(20) == 0 {
		transit = h.drawDuration(0, c.lease.Terms.OrderTimeout)
	}
	h.clock.runAfter(pause+transit, func() {
		ran := e.runOrder(c.instanceID, fence)
		h.clock.runAfter(ran+h.drawDuration(time.Second, 3*time.Second), func() { c.runUnpaused(func() { c.lease.RemoveIntent(id) }) })
	})
}

// engine is a model engine that executes orders. activeOrders is the number of orders in progress by holder.
type engine struct {
	history      *history
	name         string
	highestFence int64
	activeOrders map[string]int
}

// runOrder starts an order and returns how long it runs. An engine that checks fencing tokens rejects an old one.
func (e *engine) runOrder(holder string, fence int64) time.Duration {
	if e.history.policy.checksFencing && fence < e.highestFence {
		e.history.refusedOrders++
		return 0
	}
	e.highestFence = max(e.highestFence, fence)
	for other, n := range e.activeOrders {
		if other != holder && n > 0 {
			e.history.overlappingOrders++
			break
		}
	}
	e.history.executedOrders++
	e.activeOrders[holder]++
	run := e.history.drawDuration(time.Second, e.history.policy.terms.MaxRunTime)
	e.history.clock.runAfter(run, func() { e.activeOrders[holder]-- })
	return run
}
