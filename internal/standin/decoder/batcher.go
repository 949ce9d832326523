package decoder

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// work is the cost and priority of one step.
type work struct {
	layers    int
	positions int
	priority  int
}

// queuedStep is a step that waits in the queue for a batch. Ready is closed once its batch has run.
type queuedStep struct {
	work
	sequence    int64
	ready       chan struct{}
	isCancelled bool
}

// batcher runs queued steps in batches of at most Timing.MaxBatch, by priority and then by arrival.
type batcher struct {
	timing Timing
	done   <-chan struct{}
	wake   chan struct{}

	mu       sync.Mutex
	queue    stepHeap
	sequence int64
}

// newBatcher returns a batcher that runs until done is closed. It starts no goroutine if steps take no time.
func newBatcher(t Timing, done <-chan struct{}) *batcher {
	b := &batcher{timing: t, done: done, wake: make(chan struct{}, 1)}
	if b.takesTime() {
		go b.run()
	}
	return b
}

func (b *batcher) takesTime() bool {
	return b.timing.LayerTime > 0 || b.timing.PrefillTime > 0
}

// wait queues the work and returns true once it has run, or false if the caller disconnected, the attempt was
// cancelled, the engine crashed or the batcher was closed first.
func (b *batcher) wait(ctx context.Context, cancelled, down <-chan struct{}, w work) bool {
	if !b.takesTime() {
		return ctx.Err() == nil && !isClosed(cancelled) && !isClosed(down)
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
	n.isCancelled = true
	return false
}

func (b *batcher) push(w work) *queuedStep {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	n := &queuedStep{work: w, sequence: b.sequence, ready: make(chan struct{})}
	heap.Push(&b.queue, n)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return n
}

// queueLength returns the number of steps in the queue, including cancelled ones that are not yet dropped.
func (b *batcher) queueLength() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

// run runs one batch after another until done is closed.
func (b *batcher) run() {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			select {
			case <-b.wake:
				continue
			case <-b.done:
				return
			}
		}
		select {
		case <-time.After(b.batchDuration(batch)):
		case <-b.done:
			return
		}
		for _, n := range batch {
			close(n.ready)
		}
	}
}

// nextBatch removes the next batch from the queue and drops cancelled steps.
func (b *batcher) nextBatch() []*queuedStep {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []*queuedStep
	for len(b.queue) > 0 && len(batch) < b.timing.MaxBatch {
		n := heap.Pop(&b.queue).(*queuedStep)
		if !n.isCancelled {
			batch = append(batch, n)
		}
	}
	return batch
}

// batchDuration returns how long a batch takes: the layers of its widest stage once, plus the prefill of its uncached
// prefixes one after another.
func (b *batcher) batchDuration(batch []*queuedStep) time.Duration {
	layers, positions := 0, 0
	for _, n := range batch {
		layers = max(layers, n.layers)
		positions += n.layers * max(0, n.positions-1)
	}
	return time.Duration(layers)*b.timing.LayerTime + time.Duration(positions)*b.timing.PrefillTime
}

// stepHeap orders steps by descending priority and then by arrival.
type stepHeap []*queuedStep

func (h stepHeap) Len() int { return len(h) }

func (h stepHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].sequence < h[j].sequence
}

func (h stepHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a *queuedStep, for container/heap.
func (h *stepHeap) Push(x any) { *h = append(*h, x.(*queuedStep)) }

// Pop removes the last *queuedStep, for container/heap.
func (h *stepHeap) Pop() any {
	old := *h
	n := old[len(old)-1]
	*h = old[:len(old)-1]
	return n
}
