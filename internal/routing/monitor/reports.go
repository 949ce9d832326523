package monitor

import "time"

// RecordDeadReport records that another instance had no answer from an endpoint, and reports whether the endpoint counts
// as dead for that. An instance that is starved or cut off has no answer from any endpoint: events and probe results of
// this instance take precedence over its reports.
func (m *Monitor) RecordDeadReport(now time.Time, id string) bool {
	if now.Sub(m.lastPassedAt[id]) < groupSilence {
		m.refutedUntil[id] = now.Add(probeResultTTL)
		return false
	}
	if now.Before(m.refutedUntil[id]) || now.Before(m.aliveUntil[id]) {
		return false
	}
	if until := now.Add(probeResultTTL); until.After(m.deadUntil[id]) {
		m.deadUntil[id] = until
	}
	m.reportedDead[id] = true
	return true
}

// RecordAliveReport records that another instance received an event through an endpoint that counts as dead, and reports
// whether it counted as dead only because of other instances' reports; if so, these are dropped.
func (m *Monitor) RecordAliveReport(now time.Time, id string) bool {
	if !m.reportedDead[id] {
		return false
	}
	m.removeDeadReport(now, id)
	return true
}

// RefutedEndpoints returns the endpoints that other instances reported as dead and that recently passed an event to this
// instance.
func (m *Monitor) RefutedEndpoints(now time.Time) []string {
	var out []string
	for e, until := range m.refutedUntil {
		if now.Before(until) {
			out = append(out, e)
		} else {
			delete(m.refutedUntil, e)
		}
	}
	return out
}

// removeDeadReport drops the reports of other instances that an endpoint is dead. A probe result of this instance stays.
func (m *Monitor) removeDeadReport(now time.Time, id string) {
	delete(m.reportedDead, id)
	if !now.Before(m.probedDeadUntil[id]) {
		delete(m.deadUntil, id)
	}
}
