package dispatcher

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// earlyService is a service that answers each call before it has read the body, without a length, and calls end for the connection.
type earlyService struct {
	listener net.Listener
	end      func(c *net.TCPConn)
}

// newEarlyService starts a service that runs until the test ends.
func newEarlyService(t *testing.T, end func(c *net.TCPConn)) *earlyService {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &earlyService{listener: l, end: end}
	go s.loop()
	t.Cleanup(func() { l.Close() })
	return s
}

// loop accepts connections until the listener is closed.
func (s *earlyService) loop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.run(c.(*net.TCPConn))
	}
}

// run serves a connection.
func (s *earlyService) run(c *net.TCPConn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nheld"); err == nil {
		s.end(c)
	}
}

// TestCallThatIsAnsweredEarly sends long calls to services that answer early: the reply counts if the connection is ended in order, and the
// outcome is unknown if it is reset.
func TestCallThatIsAnsweredEarly(t *testing.T) {
	const plays = 100
	type result struct {
		Outcome classifier.Outcome
		Body    string
	}
	for _, c := range []struct {
		name string
		end  func(c *net.TCPConn)
		want result
	}{
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0) }, result{Outcome: classifier.Unknown}},
		{"reset later", func(c *net.TCPConn) { time.Sleep(5 * time.Millisecond); _ = c.SetLinger(0) }, result{Outcome: classifier.Unknown}},
		{"ended", func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, result{classifier.Completed, "held"}},
	} {
		for _, length := range []int{1 << 20, 8 << 20} {
			s, sender := newEarlyService(t, c.end), NewSender(nil)
			got := map[result]int{}
			for range plays {
				outcome, reply, _ := sender.Send(t.Context(), s.listener.Addr().String(), Message{Method: http.MethodPost, Path: "/", Body: make([]byte, length)})
				r := result{Outcome: outcome}
				if reply != nil {
					r.Body = string(reply.Body)
				}
				got[r]++
			}
			if diff := cmp.Diff(map[result]int{c.want: plays}, got); diff != "" {
				t.Errorf("%s, %d bytes (-want +got):\n%s", c.name, length, diff)
			}
			sender.Close()
		}
	}
}
