package watcher

import "time"

// maxFailedReads is the number of consecutive failed reads after which an endpoint counts as unresponsive.
const maxFailedReads = 3

// handleReadFailure records a failed read of the load. After maxFailedReads in a row it notifies the router and withdraws
// the load shared with peers. Each peer then reads the endpoint itself, so that no instance treats an endpoint as
// unresponsive because of another's report alone.
func (v *watch) handleReadFailure(now time.Time) {
	w := v.watcher
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.endpoint.watch != v {
		return
	}
	v.failedReads++
	if v.failedReads < maxFailedReads {
		return
	}
	if !v.endpoint.isUnresponsive {
		v.endpoint.isUnresponsive = true
		w.options.logger.Warn("endpoint does not answer", "endpoint", v.endpoint.instance.ID)
	}
	if v.failedReads == maxFailedReads {
		w.withdrawLoad(v.endpoint)
	}
	w.router.RecordLoadReadFailure(now, v.endpoint.instance.ID)
}

// isSuspect reports whether the last reads failed, but fewer than maxFailedReads. The caller holds the lock.
func (v *watch) isSuspect() bool {
	return v.failedReads > 0 && v.failedReads < maxFailedReads
}

// clearUnresponsive notifies the router that an unresponsive endpoint's load was read again, here or by the peer that
// reports it. The caller holds the lock.
func (w *Watcher) clearUnresponsive(now time.Time, e *endpoint) {
	if !e.isUnresponsive {
		return
	}
	e.isUnresponsive = false
	w.options.logger.Info("endpoint answers again", "endpoint", e.instance.ID)
	w.router.RecordLoadReadSuccess(now, e.instance.ID)
}
