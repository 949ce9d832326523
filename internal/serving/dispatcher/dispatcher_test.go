package dispatcher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
)

// day is the day in the tests' keys.
var day = time.Now().UTC().Format("20060102")

func startService(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// respondRaw returns a function that writes the bytes of a response and closes the connection.
func respondRaw(response string) func(w http.ResponseWriter) bool {
	return func(w http.ResponseWriter) bool {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return false
		}
		_, _ = io.WriteString(c, response)
		_ = c.Close()
		return true
	}
}

func TestHolds(t *testing.T) {
	key := day + "-frame"
	abort := func(http.ResponseWriter) bool { panic(http.ErrAbortHandler) }
	refuse := func(w http.ResponseWriter) bool { w.WriteHeader(http.StatusTooManyRequests); return true }
	completed := callResponse{200, "completed", "", "held joiners:" + key}
	unknown := callResponse{504, "unknown", claimer.CodeOutcomeUnknown, ""}
	cases := []struct {
		name       string
		table      *fakeTable
		fail       func(http.ResponseWriter) bool
		lookupPath string
		first      callResponse
		second     callResponse
		runs       int
	}{
		{"no fault", newFakeTable(), nil, "", completed, completed, 1},
		{"claim's answer lost after the effect", &fakeTable{answersToLose: 1}, nil, "", completed, completed, 1},
		{"claim lost before the effect", &fakeTable{commitsToDrop: 1}, nil, "", completed, completed, 1},
		{"service closes the connection after the effect", newFakeTable(), abort, "",
			unknown, unknown, 1},
		{"status 000", newFakeTable(), respondRaw("HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nheld"), "", unknown, unknown, 1},
		{"space in a header's name", newFakeTable(), respondRaw("HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nheld and more"), "", unknown, unknown, 1},
		{"content coding", newFakeTable(), respondRaw("HTTP/1.1 200 OK\r\nContent-Encoding: br\r\nContent-Length: 4\r\n\r\nheld"), "", unknown, unknown, 1},
		{"success that states that the call has not run", newFakeTable(),
			respondRaw("HTTP/1.1 200 OK\r\n" + HeaderOutcome + ": not-run\r\nContent-Length: 4\r\n\r\nheld"), "", unknown, unknown, 1},
		{"invalid head, and the service can be queried", newFakeTable(), respondRaw("HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nheld"), "/holds/{key}",
			completed, completed, 1},
		{"service closes the connection and can be queried", newFakeTable(), abort, "/holds/{key}", completed, completed, 1},
		{"service refuses", newFakeTable(), refuse, "",
			callResponse{503, "not-run", claimer.CodeServiceRefused, ""}, callResponse{503, "not-run", claimer.CodeServiceRefused, ""}, 1},
		{"table down", &fakeTable{isDown: true}, nil, "",
			callResponse{503, "not-run", claimer.CodeTableUnavailable, ""}, callResponse{504, "unknown", claimer.CodeTableUnavailable, ""}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.table.rows == nil {
				c.table.rows = newFakeTable().rows
			}
			s := &stockService{runsByKey: map[string]int{}, fail: c.fail}
			env := testEnv{addresses: []string{startService(t, s)}, lookupPath: c.lookupPath}
			_, server1 := startInstance(t, "one", c.table, env)
			_, server2 := startInstance(t, "two", c.table, env)
			first := sendCall(t, server1, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, key)
			if diff := cmp.Diff(c.first, first); diff != "" {
				t.Errorf("first answer mismatch (-want +got):\n%s", diff)
			}
			attempt := "1"
			if c.table.isDown {
				attempt = "2"
			}
			second := sendCall(t, server2, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, key, HeaderAttempt, attempt)
			if diff := cmp.Diff(c.second, second); diff != "" {
				t.Errorf("second answer mismatch (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.runs, s.runCount()); diff != "" {
				t.Errorf("runs mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	s := &stockService{runsByKey: map[string]int{}}
	table := newFakeTable()
	d, server1 := startInstance(t, "one", table, testEnv{addresses: []string{startService(t, s)}})
	sendCall(t, server1, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, day+"-used")
	cases := []struct {
		name, method, path, body string
		header                   []string
		want                     callResponse
	}{
		{"no key", "POST", "stock/holds", "oak", nil, callResponse{400, "not-run", claimer.CodeKeyMissing, ""}},
		{"no day", "POST", "stock/holds", "oak", []string{HeaderKey, "frame"}, callResponse{400, "not-run", claimer.CodeKeyUndated, ""}},
		{"far day", "POST", "stock/holds", "oak", []string{HeaderKey, "99991231-x"}, callResponse{400, "not-run", claimer.CodeKeyFuture, ""}},
		{"other body", "POST", "stock/holds", "elm", []string{HeaderKey, day + "-used"}, callResponse{422, "not-run", claimer.CodeKeyReused, ""}},
		{"bad attempt", "POST", "stock/holds", "oak", []string{HeaderKey, day + "-x", HeaderAttempt, "0"}, callResponse{400, "not-run", CodeAttemptInvalid, ""}},
		{"no service", "POST", "till/holds", "oak", nil, callResponse{404, "not-run", CodeServiceUnknown, ""}},
		{"no call", "DELETE", "stock/holds", "", nil, callResponse{404, "not-run", CodeCallUnknown, ""}},
		{"part of a segment", "GET", "stock/partsman", "", nil, callResponse{404, "not-run", CodeCallUnknown, ""}},
		{"encoded path", "POST", "stock/hol%64s", "oak", nil, callResponse{400, "not-run", claimer.CodeKeyMissing, ""}},
		{"encoded name", "POST", "st%6Fck/holds", "oak", nil, callResponse{400, "not-run", claimer.CodeKeyMissing, ""}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := sendCall(t, server1, c.method, "/v1/services/"+c.path, c.body, c.header...)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("answer mismatch (-want +got):\n%s", diff)
			}
		})
	}
	if s.runCount() != 1 {
		t.Errorf("ran %d holds, want 1", s.runCount())
	}
	if diff := cmp.Diff(Counts{NotRun: int64(len(cases)), Completed: 1}, d.State().Counts); diff != "" {
		t.Errorf("counts mismatch (-want +got):\n%s", diff)
	}
}

// TestLaterAttemptsRejected checks the answers to later attempts that are rejected before the key's row is read. An
// earlier attempt may have run, so the outcome is unknown.
func TestLaterAttemptsRejected(t *testing.T) {
	s := &stockService{runsByKey: map[string]int{}}
	_, server1 := startInstance(t, "one", newFakeTable(), testEnv{addresses: []string{startService(t, s)}}, WithMaxBodyBytes(8))
	cases := []struct {
		name, path, body, key string
		code                  string
	}{
		{"service retired", "till/holds", "oak", day + "-a", CodeServiceUnknown},
		{"call retired", "stock/orders", "oak", day + "-a", CodeCallUnknown},
		{"limit lowered", "stock/holds", "seasoned-oak", day + "-a", CodeBodyTooLarge},
		{"clock behind", "stock/holds", "oak", "99991231-a", claimer.CodeKeyFuture},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := sendCall(t, server1, http.MethodPost, "/v1/services/"+c.path, c.body, HeaderKey, c.key, HeaderAttempt, "2")
			if diff := cmp.Diff(callResponse{504, "unknown", c.code, ""}, got); diff != "" {
				t.Errorf("answer mismatch (-want +got):\n%s", diff)
			}
		})
	}
	if s.runCount() != 0 {
		t.Errorf("ran %d holds", s.runCount())
	}
}

func TestTableDownLeavesIdempotentCalls(t *testing.T) {
	s := &stockService{runsByKey: map[string]int{}}
	_, server1 := startInstance(t, "one", &fakeTable{isDown: true}, testEnv{addresses: []string{startService(t, s)}})
	got := sendCall(t, server1, http.MethodGet, "/v1/services/stock/parts/oak", "")
	if diff := cmp.Diff(callResponse{200, "completed", "", "held "}, got); diff != "" {
		t.Errorf("answer mismatch (-want +got):\n%s", diff)
	}
}

// refusingAddress returns an address that refuses connections until the test ends: its port is taken, and nothing listens on it.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	address, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", address.(*syscall.SockaddrInet4).Port)
}

func TestIdempotentCallRetries(t *testing.T) {
	s := &stockService{runsByKey: map[string]int{}}
	env := testEnv{addresses: []string{refusingAddress(t), startService(t, s)}}
	_, server1 := startInstance(t, "one", newFakeTable(), env)
	got := sendCall(t, server1, http.MethodGet, "/v1/services/stock/parts/oak", "")
	if diff := cmp.Diff(callResponse{200, "completed", "", "held "}, got); diff != "" {
		t.Errorf("answer mismatch (-want +got):\n%s", diff)
	}
}

func TestRetryDuringRunWaits(t *testing.T) {
	s := &stockService{runsByKey: map[string]int{}, received: make(chan struct{}), release: make(chan struct{})}
	table := newFakeTable()
	env := testEnv{addresses: []string{startService(t, s)}}
	d, server1 := startInstance(t, "one", table, env)
	_, server2 := startInstance(t, "two", table, env)
	answers := make([]callResponse, 2)
	var wait sync.WaitGroup
	wait.Go(func() {
		answers[0] = sendCall(t, server1, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, day+"-slow")
	})
	<-s.received
	wait.Go(func() {
		answers[1] = sendCall(t, server2, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, day+"-slow")
	})
	close(s.release)
	wait.Wait()
	want := callResponse{200, "completed", "", "held joiners:" + day + "-slow"}
	if diff := cmp.Diff([]callResponse{want, want}, answers); diff != "" {
		t.Errorf("answers mismatch (-want +got):\n%s", diff)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if n := d.Drain(ctx); n != 0 || s.runCount() != 1 {
		t.Errorf("%d claims in flight after drain, %d runs; want 0 and 1", n, s.runCount())
	}
}

func TestCallsInFlightAreBounded(t *testing.T) {
	s := &stockService{runsByKey: map[string]int{}, received: make(chan struct{}), release: make(chan struct{})}
	_, server1 := startInstance(t, "one", newFakeTable(), testEnv{addresses: []string{startService(t, s)}}, WithMaxInFlight(1))
	first := make(chan callResponse, 1)
	go func() {
		first <- sendCall(t, server1, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, day+"-a")
	}()
	<-s.received
	second := sendCall(t, server1, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, day+"-b")
	close(s.release)
	want := []callResponse{{200, "completed", "", "held joiners:" + day + "-a"}, {503, "not-run", CodeTooManyCalls, ""}}
	if diff := cmp.Diff(want, []callResponse{<-first, second}); diff != "" {
		t.Errorf("answers mismatch (-want +got):\n%s", diff)
	}
}

func TestHoldsAreGrouped(t *testing.T) {
	const holds = 60
	s := &stockService{runsByKey: map[string]int{}}
	table := newFakeTable()
	_, server1 := startInstance(t, "one", table, testEnv{addresses: []string{startService(t, s)}})
	var wait sync.WaitGroup
	for i := range holds {
		wait.Go(func() {
			sendCall(t, server1, http.MethodPost, "/v1/services/stock/holds", "oak", HeaderKey, fmt.Sprintf("%s-%d", day, i))
		})
	}
	wait.Wait()
	table.mu.Lock()
	defer table.mu.Unlock()
	if s.runCount() != holds || table.maxClaimsPerTxn < 2 {
		t.Errorf("ran %d holds with at most %d a transaction; want %d and several", s.runCount(), table.maxClaimsPerTxn, holds)
	}
}
