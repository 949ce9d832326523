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

const openCall = "20261204/joiners/20261204-frame"

// startServer starts the operators' interface on a table with two calls on the list of doubts: openCall, and one whose
// outcome has since become known.
func startServer(t *testing.T, faults ...faulter.Fault) (*httptest.Server, *standin.Table) {
	t.Helper()
	injected := faulter.NewFaults(1)
	table := standin.New(standin.WithFaults(injected))
	record := claimer.Record{State: claimer.StateUnknown, Claim: "c", Owner: "entry-1", Attempt: 1, Service: "stock", Path: "/holds"}
	known := record
	known.State = claimer.StateCompleted
	txn := tabler.Txn{ID: "fill", Writes: []tabler.Write{
		{Table: claimer.Table, Key: openCall, Value: record.Encode()},
		{Table: claimer.Table, Key: openCall + "-known", Value: known.Encode()},
		{Table: claimer.DoubtsTable, Key: openCall},
		{Table: claimer.DoubtsTable, Key: openCall + "-known"},
	}}
	if result, err := table.Commit(t.Context(), txn); err != nil || !result.Applied {
		t.Fatal(result, err)
	}
	if err := injected.AddFaults(faults...); err != nil {
		t.Fatal(err)
	}
	r := mux.NewRouter()
	New(table).Register(r)
	s := httptest.NewServer(r)
	t.Cleanup(s.Close)
	return s, table
}

// sendRequest sends a request, decodes the answer into out and returns its status and outcome.
func sendRequest(t *testing.T, s *httptest.Server, method, path, body string, out any) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header.Get(caller.HeaderOutcome)
}

func TestListDropsKnownCalls(t *testing.T) {
	s, table := startServer(t)
	var entries []Entry
	sendRequest(t, s, http.MethodGet, "/calls", "", &entries)
	if len(entries) != 1 || entries[0].Call != openCall {
		t.Errorf("open calls are %+v", entries)
	}
	rows, err := table.Scan(t.Context(), claimer.DoubtsTable, "", "", 10)
	if err != nil || len(rows) != 1 {
		t.Errorf("%d rows in the list, %v", len(rows), err)
	}
}

func TestListOfADay(t *testing.T) {
	s, _ := startServer(t)
	var entries, nextDay []Entry
	sendRequest(t, s, http.MethodGet, "/calls/20261204", "", &entries)
	sendRequest(t, s, http.MethodGet, "/calls/20261205", "", &nextDay)
	if len(entries) != 1 || entries[0].Call != openCall || len(nextDay) != 0 {
		t.Errorf("open calls are %+v and %+v", entries, nextDay)
	}
}

func TestSettle(t *testing.T) {
	const settlement = `{"outcome":"not-run","operator":"ann","version":1}`
	cases := []struct {
		name    string
		fault   []faulter.Fault
		body    string
		status  int
		outcome string
		state   claimer.State
	}{
		{"not run", nil, settlement, 200, "completed", claimer.StateReleased},
		{"answer lost", []faulter.Fault{{CallPrefix: standin.CallCommit, Kind: faulter.DropResponse, MaxHits: 1}}, settlement, 200, "completed", claimer.StateReleased},
		{"changed", nil, strings.Replace(settlement, "1", "9", 1), 409, "not-run", claimer.StateUnknown},
		{"bad body", nil, `{"outcom":1}`, 400, "not-run", claimer.StateUnknown},
		{"table refuses", []faulter.Fault{{CallPrefix: standin.CallCommit, Kind: faulter.Refuse, MaxHits: 1}}, settlement, 503, "not-run", claimer.StateUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, _ := startServer(t, c.fault...)
			var ignored any
			status, outcome := sendRequest(t, s, http.MethodPost, "/calls/"+openCall+"/settle", c.body, &ignored)
			if diff := cmp.Diff([]any{c.status, c.outcome}, []any{status, outcome}); diff != "" {
				t.Errorf("answer mismatch (-want +got):\n%s", diff)
			}
			var entry Entry
			sendRequest(t, s, http.MethodGet, "/calls/"+openCall, "", &entry)
			if diff := cmp.Diff(c.state, entry.Record.State); diff != "" {
				t.Errorf("state mismatch (-want +got):\n%s", diff)
			}
		})
	}
}
