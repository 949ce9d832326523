package forwarder

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/heatherrock/heatherrock/internal/routing/monitor"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/serving/connector"
)

// receive reads the head of a response and forwards the events. The error states why no whole response arrived.
func (s *streamCall) receive(resp *connector.Response, path reserver.Path) (attemptResult, error) {
	s.attempts++
	head := s.forwarder.protocol.Read(resp.Status, resp.Header)
	s.recordStatement(path.Stages[0].Endpoint.ID, head)
	if err := checkHead(resp, head); err != nil {
		resp.Finish(false)
		return lost, err
	}
	if head.NotRun {
		resp.Discard(s.forwarder.clock())
		address := head.FaultAddress
		if address == "" {
			address = path.Stages[0].Endpoint.Address
		}
		// The endpoint is excluded for a while, but not from this request for good: it may have memory later.
		id := s.allocator.BackOff(s.forwarder.clock(), address, refusedCooldown)
		s.addToTrail("endpoint", id, "did not run it:", http.StatusText(resp.Status))
		return notRun, nil
	}
	s.mayHaveRun = true
	if resp.Status != http.StatusOK || !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return s.forwardNonStream(resp, path)
	}
	result, err := s.copyEvents(resp, path)
	resp.Finish(err == nil)
	return result, err
}

// forwardNonStream forwards a response that is no stream, and no longer than an event of one, to the caller, unless it is a
// failure and another attempt is left.
func (s *streamCall) forwardNonStream(resp *connector.Response, path reserver.Path) (attemptResult, error) {
	body, err := s.readReply(resp, path.Stages[0].Endpoint.ID, maxEventBytes)
	if err != nil {
		return lost, errors.Join(errTruncated, err)
	}
	s.addToTrail("endpoint", path.Stages[0].Endpoint.ID, "answered", http.StatusText(resp.Status))
	// A response at the deadline says nothing of the endpoint.
	if resp.Status >= 500 && resp.Status != http.StatusGatewayTimeout {
		s.allocator.RecordFailure(s.forwarder.clock(), path.Stages[0].Endpoint.ID, s.request.ID)
	}
	if s.headSent || resp.Status >= 500 && len(s.firstEndpoints) < s.route.MaxAttempts && s.route.Repeatable() {
		s.avoid[path.Stages[0].Endpoint.ID] = true
		return failed, nil
	}
	if err := s.sendWhole(&reply{resp.Status, resp.Header, body}); err != nil {
		s.outcome = "caller left"
	}
	return answered, nil
}

// copyEvents forwards the events of a response until it ends. Each event is flushed at once; events that were received
// together are flushed together.
func (s *streamCall) copyEvents(resp *connector.Response, path reserver.Path) (attemptResult, error) {
	events := newEventReader(resp.Body)
	hasProgress := false
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			if s.headSent && !hasProgress {
				// Nothing shows that the events delivered before were all of them.
				s.addToTrail("endpoint", path.Stages[0].Endpoint.ID, "has no events to continue with")
				s.avoid[path.Stages[0].Endpoint.ID] = true
				return failed, nil
			}
			if !s.headSent {
				s.sendHead(resp)
			}
			return answered, nil
		}
		if err != nil {
			return lost, err
		}
		now := s.forwarder.clock()
		progress := e.isProgress(s.lastEventID)
		hasProgress = hasProgress || progress
		if progress {
			s.allocator.RecordEvent(now, s.request.ID)
			if s.readingPrompt {
				s.begunAt = now
				s.allocator.RecordFirstEvent(now, path, now.Sub(s.sentAt))
				s.forwarder.screening.recordFirstEvent(now, s.screenNumber)
				s.allocator.RecordSuccess(path.Stages[0].Endpoint.ID)
			}
			s.markPromptRead(path)
		} else if e.id != "" {
			continue
		}
		if !s.headSent {
			s.sendHead(resp)
			s.timeToFirstByte = now.Sub(s.startedAt)
		} else if s.eventCount > 0 && progress {
			s.longestGap = max(s.longestGap, now.Sub(s.lastEventAt))
		}
		if _, err := s.writer.Write(e.bytes); err != nil {
			return lost, err
		}
		if progress {
			s.lastEventAt = now
			s.eventCount++
		}
		if e.id != "" {
			s.lastEventID = e.id
		}
		if events.buffered() {
			continue
		}
		if err := http.NewResponseController(s.writer).Flush(); err != nil {
			return lost, err
		}
	}
}

// sendHead sends the status and headers of a response to the caller.
func (s *streamCall) sendHead(resp *connector.Response) {
	s.headSent = true
	s.copyHeader(resp.Status, resp.Header)
}

// recordLost records that an attempt ended without a whole response.
func (s *streamCall) recordLost(path reserver.Path, err error, verdict *monitor.Verdict) {
	s.mayHaveRun = true
	switch {
	case s.isStopped.Load():
		s.addToTrail("stopped:", reasonSuspect)
	case verdict != nil:
		finding := "suspects"
		if verdict.ProcessLost {
			finding = "lost"
			// An endpoint whose process has ended does not count against the limit of attempts.
			s.firstEndpoints = without(s.firstEndpoints, verdict.Suspects)
		}
		s.addToTrail("silent for", verdict.Silent.String(), finding, strings.Join(verdict.Suspects, ","))
		for _, id := range verdict.Suspects {
			s.avoid[id] = true
		}
		if len(verdict.Suspects) == 0 {
			s.avoid[path.Stages[0].Endpoint.ID] = true
		}
	case isDone(s.ctx):
		s.addToTrail("given up:", s.ctx.Err().Error())
	default:
		s.addToTrail("broke:", err.Error())
		if errors.Is(err, connector.ErrTooLong) || errors.Is(err, errEventTooLong) {
			s.allocator.RecordFailure(s.forwarder.clock(), path.Stages[0].Endpoint.ID, s.request.ID)
		}
		s.allocator.BackOff(s.forwarder.clock(), path.Stages[0].Endpoint.Address, refusedCooldown)
		s.avoid[path.Stages[0].Endpoint.ID] = true
	}
}
