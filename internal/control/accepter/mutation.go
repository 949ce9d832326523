// Package accepter is the state machine of a change of the configuration: it decides what to read, what to commit and,
// if the answer to a commit is lost, how to find out whether the change took effect.
package accepter

import (
	"fmt"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/control/validator"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// Actions of a mutation. ActionResolve determines the outcome of an earlier mutation with the same ID.
const (
	ActionSubmit  = "submit"
	ActionAccept  = "accept"
	ActionRetire  = "retire"
	ActionResolve = "resolve"
)

// Limits of a mutation.
const (
	// MaxRecords is the largest number of records or changes in one mutation.
	MaxRecords = 200
	// MaxBytes is the largest total size of the bodies in one mutation, in bytes.
	MaxBytes = 1 << 20
	// MaxTries limits how often a mutation is tried while the head's epoch increases but the mutation's own records stay
	// unchanged, and how often the audit row is read to resolve a lost answer.
	MaxTries = 12
)

// Change changes the active revision of one record, in an accept or a retire.
type Change struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// ExpectedRevision is the active revision that the operator saw and expects to replace, or 0 for none.
	ExpectedRevision int64 `json:"seen"`
	// Revision is the revision that becomes active, or 0 for none. In the result of a submit it is the revision
	// submitted.
	Revision int64 `json:"revision"`
}

// Ref returns the reference to the record that is changed.
func (c Change) Ref() recorder.Ref {
	return recorder.Ref{Kind: c.Kind, Name: c.Name}
}

// String returns the change as KIND/NAME@EXPECTED..REVISION.
func (c Change) String() string {
	return fmt.Sprintf("%s@%d..%d", c.Ref(), c.ExpectedRevision, c.Revision)
}

// Instance is a live instance. ReadableSchemas is the highest schema version that it can read of each kind of record, or
// nil if the instance has not reported it.
type Instance struct {
	ID              string         `json:"id"`
	ReadableSchemas map[string]int `json:"reads,omitempty"`
}

// Command is an operator's request for a mutation.
type Command struct {
	// ID is unique among all mutations ever made.
	ID       string `json:"id"`
	Action   string `json:"action"`
	Operator string `json:"operator"`
	Note     string `json:"note,omitempty"`
	// Records holds the records of a submit.
	Records []recorder.Record `json:"records,omitempty"`
	// Changes holds the changes of an accept or a retire.
	Changes []Change `json:"changes,omitempty"`
	// DryRun reports whether the mutation is only planned and nothing is written.
	DryRun bool `json:"dry,omitempty"`
}

// Conflict describes a change that was rejected because another mutation changed the record first.
type Conflict struct {
	Record string `json:"record"`
	// ExpectedRevision is the active revision that the operator expected; ActiveRevision is the actual one.
	ExpectedRevision int64 `json:"seen"`
	ActiveRevision   int64 `json:"force"`
	// Winner is the operator who made the other change, Mutation its ID, and Epoch the epoch it created.
	Winner   string `json:"winner"`
	Mutation string `json:"mutation"`
	Epoch    int64  `json:"epoch"`
}

// String returns the conflict as one line of text.
func (c Conflict) String() string {
	return fmt.Sprintf("%s: revision %d is in force, not %d: changed by %s at epoch %d", c.Record, c.ActiveRevision, c.ExpectedRevision,
		c.Winner, c.Epoch)
}

// Result is the outcome of a mutation. Completed means that it took effect. Refused and NotSent mean that it did not
// and never will. Unknown means that it may have taken effect, or may still; the ID can be resolved later.
type Result struct {
	ID      string             `json:"id"`
	Outcome classifier.Outcome `json:"-"`
	// OutcomeName is the text of Outcome.
	OutcomeName string `json:"outcome"`
	// Epoch is the epoch that the mutation created or, in a dry run, would create. It is 0 for a submit.
	Epoch     int64             `json:"epoch,omitempty"`
	Changes   []Change          `json:"changes,omitempty"`
	Faults    []validator.Fault `json:"faults,omitempty"`
	Notes     []validator.Fault `json:"notes,omitempty"`
	Conflicts []Conflict        `json:"conflicts,omitempty"`
	Diffs     []recorder.Diff   `json:"diffs,omitempty"`
	Reason    string            `json:"reason,omitempty"`
	// Blocked is true if no mutation with this ID can take effect any more. The change can be made under another ID.
	Blocked bool `json:"blocked,omitempty"`
	// Delta is the change of the configuration if this mutation created an epoch, else nil.
	Delta *recorder.Delta `json:"-"`
}

// Step is what the caller must do next. Exactly one of Keys, Txn and Result is set.
type Step struct {
	// Keys are the rows to read, together with the deltas after AfterEpoch.
	Keys       []string
	AfterEpoch int64
	// Txn is the transaction to commit.
	Txn *tabler.Txn
	// Result is the outcome of the mutation, which has ended.
	Result *Result
}

// ReadResult is the result of a step with Keys. Rows holds the rows that exist, by key.
type ReadResult struct {
	Rows   map[string]tabler.Row
	Deltas []recorder.Delta
	Err    error
}

// Mutation executes one command. Each exported method handles an event and returns the next step.
type Mutation struct {
	Command Command `json:"command"`
	// Base is the latest snapshot that the instance has. Reads advance it to the store's head.
	Base recorder.Snapshot `json:"-"`
	// Instances are the live instances, which must be able to read the records that are accepted.
	Instances []Instance `json:"instances,omitempty"`
	// Tries is the number of commits and repeated reads so far or, once an answer was lost, of resolving reads.
	Tries int `json:"tries"`
	// OutcomeUnknown is true from a lost answer, or from the start of an ActionResolve, until the outcome is resolved.
	OutcomeUnknown bool `json:"doubt"`

	// planned is the last plan that was returned for commit.
	planned plan
	// blockingDisabled makes resolving skip the blocking row. Only tests set it.
	blockingDisabled bool
}

// NewMutation returns the Mutation of a command on an instance whose latest snapshot is base.
func NewMutation(c Command, base recorder.Snapshot, instances []Instance) *Mutation {
	return &Mutation{Command: c, Base: base, Instances: instances}
}

// Begin returns the first step.
func (m *Mutation) Begin(now time.Time) Step {
	if m.Command.Action == ActionResolve {
		m.OutcomeUnknown = true
		return m.readAudit()
	}
	if faults := m.Command.check(); len(faults) > 0 {
		return m.end(Result{Outcome: classifier.Refused, Faults: faults})
	}
	return m.readState()
}

// readState returns the step that reads the rows that the command depends on.
func (m *Mutation) readState() Step {
	keys := []string{AuditKey(m.Command.ID), HeadKey}
	for _, r := range m.Command.Records {
		keys = append(keys, EntryKey(r.Ref()))
	}
	for _, c := range m.Command.Changes {
		keys = append(keys, EntryKey(c.Ref()))
		if m.Command.Action == ActionAccept {
			keys = append(keys, BodyKey(c.Ref(), c.Revision))
		}
	}
	return Step{Keys: keys, AfterEpoch: m.Base.Epoch}
}

// readAudit returns the step that reads the mutation's audit row.
func (m *Mutation) readAudit() Step {
	return Step{Keys: []string{AuditKey(m.Command.ID)}, AfterEpoch: m.Base.Epoch}
}

// HandleRead handles the result of a read.
func (m *Mutation) HandleRead(now time.Time, r ReadResult) Step {
	if m.OutcomeUnknown {
		return m.resolveOutcome(now, r)
	}
	if r.Err != nil {
		return m.end(Result{Outcome: classifier.NotSent, Reason: "the store cannot be read: " + r.Err.Error()})
	}
	if row, found := r.Rows[AuditKey(m.Command.ID)]; found {
		return m.endWithAudit(row)
	}
	if step, ok := m.catchUp(r); !ok {
		return step
	}
	p, result := m.plan(now, r)
	if result != nil {
		return m.end(*result)
	}
	m.planned = p
	m.Tries++
	return Step{Txn: &p.txn}
}

// catchUp advances the base to the head that was read. If it cannot, it returns the next step, which reads again or ends
// the mutation, and false.
func (m *Mutation) catchUp(r ReadResult) (Step, bool) {
	head, err := Decode[Head](r.Rows[HeadKey])
	if err != nil {
		return m.end(Result{Outcome: classifier.NotSent, Reason: err.Error()}), false
	}
	for _, d := range r.Deltas {
		if d.Epoch <= m.Base.Epoch || d.Epoch > head.Epoch {
			continue
		}
		next, err := m.Base.Advance(d)
		if err != nil {
			return m.end(Result{Outcome: classifier.NotSent, Reason: err.Error()}), false
		}
		m.Base = next
	}
	if m.Base.Epoch == head.Epoch {
		return Step{}, true
	}
	m.Tries++
	if m.Tries < MaxTries {
		return m.readState(), false
	}
	reason := fmt.Sprintf("this instance is at epoch %d and the store at %d; try again", m.Base.Epoch, head.Epoch)
	return m.end(Result{Outcome: classifier.NotSent, Reason: reason}), false
}

// HandleCommit handles the answer to a commit. The error is the reason for an outcome other than Completed.
func (m *Mutation) HandleCommit(now time.Time, r tabler.Result, err error) Step {
	if m.OutcomeUnknown {
		return m.handleBlockCommit(r)
	}
	switch {
	case r.Outcome == classifier.Completed && r.Applied:
		return m.end(m.planned.result)
	case r.Outcome == classifier.Completed && m.Tries < MaxTries:
		return m.readState()
	case r.Outcome == classifier.Completed:
		return m.end(Result{Outcome: classifier.Refused, Reason: "other changes went first each time; try again"})
	case r.Outcome.NotRun():
		return m.end(Result{Outcome: r.Outcome, Reason: "the store took nothing: " + errorText(err)})
	default:
		m.OutcomeUnknown = true
		m.Tries = 0
		return m.readAudit()
	}
}

// errorText returns the text of an error that may be nil.
func errorText(err error) string {
	if err == nil {
		return "no reason given"
	}
	return err.Error()
}

// end returns the last step, with the mutation's result.
func (m *Mutation) end(r Result) Step {
	r.ID = m.Command.ID
	r.OutcomeName = r.Outcome.String()
	return Step{Result: &r}
}
