package commander

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/accepter"
)

// TestUsage runs invalid command lines. None of them may reach an instance.
func TestUsage(t *testing.T) {
	const call = "20261204/joiners/20261204-frame"
	cases := [][]string{
		{},
		{"records"},
		{"record", "no-such"},
		{"record", "accept"},
		{"record", "accept", "model/oak@1..x", "-operator", "ann"},
		{"record", "accept", "model/oak@1..2"},
		{"record", "retire", "model/oak@1..2", "-operator", "ann"},
		{"record", "list", "-o", "yaml"},
		{"call", "show", "frame"},
		{"call", "settle", call + "@3", "-operator", "ann"},
		{"call", "settle", call + "@3", "completed"},
		{"call", "settle", call + "@3", "completed", "dead", "-operator", "ann"},
		{"call", "settle", call + "@3x", "completed", "-operator", "ann"},
		{"call", "settle", call, "completed", "-operator", "ann"},
	}
	for _, args := range cases {
		if len(args) > 0 {
			args = append(args, "-address", "http://127.0.0.1:1")
		}
		if exit := Run(t.Context(), args, io.Discard, io.Discard); exit != ExitUsage {
			t.Errorf("%v: exit code %d, want %d", args, exit, ExitUsage)
		}
	}
}

// TestEnvironment runs a command while the settings of an instance are in the environment. Only the variables of the
// commands may have an effect, and the command line takes precedence over them.
func TestEnvironment(t *testing.T) {
	var got accepter.Command
	var token string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token = r.Header.Get("Authorization")
		if err := json.NewDecoder(r.Body).Decode(&got); err != nil {
			t.Error(err)
		}
		_ = json.NewEncoder(w).Encode(accepter.Result{OutcomeName: "completed"})
	}))
	defer server.Close()
	for name, value := range map[string]string{
		"HEATHERROCK_ADDRESS": server.URL, "HEATHERROCK_TOKEN": "secret", "HEATHERROCK_OPERATOR": "ann",
		"HEATHERROCK_ID": "entry-1", "HEATHERROCK_NOTE": "none", "HEATHERROCK_DRY": "true", "HEATHERROCK_O": "yaml",
	} {
		t.Setenv(name, value)
	}
	args := []string{"record", "accept", "model/oak@1..2", "-operator", "ben"}
	if exit := Run(t.Context(), args, io.Discard, io.Discard); exit != ExitDone {
		t.Fatalf("exit code %d", exit)
	}
	if got.ID == "" || got.ID == "entry-1" {
		t.Errorf("id of the change is %q", got.ID)
	}
	got.ID = ""
	want := accepter.Command{Action: accepter.ActionAccept, Operator: "ben",
		Changes: []accepter.Change{{Kind: "model", Name: "oak", ExpectedRevision: 1, Revision: 2}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("command mismatch (-want +got):\n%s", diff)
	}
	if token != "Bearer secret" {
		t.Errorf("token is %q", token)
	}
}
