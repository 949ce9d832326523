package repairer

import (
	"maps"
	"slices"
	"time"
)

// chooseSpare returns the spare endpoint with the highest rate among those that may load a range, and the part of the
// range that it may load. Endpoints that are restricted to some ranges are preferred.
func (r *Repairer) chooseSpare(now time.Time, m Range, endpoints []Endpoint) (Endpoint, Range, bool) {
	maps.DeleteFunc(r.CooldownUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	var best Endpoint
	var part Range
	found := false
	for _, e := range endpoints {
		p, allowed := e.allowedPart(m)
		if !allowed || !r.isSpare(e) {
			continue
		}
		if !found || e.isPreferredTo(best) {
			best, part, found = e, p, true
		}
	}
	return best, part, found
}

// isSpare reports whether an endpoint holds nothing and may be sent an order.
func (r *Repairer) isSpare(e Endpoint) bool {
	_, inCooldown := r.CooldownUntil[e.ID]
	loading := slices.ContainsFunc(r.Loads, func(l Load) bool { return l.Endpoint == e.ID })
	return !e.Unavailable && !e.Busy && !inCooldown && !loading && len(e.Held) == 0
}

// allowedPart returns the first part of a range that the endpoint is allowed to load.
func (e Endpoint) allowedPart(m Range) (Range, bool) {
	if len(e.Allowed) == 0 {
		return m, true
	}
	for _, a := range e.Allowed {
		part := m
		part.From, part.To = max(m.From, a.From), min(m.To, a.To)
		if a.Model == m.Model && part.From < part.To {
			return part, true
		}
	}
	return Range{}, false
}

// isPreferredTo reports whether the endpoint is preferred to another for a range that both may load.
func (e Endpoint) isPreferredTo(o Endpoint) bool {
	if restricted := len(e.Allowed) > 0; restricted != (len(o.Allowed) > 0) {
		return restricted
	}
	return e.Rate > o.Rate || (e.Rate == o.Rate && e.ID < o.ID)
}

// loadWidth returns how many layers of a range an endpoint is ordered to load.
func (r *Repairer) loadWidth(e Endpoint, m Range) int {
	width := m.To - m.From
	if c := r.CapacityByKind[e.Kind]; c > 0 {
		return min(width, c)
	}
	if r.Settings.DefaultCapacity > 0 {
		return min(width, r.Settings.DefaultCapacity)
	}
	return width
}
