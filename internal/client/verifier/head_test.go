package verifier

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestHead verifies what one connection sends as the response to one request, at once and byte by byte.
func TestHead(t *testing.T) {
	for name, c := range map[string]struct {
		received string
		want     error
	}{
		"response":                    {"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n", nil},
		"any body":                    {"HTTP/1.1 200 OK\r\n\r\nnot a header\r\n\n\x00", nil},
		"head without its end":        {"HTTP/1.1 200 OK\r\nX-I", nil},
		"no reason":                   {"HTTP/1.0 599 \r\nVary:\r\n\r\n", nil},
		"no space after the status":   {"HTTP/1.1 204\r\n\r\n", nil},
		"line feeds alone":            {"HTTP/1.1 200 OK\nX-Id: a\n\nbody", nil},
		"informational response":      {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nnot a header", nil},
		"after an informational one":  {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX Id: a\r\n\r\n", ErrInvalidHead},
		"chunks":                      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", nil},
		"chunks and a length":         {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n", ErrInvalidHead},
		"no status line":              {"\r\n", ErrInvalidHead},
		"request":                     {"GET / HTTP/1.1\r\n", ErrInvalidHead},
		"status 000":                  {"HTTP/1.1 000 OK\r\n", ErrInvalidHead},
		"status 101":                  {"HTTP/1.1 101 Switching Protocols\r\n", ErrInvalidHead},
		"status 600":                  {"HTTP/1.1 600 OK\r\n", ErrInvalidHead},
		"status of four digits":       {"HTTP/1.1 2000 OK\r\n", ErrInvalidHead},
		"status of two digits":        {"HTTP/1.1 20\r\n", ErrInvalidHead},
		"escape sequence in a reason": {"HTTP/1.1 200 \x1b[1m\r\n", ErrInvalidHead},
		"line without a colon":        {"HTTP/1.1 200 OK\r\nX-Id\r\n", ErrInvalidHead},
		"no name":                     {"HTTP/1.1 200 OK\r\n: a\r\n", ErrInvalidHead},
		"space after a name":          {"HTTP/1.1 200 OK\r\nX-Id : a\r\n", ErrInvalidHead},
		"tab before a name":           {"HTTP/1.1 200 OK\r\nX-Id: a\r\n\tX-Other: b\r\n", ErrInvalidHead},
		"line feed before a name":     {"HTTP/1.1 200 OK\r\n\nX-Id: a\r\n\r\n", ErrInvalidHead},
		"line feed after a value":     {"HTTP/1.1 200 OK\r\nX-Id: a\nX-Other: b\r\n\r\n", ErrInvalidHead},
	} {
		t.Run(name, func(t *testing.T) {
			var whole, bytewise Head
			if diff := cmp.Diff(c.want, whole.Verify([]byte(c.received)), cmpopts.EquateErrors()); diff != "" {
				t.Errorf("at once (-want +got):\n%s", diff)
			}
			var err error
			for i := range len(c.received) {
				err = errors.Join(err, bytewise.Verify([]byte(c.received[i:i+1])))
			}
			if diff := cmp.Diff(c.want, err, cmpopts.EquateErrors()); diff != "" {
				t.Errorf("byte by byte (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHeadOfTheNextResponse verifies the responses to two requests on one connection.
func TestHeadOfTheNextResponse(t *testing.T) {
	var h Head
	for _, received := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 204 No Content\r\n\r\n"} {
		if err := h.Verify([]byte(received)); err != nil {
			t.Errorf("%q: %v", received, err)
		}
		h.Expect()
	}
	if err := h.Verify([]byte("HTTP/1.1 000 OK\r\n")); !errors.Is(err, ErrInvalidHead) {
		t.Errorf("got %v, want %v", err, ErrInvalidHead)
	}
}
