package reserver

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/heatherrock/heatherrock/internal/routing/placer"
)

// The accounts of a simulated fleet: each instance knows what the others had reserved accountDelay before, as of the last
// multiple of accountInterval.
const (
	accountInterval = 120 * time.Millisecond
	accountDelay    = 240 * time.Millisecond
)

// fleet simulates instances that reserve paths on the same endpoints without knowing each other's latest reservations.
type fleet struct {
	engine    *placer.Engine
	endpoints []Endpoint
	instances []*Reserver
	random    *rand.Rand
	// sharesRoom is true if the instances share out the last free memory of the endpoints.
	sharesRoom bool
	// retriesAfter is the delay after which a refused caller comes back once, with up to as much again; zero means never. keepsReserve
	// is true if those who come back leave the last memory to others.
	retriesAfter time.Duration
	keepsReserve bool
	returning    []*simulatedRequest
	// used is what is in use on each endpoint, and history the usage of each instance at the last intervals.
	used    Usage
	history [][]Usage
	waiting []*simulatedRequest
	running []*simulatedRequest
	result  fleetResult
}

// simulatedRequest is a request of the simulation.
type simulatedRequest struct {
	arrivedAt, beganAt, endsAt time.Time
	instance                   int
	request                    PathRequest
	path                       Path
	hasReturned                bool
}

// fleetResult counts what became of the requests: how often an endpoint refused a reserved path, and how often none was free in time.
type fleetResult struct {
	// InTime counts the paths of requests that were not refused before.
	InTime, Arrived, Granted, RefusedByEndpoint, NoPath int
}

// refusedShare returns the share of granted paths that an endpoint refused.
func (r fleetResult) refusedShare() float64 {
	return float64(r.RefusedByEndpoint) / math.Max(1, float64(r.Granted))
}

// scarceEngine returns the model and the endpoints of a fleet whose memory is short.
func scarceEngine() (*placer.Engine, []placer.Holder) {
	e := &placer.Engine{
		Layers: 80, LayerMB: 1750, TokenMB: 0.492, MaxTokens: 100000, MaxRequests: 192, TokensPerEvent: 5, BaseStepTime: 1020 * time.Microsecond,
		RequestStepTime: 3820 * time.Nanosecond, ContextStepTime: 5120 * time.Nanosecond, ReadRate: 196000, ActivationMB: 0.0246, LinkMBPerSecond: 830,
		UsualPromptTokens: 775, UsualAnswerTokens: 219,
		Cards: map[string]placer.Card{
			"a100": {Name: "a100", MemoryMB: 72000, StepFactor: 2.4, ReadFactor: 3.2},
			"v100": {Name: "v100", MemoryMB: 14400, StepFactor: 5.3, ReadFactor: 7.9},
			"l4":   {Name: "l4", MemoryMB: 21600, StepFactor: 16, ReadFactor: 8.2},
		},
	}
	var holders []placer.Holder
	for _, c := range []struct {
		card   string
		counts [3]int
	}{{"a100", [3]int{4, 3, 2}}, {"v100", [3]int{10, 14, 24}}, {"l4", [3]int{11, 16, 9}}} {
		for i, n := range c.counts {
			for j := range n {
				holders = append(holders, placer.Holder{ID: fmt.Sprint(c.card, i, "-", j), DataCentre: fmt.Sprint("centre", i), Card: c.card})
			}
		}
	}
	return e, holders
}

// newFleet returns a fleet of n instances.
func newFleet(n int, seed uint64) *fleet {
	e, holders := scarceEngine()
	f := &fleet{engine: e, random: rand.New(rand.NewPCG(seed, 1)), used: Usage{}}
	byID := map[string]placer.Range{}
	for _, a := range placer.Plan(e, placer.NewGrid(e, holders), holders) {
		byID[a.ID] = a.Range
	}
	for _, h := range holders {
		f.endpoints = append(f.endpoints, Endpoint{ID: h.ID, Address: h.ID + ":1", DataCentre: h.DataCentre, Card: h.Card, Held: byID[h.ID]})
	}
	for i := range n {
		r := New(fmt.Sprint("centre", i%3), rand.New(rand.NewPCG(seed, uint64(i)+2)))
		r.InstanceCount = n
		r.UpdateEndpoints(startTime, e, f.endpoints)
		f.instances = append(f.instances, r)
	}
	return f
}

// play plays requests at a rate for a time, in steps of a millisecond.
func (f *fleet) play(rate float64, length time.Duration) fleetResult {
	next := startTime
	for now := startTime; now.Sub(startTime) < length; now = now.Add(time.Millisecond) {
		f.endRequests(now)
		if now.Sub(startTime)%accountInterval == 0 {
			f.exchange(now, rate)
		}
		f.returnCallers(now)
		f.retryWaiting(now)
		for !next.After(now) {
			f.arrive(now)
			next = next.Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
		}
	}
	return f.result
}

// exchange passes on what the instances had reserved.
func (f *fleet) exchange(now time.Time, rate float64) {
	current := make([]Usage, len(f.instances))
	for i, r := range f.instances {
		current[i] = Usage{}
		for name, n := range r.OwnUsage {
			current[i][name] = n
		}
	}
	f.history = append(f.history, current)
	old := len(f.history) - 1 - int(accountDelay/accountInterval)
	if old < 0 {
		return
	}
	total := Usage{}
	for _, u := range f.history[old] {
		for name, n := range u {
			total[name] += n
		}
	}
	for i, r := range f.instances {
		rest := Usage{}
		for name, n := range total {
			rest[name] = n - f.history[old][i][name]
		}
		if f.sharesRoom {
			r.SetPeerDemands([]Demand{{Rate: rate}})
		}
		r.SetPeerUsage(now, "rest", rest)
	}
}

// arrive draws a request of usual size.
func (f *fleet) arrive(now time.Time) {
	f.result.Arrived++
	q := &simulatedRequest{arrivedAt: now, instance: f.random.IntN(len(f.instances)), request: PathRequest{
		PromptTokens: int(775 * (0.3 + 1.4*f.random.Float64())), AnswerTokens: int(219 * (0.2 + 1.6*f.random.Float64())),
	}}
	if !f.try(now, q) {
		f.waiting = append(f.waiting, q)
	}
}

// retryWaiting tries the waiting requests each 20 ms, and drops those that waited for 250 ms.
func (f *fleet) retryWaiting(now time.Time) {
	if now.Sub(startTime)%(20*time.Millisecond) != 0 {
		return
	}
	left := f.waiting[:0]
	for _, q := range f.waiting {
		switch {
		case f.try(now, q):
		case now.Sub(q.arrivedAt) >= 250*time.Millisecond:
			f.refuse(now, q)
		default:
			left = append(left, q)
		}
	}
	f.waiting = left
}

// refuse refuses a request whose time in the queue is over.
func (f *fleet) refuse(now time.Time, q *simulatedRequest) {
	if q.hasReturned || f.retriesAfter == 0 {
		f.result.NoPath++
		return
	}
	delay := f.retriesAfter + time.Duration(f.random.Float64()*float64(f.retriesAfter))
	f.returning = append(f.returning, &simulatedRequest{arrivedAt: now.Add(delay), request: q.request, hasReturned: true})
}

// returnCallers lets the refused callers come back to another instance.
func (f *fleet) returnCallers(now time.Time) {
	left := f.returning[:0]
	for _, q := range f.returning {
		if q.arrivedAt.After(now) {
			left = append(left, q)
			continue
		}
		q.instance = f.random.IntN(len(f.instances))
		if f.keepsReserve {
			q.request.MemoryShare = LateMemoryShare
		}
		f.waiting = append(f.waiting, q)
	}
	f.returning = left
}

// try reserves a path for a request, and reports whether the request needs no further try.
func (f *fleet) try(now time.Time, q *simulatedRequest) bool {
	r := f.instances[q.instance]
	for range 2 {
		p, refusal := r.Reserve(now, q.request)
		if refusal != Granted {
			return false
		}
		f.result.Granted++
		full := ""
		for _, stage := range p.Stages {
			if f.usedAt(now, stage.Endpoint.ID)+float64(q.request.PromptTokens*stage.Range.Len()) > r.memory(stage.Endpoint) {
				full = stage.Endpoint.ID
			}
		}
		r.MarkPromptRead(p)
		if full == "" {
			q.path, q.beganAt, q.endsAt = p, now, now.Add(p.TimeToFirstToken+time.Duration(q.request.AnswerTokens)*p.TimePerToken)
			f.running = append(f.running, q)
			if !q.hasReturned {
				f.result.InTime++
			}
			return true
		}
		f.result.RefusedByEndpoint++
		r.Release(p)
		r.BackOff(now, now.Add(500*time.Millisecond), full)
	}
	return true
}

// usedAt returns the memory of an endpoint that is in use: of each request the prompt, and the answer as far as it is written.
func (f *fleet) usedAt(now time.Time, id string) float64 {
	sum := 0.0
	for _, q := range f.running {
		for _, stage := range q.path.Stages {
			if stage.Endpoint.ID == id {
				written := float64(now.Sub(q.beganAt)) / float64(q.endsAt.Sub(q.beganAt))
				sum += (float64(q.request.PromptTokens) + written*float64(q.request.AnswerTokens)) * float64(stage.Range.Len())
			}
		}
	}
	return sum
}

// endRequests ends the requests that are done.
func (f *fleet) endRequests(now time.Time) {
	left := f.running[:0]
	for _, q := range f.running {
		if q.endsAt.After(now) {
			left = append(left, q)
			continue
		}
		f.instances[q.instance].Release(q.path)
	}
	f.running = left
}

// TestEndpointsRefuseFewReservations guards against many instances that take the same free memory: they learn of each other's
// reservations up to 360 ms late, and without sharing each request that arrives meanwhile finds the room that is gone.
func TestEndpointsRefuseFewReservations(t *testing.T) {
	const rate, length = 270, 4 * time.Second
	alone := newFleet(91, 1).play(rate, length)
	f := newFleet(91, 1)
	f.sharesRoom = true
	shared := f.play(rate, length)
	if share := shared.refusedShare(); share > 0.01 {
		t.Errorf("endpoints refused %.3f of the reservations, want at most 0.01 (%.3f without sharing)", share, alone.refusedShare())
	}
	served, servedAlone := shared.Granted-shared.RefusedByEndpoint, alone.Granted-alone.RefusedByEndpoint
	if served < servedAlone {
		t.Errorf("%d of %d requests got a path, %d without sharing", served, shared.Arrived, servedAlone)
	}
}

// TestRoomIsSharedOnlyInShortage guards against limits on endpoints with memory for all requests that may arrive unseen, and against
// limits from accounts that are not known.
func TestRoomIsSharedOnlyInShortage(t *testing.T) {
	r := newReserver(1)
	r.SetPeerDemands([]Demand{{Rate: 1000}})
	r.shareRoom(startTime)
	if len(r.acceptedSlots) > 0 {
		t.Errorf("without accounts of others, %d endpoints are limited", len(r.acceptedSlots))
	}
	r.SetPeerDemands([]Demand{{Rate: 1}})
	r.SetPeerUsage(startTime, "peer", Usage{"a0": 100})
	if len(r.acceptedSlots) > 0 {
		t.Errorf("with room for all requests, %d endpoints are limited", len(r.acceptedSlots))
	}
	r.SetPeerDemands([]Demand{{Rate: 1000}})
	r.SetPeerUsage(startTime, "peer", Usage{"a0": 18000, "a1": 18000, "b0": 18000, "b1": 18000})
	if len(r.acceptedSlots) != len(r.Endpoints) {
		t.Errorf("under load, %d endpoints are limited, want %d", len(r.acceptedSlots), len(r.Endpoints))
	}
}

// TestReturnedCallersLeaveMemoryToOthers guards against an overload in which those who come back after a refusal, whose answers are
// late in any case, take the memory of requests that could still be in time.
func TestReturnedCallersLeaveMemoryToOthers(t *testing.T) {
	const rate, length = 600, 7 * time.Second
	play := func(keepsReserve bool) fleetResult {
		f := newFleet(30, 1)
		f.sharesRoom, f.retriesAfter, f.keepsReserve = true, 1500*time.Millisecond, keepsReserve
		return f.play(rate, length)
	}
	alike, last := play(false), play(true)
	t.Logf("in time %d of %d, served %d; with a reserve %d of %d, served %d", alike.InTime, alike.Arrived, alike.Granted-alike.RefusedByEndpoint,
		last.InTime, last.Arrived, last.Granted-last.RefusedByEndpoint)
	if last.InTime <= alike.InTime {
		t.Errorf("%d requests of %d were in time, %d without a reserve", last.InTime, last.Arrived, alike.InTime)
	}
}

// TestAcceptedShares guards against a less urgent priority that gets room which a more urgent one needs, and against one that gets
// nothing.
func TestAcceptedShares(t *testing.T) {
	for _, c := range []struct {
		rate    float64
		demands []float64
		want    []float64
	}{
		{100, []float64{200}, []float64{0.5}},
		{100, []float64{50, 50, 50}, []float64{1, 0.733, 0.267}},
		{50, []float64{100, 100}, []float64{0.4, 0.1}},
		{90, []float64{0, 100}, []float64{0.36, 0.9}},
	} {
		total := 0.0
		for _, d := range c.demands {
			total += d
		}
		got := acceptedShares(c.rate, total, c.demands)
		if diff := cmp.Diff(c.want, got, cmpopts.EquateApprox(0, 1e-3)); diff != "" {
			t.Errorf("room for %v of %v (-want +got):\n%s", c.rate, c.demands, diff)
		}
	}
}

// BenchmarkShareRoom measures an update of the slots while all endpoints are nearly full, for the first fleet.
func BenchmarkShareRoom(b *testing.B) {
	f := newFleet(1, 1)
	r := f.instances[0]
	usage := Usage{}
	for _, e := range f.endpoints {
		usage[e.ID] = 0.9 * r.memory(e)
	}
	r.SetPeerDemands([]Demand{{0, 142}, {1, 75}, {2, 47}})
	for b.Loop() {
		r.SetPeerUsage(startTime, "fleet", usage)
	}
}
