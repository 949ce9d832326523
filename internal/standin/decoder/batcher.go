package decoder

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// work is one step that waits for its turn in a batch.
type work struct {
	layers    int
	positions int
	priority  int
}

// waiter is a step in the queue.
type waiter struct {
	work
	sequence int64
	ready    chan struct{}
	gone     bool
}

// batcher runs steps together, up to a bound, by priority and then by arrival.
type batcher struct {
	service Service
	done    <-chan struct{}
	wake    chan struct{}

	mu       sync.Mutex
	queue    waiters
	sequence int64
}

// newBatcher returns a batcher that works until done is closed. It needs no goroutine if steps take no time.
func newBatcher(s Service, done <-chan struct{}) *batcher {
	b := &batcher{service: s, done: done, wake: make(chan struct{}, 1)}
	if b.timed() {
		go b.run()
	}
	return b
}

func (b *batcher) timed() bool {
	return b.service.Layer > 0 || b.service.Prefill > 0
}

// wait returns true once the work has run, or false if it was given up.
func (b *batcher) wait(ctx context.Context, cancelled, down <-chan struct{}, w work) bool {
	if !b.timed() {
		return ctx.Err() == nil && !closed(cancelled) && !closed(down)
	}
	n := b.push(w)
	select {
	case <-n.ready:
		return true
	case <-ctx.Done():
	case <-cancelled:
	case <-down:
	case <-b.done:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	n.gone = true
	return false
}

func (b *batcher) push(w work) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	n := &waiter{work: w, sequence: b.sequence, ready: make(chan struct{})}
	heap.Push(&b.queue, n)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return n
}

// waiting counts the steps in the queue.
func (b *batcher) waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

// run takes one batch after another until done is closed.
func (b *batcher) run() {
	for {
		batch := b.take()
		if len(batch) == 0 {
			select {
			case <-b.wake:
				continue
			case <-b.done:
				return
			}
		}
		select {
		case <-time.After(b.length(batch)):
		case <-b.done:
			return
		}
		for _, n := range batch {
			close(n.ready)
		}
	}
}

// take removes the next batch from the queue.
func (b *batcher) take() []*waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []*waiter
	for len(b.queue) > 0 && len(batch) < b.service.Batch {
		n := heap.Pop(&b.queue).(*waiter)
		if !n.gone {
			batch = append(batch, n)
		}
	}
	return batch
}

// length returns how long a batch takes: its widest stage, and the prefixes in it one after another.
func (b *batcher) length(batch []*waiter) time.Duration {
	layers, positions := 0, 0
	for _, n := range batch {
		layers = max(layers, n.layers)
		positions += n.layers * max(0, n.positions-1)
	}
	return time.Duration(layers)*b.service.Layer + time.Duration(positions)*b.service.Prefill
}

// waiters is a heap of steps by priority and then by arrival.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].sequence < w[j].sequence
}

func (w waiters) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push adds a *waiter, for container/heap.
func (w *waiters) Push(x any) { *w = append(*w, x.(*waiter)) }

// Pop removes the last *waiter, for container/heap.
func (w *waiters) Pop() any {
	old := *w
	n := old[len(old)-1]
	*w = old[:len(old)-1]
	return n
}
