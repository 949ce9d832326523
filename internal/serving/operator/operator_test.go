package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/caller"
	"github.com/heatherrock/heatherrock/internal/control/accepter"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/control/validator"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/serving/poller"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
	"github.com/heatherrock/heatherrock/internal/standin/tabler"
)

// fakeBackend is a committer that always returns one result, and a source with fixed instances.
type fakeBackend struct {
	result accepter.Result
	calls  int
	epochs []poller.InstanceEpoch
}

func (f *fakeBackend) Do(context.Context, accepter.Command) accepter.Result {
	f.calls++
	return f.result
}

func (f *fakeBackend) LatestSnapshot() recorder.Snapshot {
	return recorder.Snapshot{Epoch: 7, Records: []recorder.Record{{Kind: "team", Name: "joiners", Revision: 3}}}
}

func (f *fakeBackend) ActiveEpochs(context.Context, []string) []poller.InstanceEpoch { return f.epochs }

// serve sends a request to an operator and returns the response.
func serve(f *fakeBackend, faults *faulter.Faults, method, path, token, body string) *httptest.ResponseRecorder {
	sum := sha256.Sum256([]byte("secret"))
	r := mux.NewRouter()
	New(tabler.New(tabler.WithFaults(faults)), f, f, WithCredential(hex.EncodeToString(sum[:]))).Register(r)
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, request)
	return w
}

func TestChange(t *testing.T) {
	good := `{"action":"accept","operator":"ann","changes":[{"kind":"model","name":"chat","seen":0,"revision":1}]}`
	changes := []accepter.Change{{Kind: "model", Name: "chat"}}
	cases := []struct {
		name, token, body string
		result            accepter.Result
		status, calls     int
		outcome           string
	}{
		{"completed", "secret", good, accepter.Result{Outcome: classifier.Completed}, 200, 1, "completed"},
		{"unknown", "secret", good, accepter.Result{Outcome: classifier.Unknown}, 504, 1, "unknown"},
		{"store unreachable", "secret", good, accepter.Result{Outcome: classifier.NotSent}, 503, 1, "not-run"},
		{"blocked id", "secret", good, accepter.Result{Outcome: classifier.Refused, Blocked: true}, 410, 1, "not-run"},
		{"invalid record", "secret", good, accepter.Result{Outcome: classifier.Refused, Faults: []validator.Fault{{}}}, 422, 1, "not-run"},
		{"conflict", "secret", good, accepter.Result{Outcome: classifier.Refused, Conflicts: []accepter.Conflict{{}}}, 409, 1,
			"not-run"},
		{"dry run", "secret", strings.Replace(good, "{", `{"dry":true,`, 1),
			accepter.Result{Outcome: classifier.NotSent, Changes: changes}, 200, 1, "not-run"},
		{"wrong token", "guess", good, accepter.Result{}, 401, 0, ""},
		{"no token", "", good, accepter.Result{}, 401, 0, ""},
		{"no operator", "secret", `{"action":"accept"}`, accepter.Result{}, 400, 0, "not-run"},
		{"resolve on the wrong path", "secret", `{"action":"resolve","operator":"ann"}`, accepter.Result{}, 400, 0, "not-run"},
		{"unknown member", "secret", `{"actoin":"accept"}`, accepter.Result{}, 400, 0, "not-run"},
		{"malformed", "secret", `{`, accepter.Result{}, 400, 0, "not-run"},
		{"too large", "secret", `{"note":"` + strings.Repeat("x", maxBodyBytes) + `"}`, accepter.Result{}, 400, 0, "not-run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeBackend{result: c.result}
			w := serve(f, nil, http.MethodPost, "/changes", c.token, c.body)
			want := []any{c.status, c.calls, c.outcome, c.status == 503}
			got := []any{w.Code, f.calls, w.Header().Get(caller.HeaderOutcome), w.Header().Get("Retry-After") != ""}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff, w.Body)
			}
		})
	}
}

func TestReadsWhileStoreIsUnreachable(t *testing.T) {
	cases := []struct {
		path, want string
		status     int
	}{
		{"/records", `{"epoch":7,"from":"instance","entries":[{"kind":"team","name":"joiners","latest":3,"force":3,` +
			`"state":"accepted","operator":"","mutation":"","stamp":0}]}`, 200},
		{"/records?kind=model", `{"epoch":7,"from":"instance","entries":[]}`, 200},
		{"/records/team/joiners", `{"error":"the store cannot be read: fault: refuse"}`, 503},
		{"/records/team/joiners/diff", `{"error":"the store cannot be read: fault: refuse"}`, 503},
		{"/audits", `{"error":"the store cannot be read: fault: refuse"}`, 503},
		{"/audits?limit=0", `{"error":"limit: want 1 to 200"}`, 400},
		{"/audits?limit=x", `{"error":"limit: want 1 to 200"}`, 400},
		{"/epochs/7/wait", `{"epoch":7,"instances":2}`, 200},
		{"/epochs/8/wait?timeout=1", `{"epoch":8,"instances":2,"behind":[{"id":"a","epoch":7}]}`, 504},
		{"/epochs/x/wait", `{"error":"the epoch is not a whole number of 0 or more"}`, 400},
		{"/epochs/8/wait?timeout=-1", `{"error":"timeout: \"-1\" is not a whole number of 0 or more"}`, 400},
	}
	for _, c := range cases {
		faults := faulter.NewFaults(1)
		if err := faults.AddFaults(faulter.Fault{Kind: faulter.Refuse}); err != nil {
			t.Fatal(err)
		}
		f := &fakeBackend{epochs: []poller.InstanceEpoch{{ID: "a", Epoch: 7}, {ID: "b", Epoch: 8}}}
		w := serve(f, faults, http.MethodGet, c.path, "secret", "")
		if diff := cmp.Diff([]any{c.status, c.want}, []any{w.Code, strings.TrimSpace(w.Body.String())}); diff != "" {
			t.Errorf("%s: %s", c.path, diff)
		}
	}
}

// catchingUp is a source whose instances catch up from poll to poll. It records the ids of each poll.
type catchingUp struct {
	fakeBackend
	polledIDs [][]string
}

func (c *catchingUp) ActiveEpochs(_ context.Context, ids []string) []poller.InstanceEpoch {
	c.polledIDs = append(c.polledIDs, ids)
	if len(c.polledIDs) == 3 {
		return []poller.InstanceEpoch{{ID: "b", Epoch: 7}}
	}
	if len(c.polledIDs) == 2 {
		return []poller.InstanceEpoch{{ID: "b", Error: "no answer"}}
	}
	return []poller.InstanceEpoch{{ID: "a", Epoch: 7}, {ID: "b", Epoch: 6}}
}

func TestWaitPollsOnlyInstancesBehind(t *testing.T) {
	c := &catchingUp{}
	r := mux.NewRouter()
	New(tabler.New(), c, c, WithPollInterval(time.Millisecond)).Register(r)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/epochs/7/wait?timeout=60000", nil))
	want := [][]string{nil, {"b"}, {"b"}}
	if diff := cmp.Diff(want, c.polledIDs); diff != "" || w.Code != http.StatusOK {
		t.Error(w.Code, w.Body, diff)
	}
}
