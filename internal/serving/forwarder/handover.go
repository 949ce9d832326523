package forwarder

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/monitor"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
)

// handover moves a silent stream to another path. The new path is reserved before the silent one is released.
type handover struct {
	mu sync.Mutex
	// ended is true once the attempt has ended.
	ended bool
	// cause is the verdict on the silent stream that led to the handover, and nextPath the path reserved for it.
	cause    *monitor.Verdict
	nextPath *reserver.Path
}

// finish marks the attempt as ended. If the stream was handed over, it returns the verdict and the path to continue on.
func (h *handover) finish() (*monitor.Verdict, *reserver.Path) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	return h.cause, h.nextPath
}

// abandon stops monitoring the stream and releases the path reserved for it, unless finish was called: after a panic.
func (s *streamCall) abandon(h *handover) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	h.ended = true
	s.allocator.UnwatchStream(s.request.ID)
	if h.nextPath != nil {
		s.dropPath(*h.nextPath)
	}
}

// handOver reserves another path for a stream that has gone silent, and then cancels its attempt. The stream stays on
// its path if no attempt, memory or retry budget is left.
func (s *streamCall) handOver(h *handover, verdict monitor.Verdict, pathRequest reserver.PathRequest, failures int,
	cancel context.CancelFunc,
) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || h.cause != nil {
		return
	}
	if failures+1 >= maxEndpointTries || !s.route.Repeatable() {
		return
	}
	avoid := make(map[string]bool, len(pathRequest.Avoid)+len(verdict.Suspects))
	for id := range pathRequest.Avoid {
		avoid[id] = true
	}
	for _, id := range verdict.Suspects {
		avoid[id] = true
	}
	pathRequest.Avoid = avoid
	now := s.forwarder.clock()
	path, refusal := s.acquireNext(now, verdict, pathRequest)
	if refusal != reserver.Granted {
		return
	}
	if !s.forwarder.allowRetry(now, s.service) {
		s.allocator.MarkPromptRead(path)
		s.allocator.Release(now, path)
		return
	}
	h.cause, h.nextPath = &verdict, &path
	cancel()
}

// acquireNext reserves the path on which a silent stream continues. An endpoint whose process has ended does not count against the
// limit of attempts, but one that the stream was sent to before goes first: the process may only be ending.
func (s *streamCall) acquireNext(now time.Time, verdict monitor.Verdict, pathRequest reserver.PathRequest) (reserver.Path, reserver.Refusal) {
	if verdict.ProcessLost {
		left := without(pathRequest.FirstEndpoints, verdict.Suspects)
		if pathRequest.FirstEndpoints = left; len(left) > 0 {
			if path, refusal := s.allocator.TryAcquire(now, pathRequest); refusal == reserver.Granted {
				return path, refusal
			}
		}
		pathRequest.FirstEndpoints = s.allowedFirst(left)
	}
	return s.allocator.TryAcquire(now, pathRequest)
}

// without returns a copy of a set without some of its members.
func without(set map[string]bool, members []string) map[string]bool {
	out := maps.Clone(set)
	for _, id := range members {
		delete(out, id)
	}
	return out
}
