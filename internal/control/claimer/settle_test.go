package claimer

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestSettle(t *testing.T) {
	row := func(s State) Row {
		return Row{Version: 3, Record: Record{State: s, Claim: "c", Owner: "entry-1", Attempt: 2, Print: "p"}}
	}
	settlement := func(outcome string, ownerEnded bool) Settlement {
		return Settlement{Outcome: outcome, Operator: "ann", Version: 3, OwnerEnded: ownerEnded}
	}
	cases := []struct {
		name       string
		row        Row
		settlement Settlement
		state      State
		refusal    string
	}{
		{"unknown as not run", row(StateUnknown), settlement("not-run", false), StateReleased, ""},
		{"unknown as completed", row(StateUnknown), settlement("completed", false), StateCompleted, ""},
		{"owner has ended", row(StateDispatching), settlement("not-run", true), StateReleased, ""},
		{"owner may send", row(StateDispatching), settlement("not-run", false), "", "the call's owner entry-1 may still send it; make sure that it has ended"},
		{"outcome known", row(StateCompleted), settlement("not-run", true), "", "the call's outcome is known: completed"},
		{"no row", Row{}, settlement("not-run", true), "", "there is no such call"},
		{"changed", Row{Version: 4, Record: Record{State: StateUnknown}}, settlement("not-run", true), "", "the call has changed since it was seen"},
		{"no outcome", row(StateUnknown), settlement("perhaps", true), "", "the outcome is neither completed nor not-run"},
		{"no operator", row(StateUnknown), Settlement{Outcome: "not-run"}, "", "the operator's name is missing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, why := c.settlement.Settle(start, c.row)
			if diff := cmp.Diff(c.refusal, why); diff != "" {
				t.Errorf("refusal mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.state, got.State); diff != "" {
				t.Errorf("state mismatch (-want +got):\n%s", diff)
			}
			if c.refusal == "" && (got.Claim != "c" || got.SettledBy != "ann" || got.Attempt != 2) {
				t.Errorf("record is %+v", got)
			}
		})
	}
}
