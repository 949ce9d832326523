package detector

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLoadReadFailure reports that endpoints of a group do not answer reads of their load, and then that some do again.
func TestLoadReadFailure(t *testing.T) {
	cases := []struct {
		name     string
		size     int
		missed   []string
		answered []string
		// shares are the shares of the endpoints a, b and so on.
		shares []float64
	}{
		{name: "one of four", size: 4, missed: []string{"b"}, shares: []float64{1, 0, 1, 1}},
		{name: "reported repeatedly", size: 4, missed: []string{"b", "b", "b"}, shares: []float64{1, 0, 1, 1}},
		{name: "a false alarm for all", size: 4, missed: []string{"a", "b", "c", "d"}, shares: []float64{0, 0, 0.1, 0.1}},
		{name: "the only one", size: 1, missed: []string{"a"}, shares: []float64{0.1}},
		{name: "one that answers again", size: 4, missed: []string{"a", "b"}, answered: []string{"b"}, shares: []float64{0, 1, 1, 1}},
		{name: "all answer again", size: 2, missed: []string{"a", "b"}, answered: []string{"a", "b"}, shares: []float64{1, 1}},
		{name: "an unknown endpoint", size: 1, missed: []string{"z"}, answered: []string{"z"}, shares: []float64{1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := New()
			for i := range c.size {
				d.SetGroup(now, string(rune('a'+i)), "0-12")
			}
			for _, id := range c.missed {
				d.RecordLoadReadFailure(now, id)
			}
			for _, id := range c.answered {
				d.RecordLoadReadSuccess(now, id)
			}
			var shares []float64
			for i := range c.size {
				shares = append(shares, d.Share(now, string(rune('a'+i))))
			}
			if diff := cmp.Diff(c.shares, shares); diff != "" {
				t.Errorf("shares mismatch (-want +got):\n%s", diff)
			}
		})
	}
}
