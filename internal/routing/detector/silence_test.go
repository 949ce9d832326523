package detector

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSilenceBesideAnAnswer lets the only tracked connection to an endpoint go silent repeatedly, and checks that this
// counts as a failure of the endpoint only if it answers on no other connection.
func TestSilenceBesideAnAnswer(t *testing.T) {
	const progress = time.Second
	cases := []struct {
		name string
		// answerAge is the age of the last answer on another connection when each silence ends; 0 means none.
		answerAge time.Duration
		want      bool
	}{
		{"no other answer", 0, true},
		{"reads of its load are answered", 300 * time.Millisecond, false},
		{"reads of its load were answered before the silence only", 2 * time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := New(WithProgressTimeout(progress), WithFailureLimit(3))
			for _, id := range []string{"a", "b", "c"} {
				d.SetGroup(now, id, "range")
			}
			ejected := false
			for range 4 {
				now = now.Add(10 * progress)
				d.AddConnection(now, "stream", "a")
				d.AddPendingStep(now, "stream")
				now = now.Add(progress)
				if c.answerAge > 0 {
					d.RecordReceived(now.Add(-c.answerAge), "a")
				}
				for _, action := range d.Check(now) {
					ejected = ejected || action.Kind == ActionEject
				}
			}
			if diff := cmp.Diff(c.want, ejected); diff != "" {
				t.Errorf("ejected mismatch (-want +got):\n%s", diff)
			}
		})
	}
}
