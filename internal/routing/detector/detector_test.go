package detector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// begin is the time at which the tests begin.
var begin = time.Unix(1000, 0)

// at returns the time d after begin.
func at(d time.Duration) time.Time { return begin.Add(d) }

// kinds returns the kinds and names of actions.
func kinds(actions []Action) []string {
	var names []string
	for _, a := range actions {
		names = append(names, a.Kind+" "+a.Connection+" "+a.Endpoint)
	}
	return names
}

func TestCheck(t *testing.T) {
	cases := []struct {
		name  string
		feed  func(d *Detector)
		want  []string
		share float64
	}{
		{"an idle connection may be silent", func(d *Detector) { d.AddConnection(begin, "c", "e") }, nil, 1},
		{"a silent connection with a pending step is pinged", func(d *Detector) {
			d.AddConnection(at(time.Second), "c", "e")
			d.AddPendingStep(at(time.Second+500*time.Millisecond), "c")
		}, []string{"ping c e"}, 1},
		{"a silent connection is replaced and its endpoint is not ejected", func(d *Detector) {
			d.AddConnection(begin, "c", "e")
			d.AddConnection(begin, "other", "e")
			d.AddPendingStep(begin, "c")
			d.RecordProgress(at(2*time.Second), "other")
		}, []string{"replace c e"}, 1},
		{"one silence of the only connection does not eject the endpoint", func(d *Detector) {
			d.AddConnection(begin, "c", "e")
			d.AddPendingStep(begin, "c")
		}, []string{"replace c e"}, 1},
		{"an endpoint silent on three new connections is ejected", func(d *Detector) {
			for _, id := range []string{"1", "2", "3"} {
				d.AddConnection(begin, id, "e")
				d.AddPendingStep(begin, id)
			}
		}, []string{"replace 1 e", "replace 2 e", "replace 3 e", "eject  e"}, 0},
		{"progress postpones the timeout", func(d *Detector) {
			d.AddConnection(begin, "c", "e")
			d.AddPendingStep(begin, "c")
			d.RecordProgress(at(2*time.Second), "c")
		}, nil, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := New()
			for _, id := range []string{"e", "f"} {
				d.SetGroup(begin, id, "0-10")
			}
			c.feed(d)
			got := kinds(d.Check(at(2700 * time.Millisecond)))
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("Check mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.share, d.Share(at(2700*time.Millisecond), "e")); diff != "" {
				t.Errorf("Share mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFalseAlarm has all endpoints of a layer range fail at once, as when this instance's own network fails: at most
// half of them are ejected, and all of these are readmitted.
func TestFalseAlarm(t *testing.T) {
	d := New()
	ids := []string{"a", "b", "c", "d"}
	for _, id := range ids {
		d.SetGroup(begin, id, "0-10")
	}
	for range 5 {
		for _, id := range ids {
			d.RecordFailure(begin, id, "refused")
		}
	}
	ejected := 0
	for _, id := range ids {
		if d.Share(begin, id) == 0 {
			ejected++
		}
	}
	if diff := cmp.Diff(2, ejected); diff != "" {
		t.Errorf("ejected mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"return  a", "return  b"}, kinds(d.Check(at(defaultEjectionTime)))); diff != "" {
		t.Errorf("Check mismatch (-want +got):\n%s", diff)
	}
}

// TestCompare records step times of paths over two endpoints, each drawn from three, and a link, and checks which part
// is found slow.
func TestCompare(t *testing.T) {
	cases := []struct {
		name string
		slow map[string]float64
		// all is a factor on every part, as under load.
		all  float64
		want []string
	}{
		{"none", nil, 1, nil},
		{"all equally slow", nil, 3, nil},
		{"one endpoint", map[string]float64{"e1": 3}, 1, []string{"e1"}},
		{"one endpoint under load", map[string]float64{"e4": 3}, 2, []string{"e4"}},
		{"a link", map[string]float64{"link": 100}, 1, []string{"link"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := New()
			r := rand.New(rand.NewPCG(1, 1))
			for range 600 {
				parts := []Part{
					{Name: fmt.Sprintf("e%d", r.IntN(3)), ExpectedTime: 10 * time.Millisecond},
					{Name: fmt.Sprintf("e%d", 3+r.IntN(3)), ExpectedTime: 12 * time.Millisecond},
				}
				if r.IntN(2) == 0 {
					parts = append(parts, Part{Name: "link", ExpectedTime: time.Millisecond})
				}
				took := 0.0
				for _, p := range parts {
					took += p.ExpectedTime.Seconds() * c.all * max(1, c.slow[p.Name])
				}
				took *= 0.9 + 0.2*r.Float64()
				d.Compare(begin, parts, time.Duration(took*float64(time.Second)))
			}
			var slow []string
			for _, p := range d.State(begin).Slow {
				slow = append(slow, p.Name)
			}
			if diff := cmp.Diff(c.want, slow); diff != "" {
				t.Errorf("Slow mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestClear checks that a healthy part which shared its steps with a slow one recovers by steps at normal speed without
// it, and that a slow part without samples expires.
func TestClear(t *testing.T) {
	d := New()
	normalStep := func(now time.Time, name string) {
		d.Compare(now, []Part{{Name: name, ExpectedTime: 10 * time.Millisecond}}, 10*time.Millisecond)
	}
	for range 2 * samplesPerMedian {
		normalStep(begin, "a")
		normalStep(begin, "b")
		normalStep(begin, "c")
	}
	pair := []Part{{Name: "a", ExpectedTime: 10 * time.Millisecond}, {Name: "d", ExpectedTime: 10 * time.Millisecond}}
	for range samplesPerMedian {
		d.Compare(begin, pair, 200*time.Millisecond)
		d.Compare(begin, pair, 200*time.Millisecond)
		normalStep(begin, "c")
	}
	slow := func(now time.Time, name string) bool { return d.Share(now, name) < 1 }
	got := []bool{slow(begin, "a"), slow(begin, "d"), slow(begin, "c")}
	for range samplesPerMedian {
		normalStep(begin, "a")
	}
	got = append(got, slow(begin, "a"), slow(begin, "d"))
	got = append(got, slow(begin.Add(expireAfter+time.Second), "d"))
	if diff := cmp.Diff([]bool{true, true, false, false, true, false}, got); diff != "" {
		t.Errorf("slow mismatch (-want +got):\n%s", diff)
	}
}
