package claimer

import (
	"fmt"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/leaser"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// contender is one instance that wants the lease and orders engines while it holds it.
type contender struct {
	history *history
	self    string
	lease   *leaser.Lease
	// rate is how fast the instance's clock goes, and offset how far it is off.
	rate   float64
	offset time.Duration
	// wake is when a pause ends.
	wake time.Time
	dead bool
	// orders counts the orders that it named.
	orders int
}

// local returns the time on the contender's own clock.
func (c *contender) local() time.Time {
	passed := c.history.clock.now.Sub(epoch)
	return epoch.Add(c.offset + time.Duration(float64(passed)*c.rate))
}

// after runs f once d has passed on the contender's clock, and not while it is paused or after it has died.
func (c *contender) after(d time.Duration, f func()) {
	c.history.clock.after(time.Duration(float64(d)/c.rate)+time.Microsecond, func() { c.awake(f) })
}

// awake runs f now, or when the contender wakes.
func (c *contender) awake(f func()) {
	now := c.history.clock.now
	switch {
	case c.dead:
	case now.Before(c.wake):
		c.history.clock.at(c.wake, func() { c.awake(f) })
	default:
		f()
	}
}

// loop takes the lease's next step.
func (c *contender) loop() {
	c.history.disturb(c)
	c.awake(c.step)
}

// step carries out the lease's next step.
func (c *contender) step() {
	a := c.lease.Next(c.local())
	switch a.Step {
	case leaser.StepWait:
		c.after(a.Until.Sub(c.local()), c.loop)
	case leaser.StepRead:
		c.read()
	default:
		c.write(a)
	}
}

// read reads the row.
func (c *contender) read() {
	y := c.history
	if y.clock.now.Before(y.down) {
		c.after(storeTimeout, func() {
			c.lease.HandleReadError(c.local())
			c.loop()
		})
		return
	}
	row := y.row
	c.after(y.latency(), func() {
		c.lease.HandleRead(c.local(), row)
		c.loop()
	})
}

// write writes the row, under the fault drawn for it.
func (c *contender) write(a leaser.Action) {
	y := c.history
	y.writes++
	outcome, applied, found := classifier.Unknown, false, leaser.Row{}
	fault := y.writeFault()
	switch {
	case y.clock.now.Before(y.down):
		outcome = classifier.NotSent
	case fault == FaultLate:
		y.clock.after(y.between(time.Second, 30*time.Second), func() { y.commit(a) })
	case fault == FaultDropped:
	case fault == FaultLost:
		y.commit(a)
	case fault == FaultRefused:
		outcome = classifier.Refused
	default:
		outcome = classifier.Completed
		applied, found = y.commit(a)
	}
	c.after(y.latency(), func() {
		held := c.lease.Held
		c.lease.HandleWrite(c.local(), outcome, applied, found)
		c.changed(held)
		c.loop()
	})
}

// changed notes that the contender became the holder.
func (c *contender) changed(held bool) {
	if held || !c.lease.Held {
		return
	}
	if c.history.policy.forget {
		c.lease.InheritedIntents = nil
	}
	c.history.took(c)
}

// order tries to give an order to an engine, and again after a while.
func (c *contender) order() {
	c.after(c.history.between(500*time.Millisecond, 1500*time.Millisecond), c.order)
	e := c.history.engines[c.history.rand.IntN(len(c.history.engines))]
	c.orders++
	id := fmt.Sprintf("%s-%d", c.self, c.orders)
	if c.lease.AddIntent(c.local(), leaser.Intent{ID: id, Endpoint: e.name, Order: "load"}) {
		c.after(0, func() { c.start(e, id, 0) })
	}
}

// start gives an order once its intent is written, or gives it up after a few looks.
func (c *contender) start(e *engine, id string, looks int) {
	const most = 100
	if _, ok := c.lease.OrderDeadline(c.local(), id); ok {
		c.send(e, id)
		return
	}
	if looks == most {
		c.lease.RemoveIntent(id)
		return
	}
	c.after(100*time.Millisecond, func() { c.start(e, id, looks+1) })
}

// send hands an order to the network. The instance may pause as a whole between the last check and the first byte; the
// order is cut off after the time that the terms give it.
func (c *contender) send(e *engine, id string) {
	y := c.history
	fence := c.lease.Row.Record.Fence
	pause := time.Duration(0)
	if y.rand.IntN(20) == 0 {
		pause = y.between(0, y.policy.pause)
		c.wake = y.clock.now.Add(pause)
	}
	travel := y.between(time.Millisecond, 50*time.Millisecond)
	if y.rand.IntN(20) == 0 {
		travel = y.between(0, c.lease.Terms.OrderTimeout)
	}
	y.clock.after(pause+travel, func() {
		ran := e.take(c.self, fence)
		y.clock.after(ran+y.between(time.Second, 3*time.Second), func() { c.awake(func() { c.lease.RemoveIntent(id) }) })
	})
}

// engine is a model engine that takes orders. Active are the orders that it runs.
type engine struct {
	history *history
	name    string
	highest int64
	active  map[string]int
}

// take begins an order and returns how long it runs. An engine that checks refuses an old fencing number.
func (e *engine) take(holder string, fence int64) time.Duration {
	if e.history.policy.fenced && fence < e.highest {
		e.history.refused++
		return 0
	}
	e.highest = max(e.highest, fence)
	for other, n := range e.active {
		if other != holder && n > 0 {
			e.history.doubled++
			break
		}
	}
	e.history.ran++
	e.active[holder]++
	run := e.history.between(time.Second, e.history.policy.terms.MaxRunTime)
	e.history.clock.after(run, func() { e.active[holder]-- })
	return run
}
