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

// maxStoredBytes bounds the body of a reply that is stored to answer retries, in bytes.
const maxStoredBytes = 32 << 10

// claimRun carries out the steps of one claim.
type claimRun struct {
	dispatcher *Dispatcher
	inbound    inbound
	claim      *claimer.Claim
	answer     chan claimer.Answer
	// reply is the service's whole reply. This attempt's caller receives it even if it is too long to be stored.
	reply *claimer.Reply
}

// runClaim runs a call at most once and returns the caller's answer. The claim continues if the caller disconnects.
func (d *Dispatcher) runClaim(ctx context.Context, in inbound, key claimer.Key, attempt int) claimer.Answer {
	fleet := d.view.Fleet()
	d.writer.setBudgetShare(float64(fleet.WritesPerSecond), d.view.Members())
	if code := d.writer.checkKey(key); code != "" {
		return rejectionAnswer(attempt, code)
	}
	if !d.writer.tableAvailable() {
		return claimer.RefusalAnswer(attempt, claimer.CodeTableUnavailable)
	}
	call := claimer.Call{
		Team: in.team, Key: key, Service: in.service, Path: in.message.Path,
		Print: in.callHash, Attempt: attempt, Lookup: in.call.LookupPath != "",
	}
	cr := &claimRun{dispatcher: d, inbound: in, answer: make(chan claimer.Answer, 1)}
	cr.claim = claimer.NewClaim(call, uuid.NewString(), d.owner, d.claimLimits(in))
	d.addClaim(cr.claim)
	go cr.run()
	select {
	case answer := <-cr.answer:
		return answer
	case <-ctx.Done():
		return claimer.Answer{Verdict: classifier.VerdictUnknown, Code: claimer.CodeStillRunning, Retryable: true}
	}
}

// claimLimits returns the deadlines of a claim.
func (d *Dispatcher) claimLimits(in inbound) claimer.Limits {
	answerBy := in.receivedAt.Add(in.deadline())
	return claimer.Limits{
		Send:   in.receivedAt.Add(in.deadline() / 2),
		Answer: answerBy,
		Settle: answerBy.Add(d.settings.settleTimeout),
		Poll:   d.settings.pollInterval,
	}
}

// run carries out the claim's steps until it is done or the dispatcher is closed.
func (cr *claimRun) run() {
	defer cr.dispatcher.removeClaim(cr.claim)
	action := cr.advance(func(now time.Time) claimer.Action { return cr.claim.Begin(now) })
	for {
		if action.Answer != nil {
			cr.deliver(*action.Answer)
		}
		if action.Step == claimer.StepDone {
			return
		}
		if cr.dispatcher.isClosed() {
			cr.abandon()
			return
		}
		action = cr.perform(action)
	}
}

// abandon answers the caller, if it has no answer yet, as if the claim's instance had died.
func (cr *claimRun) abandon() {
	select {
	case cr.answer <- claimer.Answer{Verdict: classifier.VerdictUnknown, Code: claimer.CodeStillRunning, Retryable: true}:
	default:
	}
}

// advance computes the claim's next action under the lock that the state dump takes.
func (cr *claimRun) advance(next func(now time.Time) claimer.Action) claimer.Action {
	cr.dispatcher.mu.Lock()
	defer cr.dispatcher.mu.Unlock()
	return next(cr.dispatcher.settings.now())
}

// perform carries out one action and returns the next.
func (cr *claimRun) perform(a claimer.Action) claimer.Action {
	c := cr.claim
	w := cr.dispatcher.writer
	switch a.Step {
	case claimer.StepCommit:
		result := w.submit(a.Mutation, c.Call, c.Result != nil)
		return cr.advance(func(now time.Time) claimer.Action { return c.HandleCommit(now, result) })
	case claimer.StepRead:
		row, rowRead := w.readClaim(c.Call.RowKey())
		return cr.advance(func(now time.Time) claimer.Action { return c.HandleRead(now, row, rowRead) })
	case claimer.StepSend:
		outcome, reply := cr.send()
		return cr.advance(func(now time.Time) claimer.Action { return c.HandleSend(now, outcome, reply) })
	case claimer.StepQuery:
		reply := cr.queryService()
		return cr.advance(func(now time.Time) claimer.Action { return c.HandleQuery(now, reply) })
	default:
		cr.pause(a.Until)
		return cr.advance(func(now time.Time) claimer.Action { return c.Resume(now) })
	}
}

// pause waits until the given time or until the dispatcher is closed.
func (cr *claimRun) pause(until time.Time) {
	timer := time.NewTimer(until.Sub(cr.dispatcher.settings.now()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-cr.dispatcher.writer.done:
	}
}

// deliver gives the caller its answer, and lists a claim for operators if its outcome is not known.
func (cr *claimRun) deliver(a claimer.Answer) {
	if cr.reply != nil && a.Reply != nil {
		a.Reply = cr.reply
	}
	cr.answer <- a
	undecided := a.Code == claimer.CodeStillRunning || a.Code == claimer.CodeOutcomeUnknown
	if undecided && cr.claim.Result == nil {
		cr.dispatcher.writer.listDoubt(cr.claim.Call.RowKey())
	}
}

// send tries the endpoints in turn until one may have run the call, or until it is too late to send.
func (cr *claimRun) send() (classifier.Outcome, *claimer.Reply) {
	ctx, cancel := context.WithDeadline(context.Background(), cr.claim.Limits.Answer)
	defer cancel()
	message := cr.inbound.message
	message.Header = message.Header.Clone()
	message.Header.Set(HeaderKey, cr.serviceKey())
	lastOutcome := classifier.NotSent
	for _, e := range cr.dispatcher.chooser.Choose(cr.inbound.service) {
		outcome, reply := cr.dispatcher.sendAttempt(ctx, e, message)
		if !outcome.NotRun() {
			return outcome, cr.storeReply(outcome, reply)
		}
		lastOutcome = outcome
		if !cr.dispatcher.settings.now().Before(cr.claim.Limits.Send) {
			break
		}
	}
	return lastOutcome, nil
}

// storeReply keeps a completed reply for the caller and returns the reply to write to the row, without a long body.
func (cr *claimRun) storeReply(o classifier.Outcome, r *claimer.Reply) *claimer.Reply {
	if o != classifier.Completed {
		return nil
	}
	cr.reply = r
	if len(r.Body) <= maxStoredBytes {
		return r
	}
	return &claimer.Reply{Status: r.Status, ContentType: r.ContentType, Truncated: true}
}

// queryService queries the service for the outcome of the key. It returns nil unless the service confirms that the call
// ran.
func (cr *claimRun) queryService() *claimer.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), cr.inbound.deadline()/2)
	defer cancel()
	path := strings.ReplaceAll(cr.inbound.call.LookupPath, "{key}", url.PathEscape(cr.serviceKey()))
	message := Message{Method: http.MethodGet, Path: path, Header: http.Header{}}
	for _, e := range cr.dispatcher.chooser.Choose(cr.inbound.service) {
		outcome, reply := cr.dispatcher.sendAttempt(ctx, e, message)
		if outcome == classifier.Completed && reply.Status == http.StatusOK {
			return cr.storeReply(outcome, reply)
		}
	}
	return nil
}

// serviceKey returns the key sent to the service. It is scoped by team, as two teams may use the same key.
func (cr *claimRun) serviceKey() string {
	return cr.claim.Call.Team + ":" + cr.claim.Call.Key.Text
}

// sendAttempt sends a message to one endpoint and reports the result to the chooser.
func (d *Dispatcher) sendAttempt(ctx context.Context, e Endpoint, m Message) (classifier.Outcome, *claimer.Reply) {
	startedAt := d.settings.now()
	outcome, reply, err := d.sender.Send(ctx, e.Address, m)
	d.chooser.RecordResult(e.ID, reply == nil, d.settings.now().Sub(startedAt))
	if err != nil {
		d.logger.Warn("service call failed", "endpoint", e.ID, "outcome", outcome.String(), "error", err)
	}
	return outcome, reply
}
