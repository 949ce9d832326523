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
	dialTimeout    = time.Second
	idleTimeout    = 60 * time.Second
	maxIdlePerHost = 32
	// maxReplyBytes bounds the body of a service's answer.
	maxReplyBytes = 8 << 20
)

// HeaderOutcome is the answer header that reports whether the call ran.
const HeaderOutcome = caller.HeaderOutcome

// Message is a call as sent to one endpoint of a service.
type Message struct {
	Method string
	// Path is the path and query at the service.
	Path   string
	Header http.Header
	Body   []byte
	// SendDeadline is the time from which no more bytes of the message are written; zero means no deadline.
	SendDeadline time.Time
}

// Sender sends each message at most once. net/http by itself retries a request that failed on a reused connection if
// its body can be read again, so Sender gives it bodies that cannot be.
type Sender struct {
	transport *http.Transport
	scheme    string
}

// NewSender returns a sender. It uses plain HTTP if t is nil.
func NewSender(t *tls.Config) *Sender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	s := &Sender{scheme: "http"}
	s.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newConn(c), nil
		},
		// HTTP/2 is off because its client retries refused streams by itself.
		TLSNextProto:        map[string]func(string, *tls.Conn) http.RoundTripper{},
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
	}
	if t != nil {
		s.scheme = "https"
		s.transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newTLSConn(ctx, c, address, t)
		}
	}
	return s
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.transport.CloseIdleConnections()
}

// Send sends a message to an address (host and port) and returns its outcome. The reply is not nil if a complete answer
// was received, whatever the outcome. The error explains an outcome without a reply.
func (s *Sender) Send(ctx context.Context, address string, m Message) (classifier.Outcome, *claimer.Reply, error) {
	trace := &connTrace{sendDeadline: m.SendDeadline}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.gotConn, WroteRequest: trace.wroteRequest})
	request, err := s.request(ctx, address, m)
	if err != nil {
		return classifier.NotSent, nil, err
	}
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		return trace.outcome(), nil, merry.Prependf(err, "sending to %s", address)
	}
	defer response.Body.Close()
	reply, err := readReply(response)
	if err != nil {
		return classifier.Unknown, nil, merry.Prependf(err, "answer of %s", address)
	}
	return classifier.ResponseOutcome(reply.Status, response.Header.Get(HeaderOutcome)), reply, nil
}

// request builds a request that net/http cannot retry: it has no GetBody, and its body is never nil, even if it is
// empty.
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

// readReply reads a service's answer of at most maxReplyBytes. The transport has undone the only content coding that it asks for; a caller
// is not told of another. A success that states that the call has not run proves nothing.
func readReply(r *http.Response) (*claimer.Reply, error) {
	if coding := r.Header.Get("Content-Encoding"); coding != "" {
		return nil, merry.Errorf("content coding %.40q was not asked for", coding)
	}
	if r.StatusCode < 300 && r.Header.Get(HeaderOutcome) == classifier.VerdictNotRun.String() {
		return nil, merry.Errorf("status %d, and the statement that the call has not run", r.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxReplyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxReplyBytes {
		return nil, merry.Errorf("longer than %d bytes", maxReplyBytes)
	}
	return &claimer.Reply{Status: r.StatusCode, ContentType: r.Header.Get("Content-Type"), Body: body}, nil
}

// connTrace records the connections assigned to a request.
type connTrace struct {
	mu   sync.Mutex
	uses []connUse
	// uncounted is true if a connection does not count its bytes.
	uncounted    bool
	sendDeadline time.Time
}

// connUse is a connection and the number of bytes written to it before the request.
type connUse struct {
	conn          *conn
	writtenBefore int64
}

// gotConn records a connection, which expects a response, before the request is written to it.
func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		t.uncounted = true
		return
	}
	c.verified.BeginRequest()
	t.uses = append(t.uses, connUse{conn: c, writtenBefore: c.setSendDeadline(t.sendDeadline)})
}

// wroteRequest records that the request has been written to the last connection, or that its write has failed.
func (t *connTrace) wroteRequest(httptrace.WroteRequestInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.uses) > 0 {
		t.uses[len(t.uses)-1].conn.verified.EndRequest()
	}
}

// outcome returns the outcome of a request that failed: NotSent only if no byte was written for it, else Unknown. It
// seals each connection so that none can be written later.
func (t *connTrace) outcome() classifier.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	nothingWritten := !t.uncounted
	for _, u := range t.uses {
		nothingWritten = u.conn.seal(u.writtenBefore) && nothingWritten
	}
	if nothingWritten {
		return classifier.NotSent
	}
	return classifier.Unknown
}
