package runner

import "sync/atomic"

// phase is the phase of an instance: serving, or leaving.
type phase struct {
	leaving atomic.Bool
}

// markLeaving begins the leaving phase, which does not end.
func (p *phase) markLeaving() {
	p.leaving.Store(true)
}

// isLeaving reports whether the instance is leaving.
func (p *phase) isLeaving() bool {
	return p.leaving.Load()
}

// String returns the phase's name, for the state dump.
func (p *phase) String() string {
	if p.isLeaving() {
		return "leaving"
	}
	return "serving"
}
