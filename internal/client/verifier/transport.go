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
)

// Conn is a client's connection whose reads verify the heads of the responses to its requests, which must not be pipelined.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head Head
}

// NewConn returns a connection that expects the response to a first request.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Expect begins the verification of the response to another request. It must be called before the request is written.
func (c *Conn) Expect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Expect()
}

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
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.Expect()
		}
	}}
	return t.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// CloseIdleConnections closes the connections that serve no request.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// dialPlain opens a connection without TLS.
func (t *Transport) dialPlain(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewConn(NewSocket(c)), nil
}

// dialTLS opens a connection with TLS. What is read from it is decrypted, so that it can be verified.
func (t *Transport) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	secure, err := Secure(ctx, c, address, t.transport.TLSClientConfig)
	if err != nil {
		return nil, err
	}
	return NewConn(secure), nil
}

// Secure starts TLS on a new connection to an address, whose host is the expected server name unless the settings give one. The settings may
// be nil. The connection is closed if that fails.
func Secure(ctx context.Context, c net.Conn, address string, settings *tls.Config) (*tls.Conn, error) {
	config := cmp.Or(settings, &tls.Config{}).Clone()
	if host, _, err := net.SplitHostPort(address); err == nil {
		config.ServerName = cmp.Or(config.ServerName, host)
	}
	secure := tls.Client(tlsSocket{NewSocket(c)}, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return secure, nil
}
