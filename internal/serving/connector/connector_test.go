package connector

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// testEndpoint is an endpoint whose connections are served by a function. The channel requests receives the
// target of each request.
type testEndpoint struct {
	listener net.Listener
	requests chan string
}

// newEndpoint starts an endpoint that calls serve for each connection. The function next returns the next request and
// its body.
func newEndpoint(t *testing.T, serve func(c net.Conn, next func() (*http.Request, string))) *testEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &testEndpoint{listener: l, requests: make(chan string, 100)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(c)
			go serve(c, func() (*http.Request, string) {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return nil, ""
				}
				b, err := io.ReadAll(r.Body)
				if err != nil {
					return nil, ""
				}
				e.requests <- r.RequestURI
				return r, string(b)
			})
		}
	}()
	return e
}

// address returns the endpoint's address.
func (e *testEndpoint) address() string { return e.listener.Addr().String() }

// send sends a message and returns the body of the response.
func send(t *testing.T, pool *Pool, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := pool.Send(ctx, address, Message{
		Method: "POST", Target: "/" + id, Host: "h", Header: http.Header{"X-Id": {id}}, Body: Content{[]byte("body of " + id)},
		Accepts: func(_ int, h http.Header) bool { return h.Get("X-Id") == "" || h.Get("X-Id") == id },
	})
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(response.Body)
	response.Finish(err == nil)
	return string(b), err
}

// writeResponse writes a response.
func writeResponse(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func TestConnectionIsUsedAgain(t *testing.T) {
	e := newEndpoint(t, func(c net.Conn, next func() (*http.Request, string)) {
		for r, body := next(); r != nil; r, body = next() {
			writeResponse(c, r.Header.Get("X-Id"), body)
		}
	})
	pool := New()
	defer pool.Close()
	for _, id := range []string{"a", "b", "c"} {
		if got, err := send(t, pool, e.address(), id); err != nil || got != "body of "+id {
			t.Errorf("%s: %q, %v", id, got, err)
		}
	}
	if pool.Dialled() != 1 {
		t.Errorf("%d connections were opened", pool.Dialled())
	}
}

func TestLateSecondResponseIsSkipped(t *testing.T) {
	e := newEndpoint(t, func(c net.Conn, next func() (*http.Request, string)) {
		last := ""
		for r, body := next(); r != nil; r, body = next() {
			if last != "" {
				writeResponse(c, last, "a late answer")
			}
			last = r.Header.Get("X-Id")
			writeResponse(c, last, body)
		}
	})
	pool := New()
	defer pool.Close()
	for _, id := range []string{"a", "b", "c"} {
		if got, err := send(t, pool, e.address(), id); err != nil || got != "body of "+id {
			t.Errorf("%s: %q, %v", id, got, err)
		}
	}
}

func TestBytesWithoutRequestEndTheConnection(t *testing.T) {
	e := newEndpoint(t, func(c net.Conn, next func() (*http.Request, string)) {
		for r, body := next(); r != nil; r, body = next() {
			writeResponse(c, r.Header.Get("X-Id"), body)
			time.Sleep(20 * time.Millisecond)
			writeResponse(c, "", "an answer to nobody")
		}
	})
	pool := New()
	defer pool.Close()
	for _, id := range []string{"a", "b"} {
		if got, err := send(t, pool, e.address(), id); err != nil || got != "body of "+id {
			t.Errorf("%s: %q, %v", id, got, err)
		}
		time.Sleep(60 * time.Millisecond)
	}
}

func TestClosedConnectionIsNotUsed(t *testing.T) {
	e := newEndpoint(t, func(c net.Conn, next func() (*http.Request, string)) {
		r, body := next()
		if r != nil {
			writeResponse(c, r.Header.Get("X-Id"), body)
		}
		_ = c.Close()
	})
	pool := New()
	defer pool.Close()
	for _, id := range []string{"a", "b", "c"} {
		if got, err := send(t, pool, e.address(), id); err != nil || got != "body of "+id {
			t.Errorf("%s: %q, %v", id, got, err)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// TestSentOnce breaks connections in different ways: the request reaches the endpoint once and is never reported as not
// sent.
func TestSentOnce(t *testing.T) {
	for name, response := range map[string]string{
		"nothing":            "",
		"half a head":        "HTTP/1.1 200 OK\r\nX-Id",
		"half a body":        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"not HTTP":           "\x00\x01\x02\r\n\r\n",
		"a foreign response": "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n",
		"a broken chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"chunks without end": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(c net.Conn, next func() (*http.Request, string)) {
				if r, _ := next(); r != nil {
					_, _ = io.WriteString(c, response)
				}
				_ = c.Close()
			})
			pool := New()
			defer pool.Close()
			if got, err := send(t, pool, e.address(), "a"); err == nil {
				t.Errorf("got %q without an error", got)
			} else if errors.Is(err, ErrNotSent) {
				t.Errorf("a request that was sent counts as not sent: %v", err)
			}
			if n := len(e.requests); n != 1 {
				t.Errorf("the request was sent %d times", n)
			}
		})
	}
}

func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	pool := New()
	if _, err := send(t, pool, address, "a"); !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want %v", err, ErrNotSent)
	}
}

func TestContextEndsTheRequest(t *testing.T) {
	closed := make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, next func() (*http.Request, string)) {
		next()
		// The next read ends when the connection is closed.
		next()
		close(closed)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := New().Send(ctx, e.address(), Message{Method: "GET", Target: "/", Host: "h"}); !errors.Is(err, ErrBroken) {
		t.Errorf("got %v, want %v", err, ErrBroken)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the connection was not closed when the request ended")
	}
}

func TestEarlyResponseToALongBody(t *testing.T) {
	e := newEndpoint(t, func(c net.Conn, _ func() (*http.Request, string)) {
		b := make([]byte, 1000)
		if _, err := io.ReadAtLeast(c, b, 100); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	})
	pool := New()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := pool.Send(ctx, e.address(), Message{Method: "POST", Target: "/", Host: "h", Body: Content{[]byte(strings.Repeat("x", 8<<20))}})
	if err != nil || response.Status != http.StatusRequestEntityTooLarge {
		t.Fatalf("got %v, %v", response, err)
	}
	response.Finish(true)
}

func TestIdleDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	for value, want := range map[string]time.Duration{
		"":                  idleTimeout,
		"timeout=5":         5*time.Second - idleMargin,
		"max=3, timeout=2":  2*time.Second - idleMargin,
		"timeout=never":     idleTimeout,
		"timeout=0, max=10": -idleMargin,
	} {
		if got := idleDeadline(now, http.Header{"Keep-Alive": {value}}).Sub(now); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}

func TestEndToEnd(t *testing.T) {
	h := http.Header{
		"Connection": {"close, x-one"}, "X-One": {"1"}, "X-Two": {"2"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"},
		"Keep-Alive": {"timeout=5"}, "Accept": {"a", "b"},
	}
	got := EndToEnd(h)
	if len(got) != 2 || got.Get("X-Two") != "2" || len(got["Accept"]) != 2 {
		t.Errorf("passed on: %v", got)
	}
	if len(h) != 7 {
		t.Errorf("the request's own headers were changed: %v", h)
	}
}
