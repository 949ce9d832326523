package waiter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestReturns guards against callers that come back and count as new ones at another instance, and against refusals that are
// reported or remembered without end.
func TestReturns(t *testing.T) {
	first, second := NewReturns(), NewReturns()
	first.RecordRefusal(start, 7)
	second.Merge(start.Add(300*time.Millisecond), first.Report(start.Add(300*time.Millisecond)))
	if !second.HasReturned(start.Add(2*time.Second), 7) || second.HasReturned(start.Add(2*time.Second), 8) {
		t.Error("another instance does not tell the refused request from others")
	}
	if got := first.Report(start.Add(reportTime + time.Millisecond)); len(got) > 0 {
		t.Errorf("old refusals are still reported: %v", got)
	}
	if second.HasReturned(start.Add(3*refusalTTL), 7) {
		t.Error("a refusal is remembered without end")
	}
}

// TestReturnsAreBounded guards against memory and reports that grow with an overload.
func TestReturnsAreBounded(t *testing.T) {
	r := NewReturns()
	for i := range uint32(3 * maxRefusals) {
		r.RecordRefusal(start, i)
	}
	got := map[string]int{"reported": len(r.Report(start)), "remembered": len(r.recent) + len(r.older)}
	if diff := cmp.Diff(map[string]int{"reported": maxReported, "remembered": maxRefusals}, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
}

// TestOrderPutsReturnedCallersLast guards against an urgent request that is late in any case before one that can be in time.
func TestOrderPutsReturnedCallersLast(t *testing.T) {
	q := New()
	returned := item("returned", "small", 0, 0)
	returned.Late, returned.Returned = true, true
	for _, i := range []Item{returned, item("new", "large", 2, 0)} {
		q.Push(start, i)
	}
	if got := q.Order(start)[0].ID; got != "new" {
		t.Errorf("%s is first", got)
	}
}
