// Package selector orders the endpoints of plain services for a call.
package selector

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// failureLimit is the number of failures in a row after which an endpoint goes last.
	failureLimit = 2
	// penalty is how long an endpoint that failed goes last.
	penalty = 2 * time.Second
	// weight is the part of a new time in the mean.
	weight = 0.2
)

// Server is what is believed of one endpoint of a plain service.
type Server struct {
	ID      string
	Address string
	Service string
	// Leaving is set once any sign said that the endpoint goes. It is not taken back.
	Leaving bool
	// Mean is the moving mean of the times of its calls.
	Mean time.Duration
	// Failures counts the failures since the last success, and Failed is the time of the last one.
	Failures int
	Failed   time.Time
}

// Selector holds the endpoints of plain services.
type Selector struct {
	Servers map[string]Server
}

// New returns a selector that knows no endpoint.
func New() *Selector {
	return &Selector{Servers: map[string]Server{}}
}

// Observe takes in an endpoint of a service.
func (s *Selector) Observe(_ time.Time, id, address, service string) {
	e := s.Servers[id]
	e.ID, e.Address, e.Service = id, address, service
	s.Servers[id] = e
}

// Leave takes in that an endpoint is leaving: it gets no new work.
func (s *Selector) Leave(_ time.Time, id string) {
	if e, ok := s.Servers[id]; ok {
		e.Leaving = true
		s.Servers[id] = e
	}
}

// Remove forgets an endpoint.
func (s *Selector) Remove(_ time.Time, id string) {
	delete(s.Servers, id)
}

// Choose returns the endpoints that may get a call of a service at now, the best first: the better of two drawn at
// random, then the others at random, then those that failed of late.
func (s *Selector) Choose(now time.Time, service string, r *rand.Rand) []Server {
	var good, bad []Server
	for _, e := range s.Servers {
		if e.Service != service || e.Leaving {
			continue
		}
		if e.Failures >= failureLimit && now.Sub(e.Failed) < penalty {
			bad = append(bad, e)
			continue
		}
		good = append(good, e)
	}
	shuffle(good, r)
	shuffle(bad, r)
	if len(good) > 1 && good[1].Mean < good[0].Mean {
		good[0], good[1] = good[1], good[0]
	}
	return append(good, bad...)
}

// shuffle orders servers at random, the same way for the same state of r.
func shuffle(list []Server, r *rand.Rand) {
	slices.SortFunc(list, func(a, b Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Report takes in at now how an attempt on an endpoint went.
func (s *Selector) Report(now time.Time, id string, failed bool, took time.Duration) {
	e, ok := s.Servers[id]
	if !ok {
		return
	}
	if failed {
		e.Failures++
		e.Failed = now
	} else {
		e.Failures = 0
		e.Mean += time.Duration(weight * float64(took-e.Mean))
	}
	s.Servers[id] = e
}
