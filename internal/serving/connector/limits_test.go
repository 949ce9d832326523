package connector

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// endlessHeads are response heads that never end: what is sent first, and what is sent again and again after that.
var endlessHeads = map[string][2]string{
	"status line":            {"HTTP/1.1 200 ", strings.Repeat("O", 1000)},
	"header line":            {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 1000)},
	"headers":                {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-More: x\r\n", 100)},
	"informational":          {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 30)},
	"response of another":    {"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", strings.Repeat("x", 1000)},
	"chunks of another":      {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("5\r\nabcde\r\n", 100)},
	"lines that are no head": {"", strings.Repeat("\r\n", 500)},
}

// endlessEndpoint starts an endpoint that answers with the text first, and then text without end. It begins once it has
// received a number of requests, so that what it sends does not slow down the dials.
func endlessEndpoint(t *testing.T, requests int, first, more string) *testEndpoint {
	t.Helper()
	var received sync.WaitGroup
	received.Add(requests)
	return newEndpoint(t, func(c net.Conn, next func() (*http.Request, string)) {
		if r, _ := next(); r == nil {
			return
		}
		received.Done()
		received.Wait()
		if _, err := io.WriteString(c, first); err != nil {
			return
		}
		for {
			if _, err := io.WriteString(c, more); err != nil {
				return
			}
		}
	})
}

// allocated returns the bytes that f allocates, by all goroutines of the process.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestEndlessHeads sends messages to endpoints whose response has no end: they fail after a bounded number of bytes, long
// before the context ends.
func TestEndlessHeads(t *testing.T) {
	const parallel, maxBytes = 50, 8 << 20
	for name, text := range endlessHeads {
		e := endlessEndpoint(t, parallel, text[0], text[1])
		pool := New()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		bytes := allocated(func() {
			var wait sync.WaitGroup
			for range parallel {
				wait.Go(func() {
					// A dial may time out on a busy machine. Nothing was sent then.
					err := ErrNotSent
					for errors.Is(err, ErrNotSent) && ctx.Err() == nil {
						_, err = pool.Send(ctx, e.address(), Message{
							Method: "GET", Target: "/", Host: "h", Accepts: func(_ int, h http.Header) bool { return h.Get("X-Id") == "" },
						})
					}
					if !errors.Is(err, ErrBroken) {
						t.Errorf("%s: got %v, want %v", name, err, ErrBroken)
					}
				})
			}
			wait.Wait()
		})
		if ctx.Err() != nil {
			t.Errorf("%s: ended with the context", name)
		}
		if bytes > parallel*maxBytes {
			t.Errorf("%s: %d MB allocated for %d requests", name, bytes>>20, parallel)
		}
		cancel()
		pool.Close()
	}
}

// TestInformationalResponsesAreSkipped sends some before the response: they do not count as responses to others.
func TestInformationalResponsesAreSkipped(t *testing.T) {
	e := newEndpoint(t, func(c net.Conn, next func() (*http.Request, string)) {
		for r, body := next(); r != nil; r, body = next() {
			_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 5))
			writeResponse(c, "other", "a late response")
			writeResponse(c, r.Header.Get("X-Id"), body)
		}
	})
	pool := New()
	defer pool.Close()
	for n := range 3 {
		id := strconv.Itoa(n)
		if got, err := send(t, pool, e.address(), id); err != nil || got != "body of "+id {
			t.Errorf("%s: %q, %v", id, got, err)
		}
	}
}
