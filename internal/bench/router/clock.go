package router

import (
	"container/heap"
	"time"
)

// start is the virtual time at which an experiment begins.
var start = time.Unix(1_000_000_000, 0)

// clock runs events in the order of their virtual times.
type clock struct {
	now    time.Time
	queue  eventQueue
	number int
}

// event is a call that is due. Events of the same time run in the order in which they were added.
type event struct {
	at     time.Time
	number int
	call   func()
}

// newClock returns a clock at start.
func newClock() *clock {
	return &clock{now: start}
}

// after adds a call that is due in a time from now.
func (c *clock) after(d time.Duration, call func()) {
	c.number++
	heap.Push(&c.queue, event{at: c.now.Add(d), number: c.number, call: call})
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
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.call()
	}
	c.now = end
}

// eventQueue is a heap of events by time and number.
type eventQueue []event

// Len returns the number of events.
func (q eventQueue) Len() int { return len(q) }

// Less orders events by time and number.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].number < q[j].number
	}
	return q[i].at.Before(q[j].at)
}

// Swap swaps two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}
