package verifier

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// Socket is a client's TCP connection whose reads end in order only if no error of the connection is known. The kernel reports an error
// once: if a write takes it, reads end as if the peer had closed the connection, and a response that is delimited by that end (RFC 9112,
// section 6.3) looks complete.
type Socket struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	mu      sync.Mutex
	// failure is the first error of the connection that a read or a write has returned.
	failure error
	// written is closed once the request in progress has been written. It is nil while none is written.
	written chan struct{}
}

// NewSocket returns a connection that has neither been read nor written.
func NewSocket(c net.Conn) *Socket { return &Socket{Conn: c} }

// resetWait is how long a read that has found the end waits for the request to be written. A peer that has closed the connection answers
// the next bytes with a reset.
const resetWait = 100 * time.Millisecond

// pastDeadline is a deadline that ends a write at once.
var pastDeadline = time.Unix(1, 0)

// BeginRequest records that a request is written from now on.
func (s *Socket) BeginRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = make(chan struct{})
}

// EndRequest records that the request in progress has been written, or that its write has failed.
func (s *Socket) EndRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.written != nil {
		close(s.written)
		s.written = nil
	}
}

// Write writes to the connection.
func (s *Socket) Write(b []byte) (int, error) {
	s.writing.Lock()
	defer s.writing.Unlock()
	n, err := s.Conn.Write(b)
	s.recordError(err)
	return n, err
}

// Read reads from the connection. The error is io.EOF only if the peer has ended its side of the connection, and no error of the connection
// is known once the request has been written or resetWait has passed. After that, nothing more can be written.
func (s *Socket) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		return n, s.end()
	}
	s.recordError(err)
	return n, err
}

// end returns the error of a read that has found the end of the connection.
func (s *Socket) end() error {
	s.awaitRequest()
	s.recordError(s.pendingError())
	// A write that has taken the error may not have returned yet.
	if err := s.Conn.SetWriteDeadline(pastDeadline); err != nil {
		return err
	}
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	return io.EOF
}

// pendingError returns the error of the connection that no call has reported.
func (s *Socket) pendingError() error {
	c, ok := s.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var code int
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		code, optionErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	if err = errors.Join(err, optionErr); err != nil {
		return err
	}
	if code != 0 {
		return syscall.Errno(code)
	}
	return nil
}

// awaitRequest waits until the request in progress has been written, for resetWait at most.
func (s *Socket) awaitRequest() {
	s.mu.Lock()
	written := s.written
	s.mu.Unlock()
	if written == nil {
		return
	}
	timer := time.NewTimer(resetWait)
	defer timer.Stop()
	select {
	case <-written:
	case <-timer.C:
	}
}

// recordError records an error, if it is the first one of the connection.
func (s *Socket) recordError(err error) {
	if !isFailure(err) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil {
		s.failure = err
	}
}

// isFailure reports whether an error is one of the connection, not of a deadline or of a local close.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// ErrTruncated means that a connection with TLS ended without a close_notify alert: what was received may be a part (RFC 8446, section 6.1).
var ErrTruncated = merry.Sentinel("connection ended without a close_notify alert")

// tlsSocket is a Socket below TLS, where the end of the connection is an error. crypto/tls reads no more once it has received a close_notify
// alert, and takes an end between two records for one.
type tlsSocket struct{ *Socket }

// Read reads from the connection. The error is ErrTruncated if the peer has ended its side.
func (s tlsSocket) Read(b []byte) (int, error) {
	n, err := s.Socket.Read(b)
	if errors.Is(err, io.EOF) {
		err = ErrTruncated
	}
	return n, err
}
