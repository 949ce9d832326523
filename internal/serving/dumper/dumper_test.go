package dumper

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/gorilla/mux"
)

// part is the state of a part of the test's process.
type part struct {
	Name string
	At   time.Time
}

func TestDumper(t *testing.T) {
	now := time.Unix(7, 0).UTC()
	reason := ""
	guard := func(h http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Authorization") == "" {
				http.Error(w, "who is it", http.StatusUnauthorized)
				return
			}
			h(w, r)
		}
	}
	d := New(WithClock(func() time.Time { return now }), WithReady(func(time.Time) string { return reason }), WithGuard(guard))
	d.Add("router", func(at time.Time) any { return part{"router", at} })
	d.Add("queue", func(time.Time) any { return []int{} })
	routes := mux.NewRouter()
	d.Register(routes)
	router := "{\n  \"Name\": \"router\",\n  \"At\": \"1970-01-01T00:00:07Z\"\n}\n"
	cases := []struct {
		name, path, token, reason string
		status                    int
		body                      string
	}{
		{"one part", "/state/router", "x", "", 200, router},
		{"all parts", "/state", "x", "", 200,
			"{\n  \"queue\": [],\n  \"router\": {\n    \"Name\": \"router\",\n    \"At\": \"1970-01-01T00:00:07Z\"\n  }\n}\n"},
		{"no such part", "/state/peers", "x", "", 404, "there is no part peers\n"},
		{"state without a credential", "/state", "", "", 401, "who is it\n"},
		{"part without a credential", "/state/router", "", "", 401, "who is it\n"},
		{"health", "/healthz", "", "leaving", 200, "ok\n"},
		{"ready", "/readyz", "", "", 200, "ready\n"},
		{"not ready", "/readyz", "", "leaving", 503, "leaving\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reason = c.reason
			r := httptest.NewRequest(http.MethodGet, c.path, nil)
			if c.token != "" {
				r.Header.Set("Authorization", c.token)
			}
			w := httptest.NewRecorder()
			routes.ServeHTTP(w, r)
			if diff := cmp.Diff([]any{c.status, c.body}, []any{w.Code, w.Body.String()}); diff != "" {
				t.Errorf("answer mismatch (-want +got):\n%s", diff)
			}
		})
	}
}
