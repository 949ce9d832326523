package streamer

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/caller"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// TestOpenOutcomes checks what is known of an attempt from the answer to its opening.
func TestOpenOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		status int
		told   string
		want   classifier.Outcome
	}{
		{"open", 200, "", classifier.Completed},
		{"layers not held", 404, "not-run", classifier.Refused},
		{"too large", 413, "", classifier.Refused},
		{"too many", 429, "", classifier.Refused},
		{"down, by the engine", 503, "not-run", classifier.Refused},
		{"unavailable, by a gateway", 503, "", classifier.Unknown},
		{"failed", 500, "", classifier.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.told != "" {
					w.Header().Set(caller.HeaderOutcome, c.told)
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
