package recorder

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// modelSnapshot returns the snapshot of one model with the given versions.
func modelSnapshot(t *testing.T, versions ...Version) Snapshot {
	t.Helper()
	r, err := NewRecord(KindModel, "chat", Model{Layers: 8, Versions: versions})
	if err != nil {
		t.Fatal(err)
	}
	return Snapshot{Epoch: 1, Records: []Record{r}}
}

// assignVersions returns the version that each of many keys is assigned.
func assignVersions(t *testing.T, versions ...Version) []string {
	t.Helper()
	v, err := NewView(modelSnapshot(t, versions...))
	if err != nil {
		t.Fatal(err)
	}
	const keys = 20_000
	names := make([]string, keys)
	for i := range names {
		names[i], _ = v.SelectVersion("chat", fmt.Sprint("key", i))
	}
	return names
}

func TestVersionMovesOnlyNeededKeys(t *testing.T) {
	before := assignVersions(t, Version{"a", 90}, Version{"b", 10})
	after := assignVersions(t, Version{"a", 70}, Version{"b", 30})
	movedBack, moved, assigned := 0, 0, 0
	for i := range before {
		if after[i] == "b" {
			assigned++
		}
		if before[i] != after[i] {
			moved++
		}
		if before[i] == "b" && after[i] == "a" {
			movedBack++
		}
	}
	if movedBack != 0 {
		t.Errorf("%d keys moved back to the version whose share fell", movedBack)
	}
	near := func(got int, want float64) bool {
		return float64(got) > (want-0.01)*float64(len(before)) && float64(got) < (want+0.01)*float64(len(before))
	}
	if !near(moved, 0.2) || !near(assigned, 0.3) {
		t.Errorf("moved %d and share %d of %d keys, want 20%% and 30%%", moved, assigned, len(before))
	}
}

func TestVersionWithoutShare(t *testing.T) {
	for i, got := range assignVersions(t, Version{"a", 100}, Version{"b", 0}) {
		if got != "a" {
			t.Fatalf("key %d got %q", i, got)
		}
	}
	v, err := NewView(Snapshot{})
	if err != nil {
		t.Fatal(err)
	}
	if name, found := v.SelectVersion("absent", "k"); found {
		t.Errorf("absent model has version %q", name)
	}
}

func TestNewViewRejectsOtherSchemas(t *testing.T) {
	for _, schema := range []int{0, 1, 3} {
		s := modelSnapshot(t, Version{"a", 100})
		s.Records[0].Schema = schema
		if _, err := NewView(s); !errors.Is(err, ErrSchema) {
			t.Errorf("schema %d: %v", schema, err)
		}
	}
}

func TestFindCall(t *testing.T) {
	s := Service{Calls: []Call{
		{Method: "GET", PathPrefix: "/"},
		{Method: "POST", PathPrefix: "/holds", DeadlineMillis: 1},
		{Method: "POST", PathPrefix: "/holds/cancel", DeadlineMillis: 2},
	}}
	cases := []struct {
		method, path string
		deadline     int
		found        bool
	}{
		{"GET", "/parts/7", 0, true},
		{"POST", "/holds", 1, true},
		{"POST", "/holds/9", 1, true},
		{"POST", "/holds/cancel", 2, true},
		{"POST", "/holdsome", 0, false},
		{"DELETE", "/holds", 0, false},
	}
	for _, c := range cases {
		got, found := s.FindCall(c.method, c.path)
		if diff := cmp.Diff([]any{c.deadline, c.found}, []any{got.DeadlineMillis, found}); diff != "" {
			t.Errorf("%s %s: %s", c.method, c.path, diff)
		}
	}
}

func TestAdvance(t *testing.T) {
	base := modelSnapshot(t, Version{"a", 100})
	next := base.With(nil, []Ref{{KindModel, "chat"}})
	good := Delta{Epoch: 2, Drop: []Ref{{KindModel, "chat"}}, Sum: next.Checksum()}
	got, err := base.Advance(good)
	if diff := cmp.Diff(Snapshot{Epoch: 2, Records: []Record{}}, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if _, err := got.Advance(good); !errors.Is(err, ErrGap) {
		t.Errorf("repeated delta: %v", err)
	}
	good.Sum = base.Checksum()
	if _, err := base.Advance(good); !errors.Is(err, ErrChecksum) {
		t.Errorf("other content: %v", err)
	}
}

// TestEmptyListAllowsNothing guards against a team that may use everything once the last name has been taken away from its list.
func TestEmptyListAllowsNothing(t *testing.T) {
	for body, want := range map[string]bool{`{}`: true, `{"models":null}`: true, `{"models":[]}`: false, `{"models":["other"]}`: false, `{"models":["chat"]}`: true} {
		var team Team
		if err := json.Unmarshal([]byte(body), &team); err != nil {
			t.Fatal(err)
		}
		written, err := json.Marshal(team)
		if err != nil {
			t.Fatal(err)
		}
		var again Team
		if err := json.Unmarshal(written, &again); err != nil {
			t.Fatal(err)
		}
		for _, read := range []Team{team, again} {
			if got := (View{Teams: map[string]Team{"t": read}}).AllowsModel("t", "chat"); got != want {
				t.Errorf("%s: allowed %v, want %v", body, got, want)
			}
		}
	}
	v := View{
		Teams:  map[string]Team{"t": {Services: []string{}}},
		Models: map[string]Model{"chat": {Adapters: []Adapter{{Name: "none", Versions: []string{}}, {Name: "all"}}}},
	}
	if v.AllowsService("t", "desk") {
		t.Error("a service is allowed by an empty list")
	}
	if v.AllowsAdapter("chat", "v1", "none") || !v.AllowsAdapter("chat", "v1", "all") {
		t.Error("want an adapter allowed without a list of versions, and not with an empty one")
	}
}
