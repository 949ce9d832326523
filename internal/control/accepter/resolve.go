package accepter

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// resolve takes in a read that looked for the mutation's own row after its answer was lost. A row that is there is the
// truth. One that is absent proves nothing, since the write may still be on its way: a blocking row is written under
// the same key, so that one of the two fails.
func (m *Mutation) resolve(now time.Time, r Read) Step {
	if row, found := r.Rows[AuditKey(m.Command.ID)]; found {
		return m.settled(row)
	}
	m.Tries++
	if m.Tries > MaxTries {
		return m.doubtful()
	}
	if r.Err != nil {
		return m.look()
	}
	if m.unblocked {
		return m.refusal()
	}
	audit := Audit{
		ID:       m.Command.ID,
		Action:   m.Command.Action,
		Operator: m.Command.Operator,
		Stamp:    now.UnixMilli(),
		Blocked:  true,
	}
	key := AuditKey(m.Command.ID)
	return Step{Txn: &tabler.Txn{
		ID:         m.Command.ID + "-block",
		Conditions: []tabler.Condition{unchanged(key, 0)},
		Writes:     []tabler.Write{write(key, audit)},
	}}
}

// blocked takes in the answer to the commit of a blocking row.
func (m *Mutation) blocked(r tabler.Result) Step {
	if r.Outcome == classifier.Completed && r.Applied {
		return m.refusal()
	}
	if m.Tries > MaxTries {
		return m.doubtful()
	}
	return m.look()
}

// settled ends the mutation by the row that it, or a block against it, has left.
func (m *Mutation) settled(row tabler.Row) Step {
	audit, err := Decode[Audit](row)
	if err != nil {
		return m.end(Result{Outcome: classifier.Unknown, Reason: err.Error()})
	}
	if audit.Blocked {
		return m.refusal()
	}
	result := Result{Outcome: classifier.Completed, Epoch: audit.Epoch, Changes: audit.Changes}
	if m.planned.txn.ID == audit.ID && m.planned.result.Epoch == audit.Epoch {
		result = m.planned.result
	}
	return m.end(result)
}

// refusal ends a mutation that had no effect and never will.
func (m *Mutation) refusal() Step {
	reason := "nothing was written under this id, and a late write is blocked"
	return m.end(Result{Outcome: classifier.Refused, Blocked: true, Reason: reason})
}

// doubtful ends a mutation of which nothing is known yet.
func (m *Mutation) doubtful() Step {
	return m.end(Result{Outcome: classifier.Unknown, Reason: "the store lost the answer and cannot be asked; ask again " +
		"with this id"})
}
