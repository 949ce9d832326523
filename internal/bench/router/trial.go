// Package router measures routing decisions in virtual time, against the throughput bound and simple policies.
package router

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/picker"
	"github.com/heatherrock/heatherrock/internal/routing/planner"
	"github.com/heatherrock/heatherrock/internal/routing/queuer"
)

const (
	// instanceCount is the number of entry instances, which choose independently.
	instanceCount = 7
	// firstTokenTarget and tokenIntervalTarget are the targets for the first token and for the interval between tokens.
	firstTokenTarget    = 1900 * time.Millisecond
	tokenIntervalTarget = 43 * time.Millisecond
	// firstTokenReserve is the part of firstTokenTarget that an answer needs once it has left the queue.
	firstTokenReserve = 300 * time.Millisecond
	// promptTokens and answerTokens are the mean lengths of prompts and answers, and minTokens the shortest length.
	promptTokens = 256
	answerTokens = 64
	minTokens    = 16
	// requestWork is the mean work of a request in tokens.
	requestWork = answerTokens + promptTokens*promptCost
	// progressTokens is the number of tokens over which the token interval is averaged.
	progressTokens = 8
	// queueLimit bounds the number of requests in the queue of an instance.
	queueLimit = 2000
	// retryInterval is the interval at which an instance retries its queue.
	retryInterval = 5 * time.Millisecond
	// binWidth is the resolution of the throughput timeline.
	binWidth = 100 * time.Millisecond
)

// load is the offered load of one team, in requests a second as a function of the time since the start.
type load struct {
	team string
	rate func(since time.Duration) float64
}

// answer is the outcome of one request.
type answer struct {
	team          string
	arrivedAt     time.Time
	firstTokenAt  time.Time
	lastTokenAt   time.Time
	ended         bool
	refused       bool
	intervalCount int
	slowIntervals int
}

// trial is one simulated run of a fleet, its instances and the callers.
type trial struct {
	clock     *clock
	fleet     *fleet
	random    *rand.Rand
	instances []*instance
	answers   []*answer
	// bins holds the work done in each interval of binWidth, in tokens.
	bins []float64
}

// instance is one entry instance: a queue in front of a policy.
type instance struct {
	trial   *trial
	policy  policy
	queue   *queuer.Queue
	random  *rand.Rand
	waiting map[string]*request
	active  []*attempt
}

// request is one request on an instance.
type request struct {
	item   queuer.Item
	answer *answer
	prompt int
	tokens int
	// deliveredTokens counts the tokens that the caller has received.
	deliveredTokens int
}

// newTrial returns a trial of a policy under loads.
func newTrial(seed uint64, newPolicy policyMaker, loads []load) *trial {
	c := newClock()
	t := &trial{clock: c, fleet: newFleet(c), random: rand.New(rand.NewPCG(seed, 1))}
	for n := range instanceCount {
		i := &instance{
			trial: t, policy: newPolicy(t.fleet, dataCentres[n%len(dataCentres)]), queue: queuer.New(queuer.WithLimit(queueLimit)),
			random: rand.New(rand.NewPCG(seed, uint64(n+2))), waiting: map[string]*request{},
		}
		t.instances = append(t.instances, i)
		t.fleet.startReports(t.random, func(e planner.Endpoint, r picker.Report) { i.policy.observe(c.now, e, r) })
		c.every(retryInterval, retryInterval, i.retryQueue)
		c.every(checkInterval, checkInterval, i.checkAttempts)
	}
	for _, l := range loads {
		t.scheduleArrivals(l)
	}
	return t
}

// scheduleArrivals schedules the arrivals of a load. Each gap is drawn at the current rate; one longer than binWidth is
// redrawn after binWidth, so that the rate may change over time.
func (t *trial) scheduleArrivals(l load) {
	rate := l.rate(t.clock.now.Sub(startTime))
	if rate <= 0 {
		t.clock.after(binWidth, func() { t.scheduleArrivals(l) })
		return
	}
	gap := time.Duration(t.random.ExpFloat64() / rate * float64(time.Second))
	if gap > binWidth {
		t.clock.after(binWidth, func() { t.scheduleArrivals(l) })
		return
	}
	t.clock.after(gap, func() {
		t.submitRequest(l.team)
		t.scheduleArrivals(l)
	})
}

// submitRequest sends one request to a random instance.
func (t *trial) submitRequest(team string) {
	prompt := minTokens + int(t.random.ExpFloat64()*(promptTokens-minTokens))
	tokens := minTokens + int(t.random.ExpFloat64()*(answerTokens-minTokens))
	a := &answer{team: team, arrivedAt: t.clock.now}
	t.answers = append(t.answers, a)
	r := &request{answer: a, prompt: prompt, tokens: tokens}
	r.item = queuer.Item{
		ID: fmt.Sprint(len(t.answers)), Team: team, Tokens: answerTokens + int(float64(prompt)*promptCost),
		Deadline: t.clock.now.Add(firstTokenTarget - firstTokenReserve),
	}
	t.instances[t.random.IntN(instanceCount)].enqueue(r)
}

// enqueue queues a request or refuses it.
func (i *instance) enqueue(r *request) {
	d := i.queue.Push(i.trial.clock.now, r.item)
	for _, shed := range d.Shed {
		i.recordRefusal(shed)
	}
	if !d.Accepted {
		r.answer.refused = true
		return
	}
	i.waiting[r.item.ID] = r
	i.dispatch()
}

// recordRefusal records the request of an item that the queue dropped as refused.
func (i *instance) recordRefusal(item queuer.Item) {
	i.waiting[item.ID].answer.refused = true
	delete(i.waiting, item.ID)
}

// retryQueue drops expired items and retries the rest of the queue.
func (i *instance) retryQueue() {
	for _, item := range i.queue.Expire(i.trial.clock.now) {
		i.recordRefusal(item)
	}
	i.dispatch()
}

// dispatch starts queued requests until the policy has no plan for the next.
func (i *instance) dispatch() {
	now := i.trial.clock.now
	for i.queue.Len() > 0 {
		item, ok := i.queue.Pop(now)
		if !ok {
			return
		}
		plan, ok := i.policy.pick(now, item, i.random)
		if !ok {
			i.queue.Requeue(now, item)
			return
		}
		r := i.waiting[item.ID]
		delete(i.waiting, item.ID)
		r.item = item
		i.startAttempt(r, plan)
	}
}

// recordToken records the time of a token.
func (a *answer) recordToken(now time.Time) {
	if a.firstTokenAt.IsZero() {
		a.firstTokenAt, a.lastTokenAt = now, now
		return
	}
	a.intervalCount++
	if now.Sub(a.lastTokenAt) > tokenIntervalTarget {
		a.slowIntervals++
	}
	a.lastTokenAt = now
}

// meanInterval returns the mean interval between an answer's tokens.
func (a *answer) meanInterval() time.Duration {
	return a.lastTokenAt.Sub(a.firstTokenAt) / time.Duration(max(1, a.intervalCount))
}

// addWork adds work that was done now to the throughput timeline.
func (t *trial) addWork(tokens float64) {
	bin := int(t.clock.now.Sub(startTime) / binWidth)
	for len(t.bins) <= bin {
		t.bins = append(t.bins, 0)
	}
	t.bins[bin] += tokens
}

// throughput returns the work done between two times since the start, in tokens a second.
func (t *trial) throughput(from, to time.Duration) float64 {
	total := 0.0
	for bin := int(from / binWidth); bin < int(to/binWidth) && bin < len(t.bins); bin++ {
		total += t.bins[bin]
	}
	return total / (to - from).Seconds()
}

// steadyLoad returns a constant load of one team, as a share of a bound.
func steadyLoad(team string, share, bound float64) load {
	return load{team: team, rate: func(time.Duration) float64 { return share * bound / requestWork }}
}
