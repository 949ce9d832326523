package router

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/scheduler"
)

// start is the virtual time at which an experiment begins.
var start = time.Unix(1_000_000_000, 0)

// clock runs events in the order of their virtual times.
type clock struct {
	now   time.Time
	queue scheduler.Queue
}

// newClock returns a clock at start.
func newClock() *clock {
	return &clock{now: start}
}

// after adds a call that is due in a time from now.
func (c *clock) after(d time.Duration, call func()) {
	c.queue.Add(c.now.Add(d), call)
}

// every calls a function at intervals, first after a delay.
func (c *clock) every(delay, interval time.Duration, call func()) {
	c.after(delay, func() {
		call()
		c.every(interval, interval, call)
	})
}

// run runs the events that are due until a time from the start.
func (c *clock) run(until time.Duration) {
	end := start.Add(until)
	for {
		at, ok := c.queue.Next()
		if !ok || at.After(end) {
			break
		}
		c.now = at
		c.queue.Take()()
	}
	c.now = end
}
