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

// breakingServer is an HTTP server that answers the first request on its first connection and then closes that
// connection, at once or after it has read a second request. It answers all requests on later connections.
type breakingServer struct {
	listener net.Listener
	// readsBeforeBreak is true if the server reads the second request before it closes the connection.
	readsBeforeBreak bool
	// broken is closed when the first connection is closed.
	broken chan struct{}

	mu           sync.Mutex
	requestCount int
	connCount    int
}

func newBreakingServer(t *testing.T, readsBeforeBreak bool) *breakingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &breakingServer{listener: l, readsBeforeBreak: readsBeforeBreak, broken: make(chan struct{})}
	go b.loop()
	t.Cleanup(func() { l.Close() })
	return b
}

func (b *breakingServer) loop() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.connCount++
		first := b.connCount == 1
		b.mu.Unlock()
		go b.serveConn(conn, first)
	}
}

func (b *breakingServer) serveConn(conn net.Conn, first bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if !b.answer(conn, reader) {
		return
	}
	if first {
		if b.readsBeforeBreak {
			b.read(reader)
		}
		conn.Close()
		close(b.broken)
		return
	}
	for b.answer(conn, reader) {
	}
}

func (b *breakingServer) answer(w io.Writer, r *bufio.Reader) bool {
	if !b.read(r) {
		return false
	}
	_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nheld")
	return err == nil
}

func (b *breakingServer) read(r *bufio.Reader) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requestCount++
	return true
}

func (b *breakingServer) requestsRead() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requestCount
}

// TestTransportReplays shows why Sender gives its requests bodies that cannot be read again: net/http by itself
// retries a request that has an Idempotency-Key.
func TestTransportReplays(t *testing.T) {
	b := newBreakingServer(t, true)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		r, err := http.NewRequest(http.MethodPost, "http://"+b.listener.Addr().String()+"/", bytes.NewReader([]byte("oak")))
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
	if b.requestsRead() != 3 {
		t.Errorf("the service received %d requests for 2 calls, want 3", b.requestsRead())
	}
}

func TestSenderNeverReplays(t *testing.T) {
	for _, body := range []string{"oak", ""} {
		t.Run("after the bytes left, body "+body, func(t *testing.T) {
			b := newBreakingServer(t, true)
			s := NewSender(nil)
			defer s.Close()
			m := Message{Method: http.MethodPost, Path: "/", Header: http.Header{HeaderKey: {"k"}}, Body: []byte(body)}
			first, _, _ := s.Send(t.Context(), b.listener.Addr().String(), m)
			second, _, _ := s.Send(t.Context(), b.listener.Addr().String(), m)
			want := []classifier.Outcome{classifier.Completed, classifier.Unknown}
			if diff := cmp.Diff(want, []classifier.Outcome{first, second}); diff != "" {
				t.Errorf("outcomes mismatch (-want +got):\n%s", diff)
			}
			if b.requestsRead() != 2 {
				t.Errorf("the service received %d requests for 2 sends", b.requestsRead())
			}
		})
	}
}

func TestSenderOnConnectionBrokenBefore(t *testing.T) {
	b := newBreakingServer(t, false)
	s := NewSender(nil)
	defer s.Close()
	m := Message{Method: http.MethodPost, Path: "/", Header: http.Header{HeaderKey: {"k"}}, Body: []byte("oak")}
	first, _, _ := s.Send(t.Context(), b.listener.Addr().String(), m)
	<-b.broken
	second, _, _ := s.Send(t.Context(), b.listener.Addr().String(), m)
	if first != classifier.Completed {
		t.Fatalf("first outcome is %v", first)
	}
	// The closed connection may be noticed before, while or after the bytes are written. Each outcome must match what the
	// service received.
	want := 1
	if second == classifier.Completed {
		want = 2
	}
	if second == classifier.Refused || b.requestsRead() != want {
		t.Errorf("outcome %v, but the service received %d requests", second, b.requestsRead())
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

func TestSenderWithoutAnswer(t *testing.T) {
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

// TestSealedBeforeTheFirstByte checks that no byte can be written for a request abandoned before its first byte.
func TestSealedBeforeTheFirstByte(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := &conn{Conn: near}
	if !c.seal(c.bytesWritten()) {
		t.Fatal("seal found bytes where none were written")
	}
	if n, err := c.Write([]byte("oak")); n != 0 || err == nil {
		t.Errorf("a sealed connection took %d bytes", n)
	}
}
