package claimer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The times of the tests' claims.
const (
	sendBy   = time.Second
	answerBy = 2 * time.Second
	settleBy = 10 * time.Second
)

// event is something that a claim is told, at a time after the start.
type event struct {
	at   time.Duration
	tell func(c *Claim, now time.Time) Action
}

// seen is what a claim does in return.
type seen struct {
	Step    Step
	State   State
	Verdict string
	Code    string
}

func committed(at time.Duration, c Commit) event {
	return event{at, func(m *Claim, now time.Time) Action { return m.Committed(now, c) }}
}

func read(at time.Duration, r Row, known bool) event {
	return event{at, func(m *Claim, now time.Time) Action { return m.Read(now, r, known) }}
}

func sent(at time.Duration, o classifier.Outcome) event {
	return event{at, func(m *Claim, now time.Time) Action { return m.Sent(now, o, &Reply{Status: 201}) }}
}

func asked(at time.Duration, r *Reply) event {
	return event{at, func(m *Claim, now time.Time) Action { return m.Asked(now, r) }}
}

func resume(at time.Duration) event {
	return event{at, func(m *Claim, now time.Time) Action { return m.Resume(now) }}
}

// row returns a row of a claim.
func row(version int64, claim string, s State, attempt int) Row {
	return Row{Version: version, Record: Record{State: s, Claim: claim, Attempt: attempt, Print: "p", Code: "why"}}
}

func TestClaim(t *testing.T) {
	applied := Commit{Outcome: classifier.Completed, Applied: true, Version: 1}
	lost := Commit{Outcome: classifier.Unknown}
	refused := Commit{Outcome: classifier.Refused}
	conflict := func(r Row) Commit { return Commit{Outcome: classifier.Completed, Found: r} }
	const late = 1500 * time.Millisecond
	reply := &Reply{Status: 200}
	claim := seen{Step: StepCommit, State: StateDispatching}
	cases := []struct {
		name    string
		attempt int
		lookup  bool
		events  []event
		want    []seen
	}{
		{"claim, send, record", 1, false,
			[]event{committed(0, applied), sent(0, classifier.Completed), committed(0, applied)},
			[]seen{claim, {Step: StepSend}, {StepCommit, StateCompleted, "completed", ""}, {}}},
		{"refused by the table", 1, false, []event{committed(0, refused)},
			[]seen{claim, {0, "", "not-run", CodeTable}}},
		{"a later attempt refused by the table", 2, false, []event{read(0, Row{}, false)},
			[]seen{{Step: StepRead}, {0, "", "unknown", CodeTable}}},
		{"answer lost, claim held", 1, false, []event{committed(0, lost), read(0, row(1, "me", StateDispatching, 1), true)},
			[]seen{claim, {Step: StepRead}, {Step: StepSend}}},
		{"answer lost, nothing there yet", 1, false, []event{committed(0, lost), read(0, Row{}, true)},
			[]seen{claim, {Step: StepRead}, claim}},
		{"answer lost, too late to send: blocked", 2, false,
			[]event{read(0, Row{}, true), committed(0, lost), read(late, Row{}, true), committed(late, applied)},
			[]seen{{Step: StepRead}, claim, {Step: StepRead}, {Step: StepCommit, State: StateReleased}, {0, "", "not-run", CodeLate}}},
		{"answer lost, claim seen too late: released", 1, false,
			[]event{committed(0, lost), read(late, row(1, "me", StateDispatching, 1), true), committed(late, applied)},
			[]seen{claim, {Step: StepRead}, {StepCommit, StateReleased, "not-run", CodeLate}, {}}},
		{"answered in doubt, never sent after", 1, false,
			[]event{committed(0, lost), read(answerBy, Row{}, false), read(answerBy, row(1, "me", StateDispatching, 1), true)},
			[]seen{claim, {Step: StepRead}, {StepRead, "", "not-run", CodeTable}, {Step: StepCommit, State: StateReleased}}},
		{"another runs it", 1, false,
			[]event{committed(0, conflict(row(1, "you", StateDispatching, 1))), resume(0), read(0, row(2, "you", StateCompleted, 1), true)},
			[]seen{claim, {Step: StepPause}, {Step: StepRead}, {0, "", "completed", ""}}},
		{"another does not tell", 1, false,
			[]event{committed(0, conflict(row(1, "you", StateDispatching, 1))), read(answerBy, row(1, "you", StateDispatching, 1), true)},
			[]seen{claim, {Step: StepPause}, {0, "", "unknown", CodeRunning}}},
		{"another does not tell, the service does", 1, true,
			[]event{committed(0, conflict(row(1, "you", StateDispatching, 1))), read(answerBy, row(1, "you", StateDispatching, 1), true), asked(answerBy, reply)},
			[]seen{claim, {Step: StepPause}, {Step: StepAsk}, {StepCommit, StateCompleted, "completed", ""}}},
		{"nobody tells", 1, true, []event{committed(0, conflict(row(1, "you", StateUnknown, 1))), asked(0, nil)},
			[]seen{claim, {Step: StepAsk}, {0, "", "unknown", CodeUnknown}}},
		{"released to a lower attempt", 2, false, []event{read(0, row(3, "you", StateReleased, 1), true), committed(0, applied)},
			[]seen{{Step: StepRead}, claim, {Step: StepSend}}},
		{"released to this attempt", 2, false, []event{read(0, row(3, "you", StateReleased, 2), true)},
			[]seen{{Step: StepRead}, {0, "", "not-run", "why"}}},
		{"send broken off", 1, true, []event{committed(0, applied), sent(0, classifier.Unknown), asked(0, nil), resume(0), asked(answerBy, nil)},
			[]seen{claim, {Step: StepSend}, {Step: StepAsk}, {Step: StepPause}, {Step: StepAsk}, {StepCommit, StateUnknown, "unknown", CodeUnknown}}},
		{"send refused", 1, true, []event{committed(0, applied), sent(0, classifier.Refused)},
			[]seen{claim, {Step: StepSend}, {StepCommit, StateReleased, "not-run", CodeRefused}}},
		{"settled as completed before it was sent", 1, false,
			[]event{committed(0, lost), read(0, row(2, "me", StateCompleted, 1), true)},
			[]seen{claim, {Step: StepRead}, {0, "", "completed", ""}}},
		{"settled as not run before it was sent", 1, false,
			[]event{committed(0, lost), read(0, row(2, "me", StateReleased, 1), true)},
			[]seen{claim, {Step: StepRead}, {0, "", "not-run", "why"}}},
		{"answer to the result lost, result there", 1, false,
			[]event{committed(0, applied), sent(0, classifier.Completed), committed(0, lost), read(0, row(2, "me", StateCompleted, 1), true)},
			[]seen{claim, {Step: StepSend}, {StepCommit, StateCompleted, "completed", ""}, {Step: StepRead}, {}}},
		{"answer to the result lost, result not there", 1, false,
			[]event{committed(0, applied), sent(0, classifier.Completed), committed(0, lost), read(0, row(1, "me", StateDispatching, 1), true), committed(0, conflict(row(2, "me", StateCompleted, 1)))},
			[]seen{claim, {Step: StepSend}, {StepCommit, StateCompleted, "completed", ""}, {Step: StepRead}, {Step: StepCommit, State: StateCompleted}, {}}},
		{"settled by an operator while it ran", 1, false,
			[]event{committed(0, applied), sent(0, classifier.Completed), committed(0, conflict(row(2, "me", StateReleased, 1)))},
			[]seen{claim, {Step: StepSend}, {StepCommit, StateCompleted, "completed", ""}, {Step: StepCommit, State: StateCompleted}}},
		{"result given up", 1, false,
			[]event{committed(0, applied), sent(0, classifier.Completed), committed(0, refused), resume(settleBy), read(settleBy+1, Row{}, false)},
			[]seen{claim, {Step: StepSend}, {StepCommit, StateCompleted, "completed", ""}, {Step: StepPause}, {Step: StepRead}, {}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			call := Call{Team: "t", Print: "p", Attempt: c.attempt, Lookup: c.lookup}
			limits := Limits{Send: start.Add(sendBy), Answer: start.Add(answerBy), Settle: start.Add(settleBy), Poll: time.Millisecond}
			m := NewClaim(call, "me", "one", limits)
			got := []seen{sight(m.Begin(start))}
			for _, e := range c.events {
				got = append(got, sight(e.tell(m, start.Add(e.at))))
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("actions mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// sight returns what the tests compare of an action.
func sight(a Action) seen {
	s := seen{Step: a.Step, State: a.Mutation.Record.State}
	if a.Answer != nil {
		s.Verdict, s.Code = a.Answer.Verdict.String(), a.Answer.Code
	}
	return s
}
