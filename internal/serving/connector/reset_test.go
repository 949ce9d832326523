package connector

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// upload is a request with a long body, to an endpoint that answers with a success of no stated length.
type upload struct {
	bytes int
	// read is the number of bytes of the request's body that the endpoint reads before it answers, and pause the time from the answer to
	// the end of the connection.
	read  int64
	pause time.Duration
}

// String returns the name of a case.
func (u upload) String() string {
	return fmt.Sprintf("%d bytes, %d read, %v", u.bytes, u.read, u.pause)
}

// uploads are requests of several lengths, with ends of the connection at several moments: while the body is written, and while its write
// waits for the endpoint, which takes a body that the buffers of the connection do not hold.
var uploads = []upload{
	{256 << 10, 0, 0}, {1 << 20, 0, 0}, {1 << 20, 512 << 10, 0}, {4 << 20, 0, 0}, {4 << 20, 2 << 20, 0},
	{8 << 20, 0, time.Millisecond}, {8 << 20, 0, 10 * time.Millisecond}, {12 << 20, 4 << 20, 10 * time.Millisecond},
}

// answerEarly starts an endpoint that answers each request before it has read the body, and calls end for the connection.
func answerEarly(t *testing.T, u upload, answer string, end func(c *net.TCPConn)) *testEndpoint {
	t.Helper()
	return newEndpoint(t, func(c net.Conn, _ func() (*http.Request, string)) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
		if err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, r.Body, u.read); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		time.Sleep(u.pause)
		end(c.(*net.TCPConn))
	})
}

// uploadTo sends an upload and returns what is received of the body of the response.
func uploadTo(t *testing.T, e *testEndpoint, u upload) (string, error) {
	t.Helper()
	pool := New()
	defer pool.Close()
	var content Content
	for left := u.bytes; left > 0; left -= pieceBytes {
		content = append(content, bytes.Repeat([]byte{'x'}, min(left, pieceBytes)))
	}
	response, err := pool.Send(t.Context(), e.address(), Message{Method: "POST", Target: "/a", Host: "h", Body: content})
	if err != nil {
		return "", err
	}
	b, err := response.ReadAll(1 << 20)
	return string(b), err
}

// unframed is a response with unframedBody that ends with its connection.
const (
	unframed     = "HTTP/1.1 200 OK\r\n\r\n" + unframedBody
	unframedBody = "id: 1\ndata: x\n\n"
)

// TestResponseThatIsResetDuringTheUploadIsNotWhole resets the connection after a part of a response of no stated length, while the request is
// written: the write takes the error of the connection, and the read finds its end.
func TestResponseThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	const plays = 60
	for _, u := range uploads {
		t.Run(u.String(), func(t *testing.T) {
			t.Parallel()
			e := answerEarly(t, u, unframed, func(c *net.TCPConn) { _ = c.SetLinger(0) })
			countWhole(t, e, u, plays, 0)
		})
	}
}

// TestResponseThatIsClosedDuringTheUploadIsNotWhole ends the sending side after a part of a response, and closes the connection before the
// request is read: what follows of the request is answered with a reset.
func TestResponseThatIsClosedDuringTheUploadIsNotWhole(t *testing.T) {
	const plays = 60
	for _, u := range uploads {
		if u.bytes < 8<<20 {
			continue // The request may have been written before the reset arrives.
		}
		t.Run(u.String(), func(t *testing.T) {
			t.Parallel()
			e := answerEarly(t, u, unframed, func(c *net.TCPConn) { _ = c.CloseWrite() })
			countWhole(t, e, u, plays, 0)
		})
	}
}

// TestResponseThatEndsDuringTheUploadIsWhole ends the sending side after a whole response of no stated length, while the request is written, and
// reads the rest of it or leaves it unread.
func TestResponseThatEndsDuringTheUploadIsWhole(t *testing.T) {
	const plays = 10
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	for _, u := range uploads {
		t.Run(u.String(), func(t *testing.T) {
			t.Parallel()
			e := answerEarly(t, u, unframed, func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) })
			countWhole(t, e, u, plays, plays)
			e = answerEarly(t, u, unframed, func(c *net.TCPConn) { _ = c.CloseWrite(); <-done })
			countWhole(t, e, u, plays, plays)
		})
	}
}

// countWhole sends an upload some times, and checks how many responses are taken for whole ones.
func countWhole(t *testing.T, e *testEndpoint, u upload, plays, want int) {
	t.Helper()
	whole := 0
	for range plays {
		body, err := uploadTo(t, e, u)
		if err == nil {
			whole++
		}
		if diff := cmp.Diff(unframedBody, body); err == nil && diff != "" {
			t.Errorf("body (-want +got):\n%s", diff)
		}
	}
	if whole != want {
		t.Errorf("%d of %d responses were taken for whole ones, want %d", whole, plays, want)
	}
}
