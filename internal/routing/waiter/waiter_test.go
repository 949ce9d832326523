package waiter

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// item returns a request that arrived age before start.
func item(id, team string, priority int, age time.Duration) Item {
	return Item{
		ID: id, Team: team, Priority: priority, FirstEventTarget: 500 * time.Millisecond, ReceivedAt: start.Add(-age), Deadline: start.Add(20 * time.Second),
	}
}

func TestOrder(t *testing.T) {
	q := New()
	resumed := item("resumed", "large", 3, 0)
	resumed.Resumed = true
	late := item("late", "small", 1, 200*time.Millisecond)
	late.Late = true
	for _, i := range []Item{
		item("large-1", "large", 1, 90*time.Millisecond), item("large-2", "large", 1, 80*time.Millisecond),
		item("large-3", "large", 1, 70*time.Millisecond), item("small-1", "small", 1, 10*time.Millisecond),
		item("urgent", "large", 0, 0), resumed, late,
	} {
		if q.Push(start, i) <= 0 {
			t.Fatalf("%s may not wait", i.ID)
		}
	}
	var got []string
	for _, i := range q.Order(start) {
		got = append(got, i.ID)
	}
	want := []string{"resumed", "urgent", "large-1", "small-1", "large-2", "large-3", "late"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

func TestWait(t *testing.T) {
	q := New()
	if got := q.Push(start, item("new", "t", 1, 0)); got != 250*time.Millisecond {
		t.Errorf("a new request waits %v", got)
	}
	if got := q.Push(start, item("late", "t", 1, 300*time.Millisecond)); got != 0 || q.Len() != 1 {
		t.Errorf("a late request waits %v, %d wait", got, q.Len())
	}
	resent := item("again", "t", 1, 300*time.Millisecond)
	resent.Late = true
	if got := q.Push(start, resent); got != 1200*time.Millisecond {
		t.Errorf("a request whose caller received a part of the answer waits %v", got)
	}
	q.Remove("again")
	short := item("short", "t", 1, 0)
	short.Deadline = start.Add(100 * time.Millisecond)
	if got := q.Push(start, short); got != 100*time.Millisecond {
		t.Errorf("a request with a short deadline waits %v", got)
	}
	for i := range 2 * maxItems {
		q.Push(start, item(fmt.Sprint(i), "t", 1, 0))
	}
	if q.Len() != maxItems {
		t.Errorf("%d requests wait, want at most %d", q.Len(), maxItems)
	}
}
