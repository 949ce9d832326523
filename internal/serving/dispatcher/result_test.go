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

// partial is a table that refuses some commits of one instance: those after the first allowed ones, refused times.
type partial struct {
	tabler.Table
	allowed int
	refused int
}

// Commit refuses a commit, or passes it on. The writer of a lone claim commits one transaction after the other.
func (p *partial) Commit(ctx context.Context, t tabler.Txn) (tabler.Result, error) {
	if p.allowed > 0 {
		p.allowed--
		return p.Table.Commit(ctx, t)
	}
	if p.refused > 0 {
		p.refused--
		return tabler.Result{Outcome: classifier.Refused}, nil
	}
	return p.Table.Commit(ctx, t)
}

// stateOf returns the state of the row of a key.
func stateOf(t *testing.T, tb tabler.Table, text string) claimer.State {
	t.Helper()
	_, row := rowOf(t, tb, text)
	return row.Record.State
}

// rowOf returns the name and the row of a key.
func rowOf(t *testing.T, tb tabler.Table, text string) (string, claimer.Row) {
	t.Helper()
	key, _ := claimer.ParseKey(text)
	name := claimer.Call{Team: "joiners", Key: key}.RowKey()
	found, _, err := tb.Get(t.Context(), claimer.Table, name)
	if err != nil {
		t.Fatal(err)
	}
	row, err := claimer.Decode(found.Version, found.Value)
	if err != nil {
		t.Fatal(err)
	}
	return name, row
}

// TestDrainWritesResults drains an instance that has answered and could not yet write the result of its hold.
func TestDrainWritesResults(t *testing.T) {
	key := day + "-drain"
	s := &stock{holds: map[string]int{}}
	tb := newTable()
	one, first := entry(t, "one", &partial{Table: tb, allowed: 1, refused: 2}, world{addresses: []string{serviceOf(t, s)}})
	completed := told{200, "completed", "", "held joiners:" + key}
	got := call(t, first, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, key)
	if diff := cmp.Diff(completed, got); diff != "" {
		t.Errorf("answer mismatch (-want +got):\n%s", diff)
	}
	if left := one.Drain(t.Context()); left != 0 {
		t.Errorf("%d claims in flight after drain", left)
	}
	if diff := cmp.Diff(claimer.StateCompleted, stateOf(t, tb, key)); diff != "" {
		t.Errorf("state mismatch (-want +got):\n%s", diff)
	}
}

// TestOwnerEndsBeforeItsResult ends an instance whose hold has run and whose result was never written. The service that
// can be asked settles the call; without one it stays unknown until an operator settles it. Nobody sends again.
func TestOwnerEndsBeforeItsResult(t *testing.T) {
	key := day + "-ended"
	replay := told{200, "completed", "", "held joiners:" + key}
	running := told{504, "unknown", claimer.CodeStillRunning, ""}
	settled := told{200, "completed", "", `{"note":"","settled":"ann"}`}
	cases := []struct {
		name   string
		lookup string
		want   []told
	}{
		{"service can be asked", "/holds/{key}", []told{replay, replay}},
		{"service cannot be asked", "", []told{running, settled}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := &stock{holds: map[string]int{}}
			tb := newTable()
			w := world{addresses: []string{serviceOf(t, s)}, lookup: c.lookup}
			const always = 1 << 30
			one, first := entry(t, "one", &partial{Table: tb, allowed: 1, refused: always}, w, WithSettle(time.Hour))
			_, second := entry(t, "two", tb, w)
			call(t, first, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, key)
			one.Close()
			var got []told
			got = append(got, call(t, second, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, key, HeaderAttempt, "2"))
			if c.lookup == "" {
				settle(t, tb, key)
			}
			got = append(got, call(t, second, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, key, HeaderAttempt, "3"))
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("answers mismatch (-want +got):\n%s", diff)
			}
			if s.ran() != 1 {
				t.Errorf("ran %d times", s.ran())
			}
		})
	}
}

// settle writes an operator's word that the call has completed and that its owner has ended.
func settle(t *testing.T, tb tabler.Table, text string) {
	t.Helper()
	name, row := rowOf(t, tb, text)
	said := claimer.Settlement{Outcome: "completed", Operator: "ann", Version: row.Version, OwnerEnded: true}
	record, why := said.Settle(time.Now(), row)
	if why != "" {
		t.Fatal(why)
	}
	result, err := tb.Commit(t.Context(), tabler.Txn{
		ID:         "settle",
		Conditions: []tabler.Condition{{Table: claimer.Table, Key: name, Version: row.Version}},
		Writes:     []tabler.Write{{Table: claimer.Table, Key: name, Value: record.Encode()}},
	})
	if err != nil || !result.Applied {
		t.Fatal(result, err)
	}
}
