package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
)

// day is the day of the tests' keys.
var day = time.Now().UTC().Format("20060102")

func serviceOf(t *testing.T, s http.Handler) string {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestHolds(t *testing.T) {
	key := day + "-frame"
	abort := func(http.ResponseWriter) bool { panic(http.ErrAbortHandler) }
	refuse := func(w http.ResponseWriter) bool { w.WriteHeader(http.StatusTooManyRequests); return true }
	completed := told{200, "completed", "", "held joiners:" + key}
	cases := []struct {
		name   string
		table  *table
		fail   func(http.ResponseWriter) bool
		lookup string
		first  told
		second told
		runs   int
	}{
		{"no fault", newTable(), nil, "", completed, completed, 1},
		{"claim's answer lost after the effect", &table{lose: 1}, nil, "", completed, completed, 1},
		{"claim lost before the effect", &table{vanish: 1}, nil, "", completed, completed, 1},
		{"service breaks after the effect", newTable(), abort, "",
			told{504, "unknown", claimer.CodeOutcomeUnknown, ""}, told{504, "unknown", claimer.CodeOutcomeUnknown, ""}, 1},
		{"service breaks and can be asked", newTable(), abort, "/holds/{key}", completed, completed, 1},
		{"service refuses", newTable(), refuse, "",
			told{503, "not-run", claimer.CodeServiceRefused, ""}, told{503, "not-run", claimer.CodeServiceRefused, ""}, 1},
		{"table down", &table{down: true}, nil, "",
			told{503, "not-run", claimer.CodeTableUnavailable, ""}, told{504, "unknown", claimer.CodeTableUnavailable, ""}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.table.rows == nil {
				c.table.rows = newTable().rows
			}
			s := &stock{holds: map[string]int{}, fail: c.fail}
			w := world{addresses: []string{serviceOf(t, s)}, lookup: c.lookup}
			_, one := entry(t, "one", c.table, w)
			_, two := entry(t, "two", c.table, w)
			first := call(t, one, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, key)
			if diff := cmp.Diff(c.first, first); diff != "" {
				t.Errorf("first answer mismatch (-want +got):\n%s", diff)
			}
			attempt := "1"
			if c.table.down {
				attempt = "2"
			}
			second := call(t, two, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, key, HeaderAttempt, attempt)
			if diff := cmp.Diff(c.second, second); diff != "" {
				t.Errorf("second answer mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.runs, s.ran()); diff != "" {
				t.Errorf("runs mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	s := &stock{holds: map[string]int{}}
	tb := newTable()
	d, one := entry(t, "one", tb, world{addresses: []string{serviceOf(t, s)}})
	call(t, one, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, day+"-used")
	cases := []struct {
		name, method, path, body string
		header                   []string
		want                     told
	}{
		{"no key", "POST", "stock/holds", "oak", nil, told{400, "not-run", claimer.CodeKeyMissing, ""}},
		{"no day", "POST", "stock/holds", "oak", []string{HeaderKey, "frame"}, told{400, "not-run", claimer.CodeKeyUndated, ""}},
		{"far day", "POST", "stock/holds", "oak", []string{HeaderKey, "99991231-x"}, told{400, "not-run", claimer.CodeKeyFuture, ""}},
		{"other body", "POST", "stock/holds", "elm", []string{HeaderKey, day + "-used"}, told{422, "not-run", claimer.CodeKeyReused, ""}},
		{"bad attempt", "POST", "stock/holds", "oak", []string{HeaderKey, day + "-x", HeaderAttempt, "0"}, told{400, "not-run", CodeAttempt, ""}},
		{"no service", "POST", "till/holds", "oak", nil, told{404, "not-run", CodeService, ""}},
		{"no call", "DELETE", "stock/holds", "", nil, told{404, "not-run", CodeCall, ""}},
		{"part of a segment", "GET", "stock/partsman", "", nil, told{404, "not-run", CodeCall, ""}},
		{"encoded path", "POST", "stock/hol%64s", "oak", nil, told{400, "not-run", claimer.CodeKeyMissing, ""}},
		{"encoded name", "POST", "st%6Fck/holds", "oak", nil, told{400, "not-run", claimer.CodeKeyMissing, ""}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := call(t, one, c.method, "/v1/services/"+c.path, c.body, c.header...)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("answer mismatch (-want +got):\n%s", diff)
			}
		})
	}
	if s.ran() != 1 {
		t.Errorf("ran %d holds, want 1", s.ran())
	}
	if diff := cmp.Diff(Counts{NotRun: int64(len(cases)), Completed: 1}, d.State().Counts); diff != "" {
		t.Errorf("counts mismatch (-want +got):\n%s", diff)
	}
}

// TestLaterAttemptsTurnedAway turns later attempts away before anything is read. An earlier one may have run.
func TestLaterAttemptsTurnedAway(t *testing.T) {
	s := &stock{holds: map[string]int{}}
	_, one := entry(t, "one", newTable(), world{addresses: []string{serviceOf(t, s)}}, WithBody(8))
	cases := []struct {
		name, path, body, key string
		code                  string
	}{
		{"service retired", "till/holds", "oak", day + "-a", CodeService},
		{"call retired", "stock/orders", "oak", day + "-a", CodeCall},
		{"limit lowered", "stock/holds", "seasoned-oak", day + "-a", CodeBody},
		{"clock behind", "stock/holds", "oak", "99991231-a", claimer.CodeKeyFuture},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := call(t, one, http.MethodPost, "/v1/services/"+c.path, c.body, HeaderKey, c.key, HeaderAttempt, "2")
			if diff := cmp.Diff(told{504, "unknown", c.code, ""}, got); diff != "" {
				t.Errorf("answer mismatch (-want +got):\n%s", diff)
			}
		})
	}
	if s.ran() != 0 {
		t.Errorf("ran %d holds", s.ran())
	}
}

func TestTableDownLeavesLookups(t *testing.T) {
	s := &stock{holds: map[string]int{}}
	_, one := entry(t, "one", &table{down: true}, world{addresses: []string{serviceOf(t, s)}})
	got := call(t, one, http.MethodGet, "/v1/services/stock/parts/oak", "")
	if diff := cmp.Diff(told{200, "completed", "", "held "}, got); diff != "" {
		t.Errorf("lookup mismatch (-want +got):\n%s", diff)
	}
}

func TestLookupRetries(t *testing.T) {
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	s := &stock{holds: map[string]int{}}
	w := world{addresses: []string{dead.Listener.Addr().String(), serviceOf(t, s)}}
	_, one := entry(t, "one", newTable(), w)
	got := call(t, one, http.MethodGet, "/v1/services/stock/parts/oak", "")
	if diff := cmp.Diff(told{200, "completed", "", "held "}, got); diff != "" {
		t.Errorf("lookup mismatch (-want +got):\n%s", diff)
	}
}

func TestResendDuringRunWaits(t *testing.T) {
	s := &stock{holds: map[string]int{}, begun: make(chan struct{}), gate: make(chan struct{})}
	tb := newTable()
	w := world{addresses: []string{serviceOf(t, s)}}
	one, first := entry(t, "one", tb, w)
	_, second := entry(t, "two", tb, w)
	answers := make([]told, 2)
	var wait sync.WaitGroup
	wait.Go(func() {
		answers[0] = call(t, first, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, day+"-slow")
	})
	<-s.begun
	wait.Go(func() {
		answers[1] = call(t, second, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, day+"-slow")
	})
	close(s.gate)
	wait.Wait()
	want := told{200, "completed", "", "held joiners:" + day + "-slow"}
	if diff := cmp.Diff([]told{want, want}, answers); diff != "" {
		t.Errorf("answers mismatch (-want +got):\n%s", diff)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if n := one.Drain(ctx); n != 0 || s.ran() != 1 {
		t.Errorf("%d claims in flight after drain, %d runs; want 0 and 1", n, s.ran())
	}
}

func TestCallsInFlightAreBounded(t *testing.T) {
	s := &stock{holds: map[string]int{}, begun: make(chan struct{}), gate: make(chan struct{})}
	_, one := entry(t, "one", newTable(), world{addresses: []string{serviceOf(t, s)}}, WithFlight(1))
	first := make(chan told, 1)
	go func() {
		first <- call(t, one, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, day+"-a")
	}()
	<-s.begun
	second := call(t, one, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, day+"-b")
	close(s.gate)
	want := []told{{200, "completed", "", "held joiners:" + day + "-a"}, {503, "not-run", CodeFull, ""}}
	if diff := cmp.Diff(want, []told{<-first, second}); diff != "" {
		t.Errorf("answers mismatch (-want +got):\n%s", diff)
	}
}

func TestHoldsAreGrouped(t *testing.T) {
	const holds = 60
	s := &stock{holds: map[string]int{}}
	tb := newTable()
	_, one := entry(t, "one", tb, world{addresses: []string{serviceOf(t, s)}})
	var wait sync.WaitGroup
	for i := range holds {
		wait.Go(func() {
			call(t, one, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, fmt.Sprintf("%s-%d", day, i))
		})
	}
	wait.Wait()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if s.ran() != holds || tb.multiple < 2 {
		t.Errorf("ran %d holds with at most %d a transaction; want %d and several", s.ran(), tb.multiple, holds)
	}
}
