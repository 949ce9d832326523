package runner

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/serving/dispatcher"
)

// TestRefusedAttempts sends calls with an unknown credential. A first attempt must be refused as not run. The outcome of a
// repeated attempt must be unknown, since an earlier one may have run while the credential was valid.
func TestRefusedAttempts(t *testing.T) {
	r := startInstance(t)
	unreachable := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the call was admitted") })
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
		r.admitServiceCalls(unreachable).ServeHTTP(w, q)
		got := []any{w.Code, w.Header().Get(dispatcher.HeaderOutcome)}
		if diff := cmp.Diff([]any{http.StatusUnauthorized, c.want}, got); diff != "" {
			t.Errorf("attempt %q mismatch (-want +got):\n%s", c.attempt, diff)
		}
	}
}
