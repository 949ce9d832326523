package spiller

import (
	"maps"
	"time"
)

// The parameters of how failures count.
const (
	// outageEndpoints is the number of endpoints of a data centre that did not respond one after another from which no request
	// is sent there. Single endpoints are left out of paths for themselves.
	outageEndpoints = 3
	// outageWindow is the time within which they count.
	outageWindow = 1500 * time.Millisecond
	// respondedTime is how long after one of its endpoints responded a data centre counts as reachable: many endpoints that crash
	// together leave others that respond.
	respondedTime = 500 * time.Millisecond
	// minClosedTime is how long no request is sent to the data centre; it doubles up to maxClosedTime while endpoints still do
	// not respond.
	minClosedTime = time.Second
	maxClosedTime = 8 * time.Second
	// delayWeight is the weight of the newest delay in the mean, and delayHalfLife the time after which an old mean counts half:
	// a link that became slow is tried again.
	delayWeight   = 0.25
	delayHalfLife = 2 * time.Second
	// maxDelay bounds what one late first event adds.
	maxDelay = 2 * time.Second
	// minDelay is the delay below which a late first event is taken for the noise of the endpoints.
	minDelay = 20 * time.Millisecond
)

// outage tracks the endpoints of a data centre that do not respond.
type outage struct {
	// failedAt holds the endpoints that did not respond since one last did.
	failedAt    map[string]time.Time
	respondedAt time.Time
	closedUntil time.Time
	closedTime  time.Duration
}

// isClosed reports whether no request is sent to the data centre.
func (o *outage) isClosed(now time.Time) bool { return now.Before(o.closedUntil) }

// recordFailure records that an endpoint did not respond at now, and reports whether the data centre is closed because of it.
func (o *outage) recordFailure(now time.Time, endpoint string) bool {
	if o.isClosed(now) {
		return false
	}
	if o.failedAt == nil {
		o.failedAt = map[string]time.Time{}
	}
	maps.DeleteFunc(o.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) > outageWindow })
	o.failedAt[endpoint] = now
	// One that was closed before is closed again by the first failure after it.
	if len(o.failedAt) < outageEndpoints && o.closedTime == 0 || now.Sub(o.respondedAt) < respondedTime {
		return false
	}
	o.closedTime = min(maxClosedTime, max(minClosedTime, 2*o.closedTime))
	o.closedUntil = now.Add(o.closedTime)
	clear(o.failedAt)
	return true
}

// RecordFailure records that an endpoint of a data centre did not respond.
func (s *Spiller) RecordFailure(now time.Time, centre, endpoint string) {
	if centre == s.Centre || centre == "" {
		return
	}
	t, ok := s.targets[centre]
	if !ok {
		t = &target{}
		s.targets[centre] = t
	}
	if t.outage.recordFailure(now, endpoint) {
		t.share = 0
		s.addChange(centre, t, Unreachable)
	}
}

// RecordSuccess records that an endpoint of a data centre responded.
func (s *Spiller) RecordSuccess(now time.Time, centre string) {
	t, ok := s.targets[centre]
	if !ok {
		return
	}
	t.outage = outage{respondedAt: now}
}

// IsClosed reports whether no request is sent to a data centre since its endpoints do not respond.
func (s *Spiller) IsClosed(now time.Time, centre string) bool {
	t, ok := s.targets[centre]
	return ok && t.outage.isClosed(now)
}

// IsAnyClosed reports whether no request is sent to some data centre.
func (s *Spiller) IsAnyClosed(now time.Time) bool {
	for _, t := range s.targets {
		if t.outage.isClosed(now) {
			return true
		}
	}
	return false
}

// delayKey identifies a way between two data centres: that of requests and events, or that between two stages.
type delayKey struct {
	from, to string
	isFirst  bool
}

// meanDelay is by how much first events came later than expected.
type meanDelay struct {
	mean time.Duration
	at   time.Time
}

// delays holds the mean delays by way.
type delays map[delayKey]meanDelay

// get returns the mean delay of a way at now.
func (d delays) get(now time.Time, key delayKey) time.Duration {
	m, ok := d[key]
	if !ok {
		return 0
	}
	age := float64(now.Sub(m.at)) / float64(delayHalfLife)
	return time.Duration(float64(m.mean) / (1 + age*age))
}

// excess returns by how much first events on a way came later than those of paths that stay.
func (d delays) excess(now time.Time, key delayKey) time.Duration {
	return max(0, d.get(now, key)-d.get(now, delayKey{key.from, key.from, true}))
}

// RecordFirstEvent records how much later than expected the first event of a path came that crosses between two data centres, or
// that stays in the own one.
func (s *Spiller) RecordFirstEvent(now time.Time, c Crossing, late time.Duration) {
	if late < minDelay {
		late = 0
	}
	key := delayKey{c.From, c.To, c.IsFirst}
	mean := s.delays.get(now, key)
	if mean == 0 && late == 0 {
		delete(s.delays, key)
		return
	}
	mean += time.Duration(delayWeight * float64(min(late, maxDelay)-mean))
	s.delays[key] = meanDelay{mean, now}
}
