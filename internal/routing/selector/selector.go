// Package selector orders the endpoints of plain services for a call.
package selector

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/spiller"
)

const (
	// failureLimit is the number of consecutive failures from which an endpoint is ordered last.
	failureLimit = 2
	// failurePenalty is how long after its last failure such an endpoint is ordered last.
	failurePenalty = 2 * time.Second
	// latencyWeight is the weight of the newest latency in the mean.
	latencyWeight = 0.2
)

// Server is the state of one endpoint of a plain service.
type Server struct {
	ID      string
	Address string
	Service string
	// Leaving is true once any source has reported that the endpoint is leaving. Only Reset resets it.
	Leaving bool
	// Mean is the moving average of the latencies of successful calls.
	Mean time.Duration
	// Failures is the number of failures since the last success, and Failed the time of the last failure.
	Failures int
	Failed   time.Time
	// DataCentre is where the endpoint is, and Slots the number of calls that it runs at once; empty if they are not known.
	DataCentre string
	Slots      int
	// Calls is the number of calls of this instance in progress there, and Refused when it last refused one for want of slots.
	Calls   int
	Refused time.Time
}

// Selector holds the endpoints of plain services. It is not safe for concurrent use.
type Selector struct {
	Servers map[string]Server
	// HeldUntil holds, by endpoint, when it accepts calls again.
	HeldUntil map[string]time.Time
	// Centre is the data centre of the instance. While it is empty, endpoints of all data centres are alike.
	Centre string
	// Links describes the links between data centres.
	Links spiller.Links

	spillers map[string]*spiller.Spiller
	// loads holds the mean load of the data centres by service.
	loads map[string]map[string]spiller.Load
}

// New returns a selector without endpoints.
func New() *Selector {
	return &Selector{
		Servers: map[string]Server{}, HeldUntil: map[string]time.Time{}, spillers: map[string]*spiller.Spiller{},
		loads: map[string]map[string]spiller.Load{},
	}
}

// Observe adds an endpoint of a service, or updates its address and service.
func (s *Selector) Observe(_ time.Time, id, address, service string) {
	e := s.Servers[id]
	e.ID, e.Address, e.Service = id, address, service
	s.Servers[id] = e
}

// MarkLeaving records that an endpoint is leaving: it gets no new calls.
func (s *Selector) MarkLeaving(_ time.Time, id string) {
	if e, ok := s.Servers[id]; ok {
		e.Leaving = true
		s.Servers[id] = e
	}
}

// Hold records that an endpoint accepts no call before a time, also if it is removed and observed again before that.
func (s *Selector) Hold(_, until time.Time, id string) {
	if until.After(s.HeldUntil[id]) {
		s.HeldUntil[id] = until
	}
}

// Reset drops what is known of an endpoint but its address and service: another process has its id.
func (s *Selector) Reset(id string) {
	delete(s.HeldUntil, id)
	if e, ok := s.Servers[id]; ok {
		s.Servers[id] = Server{ID: e.ID, Address: e.Address, Service: e.Service, DataCentre: e.DataCentre, Slots: e.Slots, Calls: e.Calls}
	}
}

// HeldFor returns how long no endpoint of a service accepts a call, and false if one does or if the service has none.
func (s *Selector) HeldFor(now time.Time, service string) (time.Duration, bool) {
	var first time.Time
	found := false
	for _, e := range s.Servers {
		if e.Service == service && !e.Leaving && (!found || s.HeldUntil[e.ID].Before(first)) {
			first, found = s.HeldUntil[e.ID], true
		}
	}
	return first.Sub(now), first.After(now)
}

// Remove removes an endpoint.
func (s *Selector) Remove(_ time.Time, id string) {
	delete(s.Servers, id)
}

// Choose returns the endpoints that may get a call of a service at now, the preferred one first: the faster of two drawn
// at random, then the others in random order, then those that failed recently. Those of one data centre go first: the own one
// unless the call is among those that leave.
func (s *Selector) Choose(now time.Time, service string, r *rand.Rand) []Server {
	var healthy, failing []Server
	for _, e := range s.Servers {
		if e.Service != service || e.Leaving || now.Before(s.HeldUntil[e.ID]) {
			continue
		}
		if e.Failures >= failureLimit && now.Sub(e.Failed) < failurePenalty {
			failing = append(failing, e)
			continue
		}
		healthy = append(healthy, e)
	}
	shuffle(healthy, r)
	shuffle(failing, r)
	if centre, ok := s.preferredCentre(now, service, healthy, r); ok {
		return append(centreFirst(healthy, centre), failing...)
	}
	if len(healthy) > 1 && healthy[1].Mean < healthy[0].Mean {
		healthy[0], healthy[1] = healthy[1], healthy[0]
	}
	return append(healthy, failing...)
}

// shuffle puts servers into a random order, the same one for the same state of r.
func shuffle(list []Server, r *rand.Rand) {
	slices.SortFunc(list, func(a, b Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// RecordResult records at now whether an attempt on an endpoint failed and how long it took.
func (s *Selector) RecordResult(now time.Time, id string, failed bool, took time.Duration) {
	e, ok := s.Servers[id]
	if !ok {
		return
	}
	if failed {
		e.Failures++
		e.Failed = now
	} else {
		e.Failures = 0
		e.Mean += time.Duration(latencyWeight * float64(took-e.Mean))
	}
	s.Servers[id] = e
}
