package verifier

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// answer is what one request got.
type answer struct {
	Status int
	Body   string
	Err    error
}

// newHandler returns a handler that answers "/raw" with bytes of its query, and other requests in the usual way.
func newHandler(t *testing.T) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/raw" {
			_, _ = io.WriteString(w, r.URL.Path)
			return
		}
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(c, r.URL.Query().Get("bytes"))
		_ = c.Close()
	})
}

// TestTransport sends requests over a kept connection, with and without TLS: sound responses arrive, invalid ones are errors.
func TestTransport(t *testing.T) {
	const invalid = "/raw?bytes=HTTP/1.1+200+OK%0D%0AX-Id:+a%0D%0A+Content-Length:+5%0D%0A%0D%0Awhole,+and+more"
	plain, secure := httptest.NewServer(newHandler(t)), httptest.NewTLSServer(newHandler(t))
	defer plain.Close()
	defer secure.Close()
	for _, s := range []*httptest.Server{plain, secure} {
		settings := &http.Transport{}
		if s.TLS != nil {
			settings.TLSClientConfig = s.Client().Transport.(*http.Transport).TLSClientConfig
		}
		transport := NewTransport(settings)
		var got []answer
		for _, path := range []string{"/a", "/b", invalid, "/c", "/raw?bytes=HTTP/1.1+000+OK%0D%0A%0D%0A", "/d"} {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL+path, nil)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, send(transport, r))
		}
		want := []answer{{200, "/a", nil}, {200, "/b", nil}, {Err: ErrInvalidHead}, {200, "/c", nil}, {Err: ErrInvalidHead}, {200, "/d", nil}}
		if diff := cmp.Diff(want, got, cmpopts.EquateErrors()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", s.URL, diff)
		}
		transport.CloseIdleConnections()
	}
}

// send sends a request and reads its response.
func send(transport http.RoundTripper, r *http.Request) answer {
	response, err := transport.RoundTrip(r)
	if err != nil {
		return answer{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, string(body), errors.Join(err, response.Body.Close())}
}
