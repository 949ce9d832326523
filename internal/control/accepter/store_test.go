package accepter

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// errStore is the error of a fake store that is unavailable.
var errStore = errors.New("store is unavailable")

// fault is what goes wrong with one commit.
type fault int

const (
	faultNone fault = iota
	faultAnswerLost
	faultAppliedLate
	faultRefused
	faultNeverApplied
	faultCount
)

// store is an in-memory table whose commits may fail with a fault. lateTxns holds the transactions that are still in
// flight. While isDown is true, reads fail.
type store struct {
	rows     map[string]tabler.Row
	lateTxns []tabler.Txn
	isDown   bool
}

func newStore() *store {
	return &store{rows: map[string]tabler.Row{}}
}

// read executes a step with keys.
func (s *store) read(step Step) ReadResult {
	if s.isDown {
		return ReadResult{Err: errStore}
	}
	r := ReadResult{Rows: map[string]tabler.Row{}}
	for _, key := range step.Keys {
		if row, found := s.rows[key]; found {
			r.Rows[key] = row
		}
	}
	for epoch := step.AfterEpoch + 1; ; epoch++ {
		row, found := s.rows[LogKey(epoch)]
		if !found {
			return r
		}
		var d recorder.Delta
		if err := json.Unmarshal(row.Value, &d); err != nil {
			panic(err)
		}
		r.Deltas = append(r.Deltas, d)
	}
}

// apply applies a transaction if its conditions hold.
func (s *store) apply(t tabler.Txn) bool {
	for _, c := range t.Conditions {
		if s.rows[c.Key].Version != c.Version {
			return false
		}
	}
	for _, w := range t.Writes {
		s.rows[w.Key] = tabler.Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: s.rows[w.Key].Version + 1}
	}
	return true
}

// commit executes a transaction under a fault.
func (s *store) commit(t tabler.Txn, f fault) (tabler.Result, error) {
	switch f {
	case faultRefused:
		return tabler.Result{Outcome: classifier.Refused}, errStore
	case faultNeverApplied:
		return tabler.Result{Outcome: classifier.Unknown}, errStore
	case faultAppliedLate:
		s.lateTxns = append(s.lateTxns, t)
		return tabler.Result{Outcome: classifier.Unknown}, errStore
	case faultAnswerLost:
		s.apply(t)
		return tabler.Result{Outcome: classifier.Unknown}, errStore
	default:
		return tabler.Result{Outcome: classifier.Completed, Applied: s.apply(t)}, nil
	}
}

// applyLate applies the late transaction with the given index if its conditions hold.
func (s *store) applyLate(i int) {
	t := s.lateTxns[i]
	s.lateTxns = append(s.lateTxns[:i], s.lateTxns[i+1:]...)
	s.apply(t)
}

// runStep executes one step of a mutation and returns the next. The fault affects a commit only.
func (s *store) runStep(now time.Time, m *Mutation, step Step, f fault) Step {
	if step.Txn != nil {
		r, err := s.commit(*step.Txn, f)
		return m.HandleCommit(now, r, err)
	}
	return m.HandleRead(now, s.read(step))
}

// start is the current time of the tests.
var start = time.Unix(1_700_000_000, 0)

// runCommand executes a command to its end. The faults affect its commits in order.
func (s *store) runCommand(c Command, instances []Instance, fs ...fault) Result {
	m := NewMutation(c, recorder.Snapshot{}, instances)
	step := m.Begin(start)
	for step.Result == nil {
		f := faultNone
		if step.Txn != nil && len(fs) > 0 {
			f, fs = fs[0], fs[1:]
		}
		step = s.runStep(start, m, step, f)
	}
	return *step.Result
}

// modelRecord returns a record of a model named chat.
func modelRecord(t testing.TB, shares ...int) recorder.Record {
	t.Helper()
	m := recorder.Model{Layers: 8, MaxAnswerTokens: 100, FirstTokenMillis: 1900, TokenIntervalMillis: 43}
	for i, share := range shares {
		m.Versions = append(m.Versions, recorder.Version{Name: fmt.Sprint("v", i), SharePercent: share})
	}
	r, err := recorder.NewRecord(recorder.KindModel, "chat", m)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// submit returns the command that submits records.
func submit(id string, records ...recorder.Record) Command {
	return Command{ID: id, Action: ActionSubmit, Operator: "ann", Records: records}
}

// accept returns the command of an operator that accepts a revision of the model, where expected is the revision that
// the operator expects to be active.
func accept(id, operator string, expected, revision int64) Command {
	change := Change{Kind: recorder.KindModel, Name: "chat", ExpectedRevision: expected, Revision: revision}
	return Command{ID: id, Action: ActionAccept, Operator: operator, Changes: []Change{change}}
}

// retire returns the command that retires the model.
func retire(id string, expected int64) Command {
	c := accept(id, "ann", expected, 0)
	c.Action = ActionRetire
	return c
}

// appliedIDs returns the IDs of the mutations that took effect.
func (s *store) appliedIDs(t *testing.T) []string {
	t.Helper()
	var ids []string
	for key, row := range s.rows {
		if !strings.HasPrefix(key, AuditPrefix) {
			continue
		}
		a, err := Decode[Audit](row)
		if err != nil {
			t.Fatal(err)
		}
		if !a.Blocked {
			ids = append(ids, a.ID)
		}
	}
	return ids
}
