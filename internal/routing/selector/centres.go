package selector

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/spiller"
)

const (
	// busySlotShare is the share of an endpoint's slots at which it counts as full: calls are short and arrive unevenly, and what
	// finds no slot is refused. At 2.4 of 6 slots in use on average, one call in 40 finds none.
	busySlotShare = 0.4
	// loadWeight is the weight of the newest load in the mean: the calls in progress change within milliseconds.
	loadWeight = 0.3
	// refusedTime is how long after a refusal of an endpoint its data centre counts as full.
	refusedTime = time.Second
	// usualCallTime is the time of a call to an endpoint of which no latency is known.
	usualCallTime = 10 * time.Millisecond
	// slowFactor is how many times slower than one of another data centre an endpoint of the own one may be.
	slowFactor = 1.5
	// maxCentres bounds the data centres whose load is kept.
	maxCentres = 64
)

// Place records where an endpoint is and how many calls it runs at once.
func (s *Selector) Place(id, centre string, slots int) {
	if e, ok := s.Servers[id]; ok {
		e.DataCentre, e.Slots = centre, slots
		s.Servers[id] = e
	}
}

// BeginCall records that a call to an endpoint begins, and EndCall that it has ended.
func (s *Selector) BeginCall(id string) { s.addCalls(id, 1) }

// EndCall records that a call to an endpoint has ended. If the endpoint refused it, its data centre counts as full for a time.
func (s *Selector) EndCall(now time.Time, id string, refused bool) {
	s.addCalls(id, -1)
	if e, ok := s.Servers[id]; ok && refused {
		e.Refused = now
		s.Servers[id] = e
	}
}

// addCalls adds to the calls in progress at an endpoint.
func (s *Selector) addCalls(id string, n int) {
	if e, ok := s.Servers[id]; ok {
		e.Calls = max(0, e.Calls+n)
		s.Servers[id] = e
	}
}

// Calls returns, by endpoint, the calls to a service that this instance has in progress.
func (s *Selector) Calls(service string) map[string]float64 {
	out := map[string]float64{}
	for id, e := range s.Servers {
		if e.Service == service && e.Calls > 0 {
			out[id] = float64(e.Calls)
		}
	}
	return out
}

// MergePeerCalls records, by endpoint, the calls to a service that the other instances have in progress.
func (s *Selector) MergePeerCalls(now time.Time, service string, others map[string]float64) {
	if s.Centre == "" {
		return
	}
	loads := map[string]spiller.Load{}
	for id, e := range s.Servers {
		if e.Service != service || e.Leaving || e.DataCentre == "" || e.Slots <= 0 || len(loads) >= maxCentres {
			continue
		}
		l := loads[e.DataCentre]
		l.Capacity += busySlotShare * float64(e.Slots)
		l.Used += float64(e.Calls) + others[id]
		loads[e.DataCentre] = l
	}
	if len(loads) == 0 {
		delete(s.spillers, service)
		return
	}
	for centre, l := range loads {
		if before, ok := s.loads[service][centre]; ok {
			l.Used = before.Used + loadWeight*(l.Used-before.Used)
			loads[centre] = l
		}
	}
	s.loads[service] = loads
	sp, ok := s.spillers[service]
	if !ok {
		sp = spiller.New(s.Centre)
		s.spillers[service] = sp
	}
	sp.Links, sp.RequestTime = s.Links, spiller.FirstEventWeight*s.localCallTime(service)
	sp.Update(now, loads)
}

// localCallTime returns the mean time of a call to a service in the own data centre.
func (s *Selector) localCallTime(service string) time.Duration {
	sum, n := time.Duration(0), time.Duration(0)
	for _, e := range s.Servers {
		if e.Service == service && e.DataCentre == s.Centre && e.Mean > 0 {
			sum += e.Mean
			n++
		}
	}
	return cmp.Or(sum/max(1, n), usualCallTime)
}

// Spiller returns the decision on the calls to a service that leave the data centre, nil if there is none.
func (s *Selector) Spiller(service string) *spiller.Spiller { return s.spillers[service] }

// preferredCentre returns the data centre whose endpoints go first, and false if all are alike: if their loads or latencies are not
// known, or if the own endpoints are full or slow.
func (s *Selector) preferredCentre(now time.Time, service string, healthy []Server, r *rand.Rand) (string, bool) {
	sp, ok := s.spillers[service]
	if !ok || !sp.IsFresh(now) || s.loads[service][s.Centre].Fill() >= 1 {
		return "", false
	}
	var local, remote time.Duration
	for _, e := range healthy {
		isLocal := e.DataCentre == s.Centre
		switch {
		case isLocal && (e.Failures > 0 || now.Sub(e.Refused) < refusedTime):
			return "", false
		case e.Mean <= 0:
			return "", false // Its latency is not known yet.
		case isLocal && (local == 0 || e.Mean < local):
			local = e.Mean
		case !isLocal && (remote == 0 || e.Mean+2*s.Links.Delay(s.Centre, e.DataCentre) < remote):
			remote = e.Mean + 2*s.Links.Delay(s.Centre, e.DataCentre)
		}
	}
	if local == 0 || remote > 0 && float64(local) > slowFactor*float64(remote) {
		return "", false
	}
	return cmp.Or(sp.Destination(now, r.Float64), s.Centre), true
}

// centreFirst orders the endpoints of a data centre before the others, the faster of its first two first.
func centreFirst(list []Server, centre string) []Server {
	slices.SortStableFunc(list, func(a, b Server) int { return cmp.Compare(distance(a, centre), distance(b, centre)) })
	if len(list) > 1 && distance(list[1], centre) == 0 && list[1].Mean < list[0].Mean {
		list[0], list[1] = list[1], list[0]
	}
	return list
}

// distance returns 0 for an endpoint of a data centre and 1 for another.
func distance(e Server, centre string) int {
	if e.DataCentre == centre {
		return 0
	}
	return 1
}
