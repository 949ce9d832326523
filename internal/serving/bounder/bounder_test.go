package bounder

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"
)

// serve serves an echo of method, path, body and trailers behind a bounder with a budget, and returns its address.
func serve(t testing.TB, budget int64, connections int, limits func() Limits, options ...Option) (*Bounder, string) {
	t.Helper()
	b := New("test", NewBudget(budget), connections, limits, slog.New(slog.DiscardHandler), tally.NoopScope, options...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		fmt.Fprintf(w, "%s %s %d %d", r.Method, r.URL.Path, len(body), len(r.Trailer))
	})}
	go func() { _ = s.Serve(b.Serve(s, l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return b, l.Addr().String()
}

// fixed returns a function that returns limits, with defaults for those that are 0.
func fixed(l Limits) func() Limits { return l.Complete }

// exchange sends parts one after another, each in a write of its own, and returns the status and body of the responses until the
// connection ends or max have come.
func exchange(t *testing.T, address string, max int, parts ...string) []string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // The connection is open.
	go func() {
		for _, p := range parts {
			if _, err := io.WriteString(c, p); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	var out []string
	for r := bufio.NewReader(c); len(out) < max; {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return append(out, "closed")
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return append(out, "closed")
		}
		if response.StatusCode != http.StatusOK {
			body = nil
		}
		out = append(out, strings.TrimSpace(fmt.Sprint(response.StatusCode, " ", string(body))))
	}
	return out
}

// head returns a head of exactly size bytes without its blank line.
func head(size int) string {
	start := "GET /x HTTP/1.1\r\nHost: x\r\nA: "
	return start + strings.Repeat("a", size-len(start)-2) + "\r\n"
}

// TestMessages guards against a message that the server would read otherwise than without the bounds: whatever way it is split into
// writes, a sound request is answered, and one that breaks a limit is refused before it runs.
func TestMessages(t *testing.T) {
	_, address := serve(t, 1<<20, 100, fixed(Limits{HeadBytes: 2000, HeadLines: 40}))
	post := "POST /p HTTP/1.1\r\nHost: x\r\n"
	chunked := post + "Transfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, text string
		want       []string
	}{
		{"no body", "GET /x HTTP/1.1\r\nHost: x\r\n\r\n", []string{"200 GET /x 0 0"}},
		{"bare line feeds", "GET /x HTTP/1.1\nHost: x\n\n", []string{"200 GET /x 0 0"}},
		{"odd lines", post + "a:\r\nB:\t\r\na:b\r\nc-d:  e \r\n f\r\ncontent-LENGTH:\t3 \r\n\r\nabc", []string{"200 POST /p 3 0"}},
		{"pipelined", post + "Content-Length: 4\r\n\r\n\n\n\n\nGET /y HTTP/1.1\r\nHost: x\r\n\r\n" + chunked + "3\r\nabc\r\n0\r\n\r\n",
			[]string{"200 POST /p 4 0", "200 GET /y 0 0", "200 POST /p 3 0"}},
		{"empty line after a body", post + "Content-Length: 1\r\n\r\na\r\nGET /y HTTP/1.1\r\nHost: x\r\n\r\n", []string{"200 POST /p 1 0", "200 GET /y 0 0"}},
		{"body like a head", post + "Content-Length: 4000\r\n\r\n" + strings.Repeat("a:\r\n", 1000), []string{"200 POST /p 4000 0"}},
		{"chunks, extensions and trailers", chunked + "1;e=f\r\na\r\n0a\r\n0123456789\r\n0\r\nt: u\r\nv: w\r\n\r\n", []string{"200 POST /p 11 2"}},
		{"expecting to continue", post + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nab", []string{"100", "200 POST /p 2 0"}},
		{"HTTP/1.0 ignores an encoding", "POST /p HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nab", []string{"200 POST /p 2 0", "closed"}},
		{"exact size", head(2000) + "\r\n", []string{"200 GET /x 0 0"}},
		{"one byte more", head(2001) + "\r\n", []string{"431", "closed"}},
		{"most lines", "GET /x HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 38) + "\r\n", []string{"200 GET /x 0 0"}},
		{"one line more", "GET /x HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 39) + "\r\n", []string{"431", "closed"}},
		{"a path too long", "GET /" + strings.Repeat("x", 3000), []string{"431", "closed"}},
		{"trailers too many", chunked + "0\r\n" + strings.Repeat("a:\r\n", 39) + "\r\n", []string{"400", "closed"}},
		{"two lengths", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\na", []string{"400", "closed"}},
		{"a folded length", post + "Content-Length: 1\r\n 0\r\n\r\na", []string{"400", "closed"}},
		{"an unknown encoding", post + "Transfer-Encoding: gzip\r\n\r\na", []string{"501", "closed"}},
		{"a malformed chunk", chunked + "x\r\n", []string{"400", "closed"}},
		{"empty lines first", "\r\n\r\n\r\n\r\n", []string{"431", "closed"}},
	}
	for _, c := range cases {
		var pieces []string
		for rest := c.text; rest != ""; {
			n := min(len(rest), 1+len(c.text)/37)
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		for way, parts := range map[string][]string{"in one write": {c.text}, "in pieces": pieces} {
			t.Run(c.name+" "+way, func(t *testing.T) {
				if diff := cmp.Diff(c.want, exchange(t, address, len(c.want), parts...)); diff != "" {
					t.Errorf("responses mismatch (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// TestBudget guards against expensive heads that together exceed the memory, or that displace ordinary ones: the most expensive
// incomplete head is refused, one alone is served, and ordinary ones always are.
func TestBudget(t *testing.T) {
	b, address := serve(t, 100_000, 100, fixed(Limits{}))
	start := "GET /x HTTP/1.1\r\nHost: x\r\n"
	expensive := start + strings.Repeat("a:\r\n", 1000)
	if diff := cmp.Diff([]string{"200 GET /x 0 0"}, exchange(t, address, 1, expensive+"\r\n")); diff != "" {
		t.Errorf("alone (-want +got):\n%s", diff)
	}
	waitUntil(t, func() bool { return b.budget.Used() == 0 })
	holder, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer holder.Close()
	if _, err := io.WriteString(holder, expensive); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, func() bool { return b.budget.Used() > 100_000 })
	for _, c := range []struct{ name, lines, want string }{
		{"ordinary", strings.Repeat("a: b\r\n", 20), "200 GET /x 0 0"},
		{"more expensive", strings.Repeat("a:\r\n", 1001), "503"},
		{"less expensive", strings.Repeat("a:\r\n", 200), "200 GET /x 0 0"},
	} {
		if diff := cmp.Diff([]string{c.want}, exchange(t, address, 1, start+c.lines+"\r\n")); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(holder), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") != "1" {
		t.Errorf("the most expensive got %v, %v, want 503 with a time to retry", response, err)
	}
}

// TestConnections guards against clients that keep others out with connections on which they send nothing, and against ones that stay
// longer than the limits in force allow, also if these have changed meanwhile.
func TestConnections(t *testing.T) {
	var idle, offset atomic.Int64
	idle.Store(int64(time.Hour))
	now := time.Now()
	b, address := serve(t, 100_000, 3, func() Limits {
		return Limits{HeadTimeout: time.Hour, IdleTimeout: time.Duration(idle.Load())}.Complete()
	}, WithClock(func() time.Time { return now.Add(time.Duration(offset.Load())) }))
	dial := func() net.Conn {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() }) // It may be closed.
		return c
	}
	request := "GET /x HTTP/1.1\r\nHost: x\r\n\r\n"
	served := dial()
	r := bufio.NewReader(served)
	ask := func() error {
		if _, err := io.WriteString(served, request); err != nil {
			return err
		}
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return err
		}
		_, err = io.ReadAll(response.Body)
		return err
	}
	if err := ask(); err != nil {
		t.Fatal(err)
	}
	dial()
	dial()
	waitUntil(t, func() bool { return b.Open() == 3 })
	if diff := cmp.Diff([]string{"closed"}, exchange(t, address, 1, request)); diff != "" {
		t.Errorf("a fourth (-want +got):\n%s", diff)
	}
	offset.Store(int64(2 * minWaitBeforeEviction))
	if diff := cmp.Diff([]string{"200 GET /x 0 0"}, exchange(t, address, 1, request)); diff != "" {
		t.Errorf("a fourth after a wait (-want +got):\n%s", diff)
	}
	if err := ask(); err != nil {
		t.Errorf("the connection that was served before: %v", err)
	}
	waitUntil(t, func() bool { return b.Open() == 2 })
	idle.Store(int64(time.Millisecond))
	offset.Store(0)
	b.Rearm()
	waitUntil(t, func() bool { return b.Open() == 1 })
}

// TestBodiesThatDoNotCome guards against connections that are held for ever by bodies which their handlers do not read: the server
// itself waits for them.
func TestBodiesThatDoNotCome(t *testing.T) {
	_, address := serve(t, 100_000, 3, fixed(Limits{BodyTimeout: 20 * time.Millisecond}))
	for path, want := range map[string][]string{"/read": {"400", "closed"}, "/unread": {"200", "closed"}} {
		got := exchange(t, address, 2, "POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\na")
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", path, diff)
		}
	}
}

// waitUntil waits for a condition.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition does not hold")
		}
	}
}

// BenchmarkRequests compares ordinary requests on one connection with and without the bounds.
func BenchmarkRequests(b *testing.B) {
	for _, bounded := range []bool{false, true} {
		b.Run(fmt.Sprint("bounded=", bounded), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
			})}
			served := l
			if bounded {
				served = New("test", NewBudget(1<<20), 10, fixed(Limits{}), slog.New(slog.DiscardHandler), tally.NoopScope).Serve(s, l)
			}
			go func() { _ = s.Serve(served) }()
			defer s.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			text := "POST /look/1 HTTP/1.1\r\nHost: desk.example\r\nUser-Agent: client\r\nX-Heatherrock-Attempt-Id: 0123456789\r\n" +
				"Authorization: Token key1\r\nX-Heatherrock-Deadline-Ms: 4000\r\nContent-Type: application/json\r\nContent-Length: 512\r\n\r\n" +
				strings.Repeat("x", 512)
			r := bufio.NewReader(c)
			b.ReportAllocs()
			before := processorTime(b)
			for b.Loop() {
				if _, err := io.WriteString(c, text); err != nil {
					b.Fatal(err)
				}
				if _, err := http.ReadResponse(r, nil); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// processorTime returns the processor time that the process has used, in nanoseconds: a busy machine does not change it as it does the
// time of a request.
func processorTime(b *testing.B) int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}
