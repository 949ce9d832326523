package runner

import "sync/atomic"

// phase is whether an instance serves or leaves.
type phase struct {
	left atomic.Bool
}

// leave begins to leave.
func (p *phase) leave() {
	p.left.Store(true)
}

// leaving reports whether the instance leaves.
func (p *phase) leaving() bool {
	return p.left.Load()
}

// String returns the phase's name in the state dump.
func (p *phase) String() string {
	if p.leaving() {
		return "leaving"
	}
	return "serving"
}
