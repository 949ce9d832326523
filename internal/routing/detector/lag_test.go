package detector

import (
	"testing"
	"time"
)

// TestHeld lets beats come late, once or several times, or not yet.
func TestHeld(t *testing.T) {
	ms := time.Millisecond
	cases := []struct {
		name       string
		beats      []time.Duration
		since, now time.Duration
		want       time.Duration
	}{
		{"no beat yet", nil, 0, time.Second, 0},
		{"on time", []time.Duration{0, 20 * ms, 45 * ms, 60 * ms}, 0, 70 * ms, 0},
		{"one late beat", []time.Duration{0, 320 * ms, 340 * ms}, 0, 350 * ms, 300 * ms},
		{"only the part asked for", []time.Duration{0, 320 * ms}, 120 * ms, 330 * ms, 200 * ms},
		{"before the time asked for", []time.Duration{0, 320 * ms}, 330 * ms, 335 * ms, 0},
		{"two late beats", []time.Duration{0, 120 * ms, 240 * ms}, 0, 250 * ms, 200 * ms},
		{"the beat is overdue now", []time.Duration{0}, 0, 500 * ms, 480 * ms},
		{"forgotten", []time.Duration{0, 320 * ms, 90 * time.Second, 90*time.Second + 20*ms}, 0, 90*time.Second + 20*ms,
			90*time.Second - 340*ms},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l Lag
			for _, b := range c.beats {
				l.Beat(at(b))
			}
			if got := l.Held(at(c.now), at(c.since)); got != c.want {
				t.Errorf("held up for %v, want %v", got, c.want)
			}
		})
	}
}

// TestHeldUpProcessEjectsNothing lets three connections be quiet while the process itself was held up, and then in truth.
func TestHeldUpProcessEjectsNothing(t *testing.T) {
	d := New(WithProgress(300 * time.Millisecond))
	d.Beat(begin)
	d.Join(begin, "e", "g")
	d.Join(begin, "peer", "g")
	for _, id := range []string{"1", "2", "3"} {
		d.Opened(begin, id, "e")
		d.Await(begin, id)
	}
	// The process wakes after a pause: checks may come before the beat or after it.
	wake := 500 * time.Millisecond
	for range 2 {
		if got := d.Check(at(wake)); len(got) > 0 {
			t.Fatalf("after a pause of the process itself: %v", kinds(got))
		}
		d.Beat(at(wake))
	}
	for b := wake; b < wake+290*time.Millisecond; b += BeatInterval {
		d.Beat(at(b))
	}
	if got := kinds(d.Check(at(wake + 290*time.Millisecond))); len(got) != 4 || got[3] != "eject  e" {
		t.Errorf("after a silence while the process ran: %v", got)
	}
}
