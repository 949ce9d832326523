package streamer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/caller"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// TestOpenOutcomes checks the outcome that each response to Open gives an attempt.
func TestOpenOutcomes(t *testing.T) {
	cases := []struct {
		name          string
		status        int
		outcomeHeader string
		want          classifier.Outcome
	}{
		{"open", 200, "", classifier.Completed},
		{"layers not loaded", 404, "not-run", classifier.Refused},
		{"too large", 413, "", classifier.Refused},
		{"too many requests", 429, "", classifier.Refused},
		{"unavailable, from the engine", 503, "not-run", classifier.Refused},
		{"unavailable, from a gateway", 503, "", classifier.Unknown},
		{"failed", 500, "", classifier.Unknown},
		{"invalid head", 0, "", classifier.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.status == 0 {
					writeInvalidRefusal(t, w)
					return
				}
				if c.outcomeHeader != "" {
					w.Header().Set(caller.HeaderOutcome, c.outcomeHeader)
				}
				w.WriteHeader(c.status)
			}))
			defer server.Close()
			client := NewClient()
			defer client.Close()
			stream, got, _ := client.Open(t.Context(), Request{Stages: []Stage{{Address: server.Listener.Addr().String()}}})
			if stream != nil {
				stream.Close()
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("outcome mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// writeInvalidRefusal writes a refusal that has a space in the name of a header.
func writeInvalidRefusal(t *testing.T, w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nX Odd: 1\r\n"+caller.HeaderOutcome+": not-run\r\nContent-Length: 0\r\n\r\n")
}

// TestIncompleteLoads guards against endpoints that seem to hold no layers.
func TestIncompleteLoads(t *testing.T) {
	for body, isLoad := range map[string]bool{
		`{"endpoint":"e","stamp":1000}`:      true,
		`{"endpoint":"e","held":[]}`:         false,
		`{"endpoint":"","stamp":1000}`:       false,
		`{}`:                                 false,
		`null`:                               false,
		`{"endpoint":"e","stamp":1000}{}`:    false,
		`{"endpoint":"e","stamp":1000,"held`: false,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		client := NewClient()
		if got, err := client.Load(t.Context(), server.Listener.Addr().String()); (err == nil) != isLoad {
			t.Errorf("%s: %+v, error %v, want a load %v", body, got, err, isLoad)
		}
		client.Close()
		server.Close()
	}
}
