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

// listener answers requests with scripted replies, one a request over all connections, and notes the requests.
type listener struct {
	net.Listener
	mu       sync.Mutex
	replies  []string
	requests []string
}

// cut is the reply that closes the connection in place of an answer.
const cut = ""

func newListener(t *testing.T, replies ...string) *listener {
	t.Helper()
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &listener{Listener: n, replies: replies}
	t.Cleanup(func() { n.Close() })
	go l.run()
	return l
}

// run takes connections until the listener is closed.
func (l *listener) run() {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go l.loop(c)
	}
}

// loop answers the requests of one connection.
func (l *listener) loop(c net.Conn) {
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
		reply := l.next(r.Method + " " + r.URL.Path + " " + string(body))
		if _, err := io.WriteString(c, reply); err != nil || !strings.HasSuffix(reply, "{}") {
			return
		}
	}
}

func (l *listener) next(request string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, request)
	reply := l.replies[0]
	l.replies = l.replies[1:]
	return reply
}

// reply returns an answer with headers and an empty JSON object.
func reply(status int, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: 2\r\n\r\n{}", status, strings.Join(headers, ""))
}

const refused = HeaderOutcome + ": not-run\r\n"

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		replies []string
		want    []classifier.Outcome
	}{
		{"answered", []string{reply(200)}, []classifier.Outcome{classifier.Completed}},
		{"absent", []string{reply(404)}, []classifier.Outcome{classifier.Completed}},
		{"refused", []string{reply(503, refused)}, []classifier.Outcome{classifier.Refused}},
		{"limited", []string{reply(429, refused)}, []classifier.Outcome{classifier.Refused}},
		{"unavailable, by a gateway", []string{reply(503)}, []classifier.Outcome{classifier.Unknown}},
		{"failed", []string{reply(500)}, []classifier.Outcome{classifier.Unknown}},
		{"gateway", []string{reply(504)}, []classifier.Outcome{classifier.Unknown}},
		{"redirect", []string{reply(307)}, []classifier.Outcome{classifier.Unknown}},
		{"cut", []string{cut}, []classifier.Outcome{classifier.Unknown}},
		{
			"cut on a reused connection", []string{reply(200), cut},
			[]classifier.Outcome{classifier.Completed, classifier.Unknown},
		},
		{"cut short", []string{"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\n{"}, []classifier.Outcome{classifier.Unknown}},
		{
			"too large", []string{"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\n1234567{}"},
			[]classifier.Outcome{classifier.Unknown},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newListener(t, c.replies...)
			caller := New("http://"+l.Addr().String(), WithBody(8))
			defer caller.Close()
			var got []classifier.Outcome
			var sent []string
			for i := range c.want {
				body := fmt.Sprint("body ", i)
				sent = append(sent, "POST /call "+body)
				a, err := caller.Call(t.Context(), http.MethodPost, "/call", nil, []byte(body))
				got = append(got, a.Outcome)
				if (err == nil) != (a.Outcome == classifier.Completed) {
					t.Errorf("outcome %v with error %v", a.Outcome, err)
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("outcomes mismatch (-want +got):\n%s", diff)
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			if diff := cmp.Diff(sent, l.requests); diff != "" {
				t.Errorf("requests mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestNotSent(t *testing.T) {
	l := newListener(t)
	l.Close()
	for _, base := range []string{"http://" + l.Addr().String(), "http://[", "none://host"} {
		a, err := New(base).Call(t.Context(), http.MethodPost, "/call", nil, []byte("{}"))
		if a.Outcome != classifier.NotSent || err == nil {
			t.Errorf("%s: outcome %v, error %v", base, a.Outcome, err)
		}
	}
}
