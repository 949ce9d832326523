package detector

import "time"

// RecordLoadReadFailure records that an endpoint does not answer the instance that reads its load. The endpoint is
// ejected at once, within the bound on ejections of its group: a false alarm leaves each range of layers at least half
// of its endpoints, and a range that only an ejected endpoint holds is still run there.
func (d *Detector) RecordLoadReadFailure(now time.Time, id string) []Action {
	e := d.endpoints[id]
	if e == nil || d.isEjected(now, e) {
		return nil
	}
	e.consecutiveFailures = max(e.consecutiveFailures, d.failureLimit)
	e.reason = "no answer to reads of its load"
	e.loadReadFailed = true
	return d.ejectEndpoint(now, id, e)
}

// RecordReceived records that an endpoint answered on a connection that the detector does not track, such as that of a
// read of its load: if another connection to it goes silent meanwhile, the endpoint itself is not silent.
func (d *Detector) RecordReceived(now time.Time, id string) {
	if e := d.endpoints[id]; e != nil && now.After(e.lastReceivedAt) {
		e.lastReceivedAt = now
	}
}

// RecordLoadReadSuccess records that an endpoint answers reads of its load again. It ends an ejection that
// RecordLoadReadFailure began.
func (d *Detector) RecordLoadReadSuccess(_ time.Time, id string) []Action {
	e := d.endpoints[id]
	if e == nil || !e.loadReadFailed {
		return nil
	}
	wasEjected := !e.ejectedAt.IsZero()
	e.consecutiveFailures, e.ejectionCount, e.ejectedAt, e.suspect, e.loadReadFailed = 0, 0, time.Time{}, false, false
	if !wasEjected {
		return nil
	}
	return []Action{{Kind: ActionReadmit, Endpoint: id, Reason: "answers again"}}
}
