// Package crosser simulates, in virtual time, a fleet of instances in several data centres whose streams may run in another one, and
// measures what callers get and what crosses the links. Instances know of each other what the accounts state, a fifth of a second old.
package crosser

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/routing/spiller"
)

// The parameters of the simulated fleet and its callers, after the second fleet of the requirements.
const (
	reportInterval   = 120 * time.Millisecond
	accountAge       = 200 * time.Millisecond
	firstEventTarget = 500 * time.Millisecond
	pauseTarget      = 250 * time.Millisecond
	maxWait          = firstEventTarget / 2
	queueInterval    = 20 * time.Millisecond
	retryAfter       = 1500 * time.Millisecond
	lateWorth        = 0.38
	// maxSends bounds the attempts at endpoints for one attempt of the caller. Retries are bounded by a share of all attempts and a
	// number.
	maxSends   = 4
	retryShare = 0.1
	retrySlack = 10
	// warmUp is the time at the start of which no request counts.
	warmUp = 3 * time.Second
	// unreachedTime is how long an attempt at an endpoint behind a link that is cut takes to fail.
	unreachedTime = 50 * time.Millisecond
)

// start is when simulations begin.
var start = time.Unix(1000, 0)

// Scenario is a load on a fleet.
type Scenario struct {
	// Demand returns the requests of the callers of a data centre at a time after the start, as a multiple of its own capacity.
	Demand func(centre int, at time.Duration) float64
	// LinkShare is the share of its rate that the link has at a time; nil means all. It is cut at 0, and instances are not told.
	LinkShare func(at time.Duration) float64
	// StopsAccounts reports whether no accounts arrive at a time; nil means never.
	StopsAccounts func(at time.Duration) bool
	Duration      time.Duration
	Seed          uint64
	// Policy is how requests leave their data centre.
	Policy Policy
	// Fleet is the size of the fleet; nil means SmallFleet.
	Fleet *Fleet
	// Lost holds the endpoints that are gone after the layers were placed.
	Lost map[string]bool
}

// Outcome is what the callers of one data centre got.
type Outcome struct {
	Requests, InTime, Late, Refused int
	// Left is the number of paths that began in another data centre.
	Left int
}

// Worth returns the share of the requests' worth that was earned.
func (o Outcome) Worth() float64 {
	return (float64(o.InTime) + lateWorth*float64(o.Late)) / float64(max(1, o.Requests))
}

// Result is the result of a scenario.
type Result struct {
	Centres []Outcome
	// CrossedMB is what crossed links, and Hops the number of hops between stages in different data centres.
	CrossedMB float64
	Hops      int
	// Overfilled counts the requests that endpoints refused for want of memory, and Unreached the attempts at endpoints behind a
	// link that was cut.
	Overfilled, Unreached int
	// ShareAt holds the mean share of requests that may leave each data centre, second by second.
	ShareAt [][]float64
}

// Worth returns the share of the worth of all requests that was earned.
func (r Result) Worth() float64 {
	var all Outcome
	for _, o := range r.Centres {
		all.Requests += o.Requests
		all.InTime += o.InTime
		all.Late += o.Late
	}
	return all.Worth()
}

// String returns the result on one line.
func (r Result) String() string {
	s := fmt.Sprintf("worth %.3f (", r.Worth())
	for i, o := range r.Centres {
		if i > 0 {
			s += ", "
		}
		s += fmt.Sprintf("%.3f", o.Worth())
	}
	left, requests := 0, 0
	for _, o := range r.Centres {
		left += o.Left
		requests += o.Requests
	}
	return s + fmt.Sprintf("), %d requests, %d left, %d hops, %.2f GB, %d overfilled, %d unreached", requests, left, r.Hops,
		r.CrossedMB/1000, r.Overfilled, r.Unreached)
}

// instance is one simulated instance.
type instance struct {
	centre   int
	reserver *reserver.Reserver
}

// fleet is the state of a simulation.
type fleet struct {
	scenario  Scenario
	engine    *placer.Engine
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	instances []*instance
	endpoints []reserver.Endpoint
	// capacity is the usual requests a second that the endpoints of each data centre serve.
	capacity []float64
	// used is the memory in use, running the requests, and readUntil the end of the prompts at each endpoint.
	used, running map[string]float64
	readUntil     map[string]time.Duration
	linkUntil     map[[2]string]time.Duration
	scheduled     int
	// sends counts the attempts at endpoints, and retries those of them that count against the budget for retries.
	sends, retries int
	result         Result
}

// event is something that happens at a time.
type event struct {
	at     time.Duration
	number int
	run    func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after schedules a call.
func (f *fleet) after(d time.Duration, run func()) {
	f.scheduled++
	heap.Push(&f.events, event{f.now + d, f.scheduled, run})
}

// Run simulates a scenario.
func Run(s Scenario) Result {
	f := newFleet(s)
	for centre := range f.capacity {
		f.scheduleArrival(centre)
	}
	f.after(0, f.exchangeAccounts)
	f.after(time.Second, f.recordShares)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		if e.at > s.Duration {
			break
		}
		f.now = e.at
		e.run()
	}
	return f.result
}

// time returns the present time.
func (f *fleet) time() time.Time { return start.Add(f.now) }

// scheduleArrival schedules the next request of the callers of a data centre.
func (f *fleet) scheduleArrival(centre int) {
	rate := max(0.01, f.scenario.Demand(centre, f.now)) * f.capacity[centre]
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		f.scheduleArrival(centre)
		// A request counts if it can end before the simulation does.
		q := &request{fleet: f, centre: centre, arrivedAt: f.now, counts: f.now > warmUp && f.now < f.scenario.Duration-6*time.Second}
		if q.counts {
			f.result.Centres[centre].Requests++
		}
		q.attempt()
	})
}

// exchangeAccounts delivers what all instances have reserved at present once the accounts are that old.
func (f *fleet) exchangeAccounts() {
	f.after(reportInterval, f.exchangeAccounts)
	if f.scenario.StopsAccounts != nil && f.scenario.StopsAccounts(f.now) {
		return
	}
	sum := reserver.Usage{}
	own := make([]reserver.Usage, len(f.instances))
	for i, in := range f.instances {
		own[i] = reserver.Usage{}
		for name, n := range in.reserver.OwnUsage {
			own[i][name] = n
			sum[name] += n
		}
	}
	f.after(accountAge, func() {
		for i, in := range f.instances {
			others := make(reserver.Usage, len(sum))
			for name, n := range sum {
				others[name] = n - own[i][name]
			}
			in.reserver.SetPeerUsage(f.time(), "fleet", others)
		}
	})
}

// recordShares records the mean share of requests that may leave each data centre.
func (f *fleet) recordShares() {
	f.after(time.Second, f.recordShares)
	shares, counts := make([]float64, len(f.capacity)), make([]float64, len(f.capacity))
	for _, in := range f.instances {
		counts[in.centre]++
		for _, share := range in.reserver.Spiller.Shares(f.time()) {
			shares[in.centre] += share
		}
	}
	for i := range shares {
		shares[i] /= max(1, counts[i])
	}
	f.result.ShareAt = append(f.result.ShareAt, shares)
}

// linkShare returns the share of its rate that the link has.
func (f *fleet) linkShare() float64 {
	if f.scenario.LinkShare == nil {
		return 1
	}
	return f.scenario.LinkShare(f.now)
}

// crossingTime returns how long a prompt and then each token take over a link, after the prompts before it.
func (f *fleet) crossingTime(at time.Duration, c spiller.Crossing) time.Duration {
	delay := f.engine.CentreDelays[[2]string{"a", "b"}]
	if c.IsFirst {
		return 2 * delay
	}
	transfer := time.Duration(float64(c.PromptTokens) * c.TokenMB / f.engine.LinkMBPerSecond / f.linkShare() * float64(time.Second))
	key := [2]string{min(c.From, c.To), max(c.From, c.To)}
	f.linkUntil[key] = max(at, f.linkUntil[key]) + transfer
	return f.linkUntil[key] + delay - at
}
