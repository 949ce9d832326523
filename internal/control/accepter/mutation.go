// Package accepter decides how a change of the configuration is read, committed and, when the store's answer is lost,
// resolved to the truth.
package accepter

import (
	"fmt"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/control/validator"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The actions of a mutation. ActionResolve finds out what became of an earlier mutation with the same id.
const (
	ActionSubmit  = "submit"
	ActionAccept  = "accept"
	ActionRetire  = "retire"
	ActionResolve = "resolve"
)

// The bounds of a mutation.
const (
	// MaxRecords is the largest number of records in one mutation.
	MaxRecords = 200
	// MaxBytes is the largest sum of the bodies in one mutation, in bytes.
	MaxBytes = 1 << 20
	// MaxTries bounds the commits of a mutation whose records did not change but whose head moved, and the reads that
	// look for a lost answer.
	MaxTries = 12
)

// Change names one record of an accept or a retire and the revisions that it leads between.
type Change struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Seen is the revision that the operator saw in force, or 0 for none.
	Seen int64 `json:"seen"`
	// Revision is the revision that comes into force, or 0 for none. After a submit it is the revision submitted.
	Revision int64 `json:"revision"`
}

// Ref returns the reference to the change's record.
func (c Change) Ref() recorder.Ref {
	return recorder.Ref{Kind: c.Kind, Name: c.Name}
}

// String returns the change as KIND/NAME@SEEN..REVISION.
func (c Change) String() string {
	return fmt.Sprintf("%s@%d..%d", c.Ref(), c.Seen, c.Revision)
}

// Instance is what is known of a live instance: the schema versions that it reads. Reads is nil if it is not known.
type Instance struct {
	ID    string         `json:"id"`
	Reads map[string]int `json:"reads,omitempty"`
}

// Command is what an operator asks for.
type Command struct {
	// ID is the mutation's own, unique among all mutations ever made.
	ID       string `json:"id"`
	Action   string `json:"action"`
	Operator string `json:"operator"`
	Note     string `json:"note,omitempty"`
	// Records are those of a submit.
	Records []recorder.Record `json:"records,omitempty"`
	// Changes are those of an accept or a retire.
	Changes []Change `json:"changes,omitempty"`
	// Dry is set if nothing is to be written.
	Dry bool `json:"dry,omitempty"`
}

// Conflict tells who changed a record first.
type Conflict struct {
	Record string `json:"record"`
	// Seen is the revision that the operator saw in force and Force the one that is.
	Seen  int64 `json:"seen"`
	Force int64 `json:"force"`
	// Winner is the operator who made the change, by Mutation, at Epoch.
	Winner   string `json:"winner"`
	Mutation string `json:"mutation"`
	Epoch    int64  `json:"epoch"`
}

// String returns the conflict as one line.
func (c Conflict) String() string {
	return fmt.Sprintf("%s: revision %d is in force, not %d: changed by %s at epoch %d", c.Record, c.Force, c.Seen,
		c.Winner, c.Epoch)
}

// Result is what became of a mutation. Completed means that it took effect. Refused and NotSent mean that it did not
// and never will. Unknown means that it may have, or may still; the id can be resolved later.
type Result struct {
	ID      string             `json:"id"`
	Outcome classifier.Outcome `json:"-"`
	// Known is the outcome's name.
	Known string `json:"outcome"`
	// Epoch is the epoch that was raised or, of a dry run, would be. It is 0 for a submit.
	Epoch     int64             `json:"epoch,omitempty"`
	Changes   []Change          `json:"changes,omitempty"`
	Faults    []validator.Fault `json:"faults,omitempty"`
	Notes     []validator.Fault `json:"notes,omitempty"`
	Conflicts []Conflict        `json:"conflicts,omitempty"`
	Diffs     []recorder.Diff   `json:"diffs,omitempty"`
	Reason    string            `json:"reason,omitempty"`
	// Blocked is set if the id can never take effect. The change can be made under another id.
	Blocked bool `json:"blocked,omitempty"`
	// Delta is set if this mutation raised the epoch.
	Delta *recorder.Delta `json:"-"`
}

// Step is what is to be done next. Exactly one of Keys, Txn and Result is set.
type Step struct {
	// Keys are rows to read, with the deltas after the epoch After.
	Keys  []string
	After int64
	// Txn is a transaction to commit.
	Txn *tabler.Txn
	// Result ends the mutation.
	Result *Result
}

// Read is the answer to a step with Keys. Rows holds the rows that exist, by key.
type Read struct {
	Rows   map[string]tabler.Row
	Deltas []recorder.Delta
	Err    error
}

// Mutation carries one command through. Each method takes in an event and returns the next step.
type Mutation struct {
	Command Command `json:"command"`
	// Base is the newest configuration known. Reads bring it up to the head.
	Base recorder.Snapshot `json:"-"`
	// Instances are the live ones, whose readers must know what is accepted.
	Instances []Instance `json:"instances,omitempty"`
	// Tries counts commits and resolving reads.
	Tries int `json:"tries"`
	// Doubt is set from a lost answer until it is resolved.
	Doubt bool `json:"doubt"`

	planned   plan
	unblocked bool
}

// NewMutation returns the mutation of a command by an instance that knows the base.
func NewMutation(c Command, base recorder.Snapshot, instances []Instance) *Mutation {
	return &Mutation{Command: c, Base: base, Instances: instances}
}

// Begin returns the first step.
func (m *Mutation) Begin(now time.Time) Step {
	if m.Command.Action == ActionResolve {
		m.Doubt = true
		return m.look()
	}
	if faults := m.Command.check(); len(faults) > 0 {
		return m.end(Result{Outcome: classifier.Refused, Faults: faults})
	}
	return m.read()
}

// read returns the step that reads what the command rests on.
func (m *Mutation) read() Step {
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
	return Step{Keys: keys, After: m.Base.Epoch}
}

// look returns the step that looks for the mutation's own row.
func (m *Mutation) look() Step {
	return Step{Keys: []string{AuditKey(m.Command.ID)}, After: m.Base.Epoch}
}

// TakeRead takes in what was read.
func (m *Mutation) TakeRead(now time.Time, r Read) Step {
	if m.Doubt {
		return m.resolve(now, r)
	}
	if r.Err != nil {
		return m.end(Result{Outcome: classifier.NotSent, Reason: "the store cannot be read: " + r.Err.Error()})
	}
	if row, found := r.Rows[AuditKey(m.Command.ID)]; found {
		return m.settled(row)
	}
	if step, ok := m.catch(r); !ok {
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

// catch brings the base up to the head that was read. It returns a step and false if that cannot be.
func (m *Mutation) catch(r Read) (Step, bool) {
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
		return m.read(), false
	}
	reason := fmt.Sprintf("this instance is at epoch %d and the store at %d; try again", m.Base.Epoch, head.Epoch)
	return m.end(Result{Outcome: classifier.NotSent, Reason: reason}), false
}

// TakeCommit takes in the answer to a commit. The error explains an outcome other than Completed.
func (m *Mutation) TakeCommit(now time.Time, r tabler.Result, err error) Step {
	if m.Doubt {
		return m.blocked(r)
	}
	switch {
	case r.Outcome == classifier.Completed && r.Applied:
		return m.end(m.planned.result)
	case r.Outcome == classifier.Completed && m.Tries < MaxTries:
		return m.read()
	case r.Outcome == classifier.Completed:
		return m.end(Result{Outcome: classifier.Refused, Reason: "other changes went first each time; try again"})
	case r.Outcome.NotRun():
		return m.end(Result{Outcome: r.Outcome, Reason: "the store took nothing: " + explain(err)})
	default:
		m.Doubt = true
		m.Tries = 0
		return m.look()
	}
}

// explain returns the text of an error that may be absent.
func explain(err error) string {
	if err == nil {
		return "no reason given"
	}
	return err.Error()
}

// end returns the last step.
func (m *Mutation) end(r Result) Step {
	r.ID = m.Command.ID
	r.Known = r.Outcome.String()
	return Step{Result: &r}
}
