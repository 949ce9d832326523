package queuer

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// begin is the time at which the tests begin.
var begin = time.Unix(1000, 0)

// popped pops all items that have not expired and returns their identifiers.
func popped(q *Queue, now time.Time) []string {
	var ids []string
	for {
		i, ok := q.Pop(now)
		if !ok {
			return ids
		}
		ids = append(ids, i.ID)
	}
}

func TestPop(t *testing.T) {
	cases := []struct {
		name  string
		items []Item
		want  []string
	}{
		{"empty", nil, nil},
		{"one team in order", []Item{{ID: "1"}, {ID: "2"}}, []string{"1", "2"}},
		{"a large team does not delay a small one",
			[]Item{
				{ID: "a1", Team: "a", Tokens: 10}, {ID: "a2", Team: "a", Tokens: 10}, {ID: "a3", Team: "a", Tokens: 10},
				{ID: "b1", Team: "b", Tokens: 10},
			},
			[]string{"a1", "b1", "a2", "a3"}},
		{"teams are charged by tokens, not by requests",
			[]Item{
				{ID: "a1", Team: "a", Tokens: 30}, {ID: "a2", Team: "a", Tokens: 30},
				{ID: "b1", Team: "b", Tokens: 10}, {ID: "b2", Team: "b", Tokens: 10}, {ID: "b3", Team: "b", Tokens: 10},
			},
			[]string{"a1", "b1", "b2", "b3", "a2"}},
		{"a higher priority is popped first", []Item{{ID: "1"}, {ID: "2", Priority: 1}}, []string{"2", "1"}},
		{"an item past its deadline is not popped",
			[]Item{{ID: "1", Deadline: begin.Add(-time.Second)}, {ID: "2"}}, []string{"2"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New()
			for _, i := range c.items {
				q.level(i.Priority)
				i.Share = i.weight()
				q.Push(begin.Add(-2*time.Second), i)
			}
			if diff := cmp.Diff(c.want, popped(q, begin)); diff != "" {
				t.Errorf("popped mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestFull(t *testing.T) {
	cases := []struct {
		name string
		item Item
		want Decision
		shed []string
	}{
		{"an item of the team with the largest backlog is rejected", Item{ID: "n", Team: "a", Tokens: 1},
			Decision{Reason: ReasonFull, RetryAfter: time.Second}, nil},
		{"the team with the largest backlog makes room", Item{ID: "n", Team: "c", Tokens: 1}, Decision{Accepted: true}, []string{"a2"}},
		{"a lower priority makes room", Item{ID: "n", Team: "a", Tokens: 1, Priority: 1}, Decision{Accepted: true},
			[]string{"a2"}},
		{"an item of a lower priority is rejected", Item{ID: "n", Team: "c", Tokens: 1, Priority: -1},
			Decision{Reason: ReasonFull, RetryAfter: time.Second}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New(WithLimit(3))
			for _, i := range []Item{
				{ID: "a1", Team: "a", Tokens: 10}, {ID: "a2", Team: "a", Tokens: 10}, {ID: "b1", Team: "b", Tokens: 10},
			} {
				q.Push(begin, i)
			}
			got := q.Push(begin, c.item)
			var shed []string
			for _, i := range got.Shed {
				shed = append(shed, i.ID)
			}
			got.Shed = nil
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("Push mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.shed, shed); diff != "" {
				t.Errorf("shed mismatch (-want +got):\n%s", diff)
			}
			if q.Len() > 3 {
				t.Errorf("Len() = %d, want at most 3", q.Len())
			}
		})
	}
}

func TestDeadline(t *testing.T) {
	q := New()
	now := begin
	for n := range 400 {
		q.Push(now, Item{ID: fmt.Sprint(n), Team: "a", Tokens: 100})
	}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		q.Pop(now)
	}
	// 300 items of 100 tokens wait, at 10,000 tokens a second: an item pushed now waits for 3 s.
	rejected := q.Push(now, Item{ID: "late", Team: "a", Tokens: 100, Deadline: now.Add(time.Second)})
	want := Decision{Reason: ReasonDeadline, RetryAfter: 2 * time.Second, ExpectedWait: 3 * time.Second}
	round := cmp.Transformer("round", func(d time.Duration) int64 { return d.Round(time.Second).Milliseconds() })
	if diff := cmp.Diff(want, rejected, round); diff != "" {
		t.Errorf("Push mismatch (-want +got):\n%s", diff)
	}
	if d := q.Push(now, Item{ID: "other", Team: "b", Tokens: 100, Deadline: now.Add(time.Second)}); !d.Accepted {
		t.Errorf("Push of a team with nothing waiting = %+v, want accepted", d)
	}
	q.Push(now, Item{ID: "timed", Team: "b", Tokens: 100, Deadline: now.Add(4 * time.Second)})
	var expired []string
	for _, i := range q.Expire(now.Add(time.Minute)) {
		expired = append(expired, i.ID)
	}
	if diff := cmp.Diff([]string{"other", "timed"}, expired); diff != "" {
		t.Errorf("Expire mismatch (-want +got):\n%s", diff)
	}
}

// TestSlack checks that a team over its share gets less slack than a team within its share, and only while there is one.
func TestSlack(t *testing.T) {
	q := New()
	push := func(team string) { q.Push(begin, Item{ID: team, Team: team, Tokens: 100}) }
	slack := map[string]float64{}
	for range 20 {
		push("large")
		i, _ := q.Pop(begin)
		slack["alone"] = i.Slack
	}
	push("small")
	push("large")
	for range 2 {
		i, _ := q.Pop(begin)
		slack[i.Team] = i.Slack
	}
	want := map[string]float64{"alone": neutralSlack, "small": withinShareSlack, "large": overShareSlack}
	if diff := cmp.Diff(want, slack); diff != "" {
		t.Errorf("Slack mismatch (-want +got):\n%s", diff)
	}
}

// TestConserve draws operations and checks that each accepted item leaves the queue exactly once (popped, shed, expired or
// removed) and that the queue never holds more than its limit.
func TestConserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(WithLimit(8))
		now, queued, next := begin, map[string]bool{}, 0
		leave := func(id string) {
			if !queued[id] {
				t.Fatalf("item %s left the queue and was not in it", id)
			}
			delete(queued, id)
		}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0, 1:
				i := Item{
					ID: fmt.Sprint(next), Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
					Priority: rapid.IntRange(0, 1).Draw(t, "priority"), Tokens: rapid.IntRange(1, 50).Draw(t, "tokens"),
					Deadline: now.Add(time.Duration(rapid.IntRange(50, 900).Draw(t, "deadline")) * time.Millisecond),
				}
				next++
				d := q.Push(now, i)
				for _, s := range d.Shed {
					leave(s.ID)
				}
				if d.Accepted {
					queued[i.ID] = true
				}
			case 2:
				if i, ok := q.Pop(now); ok {
					if rapid.Bool().Draw(t, "return") {
						q.Requeue(now, i)
						continue
					}
					leave(i.ID)
				}
			case 3:
				for _, i := range q.Expire(now) {
					leave(i.ID)
				}
			case 4:
				id := fmt.Sprint(rapid.IntRange(0, max(0, next-1)).Draw(t, "id"))
				if removed := q.Remove(now, id); removed {
					leave(id)
				}
			}
			if q.Len() != len(queued) || q.Len() > 8 {
				t.Fatalf("Len() = %d, want %d and at most 8", q.Len(), len(queued))
			}
		}
	})
}
