package runner

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/serving/dispatcher"
)

// TestRefusedAttempts sends calls of a team that is not known. Of a later attempt it is not known whether one before it
// has run, by a credential that was valid then.
func TestRefusedAttempts(t *testing.T) {
	r := start(t)
	reached := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the call went on") })
	cases := []struct{ attempt, want string }{
		{"", "not-run"}, {"1", "not-run"}, {"2", "unknown"}, {"17", "unknown"}, {"x", "not-run"},
	}
	for _, c := range cases {
		q := httptest.NewRequest(http.MethodPost, "/v1/services/stores/holds", nil)
		q.Header.Set("Authorization", "Bearer nobody")
		if c.attempt != "" {
			q.Header.Set(dispatcher.HeaderAttempt, c.attempt)
		}
		w := httptest.NewRecorder()
		r.admitted(reached).ServeHTTP(w, q)
		got := []any{w.Code, w.Header().Get(dispatcher.HeaderOutcome)}
		if diff := cmp.Diff([]any{http.StatusUnauthorized, c.want}, got); diff != "" {
			t.Errorf("attempt %q mismatch (-want +got):\n%s", c.attempt, diff)
		}
	}
}
