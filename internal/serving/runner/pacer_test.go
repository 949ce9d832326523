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

// TestSlowSender sends the head of a request and a part of its body: it is refused as not run, and others are served.
func TestSlowSender(t *testing.T) {
	s := settings()
	s.Times.Body = 50 * time.Millisecond
	r := startWith(t, s)
	c, err := net.Dial("tcp", r.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", token)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	got := []any{answer.StatusCode, answer.Header.Get("Heatherrock-Outcome"), strings.Contains(string(content), `"body_timeout"`), answer.Close}
	if diff := cmp.Diff([]any{408, "not-run", true, true}, got); diff != "" {
		t.Errorf("answer mismatch (-want +got):\n%s\n%s", diff, content)
	}
	text, err := stream(client(r, token), "a sill", func() { time.Sleep(2 * s.Times.Body) })
	if err != nil || text == "" {
		t.Errorf("a stream longer than the bound on a body: %q, %v", text, err)
	}
}

// pipes is a listener whose connections hold nothing between their ends.
type pipes struct {
	ends chan net.Conn
	done chan struct{}
	once sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.ends:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// TestReaderThatStops reads the head of an answer and then nothing more: the handler's write fails, and it ends.
func TestReaderThatStops(t *testing.T) {
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
	p := &pipes{ends: make(chan net.Conn, 1), done: make(chan struct{})}
	f := newFront(p, h, configurer.Settings{Times: configurer.Times{Write: 50 * time.Millisecond}}, nil, slog.New(slog.DiscardHandler))
	var wait sync.WaitGroup
	wait.Add(1)
	go f.run(&wait)
	near, far := net.Pipe()
	p.ends <- far
	fmt.Fprint(near, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := bufio.NewReaderSize(near, 16).ReadString('\n'); err != nil {
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
