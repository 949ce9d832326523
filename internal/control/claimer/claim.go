// Package claimer decides how a non-idempotent call runs at most once: who may send it, what the others answer, and
// what is proven of it when the table service or the owner fails.
package claimer

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The stable codes of answers that are not a service's own.
const (
	CodeBusy    = "table_busy"
	CodeTable   = "table_unavailable"
	CodeLate    = "deadline_passed"
	CodeReused  = "key_reused"
	CodeRefused = "service_refused"
	CodeUnsent  = "service_unreachable"
	CodeSettled = "settled_by_operator"
	CodeUnknown = "outcome_unknown"
	CodeRunning = "still_running"
)

// Phase is where a claim stands.
type Phase string

// The phases of a claim.
const (
	PhaseLook   Phase = "look"
	PhaseClaim  Phase = "claim"
	PhaseDoubt  Phase = "doubt"
	PhaseBlock  Phase = "block"
	PhaseSend   Phase = "send"
	PhaseAsk    Phase = "ask"
	PhaseWatch  Phase = "watch"
	PhaseQuery  Phase = "query"
	PhaseRecord Phase = "record"
	PhaseVerify Phase = "verify"
	PhaseDone   Phase = "done"
)

// Claim is the decision of one attempt on one instance. It sends only after its own conditional write is known to
// have taken effect, and never after it has answered.
type Claim struct {
	Call   Call
	ID     string
	Owner  string
	Limits Limits
	Phase  Phase
	// Expected is the version that the claim's writes are conditional on.
	Expected int64
	// Seen is the row of another claim that this one waits for.
	Seen Row
	// Doubt is set while a write of the claim may still take effect.
	Doubt bool
	// Answered is set once the caller has its answer.
	Answered bool
	// Result is the record to be written once the outcome is known.
	Result *Record
}

// NewClaim returns the decision for one attempt. The ID must be unique over all instances and time.
func NewClaim(c Call, id, owner string, l Limits) *Claim {
	return &Claim{Call: c, ID: id, Owner: owner, Limits: l}
}

// Refuse returns the answer to an attempt that is turned away before anything was read or written. The first attempt
// is then known not to have run; of a later one only the row could tell.
func Refuse(attempt int, code string) Answer {
	verdict := classifier.VerdictNotRun
	if attempt > 1 {
		verdict = classifier.VerdictUnknown
	}
	return Answer{Verdict: verdict, Code: code, Retry: true}
}

// Begin returns the first step: a first attempt claims at once, a later one reads the row first.
func (c *Claim) Begin(now time.Time) Action {
	if c.Call.Attempt > 1 {
		c.Phase = PhaseLook
		return Action{Step: StepRead}
	}
	return c.claim(now, 0)
}

// Committed takes the outcome of the mutation asked for.
func (c *Claim) Committed(now time.Time, r Commit) Action {
	if r.Outcome == classifier.Unknown {
		return c.doubt()
	}
	if r.Outcome != classifier.Completed {
		return c.unwritten(now, r.Code)
	}
	if !r.Applied {
		return c.Read(now, r.Found, true)
	}
	c.Doubt = false
	switch c.Phase {
	case PhaseClaim:
		return c.send(now, r.Version)
	case PhaseBlock:
		return c.finish(Answer{Verdict: classifier.VerdictNotRun, Code: CodeLate, Retry: true})
	default:
		return c.done()
	}
}

// Read takes the row as it was found. Known is not set if the table could not be reached.
func (c *Claim) Read(now time.Time, r Row, known bool) Action {
	if !known {
		return c.unreadable(now)
	}
	if c.Result != nil {
		return c.rewrite(now, r)
	}
	if r.Version == 0 {
		return c.absent(now)
	}
	if r.Record.Claim == c.ID {
		return c.own(now, r)
	}
	return c.other(now, r)
}

// Sent takes the outcome of the send. The reply is nil unless the outcome is Completed.
func (c *Claim) Sent(now time.Time, o classifier.Outcome, r *Reply) Action {
	switch {
	case o == classifier.Completed:
		return c.settle(now, StateCompleted, r, "")
	case o == classifier.NotSent:
		return c.settle(now, StateReleased, nil, CodeUnsent)
	case o == classifier.Refused:
		return c.settle(now, StateReleased, nil, CodeRefused)
	case c.Call.Lookup:
		c.Phase = PhaseAsk
		return Action{Step: StepAsk}
	default:
		return c.settle(now, StateUnknown, nil, CodeUnknown)
	}
}

// Asked takes the service's answer about the key: the reply if the work ran, or nil. That the service does not know
// the key proves nothing, since the work may still be on its way.
func (c *Claim) Asked(now time.Time, r *Reply) Action {
	if r != nil {
		return c.settle(now, StateCompleted, r, "")
	}
	if c.Phase == PhaseQuery {
		return c.finish(Answer{Verdict: classifier.VerdictUnknown, Code: CodeUnknown, Retry: true})
	}
	if now.Before(c.Limits.Answer) {
		return c.pause(now)
	}
	return c.settle(now, StateUnknown, nil, CodeUnknown)
}

// Resume goes on after a pause.
func (c *Claim) Resume(now time.Time) Action {
	if c.Phase == PhaseAsk {
		return Action{Step: StepAsk}
	}
	if c.Doubt && !c.Answered && !now.Before(c.Limits.Answer) {
		return c.giveUp()
	}
	return Action{Step: StepRead}
}

// claim writes the claim on condition of the row's version.
func (c *Claim) claim(now time.Time, version int64) Action {
	c.Phase = PhaseClaim
	c.Expected = version
	return Action{Step: StepCommit, Mutation: c.mutation(c.record(now, StateDispatching, nil, ""))}
}

// block writes a released row in place of a claim, so that no delayed write of this or a lower attempt can apply.
func (c *Claim) block(now time.Time, version int64) Action {
	c.Phase = PhaseBlock
	c.Expected = version
	return Action{Step: StepCommit, Mutation: c.mutation(c.record(now, StateReleased, nil, CodeLate))}
}

// send sends the work under the claim in a row's version, or releases the claim if it is too late for that.
func (c *Claim) send(now time.Time, version int64) Action {
	c.Expected = version
	if c.Answered || now.After(c.Limits.Send) {
		return c.settle(now, StateReleased, nil, CodeLate)
	}
	c.Phase = PhaseSend
	return Action{Step: StepSend}
}

// absent goes on from a row that does not exist.
func (c *Claim) absent(now time.Time) Action {
	switch c.Phase {
	case PhaseWatch, PhaseQuery:
		return c.finish(Answer{Verdict: classifier.VerdictUnknown, Code: CodeUnknown})
	}
	return c.take(now, 0)
}

// take claims the row if there is time to send, and blocks it otherwise.
func (c *Claim) take(now time.Time, version int64) Action {
	if c.Answered || now.After(c.Limits.Send) {
		return c.block(now, version)
	}
	return c.claim(now, version)
}

// own goes on from a row that this claim wrote.
func (c *Claim) own(now time.Time, r Row) Action {
	c.Doubt = false
	if r.Record.State == StateDispatching {
		return c.send(now, r.Version)
	}
	// An operator has settled the call meanwhile, or the claim was blocked.
	return c.finish(answerOf(r.Record))
}

// other goes on from a row that another claim wrote.
func (c *Claim) other(now time.Time, r Row) Action {
	if r.Version != c.Expected {
		c.Doubt = false
	}
	if r.Record.Print != c.Call.Print {
		return c.finish(Answer{Verdict: classifier.VerdictNotRun, Code: CodeReused})
	}
	switch r.Record.State {
	case StateCompleted:
		return c.finish(Answer{Verdict: classifier.VerdictCompleted, Reply: r.Record.Reply})
	case StateReleased:
		if c.Call.Attempt > r.Record.Attempt {
			return c.take(now, r.Version)
		}
		return c.finish(Answer{Verdict: classifier.VerdictNotRun, Code: r.Record.Code, Retry: true})
	case StateUnknown:
		return c.query(r, CodeUnknown)
	default:
		return c.watch(now, r)
	}
}

// watch waits for the result of another claim.
func (c *Claim) watch(now time.Time, r Row) Action {
	c.Phase = PhaseWatch
	if now.Before(c.Limits.Answer) {
		return c.pause(now)
	}
	return c.query(r, CodeRunning)
}

// query asks the service about a claim whose owner does not tell, if the service can be asked.
func (c *Claim) query(r Row, code string) Action {
	if c.Answered || !c.Call.Lookup {
		return c.finish(Answer{Verdict: classifier.VerdictUnknown, Code: code, Retry: true})
	}
	c.Phase = PhaseQuery
	c.Seen = r
	return Action{Step: StepAsk}
}

// doubt reads back a write whose answer was lost.
func (c *Claim) doubt() Action {
	c.Doubt = true
	switch c.Phase {
	case PhaseRecord:
		c.Phase = PhaseVerify
	case PhaseClaim:
		c.Phase = PhaseDoubt
	}
	return Action{Step: StepRead}
}

// unwritten goes on from a write that is known not to have taken effect.
func (c *Claim) unwritten(now time.Time, code string) Action {
	if code == "" {
		code = CodeTable
	}
	if c.Phase == PhaseClaim && !c.Doubt {
		return c.finish(Refuse(c.Call.Attempt, code))
	}
	return c.unreadable(now)
}

// unreadable goes on while the table cannot be reached.
func (c *Claim) unreadable(now time.Time) Action {
	if c.Phase == PhaseLook {
		return c.finish(Refuse(c.Call.Attempt, CodeTable))
	}
	if now.After(c.Limits.Settle) {
		return c.finish(Refuse(c.Call.Attempt, CodeTable))
	}
	if !c.Answered && !now.Before(c.Limits.Answer) {
		return c.giveUp()
	}
	return c.pause(now)
}

// giveUp answers while the fate of a write is open. A claim that is not known to be held is never sent, so a first
// attempt has not run; a later one would need the row as proof. The claim then goes on, to leave a row that tells.
func (c *Claim) giveUp() Action {
	answer := Refuse(c.Call.Attempt, CodeTable)
	if c.Phase == PhaseWatch || c.Phase == PhaseQuery {
		return c.finish(Answer{Verdict: classifier.VerdictUnknown, Code: CodeRunning, Retry: true})
	}
	c.Answered = true
	return Action{Step: StepRead, Answer: &answer}
}

// settle answers with the outcome and writes it down, over the row of the claim that it settles.
func (c *Claim) settle(now time.Time, s State, r *Reply, code string) Action {
	record := c.record(now, s, r, code)
	if c.Phase == PhaseQuery {
		record = c.Seen.Record
		record.State, record.Reply, record.Code = s, r, code
		c.Expected = c.Seen.Version
	}
	c.Result = &record
	c.Phase = PhaseRecord
	action := c.tell(answerOf(record))
	action.Step = StepCommit
	action.Mutation = c.mutation(record)
	return action
}

// rewrite writes the result over the row, unless the row tells as much or an operator has settled it.
func (c *Claim) rewrite(now time.Time, r Row) Action {
	if r.Version == 0 || r.Record.Claim != c.Result.Claim || now.After(c.Limits.Settle) {
		return c.done()
	}
	known := c.Result.State == StateCompleted && r.Record.State != StateCompleted
	if r.Record.State != StateDispatching && !known {
		return c.done()
	}
	c.Phase = PhaseRecord
	c.Expected = r.Version
	return Action{Step: StepCommit, Mutation: c.mutation(*c.Result)}
}

// pause waits before the next read.
func (c *Claim) pause(now time.Time) Action {
	return Action{Step: StepPause, Until: now.Add(c.Limits.Poll)}
}

// finish answers, if that is still to be done, and ends the claim.
func (c *Claim) finish(a Answer) Action {
	action := c.tell(a)
	c.Phase = PhaseDone
	return action
}

// done ends the claim.
func (c *Claim) done() Action {
	c.Phase = PhaseDone
	return Action{Step: StepDone}
}

// tell returns an action with the answer, unless one was given before.
func (c *Claim) tell(a Answer) Action {
	if c.Answered {
		return Action{Step: StepDone}
	}
	c.Answered = true
	return Action{Step: StepDone, Answer: &a}
}

// mutation returns the conditional write of a record.
func (c *Claim) mutation(r Record) Mutation {
	return Mutation{Key: c.Call.Row(), Version: c.Expected, Record: r}
}

// record returns the row's value for a state.
func (c *Claim) record(now time.Time, s State, r *Reply, code string) Record {
	return Record{
		State:   s,
		Claim:   c.ID,
		Owner:   c.Owner,
		Attempt: c.Call.Attempt,
		Print:   c.Call.Print,
		Service: c.Call.Service,
		Path:    c.Call.Path,
		Code:    code,
		Stamp:   now.UnixMilli(),
		Reply:   r,
	}
}

// answerOf returns what a caller is told of a settled record.
func answerOf(r Record) Answer {
	switch r.State {
	case StateCompleted:
		return Answer{Verdict: classifier.VerdictCompleted, Reply: r.Reply}
	case StateReleased:
		return Answer{Verdict: classifier.VerdictNotRun, Code: r.Code, Retry: true}
	default:
		return Answer{Verdict: classifier.VerdictUnknown, Code: r.Code, Retry: true}
	}
}
