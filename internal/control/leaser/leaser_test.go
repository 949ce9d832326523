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

// afterStart returns the time s seconds after the start.
func afterStart(s float64) time.Time {
	return start.Add(time.Duration(s * float64(time.Second)))
}

func newLease(self string) *Lease {
	return New(self, DefaultTerms(), func(n int64) string { return fmt.Sprint(self, n) })
}

// newHolder returns a lease that was acquired at the start.
func newHolder(t *testing.T) *Lease {
	t.Helper()
	l := newLease("one")
	l.HandleRead(start, Row{})
	a := l.Next(start)
	want := Action{Step: StepWrite, Record: Record{Holder: "one", Fence: 1, WriteID: "one1"}}
	if diff := cmp.Diff(want, a); diff != "" {
		t.Fatalf("first write mismatch (-want +got):\n%s", diff)
	}
	l.HandleWrite(afterStart(1), classifier.Completed, true, Row{Version: 1})
	return l
}

func TestOrderNeedsWrittenIntentAndOpenWindow(t *testing.T) {
	l := newHolder(t)
	if !l.AddIntent(afterStart(1), load) {
		t.Fatal("the holder may not add an intent")
	}
	if _, ok := l.OrderDeadline(afterStart(1), load.ID); ok {
		t.Error("an order without a written intent may start")
	}
	a := l.Next(afterStart(1))
	if diff := cmp.Diff([]Intent{load}, a.Record.Intents); diff != "" {
		t.Errorf("intents mismatch (-want +got):\n%s", diff)
	}
	l.HandleWrite(afterStart(3), classifier.Completed, true, Row{Version: 2})
	deadline, ok := l.OrderDeadline(afterStart(3), load.ID)
	if diff := cmp.Diff(afterStart(5), deadline); diff != "" || !ok {
		t.Errorf("the deadline counts from the answer, not from the start of the write (-want +got):\n%s", diff)
	}
	if _, ok := l.OrderDeadline(afterStart(5), load.ID); ok {
		t.Error("a holder that resumes after the window may start an order")
	}
	if l.AddIntent(afterStart(3), load) {
		t.Error("a second intent was added for an engine with an unconfirmed order")
	}
	l.RemoveIntent(load.ID)
	if !l.AddIntent(afterStart(3), load) {
		t.Error("no intent could be added after the order was confirmed")
	}
}

func TestNextHolderWaitsAndSkipsEnginesWithUnconfirmedOrders(t *testing.T) {
	terms := DefaultTerms()
	l := newLease("two")
	row := Row{Version: 4, Record: Record{Holder: "one", Fence: 2, WriteID: "one4", Intents: []Intent{load}}}
	l.HandleRead(start, row)
	steps := []Step{l.Next(start).Step, l.Next(afterStart(3)).Step}
	l.HandleRead(afterStart(4), row)
	steps = append(steps, l.Next(afterStart(5)).Step, l.Next(start.Add(terms.LeaseDuration+terms.MaxClockDrift)).Step)
	if diff := cmp.Diff([]Step{StepWait, StepRead, StepWait, StepWrite}, steps); diff != "" {
		t.Errorf("steps mismatch (-want +got):\n%s", diff)
	}
	l.HandleWrite(afterStart(6), classifier.Completed, true, Row{Version: 5})
	if diff := cmp.Diff(int64(3), l.Row.Record.Fence); diff != "" {
		t.Errorf("fence mismatch (-want +got):\n%s", diff)
	}
	orderEnd := start.Add(terms.LeaseDuration + terms.MaxClockDrift + terms.remainingOrderTime())
	got := []bool{l.Busy(afterStart(6), "engine-1"), l.Busy(afterStart(6), "engine-2"), l.Busy(orderEnd, "engine-1")}
	if diff := cmp.Diff([]bool{true, false, false}, got); diff != "" {
		t.Errorf("busy mismatch (-want +got):\n%s", diff)
	}
}

func TestWriteWithUnknownOutcome(t *testing.T) {
	cases := []struct {
		name string
		row  Row
		held bool
	}{
		{"applied", Row{Version: 2, Record: Record{Holder: "one", Fence: 1, WriteID: "one2"}}, true},
		{"not applied yet", Row{Version: 1, Record: Record{Holder: "one", Fence: 1, WriteID: "one1"}}, true},
		{"another holder", Row{Version: 2, Record: Record{Holder: "two", Fence: 2, WriteID: "two1"}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newHolder(t)
			l.Next(afterStart(2))
			l.HandleWrite(afterStart(2), classifier.Unknown, false, Row{})
			if _, ok := l.OrderDeadline(afterStart(2), load.ID); ok || l.Next(afterStart(2)).Step != StepRead {
				t.Error("orders may start while the outcome of a write is unknown")
			}
			l.HandleRead(afterStart(3), c.row)
			if l.Held != c.held {
				t.Errorf("held is %v", l.Held)
			}
		})
	}
}

func TestRelease(t *testing.T) {
	l := newHolder(t)
	a, ok := l.Release()
	want := Action{Step: StepWrite, Version: 1, Record: Record{Fence: 1, WriteID: "one2"}}
	if diff := cmp.Diff(want, a); diff != "" || !ok {
		t.Errorf("release mismatch (-want +got):\n%s", diff)
	}
	if l.Next(afterStart(1)).Step != StepWait || l.AddIntent(afterStart(1), load) {
		t.Error("a released lease is still used")
	}
}
