// Package scheduler orders events by virtual time.
package scheduler

import (
	"container/heap"
	"time"
)

// Queue holds calls until they are due. Calls that are due at the same time are ordered as they were added.
type Queue struct {
	events       events
	lastSequence int
}

// Add adds a call that is due at a time.
func (q *Queue) Add(at time.Time, call func()) {
	q.lastSequence++
	heap.Push(&q.events, event{at: at, sequence: q.lastSequence, call: call})
}

// Next returns the time at which the first call is due, and false if the queue is empty.
func (q *Queue) Next() (time.Time, bool) {
	if len(q.events) == 0 {
		return time.Time{}, false
	}
	return q.events[0].at, true
}

// Take removes the first call and returns it. The queue must not be empty.
func (q *Queue) Take() func() {
	return heap.Pop(&q.events).(event).call
}

// event is a call that is due at a time. Events that are due at the same time are ordered by sequence.
type event struct {
	at       time.Time
	sequence int
	call     func()
}

// events is a heap of events, ordered by time and sequence.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events by time and sequence.
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

// Swap swaps two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
