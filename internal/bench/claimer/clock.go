// Package claimer explores the protocols of claims and leases in virtual time, under faults at each of their steps.
package claimer

import (
	"container/heap"
	"time"
)

// epoch is the time at which each exploration begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is something that happens at a time. Number orders events of the same time.
type event struct {
	at     time.Time
	number int
	run    func()
}

// events is a heap of events by time.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].number < e[j].number
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// clock is virtual time: it runs events in order.
type clock struct {
	now    time.Time
	events events
	number int
}

// after runs f once d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.number++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), number: c.number, run: f})
}

// at runs f at a time.
func (c *clock) at(t time.Time, f func()) {
	c.after(t.Sub(c.now), f)
}

// run runs events until none is left.
func (c *clock) run() {
	for len(c.events) > 0 {
		c.next()
	}
}

// next runs the first event.
func (c *clock) next() {
	e := heap.Pop(&c.events).(event)
	c.now = e.at
	e.run()
}
