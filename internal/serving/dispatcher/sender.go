package dispatcher

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/client/caller"
	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The limits of a Sender.
const (
	dialTimeout = time.Second
	idleTimeout = 60 * time.Second
	idlePerHost = 32
	// maxReply bounds a service's answer, in bytes.
	maxReply = 8 << 20
)

// HeaderOutcome is the header of answers that says whether the call ran.
const HeaderOutcome = caller.HeaderOutcome

// Message is a call as it goes to one endpoint of a service.
type Message struct {
	Method string
	// Path is the path and query at the service.
	Path   string
	Header http.Header
	Body   []byte
	// Until is the time after which no more bytes of the message leave; zero means no bound.
	Until time.Time
}

// Sender sends a message once. It never repeats one: net/http repeats by itself a request that failed on a reused
// connection if its body can be had again, so the bodies here cannot.
type Sender struct {
	transport *http.Transport
	scheme    string
}

// NewSender returns a sender. Without TLS settings it speaks plain HTTP.
func NewSender(t *tls.Config) *Sender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	s := &Sender{scheme: "http"}
	s.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			return wrap(c, err)
		},
		// HTTP/2 repeats refused streams by itself.
		TLSNextProto:        map[string]func(string, *tls.Conn) http.RoundTripper{},
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: idlePerHost,
	}
	if t != nil {
		s.scheme = "https"
		secure := &tls.Dialer{NetDialer: dialer, Config: t}
		s.transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := secure.DialContext(ctx, network, address)
			return wrap(c, err)
		}
	}
	return s
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.transport.CloseIdleConnections()
}

// Send sends a message to an address (host and port) and returns what is known of it. The reply is set if a whole
// answer came, whatever the outcome. The error explains an outcome without a reply.
func (s *Sender) Send(ctx context.Context, address string, m Message) (classifier.Outcome, *claimer.Reply, error) {
	trace := &connections{until: m.Until}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.got})
	request, err := s.request(ctx, address, m)
	if err != nil {
		return classifier.NotSent, nil, err
	}
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		return trace.outcome(), nil, merry.Prependf(err, "sending to %s", address)
	}
	defer response.Body.Close()
	reply, err := read(response)
	if err != nil {
		return classifier.Unknown, nil, merry.Prependf(err, "answer of %s", address)
	}
	return classifier.ResponseOutcome(reply.Status, response.Header.Get(HeaderOutcome)), reply, nil
}

// request builds the request so that it can be sent once only: the body is never nil, also when it is empty, and
// there is no GetBody.
func (s *Sender) request(ctx context.Context, address string, m Message) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, m.Method, s.scheme+"://"+address+m.Path, nil)
	if err != nil {
		return nil, merry.Prepend(err, "building the request")
	}
	request.Header = m.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Body = io.NopCloser(bytes.NewReader(m.Body))
	request.ContentLength = int64(len(m.Body))
	return request, nil
}

// read reads a bounded answer.
func read(r *http.Response) (*claimer.Reply, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxReply+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxReply {
		return nil, merry.Errorf("longer than %d bytes", maxReply)
	}
	return &claimer.Reply{Status: r.StatusCode, ContentType: r.Header.Get("Content-Type"), Body: body}, nil
}

// wrap counts a new connection's bytes.
func wrap(c net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// connections holds the connections that a request was given.
type connections struct {
	mu    sync.Mutex
	hops  []hop
	blind bool
	until time.Time
}

// hop is a connection and its count of bytes before the request.
type hop struct {
	conn *conn
	base int64
}

// got notes a connection before the request is written to it.
func (t *connections) got(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		t.blind = true
		return
	}
	t.hops = append(t.hops, hop{conn: c, base: c.limit(t.until)})
}

// outcome returns what is known of a request that failed: not sent only if no byte was written for it, which it makes
// final by sealing each connection.
func (t *connections) outcome() classifier.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	silent := !t.blind
	for _, h := range t.hops {
		silent = h.conn.seal(h.base) && silent
	}
	if silent {
		return classifier.NotSent
	}
	return classifier.Unknown
}
