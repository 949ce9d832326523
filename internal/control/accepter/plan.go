package accepter

import (
	"fmt"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/control/validator"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// plan is a transaction and the mutation's result if the transaction is applied.
type plan struct {
	txn    tabler.Txn
	result Result
}

// check returns the faults of a command that can be found without reading the store.
func (c Command) check() []validator.Fault {
	fault := func(path, format string, args ...any) []validator.Fault {
		return []validator.Fault{{Record: "command", Path: path, Reason: fmt.Sprintf(format, args...)}}
	}
	size := 0
	for _, r := range c.Records {
		size += len(r.Body)
	}
	count := len(c.Records) + len(c.Changes)
	switch {
	case c.ID == "":
		return fault("id", "is missing")
	case c.Action != ActionSubmit && c.Action != ActionAccept && c.Action != ActionRetire:
		return fault("action", "%q is unknown", c.Action)
	case count == 0:
		return fault("records", "are missing")
	case count > MaxRecords:
		return fault("records", "are %d; at most %d are allowed", count, MaxRecords)
	case size > MaxBytes:
		return fault("records", "have %d bytes; at most %d are allowed", size, MaxBytes)
	}
	seen := map[recorder.Ref]bool{}
	for i, change := range c.Changes {
		if seen[change.Ref()] {
			return fault(fmt.Sprintf("changes[%d]", i), "%s is given twice", change.Ref())
		}
		seen[change.Ref()] = true
	}
	return nil
}

// plan returns the transaction to commit for the rows read, or the result that ends the mutation without a transaction.
func (m *Mutation) plan(now time.Time, r ReadResult) (plan, *Result) {
	if m.Command.Action == ActionSubmit {
		return m.planSubmit(now, r)
	}
	return m.planChange(now, r)
}

// planSubmit plans to store each record as the next revision of its name.
func (m *Mutation) planSubmit(now time.Time, r ReadResult) (plan, *Result) {
	if faults := validator.Check(m.Base, m.Command.Records, nil); len(faults) > 0 {
		return plan{}, &Result{Outcome: classifier.Refused, Faults: faults}
	}
	var p plan
	for _, record := range m.Command.Records {
		row := r.Rows[EntryKey(record.Ref())]
		entry, err := Decode[Entry](row)
		if err != nil {
			return plan{}, &Result{Outcome: classifier.NotSent, Reason: err.Error()}
		}
		if row.Version == 0 {
			entry = m.stampEntry(now, Entry{Kind: record.Kind, Name: record.Name}, 0)
		}
		entry.LatestRevision++
		if entry.ActiveRevision == 0 {
			entry.State = recorder.StateSubmitted
		}
		record.Revision = entry.LatestRevision
		record.State = ""
		p.result.Notes = append(p.result.Notes, validator.Notes(record)...)
		p.putEntry(row, entry)
		p.txn.Writes = append(p.txn.Writes, newWrite(BodyKey(record.Ref(), record.Revision), record))
		change := Change{Kind: record.Kind, Name: record.Name, ExpectedRevision: entry.ActiveRevision, Revision: entry.LatestRevision}
		p.result.Changes = append(p.result.Changes, change)
		active, _ := m.Base.Find(record.Ref())
		p.result.Diffs = append(p.result.Diffs, recorder.Compare(active, record)...)
	}
	return m.finishPlan(now, p)
}

// putEntry adds the write of an entry, on condition that its row is unchanged since it was read.
func (p *plan) putEntry(row tabler.Row, entry Entry) {
	key := EntryKey(entry.Ref())
	p.txn.Conditions = append(p.txn.Conditions, ifUnchanged(key, row.Version))
	p.txn.Writes = append(p.txn.Writes, newWrite(key, entry))
}

// stampEntry returns the entry with the operator, ID, time and epoch of this mutation.
func (m *Mutation) stampEntry(now time.Time, e Entry, epoch int64) Entry {
	e.Operator, e.Mutation, e.Stamp, e.Epoch = m.Command.Operator, m.Command.ID, now.UnixMilli(), epoch
	return e
}

// epochDraft is an accept or a retire while it is planned: its plan, its delta, and the reasons to reject it.
type epochDraft struct {
	plan      plan
	delta     recorder.Delta
	rejection Result
}

// isAcceptable reports whether there is no reason to reject the draft.
func (d *epochDraft) isAcceptable() bool {
	return len(d.rejection.Faults)+len(d.rejection.Conflicts) == 0
}

// planChange plans to activate revisions, or to retire records, and to increase the epoch by one.
func (m *Mutation) planChange(now time.Time, r ReadResult) (plan, *Result) {
	epoch := m.Base.Epoch + 1
	d := epochDraft{plan: plan{result: Result{Epoch: epoch, Changes: m.Command.Changes}}}
	d.delta = recorder.Delta{
		Epoch:    epoch,
		Mutation: m.Command.ID,
		Operator: m.Command.Operator,
		Stamp:    now.UnixMilli(),
	}
	for i := range m.Command.Changes {
		if err := m.addChange(now, &d, i, r); err != nil {
			return plan{}, &Result{Outcome: classifier.NotSent, Reason: err.Error()}
		}
	}
	if d.isAcceptable() {
		faults, notes := m.checkReaders(d.delta.Put)
		d.rejection.Faults = append(validator.Check(m.Base, d.delta.Put, d.delta.Drop), faults...)
		d.plan.result.Notes = notes
	}
	if !d.isAcceptable() {
		d.rejection.Outcome = classifier.Refused
		return plan{}, &d.rejection
	}
	d.delta.Sum = m.Base.With(d.delta.Put, d.delta.Drop).Checksum()
	d.plan.result.Delta = &d.delta
	d.plan.txn.Conditions = append(d.plan.txn.Conditions, ifUnchanged(HeadKey, r.Rows[HeadKey].Version))
	d.plan.txn.Writes = append(d.plan.txn.Writes,
		newWrite(HeadKey, Head{Epoch: epoch, Checksum: d.delta.Sum}),
		newWrite(LogKey(epoch), d.delta),
	)
	return m.finishPlan(now, d.plan)
}

// addChange adds the i-th change of the command to a draft, or the reason to reject it. The error is that of decoding a
// row.
func (m *Mutation) addChange(now time.Time, d *epochDraft, i int, r ReadResult) error {
	change := m.Command.Changes[i]
	row := r.Rows[EntryKey(change.Ref())]
	entry, err := Decode[Entry](row)
	if err != nil {
		return err
	}
	if fault, isFaulty := m.checkChange(i, change, row, r); isFaulty {
		d.rejection.Faults = append(d.rejection.Faults, fault)
		return nil
	}
	if entry.ActiveRevision != change.ExpectedRevision {
		d.rejection.Conflicts = append(d.rejection.Conflicts, newConflict(change, entry))
		return nil
	}
	after, err := m.addToDelta(&d.delta, change, r)
	if err != nil {
		return err
	}
	entry = m.stampEntry(now, entry, d.delta.Epoch)
	entry.ActiveRevision, entry.State = change.Revision, recorder.StateAccepted
	if change.Revision == 0 {
		entry.State = recorder.StateRetired
	}
	d.plan.putEntry(row, entry)
	active, _ := m.Base.Find(change.Ref())
	d.plan.result.Diffs = append(d.plan.result.Diffs, recorder.Compare(active, after)...)
	return nil
}

// checkChange returns the fault of a change that does not fit its action or names a record or revision that does not
// exist, and whether there is a fault.
func (m *Mutation) checkChange(i int, change Change, row tabler.Row, r ReadResult) (validator.Fault, bool) {
	fault := validator.Fault{Record: change.Ref().String(), Path: fmt.Sprintf("changes[%d].revision", i)}
	isAccept := m.Command.Action == ActionAccept
	_, found := r.Rows[BodyKey(change.Ref(), change.Revision)]
	switch {
	case row.Version == 0:
		fault.Path, fault.Reason = "name", "no such record was submitted"
	case isAccept && !found:
		fault.Reason = fmt.Sprintf("%d was never submitted", change.Revision)
	case isAccept && change.Revision == change.ExpectedRevision:
		fault.Reason = fmt.Sprintf("%d is the revision in force already", change.Revision)
	case !isAccept && change.Revision != 0:
		fault.Reason = "is given; a record is retired as a whole"
	case !isAccept && change.ExpectedRevision == 0:
		fault.Path, fault.Reason = fmt.Sprintf("changes[%d].seen", i), "is 0; a record not in force cannot be retired"
	default:
		return validator.Fault{}, false
	}
	return fault, true
}

// newConflict returns the conflict of a change with the entry in the store.
func newConflict(change Change, entry Entry) Conflict {
	return Conflict{
		Record:           change.Ref().String(),
		ExpectedRevision: change.ExpectedRevision,
		ActiveRevision:   entry.ActiveRevision,
		Winner:           entry.Operator,
		Mutation:         entry.Mutation,
		Epoch:            entry.Epoch,
	}
}

// addToDelta adds a change to the delta and returns the record that becomes active, or an empty record for a retire.
func (m *Mutation) addToDelta(delta *recorder.Delta, change Change, r ReadResult) (recorder.Record, error) {
	if change.Revision == 0 {
		delta.Drop = append(delta.Drop, change.Ref())
		return recorder.Record{}, nil
	}
	record, err := Decode[recorder.Record](r.Rows[BodyKey(change.Ref(), change.Revision)])
	if err != nil {
		return record, err
	}
	delta.Put = append(delta.Put, record)
	return record, nil
}

// checkReaders returns a fault for each live instance that cannot read a record, and a note for each that has not
// reported the schema versions it can read, if the record's schema is above 1. Such an instance may have stopped; if it
// still runs and cannot read the record, it keeps the last configuration that it can read and is not ready.
func (m *Mutation) checkReaders(put []recorder.Record) (faults, notes []validator.Fault) {
	for _, record := range put {
		for _, instance := range m.Instances {
			reads := instance.ReadableSchemas[record.Kind]
			found := validator.Fault{Record: record.Ref().String(), Path: "schema"}
			switch {
			case instance.ReadableSchemas == nil && record.Schema > 1:
				found.Reason = fmt.Sprintf("is %d; instance %s has not said what it reads", record.Schema, instance.ID)
				notes = append(notes, found)
			case instance.ReadableSchemas != nil && record.Schema > reads:
				found.Reason = fmt.Sprintf("is %d; instance %s reads up to %d", record.Schema, instance.ID, reads)
				faults = append(faults, found)
			}
		}
	}
	return faults, notes
}

// finishPlan adds the audit row to the plan, or returns the result of a dry run.
func (m *Mutation) finishPlan(now time.Time, p plan) (plan, *Result) {
	if m.Command.DryRun {
		p.result.Outcome, p.result.Delta = classifier.NotSent, nil
		p.result.Reason = "dry run: nothing was written"
		return plan{}, &p.result
	}
	key := AuditKey(m.Command.ID)
	p.txn.ID = m.Command.ID
	p.txn.Conditions = append(p.txn.Conditions, ifUnchanged(key, 0))
	p.txn.Writes = append(p.txn.Writes, newWrite(key, Audit{
		ID:       m.Command.ID,
		Action:   m.Command.Action,
		Operator: m.Command.Operator,
		Note:     m.Command.Note,
		Stamp:    now.UnixMilli(),
		Epoch:    p.result.Epoch,
		Changes:  p.result.Changes,
	}))
	p.result.Outcome = classifier.Completed
	return p, nil
}
