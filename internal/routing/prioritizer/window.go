package prioritizer

import "time"

// The slices of a window of a second.
const (
	windowLength  = time.Second
	windowSlices  = 10
	sliceDuration = windowLength / windowSlices
)

// window counts requests by priority over the last second.
type window struct {
	slices  [windowSlices]Sums
	current int64
}

// advance clears the slices that have left the window at now, and returns the current one.
func (w *window) advance(now time.Time) Sums {
	slice := now.UnixNano() / int64(sliceDuration)
	if slice > w.current {
		for i := max(w.current+1, slice-windowSlices+1); i <= slice; i++ {
			w.slices[i%windowSlices] = Sums{}
		}
		w.current = slice
	}
	return w.slices[w.current%windowSlices]
}

// record adds counts of a priority.
func (w *window) record(now time.Time, priority int, c Counts) {
	w.advance(now).Add(Sums{priority: c}, 1)
}

// sum returns the counts within the window.
func (w *window) sum(now time.Time) Sums {
	w.advance(now)
	out := Sums{}
	for _, slice := range w.slices {
		out.Add(slice, 1)
	}
	return out
}
