package tabler

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// newTestClient returns a client of a service that sends the same response to every request.
func newTestClient(t *testing.T, status int, body string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	client := NewClient(server.URL)
	t.Cleanup(client.Close)
	return client
}

// TestCommitResponses sends responses of the table service and of other servers, such as a proxy. Only the former say
// whether the transaction was applied.
func TestCommitResponses(t *testing.T) {
	unknown := Result{Outcome: classifier.Unknown}
	cases := []struct {
		name   string
		status int
		body   string
		want   Result
	}{
		{"applied", 200, `{"applied":true,"versions":[3]}`, Result{Outcome: classifier.Completed, Applied: true, Versions: []int64{3}}},
		{"conflict", 200, `{"conflicts":[{"table":"t","key":"k","version":2}]}`,
			Result{Outcome: classifier.Completed, Conflicts: []Row{{Table: "t", Key: "k", Version: 2}}}},
		{"applied without versions", 200, `{"applied":true}`, unknown},
		{"applied with too many versions", 200, `{"applied":true,"versions":[3,4]}`, unknown},
		{"neither applied nor in conflict", 200, `{}`, unknown},
		{"JSON null", 200, `null`, unknown},
		{"no route", 404, `{"error":"no route"}`, unknown},
		{"accepted", 202, `{"applied":true,"versions":[3]}`, unknown},
		{"not JSON", 200, `<html>`, unknown},
	}
	txn := Txn{ID: "m", Conditions: []Condition{{Table: "t", Key: "k"}}, Writes: []Write{{Table: "t", Key: "k"}}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := newTestClient(t, c.status, c.body).Commit(t.Context(), txn)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("result mismatch (-want +got):\n%s", diff)
			}
			if (err == nil) != (got.Outcome == classifier.Completed) {
				t.Errorf("outcome %v with error %v", got.Outcome, err)
			}
		})
	}
}

func TestReadResponses(t *testing.T) {
	if _, found, err := newTestClient(t, 404, "").Get(t.Context(), "t", "k"); found || err != nil {
		t.Errorf("absent row: found %v, error %v", found, err)
	}
	if _, found, err := newTestClient(t, 200, "{}").Get(t.Context(), "t", "k"); found || !errors.Is(err, ErrUnexpectedResponse) {
		t.Errorf("row without a version: found %v, error %v", found, err)
	}
	if _, err := newTestClient(t, 404, "[]").Scan(t.Context(), "t", "", "", 1); !errors.Is(err, ErrUnexpectedResponse) {
		t.Errorf("scan without a route: error %v", err)
	}
}
