package claimer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The limits of the claims in the tests, as times after the start.
const (
	sendBy   = time.Second
	answerBy = 2 * time.Second
	settleBy = 10 * time.Second
)

// input is a call of a method of a claim at a time after the start.
type input struct {
	at    time.Duration
	apply func(c *Claim, now time.Time) Action
}

// observed is the part of an action that the tests compare.
type observed struct {
	Step    Step
	State   State
	Verdict string
	Code    string
}

func committed(at time.Duration, c Commit) input {
	return input{at, func(m *Claim, now time.Time) Action { return m.HandleCommit(now, c) }}
}

func read(at time.Duration, r Row, rowRead bool) input {
	return input{at, func(m *Claim, now time.Time) Action { return m.HandleRead(now, r, rowRead) }}
}

func sent(at time.Duration, o classifier.Outcome) input {
	return input{at, func(m *Claim, now time.Time) Action { return m.HandleSend(now, o, &Reply{Status: 201}) }}
}

func queried(at time.Duration, r *Reply) input {
	return input{at, func(m *Claim, now time.Time) Action { return m.HandleQuery(now, r) }}
}

func resume(at time.Duration) input {
	return input{at, func(m *Claim, now time.Time) Action { return m.Resume(now) }}
}

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
	claim := observed{Step: StepCommit, State: StateDispatching}
	cases := []struct {
		name    string
		attempt int
		lookup  bool
		inputs  []input
		want    []observed
	}{
		{"claim, send, record", 1, false,
			[]input{committed(0, applied), sent(0, classifier.Completed), committed(0, applied)},
			[]observed{claim, {Step: StepSend}, {StepCommit, StateCompleted, "completed", ""}, {}}},
		{"refused by the table", 1, false, []input{committed(0, refused)},
			[]observed{claim, {0, "", "not-run", CodeTableUnavailable}}},
		{"a later attempt refused by the table", 2, false, []input{read(0, Row{}, false)},
			[]observed{{Step: StepRead}, {0, "", "unknown", CodeTableUnavailable}}},
		{"answer lost, claim held", 1, false, []input{committed(0, lost), read(0, row(1, "me", StateDispatching, 1), true)},
			[]observed{claim, {Step: StepRead}, {Step: StepSend}}},
		{"answer lost, no row yet", 1, false, []input{committed(0, lost), read(0, Row{}, true)},
			[]observed{claim, {Step: StepRead}, claim}},
		{"answer lost, too late to send: blocked", 2, false,
			[]input{read(0, Row{}, true), committed(0, lost), read(late, Row{}, true), committed(late, applied)},
			[]observed{{Step: StepRead}, claim, {Step: StepRead}, {Step: StepCommit, State: StateReleased}, {0, "", "not-run", CodeDeadlinePassed}}},
		{"answer lost, claim read too late: released", 1, false,
			[]input{committed(0, lost), read(late, row(1, "me", StateDispatching, 1), true), committed(late, applied)},
			[]observed{claim, {Step: StepRead}, {StepCommit, StateReleased, "not-run", CodeDeadlinePassed}, {}}},
		{"answered while the write is unknown, never sent afterwards", 1, false,
			[]input{committed(0, lost), read(answerBy, Row{}, false), read(answerBy, row(1, "me", StateDispatching, 1), true)},
			[]observed{claim, {Step: StepRead}, {StepRead, "", "not-run", CodeTableUnavailable}, {Step: StepCommit, State: StateReleased}}},
		{"another claim runs it", 1, false,
			[]input{committed(0, conflict(row(1, "you", StateDispatching, 1))), resume(0), read(0, row(2, "you", StateCompleted, 1), true)},
			[]observed{claim, {Step: StepPause}, {Step: StepRead}, {0, "", "completed", ""}}},
		{"another claim leaves no result", 1, false,
			[]input{committed(0, conflict(row(1, "you", StateDispatching, 1))), read(answerBy, row(1, "you", StateDispatching, 1), true)},
			[]observed{claim, {Step: StepPause}, {0, "", "unknown", CodeStillRunning}}},
		{"another claim leaves no result, the service has one", 1, true,
			[]input{committed(0, conflict(row(1, "you", StateDispatching, 1))), read(answerBy, row(1, "you", StateDispatching, 1), true), queried(answerBy, reply)},
			[]observed{claim, {Step: StepPause}, {Step: StepQuery}, {StepCommit, StateCompleted, "completed", ""}}},
		{"neither the other claim nor the service has a result", 1, true, []input{committed(0, conflict(row(1, "you", StateUnknown, 1))), queried(0, nil)},
			[]observed{claim, {Step: StepQuery}, {0, "", "unknown", CodeOutcomeUnknown}}},
		{"released to a lower attempt", 2, false, []input{read(0, row(3, "you", StateReleased, 1), true), committed(0, applied)},
			[]observed{{Step: StepRead}, claim, {Step: StepSend}}},
		{"released to this attempt", 2, false, []input{read(0, row(3, "you", StateReleased, 2), true)},
			[]observed{{Step: StepRead}, {0, "", "not-run", "why"}}},
		{"send interrupted", 1, true, []input{committed(0, applied), sent(0, classifier.Unknown), queried(0, nil), resume(0), queried(answerBy, nil)},
			[]observed{claim, {Step: StepSend}, {Step: StepQuery}, {Step: StepPause}, {Step: StepQuery}, {StepCommit, StateUnknown, "unknown", CodeOutcomeUnknown}}},
		{"send refused", 1, true, []input{committed(0, applied), sent(0, classifier.Refused)},
			[]observed{claim, {Step: StepSend}, {StepCommit, StateReleased, "not-run", CodeServiceRefused}}},
		{"settled as completed before it was sent", 1, false,
			[]input{committed(0, lost), read(0, row(2, "me", StateCompleted, 1), true)},
			[]observed{claim, {Step: StepRead}, {0, "", "completed", ""}}},
		{"settled as not run before it was sent", 1, false,
			[]input{committed(0, lost), read(0, row(2, "me", StateReleased, 1), true)},
			[]observed{claim, {Step: StepRead}, {0, "", "not-run", "why"}}},
		{"answer to the result write lost, result written", 1, false,
			[]input{committed(0, applied), sent(0, classifier.Completed), committed(0, lost), read(0, row(2, "me", StateCompleted, 1), true)},
			[]observed{claim, {Step: StepSend}, {StepCommit, StateCompleted, "completed", ""}, {Step: StepRead}, {}}},
		{"answer to the result write lost, result not written", 1, false,
			[]input{committed(0, applied), sent(0, classifier.Completed), committed(0, lost), read(0, row(1, "me", StateDispatching, 1), true), committed(0, conflict(row(2, "me", StateCompleted, 1)))},
			[]observed{claim, {Step: StepSend}, {StepCommit, StateCompleted, "completed", ""}, {Step: StepRead}, {Step: StepCommit, State: StateCompleted}, {}}},
		{"settled by an operator while it ran", 1, false,
			[]input{committed(0, applied), sent(0, classifier.Completed), committed(0, conflict(row(2, "me", StateReleased, 1)))},
			[]observed{claim, {Step: StepSend}, {StepCommit, StateCompleted, "completed", ""}, {Step: StepCommit, State: StateCompleted}}},
		{"result not written in time", 1, false,
			[]input{committed(0, applied), sent(0, classifier.Completed), committed(0, refused), resume(settleBy), read(settleBy+1, Row{}, false)},
			[]observed{claim, {Step: StepSend}, {StepCommit, StateCompleted, "completed", ""}, {Step: StepPause}, {Step: StepRead}, {}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			call := Call{Team: "t", Print: "p", Attempt: c.attempt, Lookup: c.lookup}
			limits := Limits{Send: start.Add(sendBy), Answer: start.Add(answerBy), Settle: start.Add(settleBy), Poll: time.Millisecond}
			m := NewClaim(call, "me", "one", limits)
			got := []observed{observe(m.Begin(start))}
			for _, e := range c.inputs {
				got = append(got, observe(e.apply(m, start.Add(e.at))))
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("actions mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// observe returns the compared part of an action.
func observe(a Action) observed {
	s := observed{Step: a.Step, State: a.Mutation.Record.State}
	if a.Answer != nil {
		s.Verdict, s.Code = a.Answer.Verdict.String(), a.Answer.Code
	}
	return s
}
