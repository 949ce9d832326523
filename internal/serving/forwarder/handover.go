package forwarder

import (
	"context"
	"maps"
	"sync"

	"github.com/heatherrock/heatherrock/internal/routing/monitor"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// handover is the change of a silent stream to another path, which is reserved before the silent one is given up.
type handover struct {
	mu sync.Mutex
	// ended is set once the attempt has ended by itself.
	ended   bool
	verdict *monitor.Verdict
	next    *reserver.Path
}

// end takes in that an attempt has ended, and returns the path to go on with, if it was handed over.
func (h *handover) end() (*monitor.Verdict, *reserver.Path) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	return h.verdict, h.next
}

// move reserves another path for a stream that has gone silent, and then cancels its attempt. The stream stays where
// it is for want of an attempt, memory or budget.
func (s *streaming) move(h *handover, v monitor.Verdict, ask reserver.PathRequest, failures int, cancel context.CancelFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || h.verdict != nil {
		return
	}
	if failures+1 >= dials || !s.route.Repeatable() {
		return
	}
	avoid := make(map[string]bool, len(ask.Avoid)+len(v.Suspects))
	for id := range ask.Avoid {
		avoid[id] = true
	}
	for _, id := range v.Suspects {
		avoid[id] = true
	}
	ask.Avoid = avoid
	if v.ProcessLost {
		ask.FirstEndpoints = s.within(without(ask.FirstEndpoints, v.Suspects))
	}
	now := s.f.clock()
	path, refusal := s.alloc.Try(now, ask)
	if refusal != reserver.Granted {
		return
	}
	if !s.f.repeat(now, s.service) {
		s.alloc.Read(path)
		s.alloc.Release(now, path)
		return
	}
	h.verdict, h.next = &v, &path
	cancel()
}

// without returns the endpoints of a set but for some of them.
func without(set map[string]bool, some []string) map[string]bool {
	out := maps.Clone(set)
	for _, id := range some {
		delete(out, id)
	}
	return out
}
