package watcher

import (
	"context"
	"slices"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/control/departer"
)

// entryBytes is the size of one entry of the list, in bytes, nearly.
const entryBytes = 160

// loopList reads the list until done is closed.
func (w *Watcher) loopList() {
	defer w.wait.Done()
	for {
		w.read()
		timer := time.NewTimer(w.pause())
		select {
		case <-w.done:
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// pause returns the time to the next read of the list, so that the reads keep within their allowance.
func (w *Watcher) pause() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listed <= w.options.direct || w.options.listAllowance <= 0 {
		return w.options.every
	}
	return max(w.options.every, time.Duration(w.listed*entryBytes)*time.Second/time.Duration(w.options.listAllowance))
}

// read reads the list once.
func (w *Watcher) read() {
	ctx, cancel := context.WithTimeout(context.Background(), w.options.timeout)
	defer cancel()
	list, err := w.list.List(ctx)
	if err != nil {
		w.options.logger.Debug("instance list not read", "error", err)
		return
	}
	w.Take(w.options.clock(), list)
}

// Take takes a list in.
func (w *Watcher) Take(now time.Time, list []lister.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.listed == 0
	w.listed = len(list)
	seen := map[string]bool{}
	for _, i := range list {
		if i.Role == lister.RoleEntry {
			continue
		}
		seen[i.ID] = true
		w.show(now, i, first)
	}
	for _, id := range w.ids() {
		if !seen[id] {
			w.miss(now, w.endpoints[id])
		}
	}
	w.departer.ExpireMarks(now)
}

// show takes one listed endpoint in. The lock is held.
func (w *Watcher) show(now time.Time, i lister.Instance, first bool) {
	e := w.add(now, i)
	e.heard = false
	if e.found.Equal(now) && !first {
		w.publishListed(i)
	}
	switch {
	case i.Leaving:
		w.leave(now, e, departer.SourceList, now)
	case w.departer.RecordListed(now, e.key()):
		w.revive(now, e)
	}
}

// add returns the endpoint of a listed instance. At another address the endpoint is another one.
func (w *Watcher) add(now time.Time, i lister.Instance) *endpoint {
	e, ok := w.endpoints[i.ID]
	if ok && e.instance.Address != i.Address {
		w.remove(now, e)
		ok = false
	}
	if !ok {
		e = &endpoint{found: now}
		w.endpoints[i.ID] = e
	}
	e.instance = i
	if i.Role == lister.RoleService && !w.departer.IsLeaving(e.key()) {
		w.services.ObserveService(now, i.ID, i.Address, i.Service)
	}
	return e
}

// miss takes in that the list does not show an endpoint. One known by a peer alone is kept for as long as the list may
// be behind.
func (w *Watcher) miss(now time.Time, e *endpoint) {
	w.departer.RecordMissing(now, e.key())
	if e.heard && now.Sub(e.found) <= w.options.lag {
		return
	}
	w.remove(now, e)
}

// remove forgets an endpoint. The lock is held.
func (w *Watcher) remove(now time.Time, e *endpoint) {
	delete(w.endpoints, e.instance.ID)
	w.stop(e)
	w.withdraw(e)
	if e.instance.Role == lister.RoleService {
		w.services.RemoveService(now, e.instance.ID)
		return
	}
	w.router.Remove(now, e.instance.ID)
}

// leave takes in a sign that an endpoint is leaving, and shares it if it is news. The lock is held.
func (w *Watcher) leave(now time.Time, e *endpoint, source string, stamp time.Time) {
	news := w.departer.MarkLeaving(e.key(), source, stamp)
	w.retire(now, e)
	if news {
		w.options.logger.Info("endpoint leaving", "endpoint", e.instance.ID, "source", source)
		w.publishLeaving(e, source, stamp)
	}
}

// retire lets an endpoint get no new work.
func (w *Watcher) retire(now time.Time, e *endpoint) {
	if e.instance.Role == lister.RoleService {
		w.services.LeaveService(now, e.instance.ID)
		return
	}
	w.router.Leave(now, e.instance.ID)
}

// revive lets an endpoint get work again that is live after all, as one that is new.
func (w *Watcher) revive(now time.Time, e *endpoint) {
	w.options.logger.Info("endpoint live again", "endpoint", e.instance.ID)
	w.withdraw(e)
	if e.instance.Role == lister.RoleService {
		w.services.RemoveService(now, e.instance.ID)
		w.services.ObserveService(now, e.instance.ID, e.instance.Address, e.instance.Service)
		return
	}
	w.router.Remove(now, e.instance.ID)
}

// ids returns the IDs of the endpoints in order.
func (w *Watcher) ids() []string {
	out := make([]string, 0, len(w.endpoints))
	for id := range w.endpoints {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
