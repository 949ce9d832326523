package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// scriptedServer answers each request, on any connection, with the next scripted reply and records the request.
type scriptedServer struct {
	net.Listener
	mu       sync.Mutex
	replies  []string
	requests []string
}

// connectionCut is a scripted reply that closes the connection without a response.
const connectionCut = ""

func newScriptedServer(t *testing.T, replies ...string) *scriptedServer {
	t.Helper()
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{Listener: n, replies: replies}
	t.Cleanup(func() { n.Close() })
	go s.run()
	return s
}

// run accepts connections until the listener is closed.
func (s *scriptedServer) run() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go s.loop(c)
	}
}

// loop answers the requests of one connection.
func (s *scriptedServer) loop(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		reply := s.nextReply(r.Method + " " + r.URL.Path + " " + string(body))
		if _, err := io.WriteString(c, reply); err != nil || !strings.HasSuffix(reply, "{}") {
			return
		}
	}
}

func (s *scriptedServer) nextReply(request string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
	reply := s.replies[0]
	s.replies = s.replies[1:]
	return reply
}

// jsonReply returns a response with the given headers and an empty JSON object as its body.
func jsonReply(status int, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: 2\r\n\r\n{}", status, strings.Join(headers, ""))
}

const refusedHeader = HeaderOutcome + ": not-run\r\n"

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		replies []string
		want    []classifier.Outcome
	}{
		{"completed", []string{jsonReply(200)}, []classifier.Outcome{classifier.Completed}},
		{"not found", []string{jsonReply(404)}, []classifier.Outcome{classifier.Completed}},
		{"refused", []string{jsonReply(503, refusedHeader)}, []classifier.Outcome{classifier.Refused}},
		{"rate limited", []string{jsonReply(429, refusedHeader)}, []classifier.Outcome{classifier.Refused}},
		{"unavailable, by a gateway", []string{jsonReply(503)}, []classifier.Outcome{classifier.Unknown}},
		{"failed", []string{jsonReply(500)}, []classifier.Outcome{classifier.Unknown}},
		{"gateway timeout", []string{jsonReply(504)}, []classifier.Outcome{classifier.Unknown}},
		{"redirect", []string{jsonReply(307)}, []classifier.Outcome{classifier.Unknown}},
		{"connection closed", []string{connectionCut}, []classifier.Outcome{classifier.Unknown}},
		{
			"reused connection closed", []string{jsonReply(200), connectionCut},
			[]classifier.Outcome{classifier.Completed, classifier.Unknown},
		},
		{"space in a header's name", []string{jsonReply(200, "X Odd: 1\r\n")}, []classifier.Outcome{classifier.Unknown}},
		{"refused, with a folded header", []string{jsonReply(503, refusedHeader, " X-Odd: 1\r\n")}, []classifier.Outcome{classifier.Unknown}},
		{"status 000", []string{"HTTP/1.1 000 x\r\n" + refusedHeader + "Content-Length: 2\r\n\r\n{}"}, []classifier.Outcome{classifier.Unknown}},
		{"truncated body", []string{"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\n{"}, []classifier.Outcome{classifier.Unknown}},
		{
			"too large", []string{"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\n1234567{}"},
			[]classifier.Outcome{classifier.Unknown},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedServer(t, c.replies...)
			caller := New("http://"+s.Addr().String(), WithMaxBodyBytes(8))
			defer caller.Close()
			var got []classifier.Outcome
			var sent []string
			for i := range c.want {
				body := fmt.Sprint("body ", i)
				sent = append(sent, "POST /call "+body)
				result, err := caller.Call(t.Context(), http.MethodPost, "/call", nil, []byte(body))
				got = append(got, result.Outcome)
				if (err == nil) != (result.Outcome == classifier.Completed) {
					t.Errorf("outcome %v with error %v", result.Outcome, err)
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("outcomes mismatch (-want +got):\n%s", diff)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if diff := cmp.Diff(sent, s.requests); diff != "" {
				t.Errorf("requests mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestNotSent(t *testing.T) {
	s := newScriptedServer(t)
	s.Close()
	for _, base := range []string{"http://" + s.Addr().String(), "http://[", "none://host"} {
		result, err := New(base).Call(t.Context(), http.MethodPost, "/call", nil, []byte("{}"))
		if result.Outcome != classifier.NotSent || err == nil {
			t.Errorf("%s: outcome %v, error %v", base, result.Outcome, err)
		}
	}
}
