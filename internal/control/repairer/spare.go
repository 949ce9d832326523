package repairer

import (
	"maps"
	"slices"
	"time"
)

// spare returns the endpoint with the highest rate among those that hold nothing and may be ordered to load a range, and
// the part of it that the endpoint may load. Endpoints that may load nothing else go first.
func (r *Repairer) spare(now time.Time, m Range, endpoints []Endpoint) (Endpoint, Range, bool) {
	maps.DeleteFunc(r.Resting, func(_ string, until time.Time) bool { return !now.Before(until) })
	var best Endpoint
	var part Range
	found := false
	for _, e := range endpoints {
		p, allowed := e.allowed(m)
		if !allowed || !r.idle(e) {
			continue
		}
		if !found || e.before(best) {
			best, part, found = e, p, true
		}
	}
	return best, part, found
}

// idle reports whether an endpoint holds nothing and may be ordered.
func (r *Repairer) idle(e Endpoint) bool {
	_, resting := r.Resting[e.ID]
	loading := slices.ContainsFunc(r.Loads, func(l Load) bool { return l.Endpoint == e.ID })
	return !e.Gone && !e.Busy && !resting && !loading && len(e.Held) == 0
}

// allowed returns the first part of a range that the endpoint may be told to load.
func (e Endpoint) allowed(m Range) (Range, bool) {
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

// before reports whether the endpoint is preferred to another for a range that both may load.
func (e Endpoint) before(o Endpoint) bool {
	if named := len(e.Allowed) > 0; named != (len(o.Allowed) > 0) {
		return named
	}
	return e.Rate > o.Rate || (e.Rate == o.Rate && e.ID < o.ID)
}

// span returns how many layers of a range an endpoint is told to load.
func (r *Repairer) span(e Endpoint, m Range) int {
	width := m.To - m.From
	if c := r.Capacity[e.Kind]; c > 0 {
		return min(width, c)
	}
	if r.Settings.Span > 0 {
		return min(width, r.Settings.Span)
	}
	return width
}
