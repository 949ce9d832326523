package verifier

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// endUpload returns a handler that answers before it has read the body, without a length, and calls end for the connection, which may have TLS,
// and the one below.
func endUpload(t *testing.T, pause time.Duration, end func(c net.Conn, below *net.TCPConn)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		time.Sleep(pause)
		below, _ := c.(*net.TCPConn)
		if secure, ok := c.(*tls.Conn); ok {
			below = secure.NetConn().(*net.TCPConn)
		}
		end(c, below)
		_ = below.Close()
	})
}

// newServer starts a server with or without TLS, and returns it with the settings of a transport for it.
func newServer(t *testing.T, secure bool, h http.Handler) (*httptest.Server, *http.Transport) {
	t.Helper()
	settings := &http.Transport{}
	s := httptest.NewUnstartedServer(h)
	if secure {
		s.StartTLS()
		settings.TLSClientConfig = s.Client().Transport.(*http.Transport).TLSClientConfig
	} else {
		s.Start()
	}
	t.Cleanup(s.Close)
	return s, settings
}

// upload sends a request with a body of n bytes and returns its response.
func upload(t *testing.T, transport http.RoundTripper, url string, n int) answer {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, io.NopCloser(bytes.NewReader(make([]byte, n))))
	if err != nil {
		t.Fatal(err)
	}
	r.ContentLength = int64(n)
	return send(transport, r)
}

// TestUploadThatIsResetHasNoWholeResponse resets the connection after a response without a length, while the request is written.
func TestUploadThatIsResetHasNoWholeResponse(t *testing.T) {
	const plays = 150
	reset := func(_ net.Conn, below *net.TCPConn) { _ = below.SetLinger(0) }
	for _, secure := range []bool{false, true} {
		for _, length := range []int{4 << 20, 8 << 20} {
			for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
				t.Run(fmt.Sprintf("TLS %v, %d bytes, %v", secure, length, pause), func(t *testing.T) {
					t.Parallel()
					s, settings := newServer(t, secure, endUpload(t, pause, reset))
					transport := NewTransport(settings)
					whole := 0
					for range plays {
						if a := upload(t, transport, s.URL, length); a.Err == nil {
							whole++
						}
					}
					if whole > 0 {
						t.Errorf("%d of %d responses that were reset were taken for whole ones", whole, plays)
					}
				})
			}
		}
	}
}

// TestUploadThatEndsEarlyHasAWholeResponse ends the connection in order after a response without a length, while the request is written.
func TestUploadThatEndsEarlyHasAWholeResponse(t *testing.T) {
	end := func(c net.Conn, below *net.TCPConn) {
		_ = c.(interface{ CloseWrite() error }).CloseWrite()
		_ = below.CloseWrite()
		_, _ = io.Copy(io.Discard, below)
	}
	for _, secure := range []bool{false, true} {
		for _, length := range []int{1 << 20, 8 << 20} {
			t.Run(fmt.Sprintf("TLS %v, %d bytes", secure, length), func(t *testing.T) {
				t.Parallel()
				s, settings := newServer(t, secure, endUpload(t, 0, end))
				transport := NewTransport(settings)
				for range 20 {
					if diff := cmp.Diff(answer{200, "whole", nil}, upload(t, transport, s.URL, length)); diff != "" {
						t.Errorf("(-want +got):\n%s", diff)
					}
				}
			})
		}
	}
}

// TestUploadThatIsClosedHasNoWholeResponse ends the sending side after a response without a length, and closes the connection before the
// request is read.
func TestUploadThatIsClosedHasNoWholeResponse(t *testing.T) {
	end := func(_ net.Conn, below *net.TCPConn) { _ = below.CloseWrite() }
	s, settings := newServer(t, false, endUpload(t, time.Millisecond, end))
	transport := NewTransport(settings)
	const plays = 60
	whole := 0
	for range plays {
		if a := upload(t, transport, s.URL, 8<<20); a.Err == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("%d of %d responses were taken for whole ones", whole, plays)
	}
}
