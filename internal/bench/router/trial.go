// Package router measures the decisions of routing in virtual time, against the bound and against simple policies.
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
	// instances is the number of entry instances that choose at once.
	instances = 7
	// firstTarget and betweenTarget are the targets for the first token and between tokens.
	firstTarget   = 1900 * time.Millisecond
	betweenTarget = 43 * time.Millisecond
	// firstRoom is the part of firstTarget that an answer needs once it has left the queue.
	firstRoom = 300 * time.Millisecond
	// promptTokens and answerTokens are the mean lengths of prompts and answers, and minTokens the shortest.
	promptTokens = 256
	answerTokens = 64
	minTokens    = 16
	// requestWork is the mean work of a request in tokens.
	requestWork = answerTokens + promptTokens*promptCost
	// progressTokens is the number of tokens over which the time between them is averaged.
	progressTokens = 8
	// queueLimit bounds the queue of an instance.
	queueLimit = 2000
	// retryEvery is the interval at which an instance tries its queue again.
	retryEvery = 5 * time.Millisecond
	// binTime is the grain of the timeline of throughput.
	binTime = 100 * time.Millisecond
)

// load is the offered load of one team at a time since the start, as requests a second.
type load struct {
	team string
	rate func(since time.Duration) float64
}

// answer is what became of one request.
type answer struct {
	team    string
	arrived time.Time
	first   time.Time
	last    time.Time
	ended   bool
	refused bool
	gaps    int
	slow    int
}

// trial is one run of a fleet, its instances and the callers.
type trial struct {
	clock     *clock
	fleet     *fleet
	random    *rand.Rand
	instances []*instance
	answers   []*answer
	// bins holds the work done in each binTime, in tokens.
	bins []float64
}

// instance is one entry instance: a queue before a policy.
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
	// delivered counts the tokens that the caller has.
	delivered int
}

// newTrial returns a trial of a policy under loads.
func newTrial(seed uint64, make maker, loads []load) *trial {
	c := newClock()
	t := &trial{clock: c, fleet: newFleet(c), random: rand.New(rand.NewPCG(seed, 1))}
	for n := range instances {
		i := &instance{
			trial: t, policy: make(t.fleet, centres[n%len(centres)]), queue: queuer.New(queuer.WithLimit(queueLimit)),
			random: rand.New(rand.NewPCG(seed, uint64(n+2))), waiting: map[string]*request{},
		}
		t.instances = append(t.instances, i)
		t.fleet.report(t.random, func(e planner.Endpoint, r picker.Report) { i.policy.observe(c.now, e, r) })
		c.every(retryEvery, retryEvery, i.retry)
		c.every(watchEvery, watchEvery, i.watch)
	}
	for _, l := range loads {
		t.arrive(l)
	}
	return t
}

// arrive has the requests of a load arrive, each at a random instance. Arrivals are drawn at the rate's bound over the
// next moment, so that the rate may change with time.
func (t *trial) arrive(l load) {
	rate := l.rate(t.clock.now.Sub(start))
	if rate <= 0 {
		t.clock.after(binTime, func() { t.arrive(l) })
		return
	}
	gap := time.Duration(t.random.ExpFloat64() / rate * float64(time.Second))
	if gap > binTime {
		t.clock.after(binTime, func() { t.arrive(l) })
		return
	}
	t.clock.after(gap, func() {
		t.request(l.team)
		t.arrive(l)
	})
}

// request brings one request to a random instance.
func (t *trial) request(team string) {
	prompt := minTokens + int(t.random.ExpFloat64()*(promptTokens-minTokens))
	tokens := minTokens + int(t.random.ExpFloat64()*(answerTokens-minTokens))
	a := &answer{team: team, arrived: t.clock.now}
	t.answers = append(t.answers, a)
	r := &request{answer: a, prompt: prompt, tokens: tokens}
	r.item = queuer.Item{
		ID: fmt.Sprint(len(t.answers)), Team: team, Tokens: answerTokens + int(float64(prompt)*promptCost),
		Deadline: t.clock.now.Add(firstTarget - firstRoom),
	}
	t.instances[t.random.IntN(instances)].push(r)
}

// push queues a request, or refuses it.
func (i *instance) push(r *request) {
	d := i.queue.Push(i.trial.clock.now, r.item)
	for _, shed := range d.Shed {
		i.refuse(shed)
	}
	if !d.Accepted {
		r.answer.refused = true
		return
	}
	i.waiting[r.item.ID] = r
	i.dispatch()
}

// refuse takes an item that left the queue as refused.
func (i *instance) refuse(item queuer.Item) {
	i.waiting[item.ID].answer.refused = true
	delete(i.waiting, item.ID)
}

// retry tries the queue again.
func (i *instance) retry() {
	for _, item := range i.queue.Expire(i.trial.clock.now) {
		i.refuse(item)
	}
	i.dispatch()
}

// dispatch starts waiting requests until there is no plan.
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
		i.begin(r, plan)
	}
}

// token notes a token.
func (a *answer) token(now time.Time) {
	if a.first.IsZero() {
		a.first, a.last = now, now
		return
	}
	a.gaps++
	if now.Sub(a.last) > betweenTarget {
		a.slow++
	}
	a.last = now
}

// between returns the mean time between an answer's tokens.
func (a *answer) between() time.Duration {
	return a.last.Sub(a.first) / time.Duration(max(1, a.gaps))
}

// work counts work done.
func (t *trial) work(tokens float64) {
	bin := int(t.clock.now.Sub(start) / binTime)
	for len(t.bins) <= bin {
		t.bins = append(t.bins, 0)
	}
	t.bins[bin] += tokens
}

// throughput returns the work done in tokens a second between two times since the start.
func (t *trial) throughput(from, to time.Duration) float64 {
	total := 0.0
	for bin := int(from / binTime); bin < int(to/binTime) && bin < len(t.bins); bin++ {
		total += t.bins[bin]
	}
	return total / (to - from).Seconds()
}

// steady returns a load of one team at a share of a bound.
func steady(team string, share, bound float64) load {
	return load{team: team, rate: func(time.Duration) float64 { return share * bound / requestWork }}
}
