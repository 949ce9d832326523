package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// cutter is a server that answers the first request of its first connection, and then breaks that connection: at
// once, or after it has read a second request. Later connections are answered.
type cutter struct {
	listener net.Listener
	// late is set if the connection breaks only after the second request was read.
	late bool
	// cut is closed when the first connection is broken.
	cut chan struct{}

	mu    sync.Mutex
	seen  int
	conns int
}

func newCutter(t *testing.T, late bool) *cutter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cutter{listener: l, late: late, cut: make(chan struct{})}
	go c.loop()
	t.Cleanup(func() { l.Close() })
	return c
}

func (c *cutter) loop() {
	for {
		connection, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.conns++
		first := c.conns == 1
		c.mu.Unlock()
		go c.run(connection, first)
	}
}

func (c *cutter) run(connection net.Conn, first bool) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	if !c.answer(connection, reader) {
		return
	}
	if first {
		if c.late {
			c.read(reader)
		}
		connection.Close()
		close(c.cut)
		return
	}
	for c.answer(connection, reader) {
	}
}

func (c *cutter) answer(w io.Writer, r *bufio.Reader) bool {
	if !c.read(r) {
		return false
	}
	_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nheld")
	return err == nil
}

func (c *cutter) read(r *bufio.Reader) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen++
	return true
}

func (c *cutter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen
}

// TestTransportReplays shows the trap: net/http sends a request with a key again by itself.
func TestTransportReplays(t *testing.T) {
	c := newCutter(t, true)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		r, err := http.NewRequest(http.MethodPost, "http://"+c.listener.Addr().String()+"/", bytes.NewReader([]byte("oak")))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set(HeaderKey, "k")
		response, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	if c.count() != 3 {
		t.Errorf("the service saw %d requests for 2 calls, want 3", c.count())
	}
}

func TestSenderNeverReplays(t *testing.T) {
	for _, body := range []string{"oak", ""} {
		t.Run("after the bytes left, body "+body, func(t *testing.T) {
			c := newCutter(t, true)
			s := NewSender(nil)
			defer s.Close()
			m := Message{Method: http.MethodPost, Path: "/", Header: http.Header{HeaderKey: {"k"}}, Body: []byte(body)}
			first, _, _ := s.Send(t.Context(), c.listener.Addr().String(), m)
			second, _, _ := s.Send(t.Context(), c.listener.Addr().String(), m)
			want := []classifier.Outcome{classifier.Completed, classifier.Unknown}
			if diff := cmp.Diff(want, []classifier.Outcome{first, second}); diff != "" {
				t.Errorf("outcomes mismatch (-want +got):\n%s", diff)
			}
			if c.count() != 2 {
				t.Errorf("the service saw %d requests for 2 sends", c.count())
			}
		})
	}
}

func TestSenderOnConnectionBrokenBefore(t *testing.T) {
	c := newCutter(t, false)
	s := NewSender(nil)
	defer s.Close()
	m := Message{Method: http.MethodPost, Path: "/", Header: http.Header{HeaderKey: {"k"}}, Body: []byte("oak")}
	first, _, _ := s.Send(t.Context(), c.listener.Addr().String(), m)
	<-c.cut
	second, _, _ := s.Send(t.Context(), c.listener.Addr().String(), m)
	if first != classifier.Completed {
		t.Fatalf("first outcome is %v", first)
	}
	// The break may be noticed before, while or after the bytes are written; each verdict must agree with the service.
	want := 1
	if second == classifier.Completed {
		want = 2
	}
	if second == classifier.Refused || c.count() != want {
		t.Errorf("outcome %v, but the service saw %d requests", second, c.count())
	}
}

func TestSenderWhereNothingListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	s := NewSender(nil)
	defer s.Close()
	got, _, _ := s.Send(t.Context(), address, Message{Method: http.MethodPost, Path: "/", Body: []byte("oak")})
	if got != classifier.NotSent {
		t.Errorf("outcome is %v, want not sent", got)
	}
}

func TestSenderOnSilence(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := NewSender(nil)
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	got, _, _ := s.Send(ctx, l.Addr().String(), Message{Method: http.MethodPost, Path: "/", Body: []byte("oak")})
	if got != classifier.Unknown {
		t.Errorf("outcome is %v, want unknown", got)
	}
}

// TestSealedBeforeTheFirstByte shows that a send given up before a byte left cannot leave later.
func TestSealedBeforeTheFirstByte(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := &conn{Conn: near}
	if !c.seal(c.count()) {
		t.Fatal("seal found bytes where none were written")
	}
	if n, err := c.Write([]byte("oak")); n != 0 || err == nil {
		t.Errorf("a sealed connection took %d bytes", n)
	}
}
