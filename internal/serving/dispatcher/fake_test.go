package dispatcher

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"github.com/heatherrock/heatherrock/internal/client/tabler"
	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// fakeTable is an in-memory table service with faults that the test sets.
type fakeTable struct {
	mu              sync.Mutex
	rows            map[string]tabler.Row
	commits         int
	isDown          bool
	answersToLose   int // commits left to apply without an answer
	commitsToDrop   int // commits left to drop without applying them
	maxClaimsPerTxn int // the largest number of claims in one transaction
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]tabler.Row{}}
}

func (t *fakeTable) Get(_ context.Context, name, key string) (tabler.Row, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isDown {
		return tabler.Row{}, false, io.ErrUnexpectedEOF
	}
	r, ok := t.rows[name+"|"+key]
	return r, ok, nil
}

func (t *fakeTable) Scan(_ context.Context, name, prefix, after string, limit int) ([]tabler.Row, error) {
	return nil, nil
}

func (t *fakeTable) Commit(_ context.Context, txn tabler.Txn) (tabler.Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isDown {
		return tabler.Result{Outcome: classifier.NotSent}, io.ErrUnexpectedEOF
	}
	if t.commitsToDrop > 0 {
		t.commitsToDrop--
		return tabler.Result{Outcome: classifier.Unknown}, io.ErrUnexpectedEOF
	}
	t.commits++
	t.maxClaimsPerTxn = max(t.maxClaimsPerTxn, len(txn.Conditions)-1)
	result := t.apply(txn)
	if t.answersToLose > 0 {
		t.answersToLose--
		return tabler.Result{Outcome: classifier.Unknown}, io.ErrUnexpectedEOF
	}
	return result, nil
}

func (t *fakeTable) apply(txn tabler.Txn) tabler.Result {
	r := tabler.Result{Outcome: classifier.Completed}
	for _, c := range txn.Conditions {
		if row := t.rows[c.Table+"|"+c.Key]; row.Version != c.Version {
			row.Table, row.Key = c.Table, c.Key
			r.Conflicts = append(r.Conflicts, row)
		}
	}
	if len(r.Conflicts) > 0 {
		return r
	}
	r.Applied = true
	for _, w := range txn.Writes {
		row := tabler.Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: t.rows[w.Table+"|"+w.Key].Version + 1}
		t.rows[w.Table+"|"+w.Key] = row
		r.Versions = append(r.Versions, row.Version)
	}
	return r
}

// testEnv implements the View, the Chooser and the Identifier of the tests.
type testEnv struct {
	addresses  []string
	lookupPath string
	// deadlineMillis is the deadline of a hold; 0 means 2000.
	deadlineMillis int
}

func (e testEnv) Service(name string) (recorder.Service, bool) {
	s := recorder.Service{Calls: []recorder.Call{
		{Method: http.MethodPost, PathPrefix: "/holds", DeadlineMillis: cmp.Or(e.deadlineMillis, 2000), LookupPath: e.lookupPath},
		{Method: http.MethodGet, PathPrefix: "/parts", Idempotent: true, DeadlineMillis: 2000, MaxRetries: 2},
	}}
	return s, name == "stock"
}

func (e testEnv) Fleet() recorder.Fleet {
	return recorder.Fleet{WritesPerSecond: 700, RetryBudgetPercent: 20}
}

func (e testEnv) Members() int { return 7 }

func (e testEnv) Choose(string) []Endpoint {
	var endpoints []Endpoint
	for _, a := range e.addresses {
		endpoints = append(endpoints, Endpoint{ID: a, Address: a})
	}
	return endpoints
}

func (e testEnv) RecordResult(string, bool, time.Duration) {}

func (e testEnv) Team(*http.Request) string { return "joiners" }

// stockService is a service that counts the runs of each key's hold.
type stockService struct {
	mu        sync.Mutex
	runsByKey map[string]int
	fail      func(w http.ResponseWriter) bool
	// received is closed when a hold arrives, and the hold then waits until release is closed. Both may be nil.
	received chan struct{}
	release  chan struct{}
}

func (s *stockService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(HeaderKey)
	if r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/holds/") {
		s.answerQuery(w, strings.TrimPrefix(r.URL.Path, "/holds/"))
		return
	}
	if s.release != nil {
		close(s.received)
		<-s.release
	}
	if r.Method == http.MethodPost {
		s.mu.Lock()
		s.runsByKey[key]++
		s.mu.Unlock()
	}
	if s.fail != nil && s.fail(w) {
		return
	}
	io.WriteString(w, "held "+key)
}

func (s *stockService) answerQuery(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runsByKey[key] == 0 {
		http.NotFound(w, nil)
		return
	}
	io.WriteString(w, "held "+key)
}

func (s *stockService) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, runs := range s.runsByKey {
		n += runs
	}
	return n
}

// startInstance starts a dispatcher on a table, and a server for its callers.
func startInstance(t *testing.T, owner string, table tabler.Table, env testEnv, options ...Option) (*Dispatcher, *httptest.Server) {
	t.Helper()
	discard := slog.New(slog.NewTextHandler(io.Discard, nil))
	options = append([]Option{WithLogger(discard)}, options...)
	d := New(owner, table, env, env, env, options...)
	r := mux.NewRouter()
	d.Register(r)
	s := httptest.NewServer(r)
	t.Cleanup(func() { s.Close(); d.Close() })
	return d, s
}

// callResponse is the response to a call as the caller sees it. Body is empty if there is a Code.
type callResponse struct {
	Status  int
	Outcome string
	Code    string
	Body    string
}

func sendCall(t *testing.T, s *httptest.Server, method, path, body string, header ...string) callResponse {
	t.Helper()
	r, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.GetBody = nil
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	a := callResponse{Status: response.StatusCode, Outcome: response.Header.Get(HeaderOutcome), Code: response.Header.Get(HeaderCode)}
	if a.Code == "" {
		a.Body = string(text)
	}
	return a
}
