package tabler

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
)

// transports are the ways to call a table service: in memory and over HTTP.
var transports = map[string]func(*testing.T, *Table, *faulter.Faults) tabler.Table{
	"memory": func(_ *testing.T, t *Table, _ *faulter.Faults) tabler.Table { return t },
	"http": func(t *testing.T, table *Table, f *faulter.Faults) tabler.Table {
		s := httptest.NewServer(faulter.Wrap(f, table.Handler()))
		t.Cleanup(s.Close)
		c := tabler.NewClient(s.URL)
		t.Cleanup(c.Close)
		return c
	},
}

func putWrite(key, value string) tabler.Write {
	return tabler.Write{Table: "t", Key: key, Value: []byte(value)}
}

func versionCondition(key string, version int64) tabler.Condition {
	return tabler.Condition{Table: "t", Key: key, Version: version}
}

func row(key, value string, version int64) tabler.Row {
	return tabler.Row{Table: "t", Key: key, Value: []byte(value), Version: version}
}

// applied is the result of a commit that was applied.
func applied(versions ...int64) tabler.Result {
	return tabler.Result{Outcome: classifier.Completed, Applied: true, Versions: versions}
}

// conflict is the result of a commit whose conditions failed.
func conflict(rows ...tabler.Row) tabler.Result {
	return tabler.Result{Outcome: classifier.Completed, Conflicts: rows}
}

func TestContract(t *testing.T) {
	type commit struct {
		conditions []tabler.Condition
		writes     []tabler.Write
		want       tabler.Result
	}
	fault := func(k faulter.Kind) []faulter.Fault {
		return []faulter.Fault{{CallPrefix: CallCommit, Kind: k, MaxHits: 1, DelayMillis: 3600_000}}
	}
	cases := []struct {
		name          string
		faults        []faulter.Fault
		commits       []commit
		rows          []tabler.Row
		rowsAfterLate []tabler.Row
	}{
		{
			name: "insert and replace",
			commits: []commit{
				{[]tabler.Condition{versionCondition("a", 0)}, []tabler.Write{putWrite("a", "1"), putWrite("b", "1")}, applied(1, 2)},
				{[]tabler.Condition{versionCondition("a", 1), versionCondition("b", 2)}, []tabler.Write{putWrite("a", "2")}, applied(3)},
			},
			rows: []tabler.Row{row("a", "2", 3), row("b", "1", 2)},
		},
		{
			name: "conflict writes nothing",
			commits: []commit{
				{nil, []tabler.Write{putWrite("a", "1")}, applied(1)},
				{
					[]tabler.Condition{versionCondition("a", 0), versionCondition("b", 7)}, []tabler.Write{putWrite("a", "2"), putWrite("c", "2")},
					conflict(row("a", "1", 1), tabler.Row{Table: "t", Key: "b"}),
				},
			},
			rows: []tabler.Row{row("a", "1", 1)},
		},
		{
			name: "removed row does not exist",
			commits: []commit{
				{nil, []tabler.Write{putWrite("a", "1")}, applied(1)},
				{[]tabler.Condition{versionCondition("a", 1)}, []tabler.Write{{Table: "t", Key: "a", Delete: true}}, applied(0)},
				{[]tabler.Condition{versionCondition("a", 0)}, []tabler.Write{putWrite("a", "2")}, applied(2)},
			},
			rows: []tabler.Row{row("a", "2", 2)},
		},
		{
			name:    "refused",
			faults:  fault(faulter.Refuse),
			commits: []commit{{nil, []tabler.Write{putWrite("a", "1")}, tabler.Result{Outcome: classifier.Refused}}},
		},
		{
			name:    "response lost",
			faults:  fault(faulter.DropResponse),
			commits: []commit{{nil, []tabler.Write{putWrite("a", "1")}, tabler.Result{Outcome: classifier.Unknown}}},
			rows:    []tabler.Row{row("a", "1", 1)},
		},
		{
			name:   "conditional commit repeated",
			faults: fault(faulter.Repeat),
			commits: []commit{
				{[]tabler.Condition{versionCondition("a", 0)}, []tabler.Write{putWrite("a", "1")}, conflict(row("a", "1", 1))},
			},
			rows: []tabler.Row{row("a", "1", 1)},
		},
		{
			name:          "late write applied",
			faults:        fault(faulter.RunLate),
			commits:       []commit{{nil, []tabler.Write{putWrite("a", "1")}, tabler.Result{Outcome: classifier.Unknown}}},
			rowsAfterLate: []tabler.Row{row("a", "1", 1)},
		},
		{
			name:   "late write prevented by a row written first",
			faults: fault(faulter.RunLate),
			commits: []commit{
				{
					[]tabler.Condition{versionCondition("a", 0)}, []tabler.Write{putWrite("a", "1")},
					tabler.Result{Outcome: classifier.Unknown},
				},
				{[]tabler.Condition{versionCondition("a", 0)}, []tabler.Write{putWrite("a", "blocked")}, applied(1)},
			},
			rows: []tabler.Row{row("a", "blocked", 1)},
		},
	}
	for transport, open := range transports {
		for _, c := range cases {
			t.Run(transport+"/"+c.name, func(t *testing.T) {
				ctx := t.Context()
				faults := faulter.NewFaults(1)
				if err := faults.AddFaults(c.faults...); err != nil {
					t.Fatal(err)
				}
				service := New(WithFaults(faults))
				table := open(t, service, faults)
				for i, n := range c.commits {
					got, err := table.Commit(ctx, tabler.Txn{Conditions: n.conditions, Writes: n.writes})
					if diff := cmp.Diff(n.want, got, cmpopts.EquateEmpty()); diff != "" {
						t.Errorf("commit %d mismatch (-want +got):\n%s", i, diff)
					}
					if (err == nil) != (n.want.Outcome == classifier.Completed) {
						t.Errorf("commit %d: error %v", i, err)
					}
				}
				checkRows(t, table, c.rows)
				if c.rowsAfterLate != nil {
					service.ApplyLateWrites()
					checkRows(t, table, c.rowsAfterLate)
				}
			})
		}
	}
}

// checkRows compares the rows of table t, by a scan and one by one.
func checkRows(t *testing.T, table tabler.Table, want []tabler.Row) {
	t.Helper()
	got, err := table.Scan(t.Context(), "t", "", "", 10)
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" || err != nil {
		t.Errorf("rows: error %v, mismatch (-want +got):\n%s", err, diff)
	}
	for _, r := range want {
		got, ok, err := table.Get(t.Context(), r.Table, r.Key)
		if diff := cmp.Diff(r, got); diff != "" || !ok || err != nil {
			t.Errorf("row %s: found %v, error %v, mismatch (-want +got):\n%s", r.Key, ok, err, diff)
		}
	}
	if _, ok, err := table.Get(t.Context(), "t", "absent"); ok || err != nil {
		t.Errorf("absent row: found %v, error %v", ok, err)
	}
}

func TestScan(t *testing.T) {
	for transport, open := range transports {
		t.Run(transport, func(t *testing.T) {
			table := open(t, New(), faulter.NewFaults(1))
			var writes []tabler.Write
			for _, k := range []string{"b/2", "a/1", "b/10", "b/1", "c"} {
				writes = append(writes, putWrite(k, ""))
			}
			writes = append(writes, tabler.Write{Table: "other", Key: "b/3"})
			if _, err := table.Commit(t.Context(), tabler.Txn{Writes: writes}); err != nil {
				t.Fatal(err)
			}
			cases := []struct {
				prefix, after string
				limit         int
				want          []string
			}{
				{"", "", 10, []string{"a/1", "b/1", "b/10", "b/2", "c"}},
				{"b/", "", 10, []string{"b/1", "b/10", "b/2"}},
				{"b/", "b/1", 10, []string{"b/10", "b/2"}},
				{"b/", "", 2, []string{"b/1", "b/10"}},
				{"d", "", 2, nil},
			}
			for _, c := range cases {
				rows, err := table.Scan(t.Context(), "t", c.prefix, c.after, c.limit)
				if err != nil {
					t.Fatal(err)
				}
				var got []string
				for _, r := range rows {
					got = append(got, r.Key)
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("%+v mismatch (-want +got):\n%s", c, diff)
				}
			}
		})
	}
}

func TestRates(t *testing.T) {
	now := time.Unix(0, 0)
	for transport, open := range transports {
		t.Run(transport, func(t *testing.T) {
			service := New(WithRates(2, 1), WithClock(func() time.Time { return now }))
			table := open(t, service, faulter.NewFaults(1))
			var got []string
			for range 3 {
				r, _ := table.Commit(t.Context(), tabler.Txn{})
				got = append(got, r.Outcome.String())
			}
			for range 2 {
				_, _, err := table.Get(t.Context(), "t", "a")
				got = append(got, fmt.Sprint(err == nil))
			}
			want := []string{"completed", "completed", "refused", "true", "false"}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("outcomes mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(Usage{Reads: 1, Commits: 2, RateLimited: 2}, service.Usage()); diff != "" {
				t.Errorf("usage mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestUnresponsiveTable(t *testing.T) {
	for transport, open := range transports {
		t.Run(transport, func(t *testing.T) {
			faults := faulter.NewFaults(1)
			if err := faults.AddFaults(faulter.Fault{Kind: faulter.Hang}); err != nil {
				t.Fatal(err)
			}
			table := open(t, New(WithFaults(faults)), faults)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			r, err := table.Commit(ctx, tabler.Txn{Writes: []tabler.Write{putWrite("a", "1")}})
			if r.Outcome.NotRun() || err == nil {
				t.Errorf("commit: %v, error %v", r.Outcome, err)
			}
			if _, _, err := table.Get(ctx, "t", "a"); err == nil {
				t.Error("get: no error")
			}
			faults.Clear()
			checkRows(t, table, nil)
		})
	}
}

func TestNotSent(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	r, err := tabler.NewClient(s.URL).Commit(t.Context(), tabler.Txn{})
	if r.Outcome != classifier.NotSent || err == nil {
		t.Errorf("outcome %v, error %v", r.Outcome, err)
	}
}
