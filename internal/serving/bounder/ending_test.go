package bounder

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/uber-go/tally/v4"
)

// longText is longer than the buffers of the server.
var longText = strings.Repeat("text ", 100_000)

// partServer serves whole responses at /whole and /short, and one that breaks off after a part at /part. At /open it sends a part and waits for the end
// of the request, and at /slow more than
// the buffers of the connection hold. At /late the last bytes cannot be written.
type partServer struct {
	address string
	server  *http.Server
}

// newPartServer starts a server behind a bounder, with TLS if settings are given.
func newPartServer(t testing.TB, settings *tls.Config) *partServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &partServer{address: l.Addr().String()}
	s.server = &http.Server{Handler: s, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	if settings != nil {
		l = tls.NewListener(l, settings)
	}
	b := New("test", NewBudget(1<<20), 100, fixed(Limits{}), slog.New(slog.DiscardHandler), tally.NoopScope)
	go s.run(b.Serve(s.server, l))
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// run serves a listener until it is closed.
func (s *partServer) run(l net.Listener) { _ = s.server.Serve(l) }

// ServeHTTP serves one request.
func (s *partServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/short":
		_, _ = io.WriteString(w, "short")
	case "/whole":
		_, _ = io.WriteString(w, longText)
	case "/slow":
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		for range 100 {
			_, _ = io.WriteString(w, longText)
		}
	case "/late":
		_, _ = io.WriteString(w, longText)
		_ = http.NewResponseController(w).Flush()
		_ = http.NewResponseController(w).SetWriteDeadline(pastDeadline)
		_, _ = io.WriteString(w, "the end")
	default:
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/part" {
			panic(http.ErrAbortHandler)
		}
		<-r.Context().Done()
	}
}

// ask sends a request of HTTP/1.0, calls after once the head of the response has arrived, and returns the body.
func ask(t *testing.T, address, path string, settings *tls.Config, after func()) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if settings != nil {
		c = tls.Client(c, settings)
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // The connection is open.
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.0\r\nHost: h\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	after()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// received is what a caller of HTTP/1.0 got.
type received struct {
	Body string
	Err  error
}

// TestPartIsNoWholeResponseInHTTP10 breaks off responses to callers of HTTP/1.0, to whom the end of the connection tells that a response is whole.
func TestPartIsNoWholeResponseInHTTP10(t *testing.T) {
	certified := httptest.NewUnstartedServer(nil)
	certified.StartTLS()
	defer certified.Close()
	trusting := certified.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	trusting.ServerName = "example.com"
	for _, secure := range []bool{false, true} {
		var server, client *tls.Config
		if secure {
			server, client = certified.TLS.Clone(), trusting
			server.NextProtos, client.NextProtos = nil, nil
		}
		for path, want := range map[string]received{
			"/short": {Body: "short"}, "/whole": {Body: longText}, "/part": {"part", syscall.ECONNRESET}, "/open": {"part", syscall.ECONNRESET},
		} {
			s := newPartServer(t, server)
			var got received
			got.Body, got.Err = ask(t, s.address, path, client, func() {
				if path == "/open" {
					_ = s.server.Close()
				}
			})
			if diff := cmp.Diff(want, got, cmpopts.EquateErrors()); diff != "" {
				t.Errorf("TLS %v, %s (-want +got):\n%s", secure, path, diff)
			}
		}
	}
}

// environmentProcess is set in the process of TestEndOfProcessInHTTP10.
const environmentProcess = "BOUNDER_TEST_PROCESS"

// TestEndOfProcessInHTTP10 kills the process that serves a request of HTTP/1.0.
func TestEndOfProcessInHTTP10(t *testing.T) {
	if os.Getenv(environmentProcess) != "" {
		fmt.Println(newPartServer(t, nil).address)
		time.Sleep(time.Minute)
		return
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	process := exec.CommandContext(ctx, os.Args[0], "-test.run", "^TestEndOfProcessInHTTP10$")
	process.Env = append(os.Environ(), environmentProcess+"=1")
	out, err := process.StdoutPipe()
	if err := errors.Join(err, process.Start()); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	var got received
	got.Body, got.Err = ask(t, strings.TrimSpace(line), "/open", nil, func() { _ = process.Process.Kill() })
	_ = process.Wait() // It was killed.
	if diff := cmp.Diff(received{"part", syscall.ECONNRESET}, got, cmpopts.EquateErrors()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestFailedWriteInHTTP10 lets the write of a response fail at its deadline: while the handler writes, which does not report it, or once it has
// returned.
func TestFailedWriteInHTTP10(t *testing.T) {
	s := newPartServer(t, nil)
	for _, path := range []string{"/slow", "/late"} {
		body, err := ask(t, s.address, path, nil, func() { time.Sleep(300 * time.Millisecond) })
		if diff := cmp.Diff(error(syscall.ECONNRESET), err, cmpopts.EquateErrors()); diff != "" {
			t.Errorf("%s, %d bytes (-want +got):\n%s", path, len(body), diff)
		}
	}
}
