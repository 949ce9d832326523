// Package claimer decides how a non-idempotent call runs at most once: which instance may send it, what the other
// instances answer, and what is proven about it when the table service or the owner fails.
package claimer

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The stable codes of answers that do not come from the service.
const (
	CodeTableBusy          = "table_busy"
	CodeTableUnavailable   = "table_unavailable"
	CodeDeadlinePassed     = "deadline_passed"
	CodeKeyReused          = "key_reused"
	CodeServiceRefused     = "service_refused"
	CodeServiceUnreachable = "service_unreachable"
	CodeSettledByOperator  = "settled_by_operator"
	CodeOutcomeUnknown     = "outcome_unknown"
	CodeStillRunning       = "still_running"
)

// Phase is the state of a claim between two steps.
type Phase string

// The phases of a claim.
const (
	// PhaseReadFirst reads the row before a later attempt claims it.
	PhaseReadFirst Phase = "look"
	// PhaseClaim writes the claim.
	PhaseClaim Phase = "claim"
	// PhaseVerifyClaim reads back a claim whose write has an unknown outcome.
	PhaseVerifyClaim Phase = "doubt"
	// PhaseBlock writes a released row in place of a claim.
	PhaseBlock Phase = "block"
	// PhaseSend sends the work.
	PhaseSend Phase = "send"
	// PhaseQueryOwn queries the service about work that this claim has sent.
	PhaseQueryOwn Phase = "ask"
	// PhaseAwaitOther polls the row for the result of another claim.
	PhaseAwaitOther Phase = "watch"
	// PhaseQueryOther queries the service about work that another claim may have sent.
	PhaseQueryOther Phase = "query"
	// PhaseWriteResult writes the result.
	PhaseWriteResult Phase = "record"
	// PhaseVerifyResult reads back a result whose write has an unknown outcome.
	PhaseVerifyResult Phase = "verify"
	// PhaseDone means that the claim has ended.
	PhaseDone Phase = "done"
)

// Claim is the state machine of one attempt on one instance. It sends the work only after its own conditional write is
// known to have taken effect, and never after it has answered the caller.
type Claim struct {
	Call   Call
	ID     string
	Owner  string
	Limits Limits
	Phase  Phase
	// Expected is the version that the writes of the claim are conditional on.
	Expected int64
	// Seen is the row of the other claim that this one queries the service about.
	Seen Row
	// Doubt is true while a write of the claim may still take effect.
	Doubt bool
	// Answered reports whether the caller has been answered.
	Answered bool
	// Result is the record to be written once the outcome is known.
	Result *Record
}

// NewClaim returns the claim of one attempt. The ID must be unique over all instances and time.
func NewClaim(c Call, id, owner string, l Limits) *Claim {
	return &Claim{Call: c, ID: id, Owner: owner, Limits: l}
}

// RefusalAnswer returns the answer to an attempt that is rejected before anything was read or written. A first attempt
// is then known not to have run; the outcome of a later one could be read only from the row.
func RefusalAnswer(attempt int, code string) Answer {
	verdict := classifier.VerdictNotRun
	if attempt > 1 {
		verdict = classifier.VerdictUnknown
	}
	return Answer{Verdict: verdict, Code: code, Retryable: true}
}

// Begin returns the first step: a first attempt claims at once, a later one reads the row first.
func (c *Claim) Begin(now time.Time) Action {
	if c.Call.Attempt > 1 {
		c.Phase = PhaseReadFirst
		return Action{Step: StepRead}
	}
	return c.writeClaim(now, 0)
}

// HandleCommit returns the next step after the outcome of a mutation.
func (c *Claim) HandleCommit(now time.Time, r Commit) Action {
	if r.Outcome == classifier.Unknown {
		return c.verifyWrite()
	}
	if r.Outcome != classifier.Completed {
		return c.handleUnwritten(now, r.Code)
	}
	if !r.Applied {
		return c.HandleRead(now, r.Found, true)
	}
	c.Doubt = false
	switch c.Phase {
	case PhaseClaim:
		return c.sendWork(now, r.Version)
	case PhaseBlock:
		return c.finish(Answer{Verdict: classifier.VerdictNotRun, Code: CodeDeadlinePassed, Retryable: true})
	default:
		return c.end()
	}
}

// HandleRead returns the next step after a read of the row. The flag rowRead is false if the table could not be reached.
func (c *Claim) HandleRead(now time.Time, r Row, rowRead bool) Action {
	if !rowRead {
		return c.handleUnreadable(now)
	}
	if c.Result != nil {
		return c.rewriteResult(now, r)
	}
	if r.Version == 0 {
		return c.handleAbsentRow(now)
	}
	if r.Record.Claim == c.ID {
		return c.handleOwnRow(now, r)
	}
	return c.handleOtherRow(now, r)
}

// HandleSend returns the next step after the send. The reply is nil unless the outcome is Completed.
func (c *Claim) HandleSend(now time.Time, o classifier.Outcome, r *Reply) Action {
	switch {
	case o == classifier.Completed:
		return c.writeResult(now, StateCompleted, r, "")
	case o == classifier.NotSent:
		return c.writeResult(now, StateReleased, nil, CodeServiceUnreachable)
	case o == classifier.Refused:
		return c.writeResult(now, StateReleased, nil, CodeServiceRefused)
	case c.Call.Lookup:
		c.Phase = PhaseQueryOwn
		return Action{Step: StepQuery}
	default:
		return c.writeResult(now, StateUnknown, nil, CodeOutcomeUnknown)
	}
}

// HandleQuery returns the next step after a query to the service about the key: r is the reply if the work ran, or nil.
// That the service does not know the key proves nothing, since the work may still be in flight.
func (c *Claim) HandleQuery(now time.Time, r *Reply) Action {
	if r != nil {
		return c.writeResult(now, StateCompleted, r, "")
	}
	if c.Phase == PhaseQueryOther {
		return c.finish(Answer{Verdict: classifier.VerdictUnknown, Code: CodeOutcomeUnknown, Retryable: true})
	}
	if now.Before(c.Limits.Answer) {
		return c.pause(now)
	}
	return c.writeResult(now, StateUnknown, nil, CodeOutcomeUnknown)
}

// Resume returns the next step after a pause.
func (c *Claim) Resume(now time.Time) Action {
	if c.Phase == PhaseQueryOwn {
		return Action{Step: StepQuery}
	}
	if c.Doubt && !c.Answered && !now.Before(c.Limits.Answer) {
		return c.answerEarly()
	}
	return Action{Step: StepRead}
}

// writeClaim returns the write of the claim on condition of a version of the row.
func (c *Claim) writeClaim(now time.Time, version int64) Action {
	c.Phase = PhaseClaim
	c.Expected = version
	return Action{Step: StepCommit, Mutation: c.mutation(c.record(now, StateDispatching, nil, ""))}
}

// writeBlock returns the write of a released row in place of a claim, so that no delayed write of this or a lower
// attempt can apply.
func (c *Claim) writeBlock(now time.Time, version int64) Action {
	c.Phase = PhaseBlock
	c.Expected = version
	return Action{Step: StepCommit, Mutation: c.mutation(c.record(now, StateReleased, nil, CodeDeadlinePassed))}
}

// sendWork sends the work under the claim in a version of the row, or releases the claim if it is too late to send.
func (c *Claim) sendWork(now time.Time, version int64) Action {
	c.Expected = version
	if c.Answered || now.After(c.Limits.Send) {
		return c.writeResult(now, StateReleased, nil, CodeDeadlinePassed)
	}
	c.Phase = PhaseSend
	return Action{Step: StepSend}
}

// handleAbsentRow returns the next step if there is no row.
func (c *Claim) handleAbsentRow(now time.Time) Action {
	switch c.Phase {
	case PhaseAwaitOther, PhaseQueryOther:
		return c.finish(Answer{Verdict: classifier.VerdictUnknown, Code: CodeOutcomeUnknown})
	}
	return c.claimOrBlock(now, 0)
}

// claimOrBlock claims the row if there is time to send, and blocks it otherwise.
func (c *Claim) claimOrBlock(now time.Time, version int64) Action {
	if c.Answered || now.After(c.Limits.Send) {
		return c.writeBlock(now, version)
	}
	return c.writeClaim(now, version)
}

// handleOwnRow returns the next step if this claim wrote the row.
func (c *Claim) handleOwnRow(now time.Time, r Row) Action {
	c.Doubt = false
	if r.Record.State == StateDispatching {
		return c.sendWork(now, r.Version)
	}
	// An operator has settled the call in the meantime, or the claim was blocked.
	return c.finish(answerOf(r.Record))
}

// handleOtherRow returns the next step if another claim wrote the row.
func (c *Claim) handleOtherRow(now time.Time, r Row) Action {
	if r.Version != c.Expected {
		c.Doubt = false
	}
	if r.Record.Print != c.Call.Print {
		return c.finish(Answer{Verdict: classifier.VerdictNotRun, Code: CodeKeyReused})
	}
	switch r.Record.State {
	case StateCompleted:
		return c.finish(Answer{Verdict: classifier.VerdictCompleted, Reply: r.Record.Reply})
	case StateReleased:
		if c.Call.Attempt > r.Record.Attempt {
			return c.claimOrBlock(now, r.Version)
		}
		return c.finish(Answer{Verdict: classifier.VerdictNotRun, Code: r.Record.Code, Retryable: true})
	case StateUnknown:
		return c.queryService(r, CodeOutcomeUnknown)
	default:
		return c.awaitOther(now, r)
	}
}

// awaitOther waits for the result of another claim.
func (c *Claim) awaitOther(now time.Time, r Row) Action {
	c.Phase = PhaseAwaitOther
	if now.Before(c.Limits.Answer) {
		return c.pause(now)
	}
	return c.queryService(r, CodeStillRunning)
}

// queryService queries the service about another claim whose owner has not written the result, if the service can be
// queried. Otherwise it answers with the code.
func (c *Claim) queryService(r Row, code string) Action {
	if c.Answered || !c.Call.Lookup {
		return c.finish(Answer{Verdict: classifier.VerdictUnknown, Code: code, Retryable: true})
	}
	c.Phase = PhaseQueryOther
	c.Seen = r
	return Action{Step: StepQuery}
}

// verifyWrite reads back a write whose outcome is unknown.
func (c *Claim) verifyWrite() Action {
	c.Doubt = true
	switch c.Phase {
	case PhaseWriteResult:
		c.Phase = PhaseVerifyResult
	case PhaseClaim:
		c.Phase = PhaseVerifyClaim
	}
	return Action{Step: StepRead}
}

// handleUnwritten returns the next step after a write that is known not to have taken effect.
func (c *Claim) handleUnwritten(now time.Time, code string) Action {
	if code == "" {
		code = CodeTableUnavailable
	}
	if c.Phase == PhaseClaim && !c.Doubt {
		return c.finish(RefusalAnswer(c.Call.Attempt, code))
	}
	return c.handleUnreadable(now)
}

// handleUnreadable returns the next step while the table cannot be reached.
func (c *Claim) handleUnreadable(now time.Time) Action {
	if c.Phase == PhaseReadFirst {
		return c.finish(RefusalAnswer(c.Call.Attempt, CodeTableUnavailable))
	}
	if now.After(c.Limits.Settle) {
		return c.finish(RefusalAnswer(c.Call.Attempt, CodeTableUnavailable))
	}
	if !c.Answered && !now.Before(c.Limits.Answer) {
		return c.answerEarly()
	}
	return c.pause(now)
}

// answerEarly answers while the outcome of a write is unknown. Work is never sent under a claim that is not known to be
// held, so a first attempt has not run; a later one would need the row as proof. The claim then continues, to leave a
// row that records its outcome.
func (c *Claim) answerEarly() Action {
	answer := RefusalAnswer(c.Call.Attempt, CodeTableUnavailable)
	if c.Phase == PhaseAwaitOther || c.Phase == PhaseQueryOther {
		return c.finish(Answer{Verdict: classifier.VerdictUnknown, Code: CodeStillRunning, Retryable: true})
	}
	c.Answered = true
	return Action{Step: StepRead, Answer: &answer}
}

// writeResult answers with the outcome and writes it over the row of the claim whose outcome it is.
func (c *Claim) writeResult(now time.Time, s State, r *Reply, code string) Action {
	record := c.record(now, s, r, code)
	if c.Phase == PhaseQueryOther {
		record = c.Seen.Record
		record.State, record.Reply, record.Code = s, r, code
		c.Expected = c.Seen.Version
	}
	c.Result = &record
	c.Phase = PhaseWriteResult
	action := c.answerOnce(answerOf(record))
	action.Step = StepCommit
	action.Mutation = c.mutation(record)
	return action
}

// rewriteResult writes the result over the row again, unless the row already holds as much or an operator has settled
// it.
func (c *Claim) rewriteResult(now time.Time, r Row) Action {
	if r.Version == 0 || r.Record.Claim != c.Result.Claim || now.After(c.Limits.Settle) {
		return c.end()
	}
	completes := c.Result.State == StateCompleted && r.Record.State != StateCompleted
	if r.Record.State != StateDispatching && !completes {
		return c.end()
	}
	c.Phase = PhaseWriteResult
	c.Expected = r.Version
	return Action{Step: StepCommit, Mutation: c.mutation(*c.Result)}
}

// pause waits before the next read or query.
func (c *Claim) pause(now time.Time) Action {
	return Action{Step: StepPause, Until: now.Add(c.Limits.Poll)}
}

// finish ends the claim, and answers if the caller has not been answered yet.
func (c *Claim) finish(a Answer) Action {
	action := c.answerOnce(a)
	c.Phase = PhaseDone
	return action
}

func (c *Claim) end() Action {
	c.Phase = PhaseDone
	return Action{Step: StepDone}
}

// answerOnce returns an action with the answer, or without one if the caller has been answered before.
func (c *Claim) answerOnce(a Answer) Action {
	if c.Answered {
		return Action{Step: StepDone}
	}
	c.Answered = true
	return Action{Step: StepDone, Answer: &a}
}

// mutation returns the conditional write of a record.
func (c *Claim) mutation(r Record) Mutation {
	return Mutation{Key: c.Call.RowKey(), Version: c.Expected, Record: r}
}

// record returns the value of the row for a state.
func (c *Claim) record(now time.Time, s State, r *Reply, code string) Record {
	return Record{
		State:           s,
		Claim:           c.ID,
		Owner:           c.Owner,
		Attempt:         c.Call.Attempt,
		Print:           c.Call.Print,
		Service:         c.Call.Service,
		Path:            c.Call.Path,
		Code:            code,
		WrittenAtMillis: now.UnixMilli(),
		Reply:           r,
	}
}

// answerOf returns the answer to the caller for a settled record.
func answerOf(r Record) Answer {
	switch r.State {
	case StateCompleted:
		return Answer{Verdict: classifier.VerdictCompleted, Reply: r.Reply}
	case StateReleased:
		return Answer{Verdict: classifier.VerdictNotRun, Code: r.Code, Retryable: true}
	default:
		return Answer{Verdict: classifier.VerdictUnknown, Code: r.Code, Retryable: true}
	}
}
