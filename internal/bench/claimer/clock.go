// Package claimer explores the protocols of claims and leases in virtual time, under faults at each of their steps.
package claimer

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/scheduler"
)

// startTime is the time at which each exploration begins.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a virtual clock that runs scheduled events in order.
type clock struct {
	now   time.Time
	queue scheduler.Queue
}

// runAfter runs f once d has passed.
func (c *clock) runAfter(d time.Duration, f func()) {
	c.queue.Add(c.now.Add(max(d, 0)), f)
}

// runAt runs f at a time.
func (c *clock) runAt(t time.Time, f func()) {
	c.runAfter(t.Sub(c.now), f)
}

// run runs events until none are left.
func (c *clock) run() {
	for c.runNext() {
	}
}

// runNext runs the earliest event and reports whether there was one.
func (c *clock) runNext() bool {
	at, ok := c.queue.Next()
	if !ok {
		return false
	}
	c.now = at
	c.queue.Take()()
	return true
}
