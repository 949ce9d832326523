package settler

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/caller"
	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	standin "github.com/heatherrock/heatherrock/internal/standin/tabler"
)

const open = "20261204/joiners/20261204-frame"

// desk returns the operators' interface on a table that holds an open call and one that has been resolved meanwhile.
func desk(t *testing.T, faults ...faulter.Fault) (*httptest.Server, *standin.Table) {
	t.Helper()
	set := faulter.NewFaults(1)
	table := standin.New(standin.WithFaults(set))
	record := claimer.Record{State: claimer.StateUnknown, Claim: "c", Owner: "entry-1", Attempt: 1, Service: "stock", Path: "/holds"}
	known := record
	known.State = claimer.StateCompleted
	txn := tabler.Txn{ID: "fill", Writes: []tabler.Write{
		{Table: claimer.Table, Key: open, Value: record.Encode()},
		{Table: claimer.Table, Key: open + "-known", Value: known.Encode()},
		{Table: claimer.DoubtsTable, Key: open},
		{Table: claimer.DoubtsTable, Key: open + "-known"},
	}}
	if result, err := table.Commit(t.Context(), txn); err != nil || !result.Applied {
		t.Fatal(result, err)
	}
	if err := set.Set(faults...); err != nil {
		t.Fatal(err)
	}
	r := mux.NewRouter()
	New(table).Register(r)
	s := httptest.NewServer(r)
	t.Cleanup(s.Close)
	return s, table
}

// do sends a request and returns the status and the outcome.
func do(t *testing.T, s *httptest.Server, method, path, body string, out any) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	if err := json.NewDecoder(a.Body).Decode(out); err != nil {
		t.Fatal(err)
	}
	return a.StatusCode, a.Header.Get(caller.HeaderOutcome)
}

func TestListDropsKnownCalls(t *testing.T) {
	s, table := desk(t)
	var entries []Entry
	do(t, s, http.MethodGet, "/calls", "", &entries)
	if len(entries) != 1 || entries[0].Call != open {
		t.Errorf("open calls are %+v", entries)
	}
	rows, err := table.Scan(t.Context(), claimer.DoubtsTable, "", "", 10)
	if err != nil || len(rows) != 1 {
		t.Errorf("%d rows in the list, %v", len(rows), err)
	}
}

func TestListOfADay(t *testing.T) {
	s, _ := desk(t)
	var entries, other []Entry
	do(t, s, http.MethodGet, "/calls/20261204", "", &entries)
	do(t, s, http.MethodGet, "/calls/20261205", "", &other)
	if len(entries) != 1 || entries[0].Call != open || len(other) != 0 {
		t.Errorf("open calls are %+v and %+v", entries, other)
	}
}

func TestSettle(t *testing.T) {
	const word = `{"outcome":"not-run","operator":"ann","version":1}`
	cases := []struct {
		name    string
		fault   []faulter.Fault
		body    string
		status  int
		outcome string
		state   claimer.State
	}{
		{"not run", nil, word, 200, "completed", claimer.StateReleased},
		{"answer lost", []faulter.Fault{{Call: standin.CallCommit, Kind: faulter.Lose, Count: 1}}, word, 200, "completed", claimer.StateReleased},
		{"changed", nil, strings.Replace(word, "1", "9", 1), 409, "not-run", claimer.StateUnknown},
		{"bad body", nil, `{"outcom":1}`, 400, "not-run", claimer.StateUnknown},
		{"table refuses", []faulter.Fault{{Call: standin.CallCommit, Kind: faulter.Refuse, Count: 1}}, word, 503, "not-run", claimer.StateUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, _ := desk(t, c.fault...)
			var ignored any
			status, outcome := do(t, s, http.MethodPost, "/calls/"+open+"/settle", c.body, &ignored)
			if diff := cmp.Diff([]any{c.status, c.outcome}, []any{status, outcome}); diff != "" {
				t.Errorf("answer mismatch (-want +got):\n%s", diff)
			}
			var entry Entry
			do(t, s, http.MethodGet, "/calls/"+open, "", &entry)
			if diff := cmp.Diff(c.state, entry.Record.State); diff != "" {
				t.Errorf("state mismatch (-want +got):\n%s", diff)
			}
		})
	}
}
