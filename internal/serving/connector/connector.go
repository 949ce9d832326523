// Package connector sends requests to endpoints over a pool of HTTP/1.1 connections. It sends each request once: the
// caller decides whether to retry, from the error that Send returns.
package connector

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/client/verifier"
)

// The timeouts and limits of a Pool.
const (
	// dialTimeout bounds the time to open a connection within a region.
	dialTimeout = 700 * time.Millisecond
	// idleTimeout is how long an idle connection is kept if the endpoint states no keep-alive timeout.
	idleTimeout = 30 * time.Second
	// idleMargin is how long before an endpoint's keep-alive timeout a connection is no longer used.
	idleMargin = 500 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer in bytes, which holds a few events.
	readBufferSize = 4 << 10
	// maxHeadBytes bounds the head of a response, with the informational responses before it.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes bounds the body of a response that is skipped, as it belongs to another request or is not used.
	maxSkippedBytes = 1 << 20
	// discardTimeout bounds the time to read a body that is not used. A new connection costs less than a longer wait.
	discardTimeout = 100 * time.Millisecond
	// maxForeignResponses is the number of responses to other requests that are skipped before a response.
	maxForeignResponses = 2
)

// The errors of Send.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = merry.Sentinel("request not sent")
	// ErrBroken means that the request was sent, at least in part, and no valid response was received: it may have run.
	ErrBroken = merry.Sentinel("no whole answer")
)

// Message is a request as it is sent to an endpoint.
type Message struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   Content
	// NewConnection makes Send open a new connection.
	NewConnection bool
	// Accepts reports whether a response belongs to this message. If it is nil, each response does.
	Accepts func(status int, h http.Header) bool
}

// Response is the head and the body of an endpoint's response. Finish must be called once the body has been read to its
// end or is no longer needed.
type Response struct {
	Status int
	// Header holds the headers that do not apply to the connection only.
	Header http.Header
	Body   io.Reader
	// Length is the length of the body in bytes, and -1 if it is unknown.
	Length int64
	// Reused reports whether the connection had served another request before.
	Reused bool

	exchange *exchange
}

// exchange is the use of a connection for one message.
type exchange struct {
	pool      *Pool
	conn      *conn
	body      io.ReadCloser
	reusable  bool
	stopAbort func() bool
	once      sync.Once
	// writeDone is closed when the write of the request's body has ended. writeFailed, which is set before, reports
	// whether a long body could not be written.
	writeDone   chan struct{}
	writeFailed bool
}

// conn is a pooled connection to an endpoint.
type conn struct {
	*verifier.Socket
	// reader reads from limiter, and limiter from the socket.
	reader  *bufio.Reader
	limiter *limiter
	address string
	// usableUntil is when the connection may no longer be reused.
	usableUntil time.Time
	used        bool
}

// Pool holds connections by address. Its methods may be called from any goroutine.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	// dialled counts the connections opened. It is guarded by the pool's lock.
	dialled int
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{idle: map[string][]*conn{}}
}

// Dialled returns the number of connections opened so far.
func (p *Pool) Dialled() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialled
}

// Drop closes the idle connections to an address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // No request is in flight on it.
	}
}

// Close closes all idle connections. Those in use are closed when they become idle.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			_ = c.Close() // No request is in flight on it.
		}
	}
}

// Send sends a message and returns its response once the head has been read. The error is ErrNotSent or ErrBroken. The
// end of the context closes the connection, so that the endpoint cancels the request.
func (p *Pool) Send(ctx context.Context, address string, m Message) (*Response, error) {
	c, err := p.get(ctx, address, m.NewConnection)
	if err != nil {
		return nil, merry.Prependf(ErrNotSent, "%s: %v", address, err)
	}
	x := &exchange{pool: p, conn: c, writeDone: make(chan struct{})}
	x.stopAbort = context.AfterFunc(ctx, x.abort)
	reused := c.used
	c.used = true
	head := appendHead(nil, m)
	if err := x.write(head, m.Body); err != nil {
		x.finish(false)
		return nil, merry.Prependf(ErrBroken, "%s: writing: %v", address, err)
	}
	response, err := x.read(m)
	if err != nil {
		x.finish(false)
		return nil, merry.Prependf(ErrBroken, "%s: reading: %v", address, err)
	}
	response.Reused = reused
	return response, nil
}

// maxInlineBody is the length in bytes of the longest body that is written before the response is read, as the
// endpoint's buffers hold it.
const maxInlineBody = 16 << 10

// write writes the request. A long body is written while the response is read, which may arrive before the end of the
// body.
func (x *exchange) write(head []byte, body Content) error {
	if body.Len() <= maxInlineBody {
		close(x.writeDone)
		for _, piece := range body {
			head = append(head, piece...)
		}
		_, err := x.conn.Write(head)
		return err
	}
	if _, err := x.conn.Write(head); err != nil {
		close(x.writeDone)
		return err
	}
	x.conn.BeginRequest()
	go x.run(body)
	return nil
}

// run writes a long body. If it fails, so does the read of the response.
func (x *exchange) run(body Content) {
	defer close(x.writeDone)
	defer x.conn.EndRequest()
	_, err := body.WriteTo(x.conn)
	x.writeFailed = err != nil
}

// read reads the head of the response to a message. It skips informational responses, and those to other requests.
func (x *exchange) read(m Message) (*Response, error) {
	request := &http.Request{Method: m.Method}
	limiter := x.conn.limiter
	defer limiter.lift()
	limiter.limit(maxHeadBytes)
	if err := x.conn.expectHead(); err != nil {
		return nil, err
	}
	for foreign := 0; foreign <= maxForeignResponses; {
		r, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 {
			continue
		}
		if m.Accepts != nil && !m.Accepts(r.StatusCode, r.Header) {
			// A late second response to an earlier request on this connection.
			foreign++
			limiter.limit(maxSkippedBytes)
			if _, err := io.Copy(io.Discard, r.Body); err != nil || r.Close {
				return nil, errors.Join(errForeignResponse, err)
			}
			limiter.limit(maxHeadBytes)
			if err := x.conn.expectHead(); err != nil {
				return nil, err
			}
			continue
		}
		x.body = r.Body
		x.reusable = !r.Close
		x.conn.usableUntil = idleDeadline(time.Now(), r.Header)
		return &Response{Status: r.StatusCode, Header: EndToEnd(r.Header), Body: r.Body, Length: r.ContentLength, exchange: x}, nil
	}
	return nil, errForeignResponse
}

// expectHead begins the verification of the head of a response, with the bytes that were received with the response before it.
func (c *conn) expectHead() error {
	c.limiter.head.Expect()
	received, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.limiter.head.Verify(received)
}

// errForeignResponse means that a response belongs to another request.
var errForeignResponse = merry.New("answer to another request")

// Discard reads the rest of the body, which is not used, and ends the use of the response. The connection is reused unless
// the body is longer than maxSkippedBytes or does not end within discardTimeout of now.
func (r *Response) Discard(now time.Time) {
	conn := r.exchange.conn
	err := conn.SetReadDeadline(now.Add(discardTimeout))
	n := int64(0)
	if err == nil {
		n, err = io.Copy(io.Discard, io.LimitReader(r.Body, maxSkippedBytes))
	}
	if err == nil {
		err = conn.SetReadDeadline(time.Time{})
	}
	r.Finish(err == nil && n < maxSkippedBytes)
}

// ReadAll reads the whole body, of at most limit bytes, and ends the use of the response. The error is ErrTooLong if the
// body is longer.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := ReadAll(r.Body, limit)
	r.Finish(err == nil)
	return body, err
}

// ReadContent reads the whole body, of at most limit bytes, and ends the use of the response. The parameters and errors are
// those of the function ReadContent.
func (r *Response) ReadContent(limit int64, reserve func(n int64) bool) (Content, error) {
	if r.Length > limit {
		r.Finish(false)
		return nil, ErrTooLong
	}
	content, err := ReadContent(r.Body, limit, reserve)
	r.Finish(err == nil)
	return content, err
}

// Finish ends the use of the response. Its connection is reused only if bodyRead states that the body was read whole.
func (r *Response) Finish(bodyRead bool) {
	r.exchange.finish(bodyRead && r.exchange.reusable)
}

// Abort closes the connection, which ends a read of the body. It may be called from any goroutine.
func (r *Response) Abort() {
	r.exchange.abort()
}

// abort closes the connection.
func (x *exchange) abort() {
	_ = x.conn.Close() // A read in progress returns an error.
}

// finish returns the connection to the pool or closes it.
func (x *exchange) finish(keep bool) {
	x.once.Do(func() {
		notAborted := x.stopAbort()
		select {
		case <-x.writeDone:
			keep = keep && !x.writeFailed
		default:
			// The endpoint would read the rest of the body as the next request.
			keep = false
		}
		if keep && notAborted && x.conn.reader.Buffered() == 0 {
			x.pool.putIdle(x.conn)
			return
		}
		_ = x.conn.Close() // The connection is no longer needed.
	})
}

// get returns an idle connection that is still usable, or opens one. With newConnection, it always opens one.
func (p *Pool) get(ctx context.Context, address string, newConnection bool) (*conn, error) {
	for !newConnection {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.usableUntil) && c.isOpenAndSilent() {
			return c, nil
		}
		_ = c.Close() // The endpoint has closed it or will soon close it.
	}
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialled++
	p.mu.Unlock()
	socket := verifier.NewSocket(raw)
	l := &limiter{reader: socket}
	return &conn{Socket: socket, reader: bufio.NewReaderSize(l, readBufferSize), limiter: l, address: address}, nil
}

// takeIdle removes and returns the most recently used idle connection to an address, or nil if there is none.
func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// putIdle adds a connection to the idle ones, or closes it if the pool is closed.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close() // No request is in flight on it.
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// isOpenAndSilent reports whether a connection is open and has received no bytes: bytes received while no request is in
// flight belong to none.
func (c *conn) isOpenAndSilent() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	openAndSilent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		openAndSilent = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && openAndSilent
}
