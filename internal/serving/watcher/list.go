package watcher

import (
	"context"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/control/departer"
)

// listEntryBytes is the approximate size of one list entry, in bytes.
const listEntryBytes = 160

// loopList reads the list until done is closed.
func (w *Watcher) loopList() {
	defer w.wait.Done()
	for {
		w.readList()
		timer := time.NewTimer(w.listReadDelay())
		select {
		case <-w.done:
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// listReadDelay returns the time to the next read of the list, which keeps the reads within their rate limit in bytes.
func (w *Watcher) listReadDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listedCount <= w.options.maxDirect || w.options.listBytesPerSecond <= 0 {
		return w.options.listInterval
	}
	return max(w.options.listInterval, time.Duration(w.listedCount*listEntryBytes)*time.Second/time.Duration(w.options.listBytesPerSecond))
}

// readList reads the list once.
func (w *Watcher) readList() {
	ctx, cancel := context.WithTimeout(context.Background(), w.options.timeout)
	defer cancel()
	list, err := w.list.List(ctx)
	if err != nil {
		w.options.logger.Debug("instance list not read", "error", err)
		return
	}
	w.ApplyList(w.options.clock(), list)
}

// ApplyList updates the endpoints from a list that was read at now.
func (w *Watcher) ApplyList(now time.Time, list []lister.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	firstList := w.listedCount == 0
	w.listedCount = len(list)
	present := map[string]bool{}
	for _, i := range list {
		if i.Role == lister.RoleEntry {
			continue
		}
		present[i.ID] = true
		w.handleListed(now, i, firstList)
	}
	for _, id := range w.sortedIDs() {
		if !present[id] {
			w.handleMissing(now, w.endpoints[id])
		}
	}
	w.departer.ExpireMarks(now)
}

// handleListed updates one endpoint from its list entry. It shares a new endpoint with peers, except from the first list.
// The caller holds the lock.
func (w *Watcher) handleListed(now time.Time, i lister.Instance, firstList bool) {
	e := w.ensureEndpoint(now, i)
	e.onlyFromPeer = false
	if e.firstSeenAt.Equal(now) && !firstList {
		w.publishListed(i)
	}
	switch {
	case i.Leaving:
		w.markLeaving(now, e, departer.SourceList, now)
	case w.departer.RecordListed(now, e.key()):
		w.readmit(now, e)
	}
}

// ensureEndpoint returns the endpoint of a listed instance and creates it if needed. A changed address makes it a new
// endpoint, which replaces the old one.
func (w *Watcher) ensureEndpoint(now time.Time, i lister.Instance) *endpoint {
	e, ok := w.endpoints[i.ID]
	if ok && e.instance.Address != i.Address {
		w.removeEndpoint(now, e)
		ok = false
	}
	if !ok {
		e = &endpoint{firstSeenAt: now}
		w.endpoints[i.ID] = e
	}
	e.instance = i
	if i.Role == lister.RoleService && !w.departer.IsLeaving(e.key()) {
		w.services.ObserveService(now, i.ID, i.Address, i.Service)
	}
	return e
}

// handleMissing records that an endpoint is not in the list, and removes it. One that was reported only by a peer is kept
// for the list's maximum lag, since the list may not show it yet.
func (w *Watcher) handleMissing(now time.Time, e *endpoint) {
	w.departer.RecordMissing(now, e.key())
	if e.onlyFromPeer && now.Sub(e.firstSeenAt) <= w.options.maxListLag {
		return
	}
	w.removeEndpoint(now, e)
}

// removeEndpoint removes an endpoint here and from the router or the services. The caller holds the lock.
func (w *Watcher) removeEndpoint(now time.Time, e *endpoint) {
	delete(w.endpoints, e.instance.ID)
	w.stopWatch(e)
	w.withdrawLeaving(e)
	if e.instance.Role == lister.RoleService {
		w.services.RemoveService(now, e.instance.ID)
		return
	}
	w.router.Remove(now, e.instance.ID)
}

// markLeaving marks an endpoint as leaving and shares the mark with peers if it is new. Source is the origin of the
// mark, and at its time. The caller holds the lock.
func (w *Watcher) markLeaving(now time.Time, e *endpoint, source string, at time.Time) {
	isNew := w.departer.MarkLeaving(e.key(), source, at)
	w.forwardLeaving(now, e)
	if isNew {
		w.options.logger.Info("endpoint leaving", "endpoint", e.instance.ID, "source", source)
		w.publishLeaving(e, source, at)
	}
}

// forwardLeaving makes the router or the services send no new work to an endpoint.
func (w *Watcher) forwardLeaving(now time.Time, e *endpoint) {
	if e.instance.Role == lister.RoleService {
		w.services.MarkServiceLeaving(now, e.instance.ID)
		return
	}
	w.router.MarkLeaving(now, e.instance.ID)
}

// readmit makes an endpoint that is no longer leaving eligible for work again, as if it were new.
func (w *Watcher) readmit(now time.Time, e *endpoint) {
	w.options.logger.Info("endpoint live again", "endpoint", e.instance.ID)
	w.withdrawLeaving(e)
	if e.instance.Role == lister.RoleService {
		w.services.RemoveService(now, e.instance.ID)
		w.services.ObserveService(now, e.instance.ID, e.instance.Address, e.instance.Service)
		return
	}
	w.router.Remove(now, e.instance.ID)
}

// sortedIDs returns the endpoints' IDs in order.
func (w *Watcher) sortedIDs() []string {
	out := make([]string, 0, len(w.endpoints))
	for id := range w.endpoints {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
