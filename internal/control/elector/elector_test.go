package elector

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestShouldTakeOver(t *testing.T) {
	late := start.Add(settleTime + 20*rankDelay)
	for _, c := range []struct {
		name   string
		change func(e *Elector)
		now    time.Time
		live   []string
		want   bool
	}{
		{"alone, at the start", nil, start, nil, false},
		{"alone, after the settle time", nil, start.Add(settleTime), nil, true},
		{"second of two, after the settle time", nil, start.Add(settleTime), []string{"a"}, false},
		{"second of two, one rank delay later", nil, start.Add(settleTime + rankDelay), []string{"a"}, true},
		{"holder is live", func(e *Elector) { e.RecordDuty(start, Duty{"z", 1}) }, late, []string{"z"}, false},
		{"holder is missing, first check", func(e *Elector) { e.RecordDuty(start, Duty{"z", 1}) }, late, nil, false},
		{"holds the duty", func(e *Elector) { e.RecordDuty(start, Duty{"m", 1}) }, late, nil, false},
		{"token was rejected", func(e *Elector) { e.RecordDuty(start, Duty{"m", 1}); e.RecordTokenRejected(late) }, late, nil, false},
	} {
		e := New(start, "m")
		if c.change != nil {
			c.change(e)
		}
		if got := e.ShouldTakeOver(c.now, c.live); got != c.want {
			t.Errorf("%s: should take over: %v", c.name, got)
		}
	}
}

func TestTakeoverWaitsForSettleTime(t *testing.T) {
	e := New(start, "m")
	e.RecordDuty(start, Duty{"z", 4})
	if e.ShouldTakeOver(start, []string{"z"}) || e.ShouldTakeOver(start.Add(time.Hour), nil) {
		t.Error("takes over while the holder is live or has only just gone missing")
	}
	if !e.ShouldTakeOver(start.Add(time.Hour+settleTime), nil) {
		t.Error("does not take over after the holder has been missing for the settle time")
	}
}

func TestOlderDutyIsIgnored(t *testing.T) {
	e := New(start, "m")
	e.RecordDuty(start, Duty{"m", 5})
	e.RecordDuty(start, Duty{"z", 4})
	if !e.Holds() {
		t.Error("an older duty was recorded")
	}
	e.RecordDuty(start, Duty{"z", 6})
	if e.Holds() {
		t.Error("a newer duty was not recorded")
	}
}

func TestDecode(t *testing.T) {
	want := Duty{"m", 7}
	if got, err := Decode(want.Encode()); err != nil || got != want {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := Decode([]byte("{")); err == nil {
		t.Error("no error for a malformed row")
	}
}
