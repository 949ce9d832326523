package claimer

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestSettle(t *testing.T) {
	row := func(s State) Row {
		return Row{Version: 3, Record: Record{State: s, Claim: "c", Owner: "entry-1", Attempt: 2, Print: "p"}}
	}
	said := func(outcome string, gone bool) Settlement {
		return Settlement{Outcome: outcome, Operator: "ann", Version: 3, Gone: gone}
	}
	cases := []struct {
		name    string
		row     Row
		said    Settlement
		state   State
		refused string
	}{
		{"unknown as not run", row(StateUnknown), said("not-run", false), StateReleased, ""},
		{"unknown as completed", row(StateUnknown), said("completed", false), StateCompleted, ""},
		{"owner gone", row(StateDispatching), said("not-run", true), StateReleased, ""},
		{"owner may send", row(StateDispatching), said("not-run", false), "", "the call's owner entry-1 may still send it; make sure that it has ended"},
		{"known", row(StateCompleted), said("not-run", true), "", "the call's outcome is known: completed"},
		{"absent", Row{}, said("not-run", true), "", "there is no such call"},
		{"changed", Row{Version: 4, Record: Record{State: StateUnknown}}, said("not-run", true), "", "the call has changed since it was seen"},
		{"no outcome", row(StateUnknown), said("perhaps", true), "", "the outcome is neither completed nor not-run"},
		{"nobody", row(StateUnknown), Settlement{Outcome: "not-run"}, "", "the operator's name is missing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, why := c.said.Settle(start, c.row)
			if diff := cmp.Diff(c.refused, why); diff != "" {
				t.Errorf("refusal mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.state, got.State); diff != "" {
				t.Errorf("state mismatch (-want +got):\n%s", diff)
			}
			if c.refused == "" && (got.Claim != "c" || got.By != "ann" || got.Attempt != 2) {
				t.Errorf("record is %+v", got)
			}
		})
	}
}
