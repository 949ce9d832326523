package assigner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// nodes returns count nodes of a data centre.
func nodes(prefix, centre, region string, count int) []Node {
	var out []Node
	for i := range count {
		out = append(out, Node{ID: fmt.Sprint(prefix, i), DataCentre: centre, Region: region})
	}
	return out
}

func TestWatchersAreNearest(t *testing.T) {
	endpoint := Node{ID: "e", DataCentre: "a", Region: "r"}
	near, region, far := nodes("a", "a", "r", 3), nodes("b", "b", "r", 3), nodes("c", "c", "s", 3)
	cases := []struct {
		name      string
		instances []Node
		want      string
	}{
		{"own data centre first", slices.Concat(far, region, near), "a"},
		{"region without own data centre", slices.Concat(far, region), "b"},
		{"another region", far, "c"},
		{"no instance", nil, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Watchers(endpoint, c.instances, 2)
			if c.want == "" {
				if got != nil {
					t.Errorf("got %v, want none", got)
				}
				return
			}
			if len(got) != 2 || got[0][:1] != c.want || got[1][:1] != c.want {
				t.Errorf("got %v, want two of %s", got, c.want)
			}
		})
	}
}

// TestLossMovesOnlyWatchedEndpoints checks that the loss of one instance moves only the endpoints that it watched, and
// that every endpoint keeps its watchers.
func TestLossMovesOnlyWatchedEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := nodes("n", "a", "r", rapid.IntRange(3, 30).Draw(t, "instances"))
		lost := rapid.IntRange(0, len(instances)-1).Draw(t, "lost")
		rest := slices.Delete(slices.Clone(instances), lost, lost+1)
		for _, e := range nodes("e", "a", "r", 50) {
			before, after := Watchers(e, instances, 2), Watchers(e, rest, 2)
			before = slices.DeleteFunc(before, func(id string) bool { return id == instances[lost].ID })
			if diff := cmp.Diff(before, after[:len(before)]); diff != "" {
				t.Fatalf("%s: watchers that remain changed (-before +after):\n%s", e.ID, diff)
			}
			if len(after) != 2 {
				t.Fatalf("%s has %d watchers", e.ID, len(after))
			}
		}
	})
}

func TestAssignmentsCoverEachEndpoint(t *testing.T) {
	instances, endpoints := nodes("n", "a", "r", 7), nodes("e", "a", "r", 40)
	ranks := map[string][]int{}
	for _, n := range instances {
		for _, d := range Assignments(n.ID, endpoints, instances, 3) {
			ranks[d.Endpoint] = append(ranks[d.Endpoint], d.Rank)
		}
	}
	for _, e := range endpoints {
		slices.Sort(ranks[e.ID])
		if diff := cmp.Diff([]int{0, 1, 2}, ranks[e.ID]); diff != "" {
			t.Errorf("%s: ranks mismatch (-want +got):\n%s", e.ID, diff)
		}
	}
}

func TestSubset(t *testing.T) {
	self := Node{ID: "n", DataCentre: "a", Region: "r"}
	endpoints := slices.Concat(nodes("c", "c", "s", 2), nodes("b", "b", "r", 2), nodes("a", "a", "r", 2))
	cases := []struct {
		count int
		want  []string
	}{
		{2, []string{"a0", "a1"}},
		{4, []string{"a0", "a1", "b0", "b1"}},
		{9, []string{"a0", "a1", "b0", "b1", "c0", "c1"}},
	}
	for _, c := range cases {
		if diff := cmp.Diff(c.want, Subset(self, endpoints, c.count)); diff != "" {
			t.Errorf("Subset of %d mismatch (-want +got):\n%s", c.count, diff)
		}
	}
}

func TestLoadEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 1<<30)
		want := Load{count.Draw(t, "running"), count.Draw(t, "waiting"), count.Draw(t, "rate")}
		got, err := DecodeLoad(want.Encode())
		if err != nil || got != want {
			t.Fatalf("got %+v, %v, want %+v", got, err, want)
		}
		q := want.Quantised()
		if q.Running > want.Running || want.Running-q.Running > want.Running/4 {
			t.Fatalf("%d is reported as %d", want.Running, q.Running)
		}
	})
	for _, b := range [][]byte{nil, {1}, {1, 2}, {0x80}, {1, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}} {
		if _, err := DecodeLoad(b); err == nil {
			t.Errorf("DecodeLoad(%v) succeeded", b)
		}
	}
}

func TestRecordIfDue(t *testing.T) {
	const minInterval, refresh = time.Second, 10 * time.Second
	cases := []struct {
		name  string
		after time.Duration
		load  Load
		want  bool
	}{
		{"unchanged", 2 * time.Second, Load{Running: 16}, false},
		{"one step up", 2 * time.Second, Load{Running: 20}, false},
		{"two steps up", 2 * time.Second, Load{Running: 24}, true},
		{"two steps up, too soon", time.Second / 2, Load{Running: 24}, false},
		{"one step down", 2 * time.Second, Load{Running: 14}, false},
		{"two steps down", 2 * time.Second, Load{Running: 13}, true},
		{"first waiting request", 2 * time.Second, Load{Running: 16, Waiting: 2}, true},
		{"refresh", 10 * time.Second, Load{Running: 16}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.UnixMilli(1_000)
			var reporter LoadReporter
			if !reporter.RecordIfDue(now, Load{Running: 16}, minInterval, refresh) {
				t.Fatal("the first load is not due")
			}
			if got := reporter.RecordIfDue(now.Add(c.after), c.load, minInterval, refresh); got != c.want {
				t.Errorf("RecordIfDue = %v, want %v", got, c.want)
			}
		})
	}
}
