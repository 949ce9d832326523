package verifier

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Conn is a client's connection whose reads verify the heads of the responses to its requests, which must not be pipelined, and how the
// connection ends.
type Conn struct {
	net.Conn
	// socket is the connection, or the one below TLS.
	socket *Socket

	mu   sync.Mutex
	head Head
}

// NewConn returns a connection without TLS, which expects the response to a first request.
func NewConn(c net.Conn) *Conn {
	s := NewSocket(c)
	return &Conn{Conn: s, socket: s}
}

// NewTLSConn starts TLS on a new connection to an address, whose host is the expected server name unless the settings give one. The settings
// may be nil. What is read is decrypted, so that it can be verified. The connection is closed if the handshake fails.
func NewTLSConn(ctx context.Context, c net.Conn, address string, settings *tls.Config) (*Conn, error) {
	config := cmp.Or(settings, &tls.Config{}).Clone()
	if host, _, err := net.SplitHostPort(address); err == nil {
		config.ServerName = cmp.Or(config.ServerName, host)
	}
	s := NewSocket(c)
	secure := tls.Client(tlsSocket{s}, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return &Conn{Conn: secure, socket: s}, nil
}

// BeginRequest begins the verification of the response to another request. It must be called before the request is written.
func (c *Conn) BeginRequest() {
	c.socket.BeginRequest()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Expect()
}

// EndRequest records that the request has been written, or that its write has failed.
func (c *Conn) EndRequest() { c.socket.EndRequest() }

// Read reads from the connection. The error is ErrInvalidHead if the bytes received make a head invalid; none of them is returned.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.head.Verify(b[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// Transport is a round tripper over HTTP/1.1 that returns ErrInvalidHead for a response whose head is invalid.
type Transport struct {
	transport *http.Transport
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewTransport returns a transport with the settings of t, which must not be used otherwise. A DialTLSContext of t is replaced.
func NewTransport(t *http.Transport) *Transport {
	v := &Transport{transport: t, dial: t.DialContext}
	if v.dial == nil {
		v.dial = (&net.Dialer{}).DialContext
	}
	t.DialContext, t.DialTLSContext = v.dialPlain, v.dialTLS
	return v
}

// RoundTrip sends a request and returns its response, as http.Transport does.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), (&connTrace{}).hooks())))
}

// connTrace tells the connection of a request when the request is written.
type connTrace struct{ conn atomic.Pointer[Conn] }

// hooks returns the functions that net/http calls.
func (t *connTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				c.BeginRequest()
				t.conn.Store(c)
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if c := t.conn.Load(); c != nil {
				c.EndRequest()
			}
		},
	}
}

// CloseIdleConnections closes the connections that serve no request.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// dialPlain opens a connection without TLS.
func (t *Transport) dialPlain(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// dialTLS opens a connection with TLS.
func (t *Transport) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn, err := NewTLSConn(ctx, c, address, t.transport.TLSClientConfig)
	if err != nil {
		return nil, err
	}
	return conn, nil
}
