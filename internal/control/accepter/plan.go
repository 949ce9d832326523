package accepter

import (
	"fmt"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/control/validator"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// plan is a transaction and the result if it applies.
type plan struct {
	txn    tabler.Txn
	result Result
}

// check returns what is wrong with a command by itself.
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

// plan returns the transaction for what was read, or the result that ends the mutation without one.
func (m *Mutation) plan(now time.Time, r Read) (plan, *Result) {
	if m.Command.Action == ActionSubmit {
		return m.planSubmit(now, r)
	}
	return m.planChange(now, r)
}

// planSubmit stores each record as the next revision of its name.
func (m *Mutation) planSubmit(now time.Time, r Read) (plan, *Result) {
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
			entry = m.stamp(now, Entry{Kind: record.Kind, Name: record.Name}, 0)
		}
		entry.Latest++
		if entry.Force == 0 {
			entry.State = recorder.StateSubmitted
		}
		record.Revision = entry.Latest
		record.State = ""
		p.result.Notes = append(p.result.Notes, validator.Notes(record)...)
		p.put(row, entry)
		p.txn.Writes = append(p.txn.Writes, write(BodyKey(record.Ref(), record.Revision), record))
		change := Change{Kind: record.Kind, Name: record.Name, Seen: entry.Force, Revision: entry.Latest}
		p.result.Changes = append(p.result.Changes, change)
		in, _ := m.Base.Find(record.Ref())
		p.result.Diffs = append(p.result.Diffs, recorder.Compare(in, record)...)
	}
	return m.close(now, p)
}

// put adds the write of an entry, on condition that it is as it was read.
func (p *plan) put(row tabler.Row, entry Entry) {
	key := EntryKey(entry.Ref())
	p.txn.Conditions = append(p.txn.Conditions, unchanged(key, row.Version))
	p.txn.Writes = append(p.txn.Writes, write(key, entry))
}

// stamp notes in an entry who changes it.
func (m *Mutation) stamp(now time.Time, e Entry, epoch int64) Entry {
	e.Operator, e.Mutation, e.Stamp, e.Epoch = m.Command.Operator, m.Command.ID, now.UnixMilli(), epoch
	return e
}

// draft is a change of epoch in the making: its plan, its delta, and what speaks against it.
type draft struct {
	plan    plan
	delta   recorder.Delta
	refused Result
}

// sound reports whether nothing speaks against the draft.
func (d *draft) sound() bool {
	return len(d.refused.Faults)+len(d.refused.Conflicts) == 0
}

// planChange brings revisions into force, or takes them out, and raises the epoch by one.
func (m *Mutation) planChange(now time.Time, r Read) (plan, *Result) {
	epoch := m.Base.Epoch + 1
	d := draft{plan: plan{result: Result{Epoch: epoch, Changes: m.Command.Changes}}}
	d.delta = recorder.Delta{
		Epoch:    epoch,
		Mutation: m.Command.ID,
		Operator: m.Command.Operator,
		Stamp:    now.UnixMilli(),
	}
	for i := range m.Command.Changes {
		if err := m.include(now, &d, i, r); err != nil {
			return plan{}, &Result{Outcome: classifier.NotSent, Reason: err.Error()}
		}
	}
	if d.sound() {
		faults, notes := m.unread(d.delta.Put)
		d.refused.Faults = append(validator.Check(m.Base, d.delta.Put, d.delta.Drop), faults...)
		d.plan.result.Notes = notes
	}
	if !d.sound() {
		d.refused.Outcome = classifier.Refused
		return plan{}, &d.refused
	}
	d.delta.Sum = m.Base.With(d.delta.Put, d.delta.Drop).Sum()
	d.plan.result.Delta = &d.delta
	d.plan.txn.Conditions = append(d.plan.txn.Conditions, unchanged(HeadKey, r.Rows[HeadKey].Version))
	d.plan.txn.Writes = append(d.plan.txn.Writes,
		write(HeadKey, Head{Epoch: epoch, Sum: d.delta.Sum}),
		write(LogKey(epoch), d.delta),
	)
	return m.close(now, d.plan)
}

// include adds the i-th change of the command to a draft, or what speaks against it. The error is that of decoding a row.
func (m *Mutation) include(now time.Time, d *draft, i int, r Read) error {
	change := m.Command.Changes[i]
	row := r.Rows[EntryKey(change.Ref())]
	entry, err := Decode[Entry](row)
	if err != nil {
		return err
	}
	if fault, bad := m.fits(i, change, row, r); bad {
		d.refused.Faults = append(d.refused.Faults, fault)
		return nil
	}
	if entry.Force != change.Seen {
		d.refused.Conflicts = append(d.refused.Conflicts, conflict(change, entry))
		return nil
	}
	after, err := m.apply(&d.delta, change, r)
	if err != nil {
		return err
	}
	entry = m.stamp(now, entry, d.delta.Epoch)
	entry.Force, entry.State = change.Revision, recorder.StateAccepted
	if change.Revision == 0 {
		entry.State = recorder.StateRetired
	}
	d.plan.put(row, entry)
	in, _ := m.Base.Find(change.Ref())
	d.plan.result.Diffs = append(d.plan.result.Diffs, recorder.Compare(in, after)...)
	return nil
}

// fits returns the fault of a change that names no record or revision that exists, and whether there is one.
func (m *Mutation) fits(i int, change Change, row tabler.Row, r Read) (validator.Fault, bool) {
	fault := validator.Fault{Record: change.Ref().String(), Path: fmt.Sprintf("changes[%d].revision", i)}
	accept := m.Command.Action == ActionAccept
	_, found := r.Rows[BodyKey(change.Ref(), change.Revision)]
	switch {
	case row.Version == 0:
		fault.Path, fault.Reason = "name", "no such record was submitted"
	case accept && !found:
		fault.Reason = fmt.Sprintf("%d was never submitted", change.Revision)
	case accept && change.Revision == change.Seen:
		fault.Reason = fmt.Sprintf("%d is the revision in force already", change.Revision)
	case !accept && change.Revision != 0:
		fault.Reason = "is given; a record is retired as a whole"
	case !accept && change.Seen == 0:
		fault.Path, fault.Reason = fmt.Sprintf("changes[%d].seen", i), "is 0; a record not in force cannot be retired"
	default:
		return validator.Fault{}, false
	}
	return fault, true
}

// conflict returns the conflict of a change with the entry found.
func conflict(change Change, entry Entry) Conflict {
	return Conflict{
		Record:   change.Ref().String(),
		Seen:     change.Seen,
		Force:    entry.Force,
		Winner:   entry.Operator,
		Mutation: entry.Mutation,
		Epoch:    entry.Epoch,
	}
}

// apply adds a change to the delta and returns the record that comes into force, if any.
func (m *Mutation) apply(delta *recorder.Delta, change Change, r Read) (recorder.Record, error) {
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

// unread returns a fault for each live instance that cannot read a record, and a note for each that has not said what
// it reads: it may be gone, and if it is not, it keeps the last configuration that it can read and is not ready.
func (m *Mutation) unread(put []recorder.Record) (faults, notes []validator.Fault) {
	for _, record := range put {
		for _, instance := range m.Instances {
			reads := instance.Reads[record.Kind]
			found := validator.Fault{Record: record.Ref().String(), Path: "schema"}
			switch {
			case instance.Reads == nil && record.Schema > 1:
				found.Reason = fmt.Sprintf("is %d; instance %s has not said what it reads", record.Schema, instance.ID)
				notes = append(notes, found)
			case instance.Reads != nil && record.Schema > reads:
				found.Reason = fmt.Sprintf("is %d; instance %s reads up to %d", record.Schema, instance.ID, reads)
				faults = append(faults, found)
			}
		}
	}
	return faults, notes
}

// close adds the audit to the plan, or ends a dry run.
func (m *Mutation) close(now time.Time, p plan) (plan, *Result) {
	if m.Command.Dry {
		p.result.Outcome, p.result.Delta = classifier.NotSent, nil
		p.result.Reason = "dry run: nothing was written"
		return plan{}, &p.result
	}
	key := AuditKey(m.Command.ID)
	p.txn.ID = m.Command.ID
	p.txn.Conditions = append(p.txn.Conditions, unchanged(key, 0))
	p.txn.Writes = append(p.txn.Writes, write(key, Audit{
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
