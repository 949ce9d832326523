package router

import (
	"math"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/planner"
)

const (
	// batchTime is the time that an engine aims at for a batch.
	batchTime = 6 * time.Millisecond
	// promptShare is the share of a batch that is reserved for prompts while tokens wait too.
	promptShare = 0.5
	// promptCost is the work of a prompt token relative to that of a generated one.
	promptCost = 0.1
)

// engine simulates a model engine. It runs waiting jobs in batches, each of which takes as long as its work and at
// least as long as one pass over the weights. Higher priorities go first; prompts run in chunks beside tokens.
type engine struct {
	clock    *clock
	endpoint planner.Endpoint
	// rate is the actual capacity in layer steps a second.
	rate         float64
	minBatchTime time.Duration
	// requestCount is the number of requests that have a stage on this engine.
	requestCount int
	tokenJobs    []*job
	promptJobs   []*job
	busy         bool
	// crashed reports whether the engine has crashed for good.
	crashed bool
}

// job is the work of one stage, for one token or for a whole prompt.
type job struct {
	steps    float64
	priority int
	done     func()
}

// add queues a job and starts a batch if none runs.
func (e *engine) add(j *job, prompt bool) {
	if prompt {
		e.promptJobs = insertByPriority(e.promptJobs, j)
	} else {
		e.tokenJobs = insertByPriority(e.tokenJobs, j)
	}
	if !e.busy {
		e.busy = true
		e.clock.after(0, e.runBatch)
	}
}

// insertByPriority inserts a job behind those of the same or a higher priority.
func insertByPriority(queue []*job, j *job) []*job {
	at := len(queue)
	for at > 0 && queue[at-1].priority < j.priority {
		at--
	}
	return slices.Insert(queue, at, j)
}

// runBatch runs one batch and then the next, until no job waits.
func (e *engine) runBatch() {
	if len(e.tokenJobs) == 0 && len(e.promptJobs) == 0 {
		e.busy = false
		return
	}
	left := e.rate * max(batchTime, e.minBatchTime).Seconds()
	var finished []*job
	work := 0.0
	for left > 0 && len(e.tokenJobs)+len(e.promptJobs) > 0 {
		jobs, steps := e.takeJobs(left)
		finished = append(finished, jobs...)
		work += steps
		left -= steps
	}
	duration := max(e.minBatchTime, time.Duration(work/e.rate*float64(time.Second)))
	e.clock.after(duration, func() {
		for _, j := range finished {
			j.done()
		}
		e.runBatch()
	})
}

// takeJobs moves waiting jobs of the highest priority into a batch with room for some layer steps: first tokens, then
// prompts in the share reserved for them and in what is left. It returns the jobs that the batch finishes and the steps
// used.
func (e *engine) takeJobs(room float64) ([]*job, float64) {
	priority := math.MinInt
	for _, queue := range [][]*job{e.tokenJobs, e.promptJobs} {
		if len(queue) > 0 {
			priority = max(priority, queue[0].priority)
		}
	}
	reserved := 0.0
	if len(e.promptJobs) > 0 && e.promptJobs[0].priority == priority {
		reserved = room * promptShare
	}
	var finished []*job
	work := 0.0
	for len(e.tokenJobs) > 0 && e.tokenJobs[0].priority == priority && work < room-reserved {
		work += e.tokenJobs[0].steps
		finished = append(finished, e.tokenJobs[0])
		e.tokenJobs = e.tokenJobs[1:]
	}
	for len(e.promptJobs) > 0 && e.promptJobs[0].priority == priority && work < room {
		j := e.promptJobs[0]
		chunk := min(j.steps, room-work)
		j.steps -= chunk
		work += chunk
		if j.steps > 0 {
			break
		}
		e.promptJobs = e.promptJobs[1:]
		finished = append(finished, j)
	}
	return finished, work
}

// linkQueue simulates the link between two data centres, which transfers steps one after another.
type linkQueue struct {
	clock  *clock
	link   planner.Link
	freeAt time.Time
}

// send calls a function once a step with the size of some tokens has been transferred.
func (q *linkQueue) send(tokens float64, call func()) {
	if q.freeAt.Before(q.clock.now) {
		q.freeAt = q.clock.now
	}
	if q.link.Rate > 0 {
		q.freeAt = q.freeAt.Add(time.Duration(tokens / q.link.Rate * float64(time.Second)))
	}
	q.clock.after(q.freeAt.Sub(q.clock.now)+q.link.Delay, call)
}
