package queuer

import "time"

const (
	// rateWindow is the shortest time over which the rate of pops is measured.
	rateWindow = 500 * time.Millisecond
	// rateGain is the weight of the newest window in the smoothed rate.
	rateGain = 0.5
)

// popRate measures the tokens popped per second while items wait.
type popRate struct {
	windowStart time.Time
	tokens      float64
	smoothed    float64
}

// startWindow begins a window.
func (p *popRate) startWindow(now time.Time) {
	p.windowStart, p.tokens = now, 0
}

// add counts popped tokens. waiting reports whether items still wait: a window in which the queue ran empty says nothing
// about the rate and is dropped.
func (p *popRate) add(now time.Time, tokens int, waiting bool) {
	p.tokens += float64(tokens)
	if !waiting {
		p.startWindow(now)
		return
	}
	elapsed := now.Sub(p.windowStart)
	if elapsed < rateWindow {
		return
	}
	rate := p.tokens / elapsed.Seconds()
	if p.smoothed == 0 {
		p.smoothed = rate
	}
	p.smoothed += rateGain * (rate - p.smoothed)
	p.startWindow(now)
}

// rate returns the tokens popped per second, zero if unknown. It falls while nothing is popped.
func (p *popRate) rate(now time.Time) float64 {
	elapsed := now.Sub(p.windowStart).Seconds()
	if p.smoothed == 0 || elapsed <= rateWindow.Seconds() {
		return p.smoothed
	}
	return min(p.smoothed, (p.tokens+p.smoothed*rateWindow.Seconds())/elapsed)
}
