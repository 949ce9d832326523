package accepter

import (
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/control/validator"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// newPreparedStore returns a store with three submitted revisions of the model, of which the first is active at epoch 1.
func newPreparedStore(t *testing.T) *store {
	t.Helper()
	s := newStore()
	for _, c := range []Command{submit("s1", modelRecord(t, 100)), accept("a1", "ann", 0, 1),
		submit("s2", modelRecord(t, 90, 10)), submit("s3", modelRecord(t, 50, 50))} {
		if r := s.runCommand(c, nil); r.Outcome != classifier.Completed {
			t.Fatalf("%s: %+v", c.ID, r)
		}
	}
	return s
}

func TestAnswerLost(t *testing.T) {
	cases := []struct {
		name    string
		faults  []fault
		late    bool
		outcome classifier.Outcome
		applied bool
	}{
		{"no fault", nil, false, classifier.Completed, true},
		{"lost after the effect", []fault{faultAnswerLost}, false, classifier.Completed, true},
		{"never arrived", []fault{faultNeverApplied}, false, classifier.Refused, false},
		{"late after the block", []fault{faultAppliedLate}, true, classifier.Refused, false},
		{"block lost too", []fault{faultAppliedLate, faultAnswerLost}, true, classifier.Refused, false},
		{"block late too", []fault{faultAppliedLate, faultAppliedLate}, true, classifier.Refused, false},
		{"refused", []fault{faultRefused}, false, classifier.Refused, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newPreparedStore(t)
			got := s.runCommand(accept("a2", "ann", 1, 2), nil, c.faults...)
			for c.late && len(s.lateTxns) > 0 {
				s.applyLate(0)
			}
			applied := slices.Contains(s.appliedIDs(t), "a2")
			if diff := cmp.Diff([]any{c.outcome, c.applied}, []any{got.Outcome, applied}); diff != "" {
				t.Errorf("%s\n%+v", diff, got)
			}
		})
	}
}

func TestOutcomeUnknownUntilResolved(t *testing.T) {
	s := newPreparedStore(t)
	m := NewMutation(accept("a2", "ann", 1, 2), recorder.Snapshot{}, nil)
	step := m.Begin(start)
	step = s.runStep(start, m, step, faultNone)
	step = s.runStep(start, m, step, faultAnswerLost)
	s.isDown = true
	for step.Result == nil {
		step = s.runStep(start, m, step, faultNone)
	}
	if step.Result.Outcome != classifier.Unknown {
		t.Fatalf("store down: %+v", step.Result)
	}
	s.isDown = false
	got := s.runCommand(Command{ID: "a2", Action: ActionResolve}, nil)
	if diff := cmp.Diff([]any{classifier.Completed, int64(2)}, []any{got.Outcome, got.Epoch}); diff != "" {
		t.Error(diff)
	}
	again := s.runCommand(accept("a2", "ann", 1, 2), nil)
	if again.Outcome != classifier.Completed || again.Epoch != 2 {
		t.Errorf("same id again: %+v", again)
	}
	none := s.runCommand(Command{ID: "never", Action: ActionResolve}, nil)
	late := s.runCommand(accept("never", "ann", 2, 3), nil)
	if none.Outcome != classifier.Refused || late.Outcome != classifier.Refused {
		t.Errorf("resolved as absent: %+v, then sent: %+v", none, late)
	}
}

func TestOperatorsRace(t *testing.T) {
	s := newPreparedStore(t)
	a := NewMutation(accept("a2", "ann", 1, 2), recorder.Snapshot{}, nil)
	b := NewMutation(accept("b2", "bob", 1, 3), recorder.Snapshot{}, nil)
	sa, sb := a.Begin(start), b.Begin(start)
	sa, sb = s.runStep(start, a, sa, faultNone), s.runStep(start, b, sb, faultNone)
	sb = s.runStep(start, b, sb, faultNone)
	for sa.Result == nil {
		sa = s.runStep(start, a, sa, faultNone)
	}
	if sb.Result == nil || sb.Result.Outcome != classifier.Completed {
		t.Fatalf("first to commit: %+v", sb.Result)
	}
	want := []Conflict{{Record: "model/chat", ExpectedRevision: 1, ActiveRevision: 3, Winner: "bob", Mutation: "b2", Epoch: 2}}
	if diff := cmp.Diff(want, sa.Result.Conflicts); diff != "" || sa.Result.Outcome != classifier.Refused {
		t.Error(sa.Result.Outcome, diff)
	}
}

// interleave executes two commands concurrently, one step of each in turn.
func (s *store) interleave(a, b Command) (Result, Result) {
	ma, mb := NewMutation(a, recorder.Snapshot{}, nil), NewMutation(b, recorder.Snapshot{}, nil)
	sa, sb := ma.Begin(start), mb.Begin(start)
	for sa.Result == nil || sb.Result == nil {
		if sa.Result == nil {
			sa = s.runStep(start, ma, sa, faultNone)
		}
		if sb.Result == nil {
			sb = s.runStep(start, mb, sb, faultNone)
		}
	}
	return *sa.Result, *sb.Result
}

func TestConcurrentCommands(t *testing.T) {
	s := newPreparedStore(t)
	a, b := s.interleave(submit("x", modelRecord(t, 80, 20)), submit("y", modelRecord(t, 70, 30)))
	if diff := cmp.Diff([]int64{4, 5}, []int64{a.Changes[0].Revision, b.Changes[0].Revision}); diff != "" {
		t.Error("submits of one record:", diff)
	}
	other := modelRecord(t, 100)
	other.Name = "draft"
	if r := s.runCommand(submit("z", other), nil); r.Outcome != classifier.Completed {
		t.Fatal(r)
	}
	second := accept("b2", "bob", 0, 1)
	second.Changes[0].Name = "draft"
	a, b = s.interleave(accept("a2", "ann", 1, 2), second)
	if diff := cmp.Diff([]int64{2, 3}, []int64{a.Epoch, b.Epoch}); diff != "" {
		t.Error("accepts of two records:", diff)
	}
	if diff := cmp.Diff([]any{classifier.Completed, classifier.Completed}, []any{a.Outcome, b.Outcome}); diff != "" {
		t.Error(diff)
	}
}

func TestRefusals(t *testing.T) {
	older := []Instance{{ID: "new", ReadableSchemas: map[string]int{recorder.KindModel: 2}},
		{ID: "old", ReadableSchemas: map[string]int{recorder.KindModel: 1}}, {ID: "mute"}}
	twice := accept("x", "ann", 1, 2)
	twice.Changes = append(twice.Changes, twice.Changes[0])
	cases := []struct {
		name      string
		command   Command
		instances []Instance
		want      string
	}{
		{"unreadable", accept("x", "ann", 1, 2), older,
			"model/chat: schema: is 2; instance old reads up to 1"},
		{"never submitted", accept("x", "ann", 1, 9), nil, "model/chat: changes[0].revision: 9 was never submitted"},
		{"in force", accept("x", "ann", 1, 1), nil, "model/chat: changes[0].revision: 1 is the revision in force already"},
		{"retire unseen", retire("x", 0), nil, "model/chat: changes[0].seen: is 0; a record not in force cannot be retired"},
		{"twice", twice, nil, "command: changes[1]: model/chat is given twice"},
		{"empty", Command{ID: "x", Action: ActionSubmit}, nil, "command: records: are missing"},
		{"action", Command{ID: "x", Action: "burn"}, nil, `command: action: "burn" is unknown`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newPreparedStore(t)
			before := len(s.rows)
			got := s.runCommand(c.command, c.instances)
			var lines []string
			for _, f := range got.Faults {
				lines = append(lines, f.String())
			}
			if diff := cmp.Diff(c.want, strings.Join(lines, "\n")); diff != "" || got.Outcome != classifier.Refused {
				t.Error(got.Outcome, diff)
			}
			if len(s.rows) != before {
				t.Error("a refused command wrote a row")
			}
		})
	}
}

func TestInstanceWithoutSchemasIsNoted(t *testing.T) {
	s := newPreparedStore(t)
	got := s.runCommand(accept("x", "ann", 1, 2), []Instance{{ID: "mute"}})
	want := []validator.Fault{{Record: "model/chat", Path: "schema", Reason: "is 2; instance mute has not said what it reads"}}
	if diff := cmp.Diff(want, got.Notes); diff != "" || got.Outcome != classifier.Completed {
		t.Error(got.Outcome, diff)
	}
}

func TestDryRunAndRollback(t *testing.T) {
	s := newPreparedStore(t)
	dry := accept("d", "ann", 1, 2)
	dry.DryRun = true
	rows := len(s.rows)
	got := s.runCommand(dry, nil)
	var lines []string
	for _, d := range got.Diffs {
		lines = append(lines, d.String())
	}
	want := []string{
		"model/chat: body.versions[0].share: 100 -> 90",
		`model/chat: body.versions[1]: (absent) -> {"name":"v1","share":10}`,
	}
	if diff := cmp.Diff(want, lines); diff != "" || got.Epoch != 2 || len(s.rows) != rows {
		t.Errorf("epoch %d, %d rows: %s", got.Epoch, len(s.rows)-rows, diff)
	}
	forward := s.runCommand(accept("a2", "ann", 1, 2), nil)
	rollback := s.runCommand(accept("a3", "ann", 2, 1), nil)
	retired := s.runCommand(retire("r1", 1), nil)
	if diff := cmp.Diff([]int64{2, 3, 4}, []int64{forward.Epoch, rollback.Epoch, retired.Epoch}); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]recorder.Ref{{Kind: "model", Name: "chat"}}, retired.Delta.Drop); diff != "" {
		t.Error(diff)
	}
}
