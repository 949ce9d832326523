package commander

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestResponseThatIsResetIsAnError sends a long request to a listener that answers early, without a length, and resets the connection: the
// part that was received is no result.
func TestResponseThatIsResetIsAnError(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n{}")
		time.Sleep(5 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}))
	defer s.Close()
	client := NewClient(s.URL, "")
	const plays = 20
	taken := 0
	for range plays {
		var out struct{}
		if _, err := client.Do(t.Context(), http.MethodPost, "/", strings.Repeat("x", 8<<20), &out, http.StatusOK); err == nil {
			taken++
		}
	}
	if taken > 0 {
		t.Errorf("%d of %d parts were taken for results", taken, plays)
	}
}
