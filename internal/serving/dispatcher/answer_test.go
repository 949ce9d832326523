package dispatcher

import (
	"bytes"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
)

// TestReplyStatesItsLength writes replies with and without a body.
func TestReplyStatesItsLength(t *testing.T) {
	got := map[int]string{}
	for _, n := range []int{0, 5000} {
		w := httptest.NewRecorder()
		writeReply(w, &claimer.Reply{Status: 200, Body: bytes.Repeat([]byte{'x'}, n)})
		got[n] = w.Header().Get("Content-Length")
	}
	// net/http states the length of an empty body, but for a HEAD request.
	if diff := cmp.Diff(map[int]string{0: "", 5000: "5000"}, got); diff != "" {
		t.Errorf("Content-Length by length of the body (-want +got):\n%s", diff)
	}
}
