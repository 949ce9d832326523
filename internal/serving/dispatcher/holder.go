package dispatcher

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// maxStored bounds the body of a reply that is stored for resends, in bytes.
const maxStored = 32 << 10

// holder carries out one claim.
type holder struct {
	dispatcher *Dispatcher
	inbound    inbound
	claim      *claimer.Claim
	answer     chan claimer.Answer
	// reply is the whole reply of the service, which the first caller gets even if it is too long to be stored.
	reply *claimer.Reply
}

// hold runs a call at most once and returns the caller's answer. The claim goes on to its end if the caller leaves.
func (d *Dispatcher) hold(ctx context.Context, v inbound, key claimer.Key, attempt int) claimer.Answer {
	fleet := d.view.Fleet()
	d.writer.share(float64(fleet.WritesPerSecond), d.view.Members())
	if code := d.writer.check(key); code != "" {
		return turnedAway(attempt, code)
	}
	if !d.writer.open() {
		return claimer.RefusalAnswer(attempt, claimer.CodeTableUnavailable)
	}
	call := claimer.Call{
		Team: v.team, Key: key, Service: v.service, Path: v.message.Path,
		Print: v.print, Attempt: attempt, Lookup: v.call.LookupPath != "",
	}
	h := &holder{dispatcher: d, inbound: v, answer: make(chan claimer.Answer, 1)}
	h.claim = claimer.NewClaim(call, uuid.NewString(), d.owner, d.limits(v))
	d.enter(h.claim)
	go h.run()
	select {
	case answer := <-h.answer:
		return answer
	case <-ctx.Done():
		return claimer.Answer{Verdict: classifier.VerdictUnknown, Code: claimer.CodeStillRunning, Retryable: true}
	}
}

// limits returns the times that bound a claim.
func (d *Dispatcher) limits(v inbound) claimer.Limits {
	answer := v.begun.Add(v.deadline())
	return claimer.Limits{
		Send:   v.begun.Add(v.deadline() / 2),
		Answer: answer,
		Settle: answer.Add(d.settings.settle),
		Poll:   d.settings.poll,
	}
}

// run carries out the claim's steps until there is none.
func (h *holder) run() {
	defer h.dispatcher.leave(h.claim)
	action := h.step(func(now time.Time) claimer.Action { return h.claim.Begin(now) })
	for {
		if action.Answer != nil {
			h.deliver(*action.Answer)
		}
		if action.Step == claimer.StepDone {
			return
		}
		if h.dispatcher.closed() {
			h.abandon()
			return
		}
		action = h.perform(action)
	}
}

// abandon ends the claim as if its instance had died.
func (h *holder) abandon() {
	select {
	case h.answer <- claimer.Answer{Verdict: classifier.VerdictUnknown, Code: claimer.CodeStillRunning, Retryable: true}:
	default:
	}
}

// step takes one step of the decision under the lock that the state dump reads with.
func (h *holder) step(f func(now time.Time) claimer.Action) claimer.Action {
	h.dispatcher.mu.Lock()
	defer h.dispatcher.mu.Unlock()
	return f(h.dispatcher.settings.now())
}

// perform carries out one step and returns the next.
func (h *holder) perform(a claimer.Action) claimer.Action {
	c := h.claim
	w := h.dispatcher.writer
	switch a.Step {
	case claimer.StepCommit:
		result := w.submit(a.Mutation, c.Call, c.Result != nil)
		return h.step(func(now time.Time) claimer.Action { return c.HandleCommit(now, result) })
	case claimer.StepRead:
		row, known := w.read(c.Call.RowKey())
		return h.step(func(now time.Time) claimer.Action { return c.HandleRead(now, row, known) })
	case claimer.StepSend:
		outcome, reply := h.send()
		return h.step(func(now time.Time) claimer.Action { return c.HandleSend(now, outcome, reply) })
	case claimer.StepQuery:
		reply := h.ask()
		return h.step(func(now time.Time) claimer.Action { return c.HandleQuery(now, reply) })
	default:
		h.pause(a.Until)
		return h.step(func(now time.Time) claimer.Action { return c.Resume(now) })
	}
}

// pause waits until a time, or until the dispatcher is closed.
func (h *holder) pause(until time.Time) {
	timer := time.NewTimer(until.Sub(h.dispatcher.settings.now()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.dispatcher.writer.done:
	}
}

// deliver gives the caller its answer, and lists a claim whose owner does not tell what became of it.
func (h *holder) deliver(a claimer.Answer) {
	if h.reply != nil && a.Reply != nil {
		a.Reply = h.reply
	}
	h.answer <- a
	open := a.Code == claimer.CodeStillRunning || a.Code == claimer.CodeOutcomeUnknown
	if open && h.claim.Result == nil {
		h.dispatcher.writer.note(h.claim.Call.RowKey())
	}
}

// send sends the work to one endpoint after the other until one may have run it.
func (h *holder) send() (classifier.Outcome, *claimer.Reply) {
	ctx, cancel := context.WithDeadline(context.Background(), h.claim.Limits.Answer)
	defer cancel()
	message := h.inbound.message
	message.Header = message.Header.Clone()
	message.Header.Set(HeaderKey, h.serviceKey())
	last := classifier.NotSent
	for _, e := range h.dispatcher.chooser.Choose(h.inbound.service) {
		outcome, reply := h.dispatcher.try(ctx, e, message)
		if !outcome.NotRun() {
			return outcome, h.keep(outcome, reply)
		}
		last = outcome
		if !h.dispatcher.settings.now().Before(h.claim.Limits.Send) {
			break
		}
	}
	return last, nil
}

// keep remembers a completed reply and returns it as it is stored.
func (h *holder) keep(o classifier.Outcome, r *claimer.Reply) *claimer.Reply {
	if o != classifier.Completed {
		return nil
	}
	h.reply = r
	if len(r.Body) <= maxStored {
		return r
	}
	return &claimer.Reply{Status: r.Status, ContentType: r.ContentType, Truncated: true}
}

// ask asks the service what became of the key. It returns nil unless the service tells that the work ran.
func (h *holder) ask() *claimer.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), h.inbound.deadline()/2)
	defer cancel()
	path := strings.ReplaceAll(h.inbound.call.LookupPath, "{key}", url.PathEscape(h.serviceKey()))
	message := Message{Method: http.MethodGet, Path: path, Header: http.Header{}}
	for _, e := range h.dispatcher.chooser.Choose(h.inbound.service) {
		outcome, reply := h.dispatcher.try(ctx, e, message)
		if outcome == classifier.Completed && reply.Status == http.StatusOK {
			return h.keep(outcome, reply)
		}
	}
	return nil
}

// serviceKey returns the key that the service sees. It is scoped by team, as two teams may use the same key.
func (h *holder) serviceKey() string {
	return h.claim.Call.Team + ":" + h.claim.Call.Key.Text
}

// try sends a message to one endpoint and tells the chooser how it went.
func (d *Dispatcher) try(ctx context.Context, e Endpoint, m Message) (classifier.Outcome, *claimer.Reply) {
	begun := d.settings.now()
	outcome, reply, err := d.sender.Send(ctx, e.Address, m)
	d.chooser.Report(e.ID, reply == nil, d.settings.now().Sub(begun))
	if err != nil {
		d.logger.Warn("service call failed", "endpoint", e.ID, "outcome", outcome.String(), "error", err)
	}
	return outcome, reply
}
