package runner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/serving/configurer"
)

// TestSlowSender checks that a request whose body is not sent in time is refused as not run, and that other requests are
// served.
func TestSlowSender(t *testing.T) {
	s := settings()
	s.Times.BodyTimeout = 50 * time.Millisecond
	r := startInstanceWith(t, s)
	c, err := net.Dial("tcp", r.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", token)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	got := []any{response.StatusCode, response.Header.Get("Heatherrock-Outcome"), strings.Contains(string(content), `"body_timeout"`), response.Close}
	if diff := cmp.Diff([]any{408, "not-run", true, true}, got); diff != "" {
		t.Errorf("response mismatch (-want +got):\n%s\n%s", diff, content)
	}
	text, err := streamAnswer(client(r, token), "a sill", func() { time.Sleep(2 * s.Times.BodyTimeout) })
	if err != nil || text == "" {
		t.Errorf("a stream longer than the body timeout: %q, %v", text, err)
	}
}

// pipeListener is a listener of net.Pipe connections, which have no buffers.
type pipeListener struct {
	connections chan net.Conn
	done        chan struct{}
	once        sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.connections:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestStalledReader checks that a handler's write fails, so that the handler can return, if the client stops reading the
// response.
func TestStalledReader(t *testing.T) {
	failed := make(chan error, 1)
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		c := http.NewResponseController(w)
		for {
			if _, err := w.Write([]byte("data: x\n\n")); err != nil {
				failed <- err
				return
			}
			if err := c.Flush(); err != nil {
				failed <- err
				return
			}
		}
	})
	p := &pipeListener{connections: make(chan net.Conn, 1), done: make(chan struct{})}
	f := newFrontend(p, h, configurer.Settings{Times: configurer.Times{WriteTimeout: 50 * time.Millisecond}}, nil, slog.New(slog.DiscardHandler))
	var wait sync.WaitGroup
	wait.Add(1)
	go f.run(&wait)
	clientConn, serverConn := net.Pipe()
	p.connections <- serverConn
	fmt.Fprint(clientConn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := bufio.NewReaderSize(clientConn, 16).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; err == nil {
		t.Error("the write did not fail")
	}
	if diff := cmp.Diff(0, f.drain(context.Background())); diff != "" {
		t.Errorf("requests left mismatch (-want +got):\n%s", diff)
	}
	wait.Wait()
}
