package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/heatherrock/heatherrock/internal/routing/monitor"
	"github.com/heatherrock/heatherrock/internal/routing/placer"
	"github.com/heatherrock/heatherrock/internal/routing/reserver"
	"github.com/heatherrock/heatherrock/internal/routing/waiter"
	"github.com/heatherrock/heatherrock/internal/serving/connector"
)

// The bounds of a stream.
const (
	// refusedTime is how long an endpoint that refused its part of a path is kept out of use.
	refusedTime = 500 * time.Millisecond
	// brokenTime is how long an endpoint whose connection broke is kept out of use.
	brokenTime = 2 * time.Second
	// comeBackFull is when a caller is told to come back at the earliest if the endpoints have no memory left.
	comeBackFull = 1500 * time.Millisecond
	// budgetTime is the time between two looks at the budget: about the 120 ms between the accounts that tell what others have sent.
	budgetTime = 125 * time.Millisecond
	// answerMargin is the part of the usual answer that is added to a caller's own estimate, which is often too low.
	answerMargin = 0.25
)

// streaming is what is known of a stream over all attempts.
type streaming struct {
	*call
	engine *placer.Engine
	alloc  *Allocator
	avoid  map[string]bool
	// firsts holds the endpoints that the request was sent to; each path begins at one.
	firsts map[string]bool
	// unsent counts the endpoints that were not reached, and failures those that ran the request without a whole answer.
	unsent, failures int
	// begun is set once the head of the answer has gone to the caller.
	begun bool
	// reading is set while the prompt is being read on a path.
	reading bool
	// last is the id of the last event delivered, and passed is when that was.
	last   string
	passed time.Time
}

// stream serves a request that is answered by a stream of events.
func (k *call) stream(e *placer.Engine) {
	s := &streaming{call: k, engine: e, alloc: k.f.Allocator(k.service), avoid: map[string]bool{},
		firsts: map[string]bool{}, last: k.q.LastEvent}
	path, refusal := s.acquire()
	for {
		if refusal != reserver.Granted {
			load, waiting := s.alloc.Load(s.f.clock())
			s.note("no path:", string(refusal), "with", strconv.FormatFloat(load, 'f', 2, 64), "of the memory reserved,",
				strconv.Itoa(waiting), "waiting")
			s.giveUp(string(refusal))
			return
		}
		v, next := s.attempt(path)
		s.read(path)
		s.alloc.Release(k.f.clock(), path)
		if v == answered {
			return
		}
		if next != nil {
			path = *next
			continue
		}
		if gone(k.ctx) || !s.again(v) {
			reason := "no whole answer"
			if !s.ran {
				reason = "no endpoint took the request"
			}
			s.giveUp(reason)
			return
		}
		path, refusal = s.acquire()
	}
}

// acquire waits for a path.
func (s *streaming) acquire() (reserver.Path, reserver.Refusal) {
	now := s.f.clock()
	path, refusal := s.alloc.Acquire(s.ctx, now, s.item())
	s.waited += s.f.clock().Sub(now)
	return path, refusal
}

// again reports whether the stream may be sent once more, and counts it against the budget if it is so. One that has begun is
// broken off only if several endpoints have failed with it or its time is over: for memory and for the budget it waits.
func (s *streaming) again(v verdict) bool {
	if v == unsent {
		s.unsent++
	}
	switch {
	case s.failures >= dials || s.left(s.f.clock()) <= 0:
		return false
	case s.begun:
		return v == unsent || s.route.Repeatable() && s.await()
	case s.attempts+s.unsent >= dials:
		return false
	case v == unsent:
		return true
	}
	return (v == notRun || s.route.Repeatable()) && s.mayRepeat()
}

// await waits until the budget allows to send the request again, and counts it. It reports false once the caller no longer waits.
func (k *call) await() bool {
	if k.f.repeat(k.f.clock(), k.service) {
		return true
	}
	k.note("waits for the budget for sending again")
	ticker := time.NewTicker(budgetTime)
	defer ticker.Stop()
	for {
		select {
		case <-k.ctx.Done():
			return false
		case <-ticker.C:
		}
		if k.f.repeat(k.f.clock(), k.service) {
			return true
		}
	}
}

// read takes in that the prompt on a path has been read, or that the path is given up.
func (s *streaming) read(path reserver.Path) {
	if s.reading {
		s.reading = false
		s.alloc.Read(path)
	}
}

// item returns the request as it waits for memory.
func (s *streaming) item() waiter.Item {
	usual := float64(s.engine.UsualAnswerTokens)
	answer := usual
	if s.q.Hint > 0 {
		answer = float64(s.q.Hint) + answerMargin*usual
	}
	if s.q.Most > 0 {
		answer = min(answer, float64(s.q.Most))
	}
	prompt := s.q.Prompt
	if prompt == 0 {
		prompt = s.engine.UsualPromptTokens
	}
	// What has been written is read by the endpoints that go on with the answer.
	written := s.events * s.engine.TokensPerEvent
	prompt += written
	answer = max(answer-float64(written), answerMargin*usual)
	late := s.q.LastEvent != ""
	return waiter.Item{
		ID:               s.q.ID,
		Request:          reserver.PathRequest{PromptTokens: prompt, AnswerTokens: int(answer), Avoid: s.avoid, FirstEndpoints: s.within(s.firsts), IgnoreFirstEventTime: late},
		Team:             s.team.Name,
		Priority:         s.priority(),
		FirstEventTarget: s.route.FirstByteTarget,
		Resumed:          s.begun,
		Late:             late,
		Deadline:         s.until,
		ReceivedAt:       s.began,
	}
}

// within returns the endpoints that the next path may begin at, of those that the request was sent to; nil allows each.
func (s *streaming) within(firsts map[string]bool) map[string]bool {
	if len(firsts) < s.route.MaxAttempts {
		return nil
	}
	return maps.Clone(firsts)
}

// giveUp ends a stream that is not whole: one that has begun is broken off, so that it does not look complete.
func (s *streaming) giveUp(reason string) {
	switch {
	case s.r.Context().Err() != nil:
		s.outcome = "caller left"
	case s.begun:
		s.outcome = "broken off: " + reason
		s.note("broken off after event", s.last)
		panic(http.ErrAbortHandler) // net/http closes the connection without an end of the body.
	case s.ran && gone(s.ctx):
		s.answer(refusal{Status: http.StatusGatewayTimeout, Reason: "no answer in time"})
	case s.ran:
		s.answer(refusal{Status: http.StatusBadGateway, Reason: reason})
	default:
		s.refuse(reason, comeBackFull)
	}
}

// attempt sends the request along a path and passes the events on. It returns the path to go on with if the stream was handed
// over to one.
func (s *streaming) attempt(path reserver.Path) (verdict, *reserver.Path) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	s.reading = true
	first := path.Stages[0].Endpoint
	h := &handover{}
	s.firsts[first.ID] = true
	ask, failures := s.item().Request, s.failures
	ask.Avoid = maps.Clone(ask.Avoid)
	s.alloc.Open(s.f.clock(), s.q.ID, path, func(v monitor.Verdict) { s.move(h, v, ask, failures, cancel) })
	s.note("path", describe(path), "expecting", path.TimeToFirstToken.Round(time.Millisecond).String(), "then",
		path.TimePerToken.Round(100*time.Microsecond).String())
	m := s.message(Delivery{
		Endpoint: first.ID, Left: s.left(s.f.clock()), LastEvent: s.last, Path: path.Stages, Priority: s.priority(),
	})
	a, err := s.f.pool.Send(ctx, first.Address, m)
	v := unsent
	switch {
	case err == nil:
		v, err = s.receive(a, path)
	case errors.Is(err, connector.ErrNotSent):
		delete(s.firsts, first.ID)
		s.blame(first.ID, brokenTime)
		s.note("not reached:", err.Error())
	default:
		s.attempts++
		v = lost
	}
	if v == failed || v == lost {
		s.failures++
	}
	s.alloc.Done(s.q.ID)
	silent, next := h.end()
	if v == answered && next != nil {
		s.alloc.Read(*next)
		s.alloc.Release(s.f.clock(), *next)
		return answered, nil
	}
	if v == lost {
		s.broke(path, err, silent)
	}
	return v, next
}

// receive takes in the head of an answer and passes the events on. The error says why a whole answer did not come.
func (s *streaming) receive(a *connector.Response, path reserver.Path) (verdict, error) {
	s.attempts++
	reading := s.f.protocol.Read(a.Status, a.Header)
	if reading.NotRun {
		_, err := io.Copy(io.Discard, a.Body)
		a.Finish(err == nil)
		at := reading.At
		if at == "" {
			at = path.Stages[0].Endpoint.Address
		}
		// It is out of use for a while and not out of this request for good: it may have memory later.
		id := s.alloc.Suspect(s.f.clock(), at, refusedTime)
		s.note("endpoint", id, "did not run it:", http.StatusText(a.Status))
		return notRun, nil
	}
	s.ran = true
	if a.Status != http.StatusOK || !strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		return s.pass(a, path)
	}
	v, err := s.copyEvents(a, path)
	a.Finish(err == nil)
	return v, err
}

// pass gives an answer that is no stream to the caller, unless it is a failure and another attempt is left.
func (s *streaming) pass(a *connector.Response, path reserver.Path) (verdict, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxReply))
	a.Finish(err == nil && len(body) < maxReply)
	if err != nil || len(body) >= maxReply {
		return lost, errors.Join(errTorn, err)
	}
	s.note("endpoint", path.Stages[0].Endpoint.ID, "answered", http.StatusText(a.Status))
	if s.begun || a.Status >= 500 && len(s.firsts) < s.route.MaxAttempts && s.route.Repeatable() {
		s.avoid[path.Stages[0].Endpoint.ID] = true
		return failed, nil
	}
	s.copyHeader(a.Status, a.Header)
	if _, err := s.w.Write(body); err != nil {
		s.outcome = "caller left"
	}
	return answered, nil
}

// broke takes in that an attempt ended without a whole answer.
func (s *streaming) broke(path reserver.Path, err error, v *monitor.Verdict) {
	s.ran = true
	switch {
	case v != nil:
		verb := "suspects"
		if v.ProcessLost {
			verb = "lost"
			// An endpoint whose process has ended does not count against the bound of attempts.
			s.firsts = without(s.firsts, v.Suspects)
		}
		s.note("silent for", v.Silent.String(), verb, strings.Join(v.Suspects, ","))
		for _, id := range v.Suspects {
			s.avoid[id] = true
		}
		if len(v.Suspects) == 0 {
			s.avoid[path.Stages[0].Endpoint.ID] = true
		}
	case gone(s.ctx):
		s.note("given up:", s.ctx.Err().Error())
	default:
		s.note("broke:", err.Error())
		s.blame(path.Stages[0].Endpoint.ID, refusedTime)
	}
}

// blame keeps an endpoint out of use for a time, and out of this request for good.
func (s *streaming) blame(id string, d time.Duration) {
	s.alloc.Suspect(s.f.clock(), id, d)
	s.avoid[id] = true
}

// copyEvents passes the events of an answer on until its end. Each leaves at once; those that came in together leave
// together.
func (s *streaming) copyEvents(a *connector.Response, path reserver.Path) (verdict, error) {
	events := newReader(a.Body)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			if !s.begun {
				s.begin(a)
			}
			return answered, nil
		}
		if err != nil {
			return lost, err
		}
		now := s.f.clock()
		s.alloc.Progress(now, s.q.ID)
		s.read(path)
		if e.id != "" && s.last != "" && !after(e.id, s.last) {
			continue
		}
		if !s.begun {
			s.begin(a)
			s.first = now.Sub(s.began)
		} else if s.events > 0 {
			s.pause = max(s.pause, now.Sub(s.passed))
		}
		s.passed = now
		if _, err := s.w.Write(e.bytes); err != nil {
			return lost, err
		}
		s.events++
		if e.id != "" {
			s.last = e.id
		}
		if events.buffered() {
			continue
		}
		if err := http.NewResponseController(s.w).Flush(); err != nil {
			return lost, err
		}
	}
}

// begin gives the head of the answer to the caller.
func (s *streaming) begin(a *connector.Response) {
	s.begun = true
	s.copyHeader(a.Status, a.Header)
}

// describe returns a path for the log.
func describe(p reserver.Path) string {
	var b strings.Builder
	for i, part := range p.Stages {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d-%d", part.Endpoint.ID, part.Range.From, part.Range.To)
	}
	return b.String()
}
