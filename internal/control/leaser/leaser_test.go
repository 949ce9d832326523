package leaser

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

var (
	start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	load  = Intent{ID: "order-1", Endpoint: "engine-1", Order: "load"}
)

// after returns the time s seconds after the start.
func after(s float64) time.Time {
	return start.Add(time.Duration(s * float64(time.Second)))
}

func newLease(self string) *Lease {
	return New(self, DefaultTerms(), func(n int64) string { return fmt.Sprint(self, n) })
}

// holder returns a lease that was taken at the start.
func holder(t *testing.T) *Lease {
	t.Helper()
	l := newLease("one")
	l.Observe(start, Row{})
	a := l.Next(start)
	want := Action{Step: StepWrite, Record: Record{Holder: "one", Fence: 1, Write: "one1"}}
	if diff := cmp.Diff(want, a); diff != "" {
		t.Fatalf("first write mismatch (-want +got):\n%s", diff)
	}
	l.Written(after(1), classifier.Completed, true, Row{Version: 1})
	return l
}

func TestOrderNeedsIntentAndWindow(t *testing.T) {
	l := holder(t)
	if !l.Begin(after(1), load) {
		t.Fatal("the holder may not order")
	}
	if _, ok := l.Ready(after(1), load.ID); ok {
		t.Error("an order without a written intent is ready")
	}
	a := l.Next(after(1))
	if diff := cmp.Diff([]Intent{load}, a.Record.Intents); diff != "" {
		t.Errorf("intents mismatch (-want +got):\n%s", diff)
	}
	l.Written(after(3), classifier.Completed, true, Row{Version: 2})
	limit, ok := l.Ready(after(3), load.ID)
	if diff := cmp.Diff(after(5), limit); diff != "" || !ok {
		t.Errorf("limit counts from the answer, not from the write's beginning (-want +got):\n%s", diff)
	}
	if _, ok := l.Ready(after(5), load.ID); ok {
		t.Error("a holder that wakes after the window may order")
	}
	if l.Begin(after(3), load) {
		t.Error("a second order to an engine with an unconfirmed one")
	}
	l.End(load.ID)
	if !l.Begin(after(3), load) {
		t.Error("no order after the confirmed one")
	}
}

func TestNextHolderWaitsAndLeavesOrderedEnginesAlone(t *testing.T) {
	terms := DefaultTerms()
	l := newLease("two")
	row := Row{Version: 4, Record: Record{Holder: "one", Fence: 2, Write: "one4", Intents: []Intent{load}}}
	l.Observe(start, row)
	steps := []Step{l.Next(start).Step, l.Next(after(3)).Step}
	l.Observe(after(4), row)
	steps = append(steps, l.Next(after(5)).Step, l.Next(start.Add(terms.Length+terms.Drift)).Step)
	if diff := cmp.Diff([]Step{StepWait, StepRead, StepWait, StepWrite}, steps); diff != "" {
		t.Errorf("steps mismatch (-want +got):\n%s", diff)
	}
	l.Written(after(6), classifier.Completed, true, Row{Version: 5})
	if diff := cmp.Diff(int64(3), l.Row.Record.Fence); diff != "" {
		t.Errorf("fence mismatch (-want +got):\n%s", diff)
	}
	rested := start.Add(terms.Length + terms.Drift + terms.rest())
	got := []bool{l.Busy(after(6), "engine-1"), l.Busy(after(6), "engine-2"), l.Busy(rested, "engine-1")}
	if diff := cmp.Diff([]bool{true, false, false}, got); diff != "" {
		t.Errorf("busy mismatch (-want +got):\n%s", diff)
	}
}

func TestWriteInDoubt(t *testing.T) {
	cases := []struct {
		name string
		row  Row
		held bool
	}{
		{"took effect", Row{Version: 2, Record: Record{Holder: "one", Fence: 1, Write: "one2"}}, true},
		{"not yet", Row{Version: 1, Record: Record{Holder: "one", Fence: 1, Write: "one1"}}, true},
		{"another holder", Row{Version: 2, Record: Record{Holder: "two", Fence: 2, Write: "two1"}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := holder(t)
			l.Next(after(2))
			l.Written(after(2), classifier.Unknown, false, Row{})
			if _, ok := l.Ready(after(2), load.ID); ok || l.Next(after(2)).Step != StepRead {
				t.Error("orders go on while a write is in doubt")
			}
			l.Observe(after(3), c.row)
			if l.Held != c.held {
				t.Errorf("held is %v", l.Held)
			}
		})
	}
}

func TestRelease(t *testing.T) {
	l := holder(t)
	a, ok := l.Release()
	want := Action{Step: StepWrite, Version: 1, Record: Record{Fence: 1, Write: "one2"}}
	if diff := cmp.Diff(want, a); diff != "" || !ok {
		t.Errorf("release mismatch (-want +got):\n%s", diff)
	}
	if l.Next(after(1)).Step != StepWait || l.Begin(after(1), load) {
		t.Error("a released lease goes on")
	}
}
