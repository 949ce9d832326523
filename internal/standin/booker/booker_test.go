package booker

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/client/caller"
	"github.com/heatherrock/heatherrock/internal/standin/faulter"
)

// call sends one call and returns the status, the outcome header and the body of its response. The status is 0 if no
// response arrived.
func call(t *testing.T, base, method, path, key, body string) (int, string, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, base+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set(HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", ""
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get(caller.HeaderOutcome), strings.TrimSpace(string(content))
}

func TestServices(t *testing.T) {
	for _, path := range []string{PathHolds, PathOrders} {
		t.Run(path, func(t *testing.T) {
			faults := faulter.NewFaults(1)
			ledger := NewLedger(map[string]int{"oak": 10, "latch": 3})
			s := httptest.NewServer(faulter.Wrap(faults, New(ledger, path, true)))
			defer s.Close()
			oak := `{"item":"oak","quantity":2}`
			steps := []struct {
				name, method, path, key, body string
				fault                         faulter.Kind
				status                        int
				outcome, want                 string
			}{
				{"place", "POST", path, "k1", oak, "", 201, "", `{"number":1,"key":"k1","item":"oak","quantity":2}`},
				{"place again", "POST", path, "k1", oak, "", 201, "", `{"number":2,"key":"k1","item":"oak","quantity":2}`},
				{"refused", "POST", path, "k2", oak, faulter.Refuse, 503, "not-run", `{"reason":"refused by a fault"}`},
				{"lost", "POST", path, "a:k/3", oak, faulter.DropResponse, 0, "", ""},
				{"look up", "GET", path + "/a:k%2F3", "", "", "", 200, "", `{"number":3,"key":"a:k/3","item":"oak","quantity":2}`},
				{"look up a key that did not run", "GET", path + "/k2", "", "", "", 404, "", "404 page not found"},
				{"too little", "POST", path, "k4", `{"item":"oak","quantity":9}`, "", 409, "", `{"item":"oak","left":0}`},
				{"invalid", "POST", path, "k5", `{"item":"oak"}`, "", 400, "not-run", "not an item and a quantity"},
				{"read", "GET", "/stock/oak", "", "", "", 200, "", `{"item":"oak","left":4}`},
				{"search", "GET", "/catalogue?q=lat", "", "", "", 200, "", `[{"item":"latch","left":3}]`},
				{"unknown item", "GET", "/stock/ash", "", "", "", 404, "", "404 page not found"},
			}
			for _, n := range steps {
				faults.Clear()
				if n.fault != "" {
					if err := faults.AddFaults(faulter.Fault{Kind: n.fault, MaxHits: 1}); err != nil {
						t.Fatal(err)
					}
				}
				status, outcome, body := call(t, s.URL, n.method, n.path, n.key, n.body)
				if diff := cmp.Diff([]any{n.status, n.outcome, n.want}, []any{status, outcome, body}); diff != "" {
					t.Errorf("%s: answer mismatch (-want +got):\n%s", n.name, diff)
				}
			}
			if diff := cmp.Diff(map[string]int{"k1": 2, "a:k/3": 1}, ledger.RunCounts()); diff != "" {
				t.Errorf("runs mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestWithoutLookup(t *testing.T) {
	s := httptest.NewServer(New(NewLedger(map[string]int{"oak": 1}), PathHolds, false))
	defer s.Close()
	call(t, s.URL, "POST", PathHolds, "k", `{"item":"oak","quantity":1}`)
	if status, _, _ := call(t, s.URL, "GET", PathHolds+"/k", "", ""); status != http.StatusNotFound {
		t.Errorf("lookup responds with status %d", status)
	}
}
