package classifier

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestCombine(t *testing.T) {
	cases := []struct {
		name     string
		outcomes []Outcome
		want     Verdict
	}{
		{"no attempt", nil, VerdictNotRun},
		{"not sent", []Outcome{NotSent}, VerdictNotRun},
		{"refused after not sent", []Outcome{NotSent, Refused}, VerdictNotRun},
		{"unknown hides a refusal", []Outcome{Unknown, Refused}, VerdictUnknown},
		{"completed after unknown", []Outcome{Unknown, Completed}, VerdictCompleted},
		{"a value out of range proves nothing", []Outcome{Outcome(17)}, VerdictUnknown},
		{"zero value proves nothing", []Outcome{*new(Outcome)}, VerdictUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, Combine(c.outcomes...)); diff != "" {
				t.Errorf("Combine(%v) mismatch (-want +got):\n%s", c.outcomes, diff)
			}
		})
	}
}
