package monitor

import "time"

// Tell takes in that another instance had no answer of an endpoint, and reports whether it counts as dead for that. An instance
// that is starved or cut off has no answer of any: what this one knows itself goes first.
func (m *Monitor) Tell(now time.Time, id string) bool {
	if now.Sub(m.heard[id]) < quickSilence {
		m.refuted[id] = now.Add(answerTime)
		return false
	}
	if now.Before(m.refuted[id]) || now.Before(m.cleared[id]) {
		return false
	}
	if until := now.Add(answerTime); until.After(m.condemned[id]) {
		m.condemned[id] = until
	}
	m.told[id] = true
	return true
}

// Refute takes in that another instance has an event of an endpoint that counts as dead, and reports whether that was for what
// others told.
func (m *Monitor) Refute(now time.Time, id string) bool {
	if !m.told[id] {
		return false
	}
	m.acquit(now, id)
	return true
}

// Alive returns the endpoints that others took for dead and that have passed an event to this instance of late.
func (m *Monitor) Alive(now time.Time) []string {
	var out []string
	for e, until := range m.refuted {
		if now.Before(until) {
			out = append(out, e)
		} else {
			delete(m.refuted, e)
		}
	}
	return out
}

// acquit forgets what others told of an endpoint. What this instance found itself stays.
func (m *Monitor) acquit(now time.Time, id string) {
	delete(m.told, id)
	if !now.Before(m.asked[id]) {
		delete(m.condemned, id)
	}
}
