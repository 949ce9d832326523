package reserver

import "time"

// isUsable reports whether an endpoint may run a stage at now.
func (r *Reserver) isUsable(now time.Time, e Endpoint, avoid map[string]bool) bool {
	return !e.Leaving && !e.Held.Empty() && e.Held.From >= 0 && !avoid[e.ID] && now.After(r.SuspectedUntil[e.ID])
}

// Suspect excludes an endpoint from paths until a time. It does nothing if no other usable endpoint holds one of its
// layers: a slow path is better than none.
func (r *Reserver) Suspect(now, until time.Time, id string) {
	e := r.Endpoints[id]
	for l := e.Held.From; l < e.Held.To; l++ {
		if !r.heldElsewhere(now, l, id) {
			return
		}
	}
	if until.After(r.SuspectedUntil[id]) {
		r.SuspectedUntil[id] = until
	}
}

// heldElsewhere reports whether a usable endpoint other than the excluded one holds a layer.
func (r *Reserver) heldElsewhere(now time.Time, layer int, excluded string) bool {
	for _, e := range r.Endpoints {
		if e.ID != excluded && e.Held.From <= layer && layer < e.Held.To && r.isUsable(now, e, nil) {
			return true
		}
	}
	return false
}

// BackOff leaves an endpoint that refused or failed a request out of paths until a time, unless no path could do without it: one
// that serves a part of its requests is better than none.
func (r *Reserver) BackOff(_, until time.Time, id string) {
	if until.After(r.BackedOffUntil[id]) {
		r.BackedOffUntil[id] = until
	}
}

// isAnyBackedOff reports whether an endpoint has just refused or failed a request.
func (r *Reserver) isAnyBackedOff(now time.Time) bool {
	for _, until := range r.BackedOffUntil {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// isCandidate reports whether a path for a request may use an endpoint.
func (r *Reserver) isCandidate(now time.Time, req PathRequest, e Endpoint) bool {
	return r.isUsable(now, e, req.Avoid) &&
		(req.includeBackedOff || !now.Before(r.BackedOffUntil[e.ID]) && !r.Spiller.IsClosed(now, e.DataCentre))
}

// Hold lets no path begin at an endpoint until a time, also if it is removed and added again before that. The endpoint may
// still run other stages.
func (r *Reserver) Hold(_, until time.Time, id string) {
	if until.After(r.HeldUntil[id]) {
		r.HeldUntil[id] = until
	}
}

// canBegin reports whether a path for a request may begin at an endpoint, regardless of when.
func (r *Reserver) canBegin(now time.Time, req PathRequest, e Endpoint) bool {
	return e.Held.From == 0 && r.isCandidate(now, req, e) && (req.FirstEndpoints == nil || req.FirstEndpoints[e.ID])
}

// HeldFor returns how long no path for a request may begin at any endpoint, and false if one may begin now or if no usable
// endpoint holds the first layer.
func (r *Reserver) HeldFor(now time.Time, req PathRequest) (time.Duration, bool) {
	req.includeBackedOff = true
	return r.heldFor(now, req)
}

// heldFor is HeldFor among the candidates for a request.
func (r *Reserver) heldFor(now time.Time, req PathRequest) (time.Duration, bool) {
	var first time.Time
	found := false
	for _, e := range r.Endpoints {
		if r.canBegin(now, req, e) && (!found || r.HeldUntil[e.ID].Before(first)) {
			first, found = r.HeldUntil[e.ID], true
		}
	}
	return first.Sub(now), found && first.After(now)
}

// Covered reports whether usable endpoints hold every layer.
func (r *Reserver) Covered(now time.Time) bool {
	if r.Engine == nil {
		return false
	}
	return r.refusalReason(now, PathRequest{includeBackedOff: true}, 0) != Uncovered
}

// Bottleneck is the layer with the least free memory over all endpoints that hold it.
type Bottleneck struct {
	Layer   int
	Holders int
	// Memory is the number of tokens that the holders have memory for, and Reserved the number that are reserved,
	// both counted for this one layer.
	Memory   float64
	Reserved float64
}

// Bottleneck returns the layer that limits the fleet at now.
func (r *Reserver) Bottleneck(now time.Time) Bottleneck {
	var tightest Bottleneck
	if r.Engine == nil {
		return tightest
	}
	for i := range len(r.boundaries) - 1 {
		current := Bottleneck{Layer: r.boundaries[i]}
		for _, e := range r.Endpoints {
			if !r.isUsable(now, e, nil) || e.Held.From > current.Layer || e.Held.To <= current.Layer {
				continue
			}
			n := float64(e.Held.Len())
			current.Holders++
			current.Memory += r.memory(e) / n
			current.Reserved += r.reservedByAll(e.ID) / n
		}
		if i == 0 || current.Memory-current.Reserved < tightest.Memory-tightest.Reserved {
			tightest = current
		}
	}
	return tightest
}
