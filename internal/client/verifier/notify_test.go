package verifier

import (
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestEndWithoutNotice closes the connection below TLS after a response. Without a close_notify alert, a response is whole only if it states
// its length.
func TestEndWithoutNotice(t *testing.T) {
	closeBelow := func(net.Conn, *net.TCPConn) {}
	for _, c := range []struct {
		name string
		end  func(c net.Conn, below *net.TCPConn)
		want answer
	}{
		{"without a notice", closeBelow, answer{200, "whole", ErrTruncated}},
		{"with a notice", func(c net.Conn, _ *net.TCPConn) { _ = c.Close() }, answer{200, "whole", nil}},
	} {
		s, settings := newServer(t, true, endUpload(t, 0, c.end))
		if diff := cmp.Diff(c.want, upload(t, NewTransport(settings), s.URL, 0), cmpopts.EquateErrors()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestLengthNeedsNoNotice closes the connection below TLS after a response with a length.
func TestLengthNeedsNoNotice(t *testing.T) {
	s, settings := newServer(t, true, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, err = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"))
		if err = errors.Join(err, c.(interface{ NetConn() net.Conn }).NetConn().Close()); err != nil {
			t.Error(err)
		}
	}))
	if diff := cmp.Diff(answer{200, "whole", nil}, upload(t, NewTransport(settings), s.URL, 0)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
