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

// table is a table service in memory. Its faults are set by the test.
type table struct {
	mu       sync.Mutex
	rows     map[string]tabler.Row
	commits  int
	down     bool
	lose     int // answers of commits to lose after the effect
	vanish   int // commits to lose before the effect
	multiple int // the most claims that one transaction held
}

func newTable() *table {
	return &table{rows: map[string]tabler.Row{}}
}

func (t *table) Get(_ context.Context, name, key string) (tabler.Row, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return tabler.Row{}, false, io.ErrUnexpectedEOF
	}
	r, ok := t.rows[name+"|"+key]
	return r, ok, nil
}

func (t *table) Scan(_ context.Context, name, prefix, after string, limit int) ([]tabler.Row, error) {
	return nil, nil
}

func (t *table) Commit(_ context.Context, txn tabler.Txn) (tabler.Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return tabler.Result{Outcome: classifier.NotSent}, io.ErrUnexpectedEOF
	}
	if t.vanish > 0 {
		t.vanish--
		return tabler.Result{Outcome: classifier.Unknown}, io.ErrUnexpectedEOF
	}
	t.commits++
	t.multiple = max(t.multiple, len(txn.Conditions)-1)
	result := t.apply(txn)
	if t.lose > 0 {
		t.lose--
		return tabler.Result{Outcome: classifier.Unknown}, io.ErrUnexpectedEOF
	}
	return result, nil
}

func (t *table) apply(txn tabler.Txn) tabler.Result {
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

// world is the configuration, the endpoints and the team of every request.
type world struct {
	addresses []string
	lookup    string
	// deadline bounds a hold, in milliseconds; 0 means 2000.
	deadline int
}

func (w world) Service(name string) (recorder.Service, bool) {
	s := recorder.Service{Calls: []recorder.Call{
		{Method: http.MethodPost, PathPrefix: "/holds", DeadlineMillis: cmp.Or(w.deadline, 2000), LookupPath: w.lookup},
		{Method: http.MethodGet, PathPrefix: "/parts", Idempotent: true, DeadlineMillis: 2000, MaxRetries: 2},
	}}
	return s, name == "stock"
}

func (w world) Fleet() recorder.Fleet {
	return recorder.Fleet{WritesPerSecond: 700, RetryBudgetPercent: 20}
}

func (w world) Members() int { return 7 }

func (w world) Choose(string) []Endpoint {
	var endpoints []Endpoint
	for _, a := range w.addresses {
		endpoints = append(endpoints, Endpoint{ID: a, Address: a})
	}
	return endpoints
}

func (w world) Report(string, bool, time.Duration) {}

func (w world) Team(*http.Request) string { return "joiners" }

// stock is a service that counts what it ran.
type stock struct {
	mu    sync.Mutex
	holds map[string]int
	fail  func(w http.ResponseWriter) bool
	// begun is closed when a hold has come in, and the hold waits for gate; both may be nil.
	begun chan struct{}
	gate  chan struct{}
}

func (s *stock) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(HeaderKey)
	if r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/holds/") {
		s.tell(w, strings.TrimPrefix(r.URL.Path, "/holds/"))
		return
	}
	if s.gate != nil {
		close(s.begun)
		<-s.gate
	}
	if r.Method == http.MethodPost {
		s.mu.Lock()
		s.holds[key]++
		s.mu.Unlock()
	}
	if s.fail != nil && s.fail(w) {
		return
	}
	io.WriteString(w, "held "+key)
}

func (s *stock) tell(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holds[key] == 0 {
		http.NotFound(w, nil)
		return
	}
	io.WriteString(w, "held "+key)
}

func (s *stock) ran() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.holds {
		n += c
	}
	return n
}

// entry returns a dispatcher on a table and its callers' listener.
func entry(t *testing.T, owner string, tb tabler.Table, w world, options ...Option) (*Dispatcher, *httptest.Server) {
	t.Helper()
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	options = append([]Option{WithLogger(quiet)}, options...)
	d := New(owner, tb, w, w, w, options...)
	r := mux.NewRouter()
	d.Register(r)
	s := httptest.NewServer(r)
	t.Cleanup(func() { s.Close(); d.Close() })
	return d, s
}

// told is what a caller sees.
type told struct {
	Status  int
	Outcome string
	Code    string
	Body    string
}

func call(t *testing.T, s *httptest.Server, method, path, body string, header ...string) told {
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
	a := told{Status: response.StatusCode, Outcome: response.Header.Get(HeaderOutcome), Code: response.Header.Get(HeaderCode)}
	if a.Code == "" {
		a.Body = string(text)
	}
	return a
}
