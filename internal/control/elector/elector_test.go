package elector

import (
	"testing"
	"time"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

func TestWants(t *testing.T) {
	late := start.Add(settle + 20*turn)
	for _, c := range []struct {
		name   string
		change func(e *Elector)
		now    time.Time
		living []string
		want   bool
	}{
		{"alone, at once", nil, start, nil, false},
		{"alone, settled", nil, start.Add(settle), nil, true},
		{"second of two, settled", nil, start.Add(settle), []string{"a"}, false},
		{"second of two, a turn later", nil, start.Add(settle + turn), []string{"a"}, true},
		{"holder lives", func(e *Elector) { e.Learn(start, Duty{"z", 1}) }, late, []string{"z"}, false},
		{"holder is gone, first look", func(e *Elector) { e.Learn(start, Duty{"z", 1}) }, late, nil, false},
		{"holds it", func(e *Elector) { e.Learn(start, Duty{"m", 1}) }, late, nil, false},
		{"was fenced", func(e *Elector) { e.Learn(start, Duty{"m", 1}); e.Fenced(late) }, late, nil, false},
	} {
		e := New(start, "m")
		if c.change != nil {
			c.change(e)
		}
		if got := e.Wants(c.now, c.living); got != c.want {
			t.Errorf("%s: wants it: %v", c.name, got)
		}
	}
}

func TestHolderGone(t *testing.T) {
	e := New(start, "m")
	e.Learn(start, Duty{"z", 4})
	if e.Wants(start, []string{"z"}) || e.Wants(start.Add(time.Hour), nil) {
		t.Error("wanted while the holder lives or has only just gone")
	}
	if !e.Wants(start.Add(time.Hour+settle), nil) {
		t.Error("not wanted after the holder has gone")
	}
}

func TestOldNewsIsIgnored(t *testing.T) {
	e := New(start, "m")
	e.Learn(start, Duty{"m", 5})
	e.Learn(start, Duty{"z", 4})
	if !e.Holds() {
		t.Error("an older duty was believed")
	}
	e.Learn(start, Duty{"z", 6})
	if e.Holds() {
		t.Error("a newer duty was not believed")
	}
}

func TestDecode(t *testing.T) {
	want := Duty{"m", 7}
	if got, err := Decode(want.Encode()); err != nil || got != want {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := Decode([]byte("{")); err == nil {
		t.Error("no error for a broken row")
	}
}
