package replicator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0)

func TestReplaceReturnsDeletions(t *testing.T) {
	c := New()
	c.Merge(start, Page{Rows: []Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}, Version: 2})
	changed := c.Replace(start, Page{Rows: []Row{{Key: "b", Version: 2}, {Key: "c", Version: 8}}, Version: 9})
	want := []Row{{Key: "c", Version: 8}, {Key: "a", Version: 9, Deleted: true}}
	if diff := cmp.Diff(want, changed); diff != "" {
		t.Errorf("changed rows mismatch (-want +got):\n%s", diff)
	}
}

// TestCopyFollowsTheStoreBackToEarlierRows guards against rows that are ignored because the store, which has come back from a copy,
// gives their versions out again.
func TestCopyFollowsTheStoreBackToEarlierRows(t *testing.T) {
	row := func(key, value string, version int64) Row {
		return Row{Key: key, Value: []byte(value), Version: version}
	}
	c := New()
	c.Replace(start, Page{Rows: []Row{row("kept", "1", 1), row("changed", "1", 2)}, Version: 2, Era: 1, IsWhole: true})
	c.Merge(start, Page{Rows: []Row{row("changed", "2", 3), row("lost", "1", 4), {Key: "back", Version: 5, Deleted: true}}, Version: 5, Era: 1})
	if changed := c.Merge(start, Page{Rows: []Row{row("new", "1", 4)}, Version: 4, Era: 2}); len(changed) > 0 || c.Head() != (Head{5, 1}) {
		t.Errorf("changes of a later era without the whole table: %v, head %v", changed, c.Head())
	}
	changed := c.Replace(start, Page{Rows: []Row{row("kept", "1", 1), row("changed", "1", 2), row("back", "1", 3)}, Version: 3, Era: 2, IsWhole: true})
	want := []Row{row("changed", "1", 2), row("back", "1", 3), {Key: "lost", Version: 3, Deleted: true}}
	if diff := cmp.Diff(want, changed); diff != "" {
		t.Errorf("rows that differ (-want +got):\n%s", diff)
	}
	for _, stale := range []Page{{Rows: []Row{row("late", "1", 9)}, Version: 9, Era: 1}, {Version: 9, Era: 1, IsWhole: true}} {
		if changed := append(c.Merge(start, stale), c.Replace(start, stale)...); len(changed) > 0 || c.Head() != (Head{3, 2}) {
			t.Errorf("page of an earlier era: changes %v, head %v", changed, c.Head())
		}
	}
	if got := c.Merge(start, Page{Rows: []Row{row("changed", "3", 4)}, Version: 4, Era: 2}); len(got) != 1 {
		t.Errorf("version given out again: %v, want the row", got)
	}
	other := New()
	other.Replace(start, c.Whole())
	if diff := cmp.Diff(c.Since(0).Head(), other.Head()); diff != "" || len(other.Rows) != 3 {
		t.Errorf("%d rows passed on, want 3; head (-want +got):\n%s", len(other.Rows), diff)
	}
}

// TestAnyOrderGivesTheNewest applies the history of a table to a copy in pieces, in any order and more than once, by
// changes, by whole reads and through another copy. The copy ends with the newest rows, and no row ever goes back to an
// older version.
func TestAnyOrderGivesTheNewest(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		var history []Row
		state := map[string]Row{}
		for v := range int64(30) {
			r := Row{Key: fmt.Sprint(random.IntN(5)), Version: v + 1, Deleted: random.IntN(3) == 0, Value: []byte{byte(v)}}
			history = append(history, r)
			state[r.Key] = r
		}
		c, other := New(), New()
		highest := map[string]int64{}
		for range 60 {
			at := int64(random.IntN(31))
			p := Page{Version: at}
			whole := map[string]Row{}
			for _, r := range history[:at] {
				whole[r.Key] = r
			}
			for _, r := range whole {
				if !r.Deleted {
					p.Rows = append(p.Rows, r)
				}
			}
			switch random.IntN(3) {
			case 0:
				c.Replace(start, p)
			case 1:
				other.Replace(start, p)
				c.Merge(start, other.Since(0))
			default:
				c.Merge(start, Page{Rows: history[:at], Version: at})
			}
			for key, r := range c.Rows {
				if r.Version < highest[key] {
					t.Fatalf("seed %d: row %s went back from version %d to %d", seed, key, highest[key], r.Version)
				}
				highest[key] = r.Version
			}
		}
		c.Merge(start, Page{Rows: history, Version: 30})
		for key, r := range state {
			if got := c.Rows[key]; got.Version < r.Version || got.Deleted != r.Deleted {
				t.Errorf("seed %d: row %s is %+v, want %+v", seed, key, got, r)
			}
		}
	}
}
