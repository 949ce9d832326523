package watcher

import "time"

// missedReads is the number of reads in a row that fail before an endpoint counts as not answering.
const missedReads = 3

// miss takes in that the load could not be read. Once enough reads in a row have failed, the router is told, and the load
// shared with peers is taken back: each peer then reads the endpoint itself, so that none acts on the word of another.
func (v *watch) miss(now time.Time) {
	w := v.watcher
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.endpoint.watch != v {
		return
	}
	v.missed++
	if v.missed < missedReads {
		return
	}
	if !v.endpoint.missed {
		v.endpoint.missed = true
		w.options.logger.Warn("endpoint does not answer", "endpoint", v.endpoint.instance.ID)
	}
	if v.missed == missedReads {
		w.unshare(v.endpoint)
	}
	w.router.Missed(now, v.endpoint.instance.ID)
}

// doubted reports whether the last reads have failed, but not yet enough of them. The lock is held.
func (v *watch) doubted() bool {
	return v.missed > 0 && v.missed < missedReads
}

// answered takes in that an endpoint's load was read, here or by the peer that tells of it. The lock is held.
func (w *Watcher) answered(now time.Time, e *endpoint) {
	if !e.missed {
		return
	}
	e.missed = false
	w.options.logger.Info("endpoint answers again", "endpoint", e.instance.ID)
	w.router.Answered(now, e.instance.ID)
}
