package queuer

import "time"

const (
	// paceWindow is the shortest time over which the rate of pops is measured.
	paceWindow = 500 * time.Millisecond
	// paceGain is the weight of the newest window in the smoothed rate.
	paceGain = 0.5
)

// pace measures the tokens popped a second while items wait.
type pace struct {
	since    time.Time
	tokens   float64
	smoothed float64
}

// start begins a window as the first item comes to wait.
func (p *pace) start(now time.Time) {
	p.since, p.tokens = now, 0
}

// add counts popped tokens. A window in which the queue ran empty says nothing of the rate and is dropped.
func (p *pace) add(now time.Time, tokens int, waiting bool) {
	p.tokens += float64(tokens)
	if !waiting {
		p.start(now)
		return
	}
	passed := now.Sub(p.since)
	if passed < paceWindow {
		return
	}
	rate := p.tokens / passed.Seconds()
	if p.smoothed == 0 {
		p.smoothed = rate
	}
	p.smoothed += paceGain * (rate - p.smoothed)
	p.start(now)
}

// rate returns the tokens popped a second, zero if unknown. It falls while nothing is popped.
func (p *pace) rate(now time.Time) float64 {
	passed := now.Sub(p.since).Seconds()
	if p.smoothed == 0 || passed <= paceWindow.Seconds() {
		return p.smoothed
	}
	return min(p.smoothed, (p.tokens+p.smoothed*paceWindow.Seconds())/passed)
}
