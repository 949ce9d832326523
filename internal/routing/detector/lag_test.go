package detector

import (
	"testing"
	"time"
)

// TestPausedFor lets ticks come late, once or several times, or not yet.
func TestPausedFor(t *testing.T) {
	ms := time.Millisecond
	cases := []struct {
		name       string
		ticks      []time.Duration
		since, now time.Duration
		want       time.Duration
	}{
		{"no tick yet", nil, 0, time.Second, 0},
		{"on time", []time.Duration{0, 20 * ms, 45 * ms, 60 * ms}, 0, 70 * ms, 0},
		{"one late tick", []time.Duration{0, 320 * ms, 340 * ms}, 0, 350 * ms, 300 * ms},
		{"only the part after since", []time.Duration{0, 320 * ms}, 120 * ms, 330 * ms, 200 * ms},
		{"a pause before since", []time.Duration{0, 320 * ms}, 330 * ms, 335 * ms, 0},
		{"two late ticks", []time.Duration{0, 120 * ms, 240 * ms}, 0, 250 * ms, 200 * ms},
		{"the tick is overdue now", []time.Duration{0}, 0, 500 * ms, 480 * ms},
		{"expired", []time.Duration{0, 320 * ms, 90 * time.Second, 90*time.Second + 20*ms}, 0, 90*time.Second + 20*ms,
			90*time.Second - 340*ms},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var m PauseMeter
			for _, tick := range c.ticks {
				m.RecordTick(at(tick))
			}
			if got := m.PausedFor(at(c.now), at(c.since)); got != c.want {
				t.Errorf("paused for %v, want %v", got, c.want)
			}
		})
	}
}

// TestPausedProcessEjectsNothing checks that silent connections do not lead to an ejection if the process itself was
// paused meanwhile, and do if it ran.
func TestPausedProcessEjectsNothing(t *testing.T) {
	d := New(WithProgressTimeout(300 * time.Millisecond))
	d.RecordTick(begin)
	d.SetGroup(begin, "e", "g")
	d.SetGroup(begin, "peer", "g")
	for _, id := range []string{"1", "2", "3"} {
		d.AddConnection(begin, id, "e")
		d.AddPendingStep(begin, id)
	}
	// The process runs again after a pause: checks may come before the tick or after it.
	resume := 500 * time.Millisecond
	for range 2 {
		if got := d.Check(at(resume)); len(got) > 0 {
			t.Fatalf("after a pause of the process itself: %v", kinds(got))
		}
		d.RecordTick(at(resume))
	}
	for tick := resume; tick < resume+290*time.Millisecond; tick += TickInterval {
		d.RecordTick(at(tick))
	}
	if got := kinds(d.Check(at(resume + 290*time.Millisecond))); len(got) != 4 || got[3] != "eject  e" {
		t.Errorf("after a silence while the process ran: %v", got)
	}
}
