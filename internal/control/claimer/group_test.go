package claimer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func TestLoneClaimIsWrittenAtOnce(t *testing.T) {
	g := Group{Delay: 5 * time.Millisecond, Size: 3, Parallel: 2, Patience: time.Second}
	b := Budget{}
	b.SetShare(start, 700, 7)
	g.Add(start, Entry{Number: 1, Key: "a", Since: start}, &b)
	got, _ := g.Next(start, &b)
	if diff := cmp.Diff([]int64{1}, got); diff != "" {
		t.Errorf("first transaction mismatch (-want +got):\n%s", diff)
	}
	g.Add(start, Entry{Number: 2, Key: "b", Since: start}, &b)
	got, again := g.Next(start, &b)
	if got != nil || !again.Equal(start.Add(g.Delay)) {
		t.Errorf("second claim got %v and %v, want a wait for the delay", got, again)
	}
	g.Add(start, Entry{Number: 3, Key: "b", Since: start}, &b)
	g.Add(start, Entry{Number: 4, Key: "c", Since: start, First: true}, &b)
	got, _ = g.Next(start, &b)
	if diff := cmp.Diff([]int64{4, 2}, got); diff != "" {
		t.Errorf("full transaction mismatch (-want +got): results first, a row once\n%s", diff)
	}
	if got, _ = g.Next(start.Add(time.Hour), &b); got != nil {
		t.Errorf("a third transaction %v while two are running", got)
	}
	g.FinishTransaction()
	got, _ = g.Next(start.Add(time.Hour), &b)
	if diff := cmp.Diff([]int64{3}, got); diff != "" {
		t.Errorf("last transaction mismatch (-want +got):\n%s", diff)
	}
}

func TestGroupRejectsClaimsBeyondBudget(t *testing.T) {
	g := Group{Size: 1, Parallel: 1, Patience: time.Second}
	b := Budget{}
	b.SetShare(start, 7, 7)
	var admitted []bool
	for i := range 4 {
		admitted = append(admitted, g.Add(start, Entry{Number: int64(i)}, &b))
	}
	admitted = append(admitted, g.Add(start, Entry{Number: 9, First: true}, &b))
	if diff := cmp.Diff([]bool{true, true, false, false, true}, admitted); diff != "" {
		t.Errorf("admitted mismatch (-want +got):\n%s", diff)
	}
}

// TestSmallTeamIsNotHeldUp fills the group with claims of a large team until they are rejected. A claim of a small team
// is still admitted, and is written with the next transaction.
func TestSmallTeamIsNotHeldUp(t *testing.T) {
	g := Group{Size: 2, Parallel: 1, Patience: time.Second}
	b := Budget{}
	b.SetShare(start, 7, 7)
	number, large := int64(0), 0
	add := func(team string) bool {
		number++
		return g.Add(start, Entry{Number: number, Key: string(rune('a' + number)), Team: team, Since: start}, &b)
	}
	for add("large") {
		large++
	}
	if !add("small") || large == 0 {
		t.Fatalf("the small team is rejected after %d claims of the large one", large)
	}
	got, _ := g.Next(start, &b)
	if diff := cmp.Diff([]int64{1, number}, got); diff != "" {
		t.Errorf("transaction mismatch (-want +got):\n%s", diff)
	}
}

func TestBudgetIsSharedByTheFleet(t *testing.T) {
	const seconds = 10
	taken := 0
	for range 7 {
		b := Budget{}
		b.SetShare(start, 350, 7)
		for i := range seconds * 1000 {
			if b.Take(start.Add(time.Duration(i) * time.Millisecond)) {
				taken++
			}
		}
	}
	if limit := 350*seconds + 7*5; taken > limit || taken < 350*seconds*9/10 {
		t.Errorf("the fleet wrote %d transactions in %d s, want at most %d", taken, seconds, limit)
	}
}

func TestBreaker(t *testing.T) {
	b := Breaker{Limit: 2, Probe: time.Second}
	b.RecordResult(start, false)
	if !b.Allow(start) {
		t.Error("one failure opened the breaker")
	}
	b.RecordResult(start, false)
	got := []bool{b.Allow(start), b.Allow(start.Add(time.Second)), b.Allow(start.Add(time.Second))}
	if diff := cmp.Diff([]bool{false, true, false}, got); diff != "" {
		t.Errorf("probes mismatch (-want +got):\n%s", diff)
	}
	b.RecordResult(start.Add(time.Second), true)
	if !b.Allow(start.Add(time.Second)) {
		t.Error("the breaker stays open after a success")
	}
}
