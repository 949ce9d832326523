// Package claimer explores the protocols of claims and leases in virtual time, under faults at each of their steps.
package claimer

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/scheduler"
)

// epoch is the time at which each exploration begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is virtual time: it runs events in order.
type clock struct {
	now   time.Time
	queue scheduler.Queue
}

// after runs f once d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.queue.Add(c.now.Add(max(d, 0)), f)
}

// at runs f at a time.
func (c *clock) at(t time.Time, f func()) {
	c.after(t.Sub(c.now), f)
}

// run runs events until none is left.
func (c *clock) run() {
	for c.next() {
	}
}

// next runs the first event and reports whether there was one.
func (c *clock) next() bool {
	at, ok := c.queue.Next()
	if !ok {
		return false
	}
	c.now = at
	c.queue.Take()()
	return true
}
