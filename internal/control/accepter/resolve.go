package accepter

import (
	"time"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// resolveOutcome handles a read of the mutation's audit row after the answer to its commit was lost. If the row exists,
// it holds the outcome. Its absence proves nothing, since the commit may still be in flight: a blocking row is written
// under the same key, so that only one of the two writes can succeed.
func (m *Mutation) resolveOutcome(now time.Time, r ReadResult) Step {
	if row, found := r.Rows[AuditKey(m.Command.ID)]; found {
		return m.endWithAudit(row)
	}
	m.Tries++
	if m.Tries > MaxTries {
		return m.endUnknown()
	}
	if r.Err != nil {
		return m.readAudit()
	}
	if m.blockingDisabled {
		return m.endBlocked()
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
		Conditions: []tabler.Condition{ifUnchanged(key, 0)},
		Writes:     []tabler.Write{newWrite(key, audit)},
	}}
}

// handleBlockCommit handles the answer to the commit of the blocking row.
func (m *Mutation) handleBlockCommit(r tabler.Result) Step {
	if r.Outcome == classifier.Completed && r.Applied {
		return m.endBlocked()
	}
	if m.Tries > MaxTries {
		return m.endUnknown()
	}
	return m.readAudit()
}

// endWithAudit ends the mutation with the outcome of its audit row, which the mutation itself or its blocking wrote.
func (m *Mutation) endWithAudit(row tabler.Row) Step {
	audit, err := Decode[Audit](row)
	if err != nil {
		return m.end(Result{Outcome: classifier.Unknown, Reason: err.Error()})
	}
	if audit.Blocked {
		return m.endBlocked()
	}
	result := Result{Outcome: classifier.Completed, Epoch: audit.Epoch, Changes: audit.Changes}
	if m.planned.txn.ID == audit.ID && m.planned.result.Epoch == audit.Epoch {
		result = m.planned.result
	}
	return m.end(result)
}

// endBlocked ends a mutation that had no effect and never will have one.
func (m *Mutation) endBlocked() Step {
	reason := "nothing was written under this id, and a late write is blocked"
	return m.end(Result{Outcome: classifier.Refused, Blocked: true, Reason: reason})
}

// endUnknown ends a mutation whose outcome could not be resolved.
func (m *Mutation) endUnknown() Step {
	return m.end(Result{Outcome: classifier.Unknown, Reason: "the store lost the answer and cannot be asked; ask again " +
		"with this id"})
}
