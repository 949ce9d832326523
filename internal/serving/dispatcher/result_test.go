package dispatcher

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// refusingTable is a table that allows commitsAllowed commits of one instance, then refuses commitsToRefuse, and then
// allows all.
type refusingTable struct {
	tabler.Table
	commitsAllowed  int
	commitsToRefuse int
}

// Commit refuses a commit or passes it on. It needs no lock, as the transactions of a single claim never overlap.
func (r *refusingTable) Commit(ctx context.Context, txn tabler.Txn) (tabler.Result, error) {
	if r.commitsAllowed > 0 {
		r.commitsAllowed--
		return r.Table.Commit(ctx, txn)
	}
	if r.commitsToRefuse > 0 {
		r.commitsToRefuse--
		return tabler.Result{Outcome: classifier.Refused}, nil
	}
	return r.Table.Commit(ctx, txn)
}

// stateOf returns the state in a key's row.
func stateOf(t *testing.T, table tabler.Table, keyText string) claimer.State {
	t.Helper()
	_, row := rowOf(t, table, keyText)
	return row.Record.State
}

// rowOf returns a key's row and the key of that row.
func rowOf(t *testing.T, table tabler.Table, keyText string) (string, claimer.Row) {
	t.Helper()
	key, _ := claimer.ParseKey(keyText)
	rowKey := claimer.Call{Team: "joiners", Key: key}.RowKey()
	found, _, err := table.Get(t.Context(), claimer.Table, rowKey)
	if err != nil {
		t.Fatal(err)
	}
	row, err := claimer.Decode(found.Version, found.Value)
	if err != nil {
		t.Fatal(err)
	}
	return rowKey, row
}

// TestDrainWritesResults drains an instance that has answered a hold but could not yet write its result.
func TestDrainWritesResults(t *testing.T) {
	key := day + "-drain"
	s := &stockService{runsByKey: map[string]int{}}
	table := newFakeTable()
	d, server1 := startInstance(t, "one", &refusingTable{Table: table, commitsAllowed: 1, commitsToRefuse: 2}, testEnv{addresses: []string{startService(t, s)}})
	completed := callResponse{200, "completed", "", "held joiners:" + key}
	got := sendCall(t, server1, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, key)
	if diff := cmp.Diff(completed, got); diff != "" {
		t.Errorf("answer mismatch (-want +got):\n%s", diff)
	}
	if left := d.Drain(t.Context()); left != 0 {
		t.Errorf("%d claims in flight after drain", left)
	}
	if diff := cmp.Diff(claimer.StateCompleted, stateOf(t, table, key)); diff != "" {
		t.Errorf("state mismatch (-want +got):\n%s", diff)
	}
}

// TestOwnerEndsBeforeItsResult ends an instance whose hold has run but whose result was never written. If the service
// can be queried, its answer settles the call; otherwise the call stays unknown until an operator settles it. Another
// instance never sends the call again.
func TestOwnerEndsBeforeItsResult(t *testing.T) {
	key := day + "-ended"
	replay := callResponse{200, "completed", "", "held joiners:" + key}
	running := callResponse{504, "unknown", claimer.CodeStillRunning, ""}
	settled := callResponse{200, "completed", "", `{"note":"","settled":"ann"}`}
	cases := []struct {
		name       string
		lookupPath string
		want       []callResponse
	}{
		{"service can be queried", "/holds/{key}", []callResponse{replay, replay}},
		{"service cannot be queried", "", []callResponse{running, settled}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := &stockService{runsByKey: map[string]int{}}
			table := newFakeTable()
			env := testEnv{addresses: []string{startService(t, s)}, lookupPath: c.lookupPath}
			const unlimited = 1 << 30
			d, server1 := startInstance(t, "one", &refusingTable{Table: table, commitsAllowed: 1, commitsToRefuse: unlimited}, env, WithSettleTimeout(time.Hour))
			_, server2 := startInstance(t, "two", table, env)
			sendCall(t, server1, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, key)
			d.Close()
			var got []callResponse
			got = append(got, sendCall(t, server2, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, key, HeaderAttempt, "2"))
			if c.lookupPath == "" {
				settleAsOperator(t, table, key)
			}
			got = append(got, sendCall(t, server2, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, key, HeaderAttempt, "3"))
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("answers mismatch (-want +got):\n%s", diff)
			}
			if s.runCount() != 1 {
				t.Errorf("ran %d times", s.runCount())
			}
		})
	}
}

// TestStoredReplyWithoutAStatus guards against callers whose connection is closed without an answer at each attempt, as the stored reply
// has a status that no response has.
func TestStoredReplyWithoutAStatus(t *testing.T) {
	key := day + "-spoilt"
	completed := callResponse{200, "completed", "", "held joiners:" + key}
	for lookupPath, want := range map[string]callResponse{
		"":             {504, "unknown", claimer.CodeOutcomeUnknown, ""},
		"/holds/{key}": completed,
	} {
		s := &stockService{runsByKey: map[string]int{}}
		table := newFakeTable()
		env := testEnv{addresses: []string{startService(t, s)}, lookupPath: lookupPath}
		d, server1 := startInstance(t, "one", table, env)
		_, server2 := startInstance(t, "two", table, env)
		if diff := cmp.Diff(completed, sendCall(t, server1, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, key)); diff != "" {
			t.Fatalf("first answer (-want +got):\n%s", diff)
		}
		// The result is written after the answer.
		if left := d.Drain(t.Context()); left != 0 {
			t.Fatalf("%d claims in flight after drain", left)
		}
		rowKey, row := rowOf(t, table, key)
		row.Record.Reply.Status = 0
		writes := []tabler.Write{{Table: claimer.Table, Key: rowKey, Value: row.Record.Encode()}}
		if result, err := table.Commit(t.Context(), tabler.Txn{Writes: writes}); err != nil || !result.Applied {
			t.Fatal(result, err)
		}
		got := sendCall(t, server2, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, key, HeaderAttempt, "2")
		if diff := cmp.Diff(want, got); diff != "" || s.runCount() != 1 {
			t.Errorf("queried at %q: ran %d times (-want +got):\n%s", lookupPath, s.runCount(), diff)
		}
	}
}

// settleAsOperator writes an operator's settlement that the call has completed and that its owner has ended.
func settleAsOperator(t *testing.T, table tabler.Table, keyText string) {
	t.Helper()
	rowKey, row := rowOf(t, table, keyText)
	settlement := claimer.Settlement{Outcome: "completed", Operator: "ann", Version: row.Version, OwnerEnded: true}
	record, refusal := settlement.Settle(time.Now(), row)
	if refusal != "" {
		t.Fatal(refusal)
	}
	result, err := table.Commit(t.Context(), tabler.Txn{
		ID:         "settle",
		Conditions: []tabler.Condition{{Table: claimer.Table, Key: rowKey, Version: row.Version}},
		Writes:     []tabler.Write{{Table: claimer.Table, Key: rowKey, Value: record.Encode()}},
	})
	if err != nil || !result.Applied {
		t.Fatal(result, err)
	}
}
