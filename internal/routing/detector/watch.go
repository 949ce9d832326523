package detector

import "time"

// Missed notes that an endpoint does not answer the instance that reads its load. It is ejected at once, within the bound
// on ejections of its group: a false alarm leaves each range of layers at least half of its endpoints, and one that only
// an ejected endpoint holds is still run there.
func (d *Detector) Missed(now time.Time, id string) []Action {
	e := d.endpoints[id]
	if e == nil || d.out(now, e) {
		return nil
	}
	e.failed = max(e.failed, d.failures)
	e.reason = "no answer to reads of its load"
	e.missed = true
	return d.ejectEndpoint(now, id, e)
}

// Heard notes that an endpoint answered on a connection that the detector does not know, such as that of a read of its
// load: a connection that goes silent beside it is not the endpoint's silence.
func (d *Detector) Heard(now time.Time, id string) {
	if e := d.endpoints[id]; e != nil && now.After(e.heard) {
		e.heard = now
	}
}

// Answered notes that an endpoint answers reads of its load again. An ejection that Missed began ends.
func (d *Detector) Answered(_ time.Time, id string) []Action {
	e := d.endpoints[id]
	if e == nil || !e.missed {
		return nil
	}
	ejected := !e.ejected.IsZero()
	e.failed, e.ejections, e.ejected, e.suspect, e.missed = 0, 0, time.Time{}, false, false
	if !ejected {
		return nil
	}
	return []Action{{Kind: ActionReturn, Endpoint: id, Reason: "answers again"}}
}
