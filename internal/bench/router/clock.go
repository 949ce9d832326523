package router

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/bench/scheduler"
)

// startTime is the virtual time at which an experiment begins.
var startTime = time.Unix(1_000_000_000, 0)

// clock runs events in the order of their virtual times.
type clock struct {
	now   time.Time
	queue scheduler.Queue
}

// newClock returns a clock that shows startTime.
func newClock() *clock {
	return &clock{now: startTime}
}

// after schedules a call at a delay from now.
func (c *clock) after(d time.Duration, call func()) {
	c.queue.Add(c.now.Add(d), call)
}

// every schedules a function at intervals, first after a delay.
func (c *clock) every(delay, interval time.Duration, call func()) {
	c.after(delay, func() {
		call()
		c.every(interval, interval, call)
	})
}

// run runs the events that are due up to a time since the start.
func (c *clock) run(until time.Duration) {
	end := startTime.Add(until)
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
