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
