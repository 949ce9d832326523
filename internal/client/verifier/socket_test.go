package verifier

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// newPair returns the two ends of a connection.
func newPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// writeUntilError writes until the connection reports an error.
func writeUntilError(w io.Writer) error {
	b := make([]byte, 32<<10)
	for {
		if _, err := w.Write(b); err != nil {
			return err
		}
	}
}

// TestReadAfterFailedWrite ends a connection in several ways while it is written, and reads it twice to its end. A connection without a
// Socket shows what the kernel reports.
func TestReadAfterFailedWrite(t *testing.T) {
	type result struct {
		Write, FirstRead, SecondRead error
	}
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }
	end := func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.Close() }
	for _, c := range []struct {
		name string
		end  func(c *net.TCPConn)
		wrap func(c net.Conn) net.Conn
		want result
	}{
		{"reset, kernel", reset, func(c net.Conn) net.Conn { return c }, result{syscall.ECONNRESET, io.EOF, io.EOF}},
		{"reset", reset, func(c net.Conn) net.Conn { return NewSocket(c) }, result{syscall.ECONNRESET, syscall.ECONNRESET, syscall.ECONNRESET}},
		{"ended and reset", end, func(c net.Conn) net.Conn { return NewSocket(c) }, result{syscall.EPIPE, syscall.EPIPE, syscall.EPIPE}},
	} {
		client, server := newPair(t)
		conn := c.wrap(client)
		if _, err := io.WriteString(server, "part"); err != nil {
			t.Fatal(err)
		}
		part := make([]byte, 4)
		if _, err := io.ReadFull(conn, part); err != nil {
			t.Fatal(err)
		}
		c.end(server)
		var got result
		got.Write = writeUntilError(conn)
		_, got.FirstRead = conn.Read(part)
		_, got.SecondRead = conn.Read(part)
		if diff := cmp.Diff(c.want, got, cmpopts.EquateErrors()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestReadErrorIsReportedAgain reads a reset connection twice: a reader that drops the first error must not find the end of a response.
func TestReadErrorIsReportedAgain(t *testing.T) {
	client, server := newPair(t)
	conn := NewSocket(client)
	if err := server.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	for n := range 2 {
		_, err := conn.Read(make([]byte, 1))
		if diff := cmp.Diff(error(syscall.ECONNRESET), err, cmpopts.EquateErrors()); diff != "" {
			t.Errorf("read %d (-want +got):\n%s", n, diff)
		}
	}
}

// TestResetAfterTheEnd reads a connection whose peer has ended its side and closed it with a request unread, once that is written.
func TestResetAfterTheEnd(t *testing.T) {
	client, server := newPair(t)
	conn := NewSocket(client)
	_, err := io.WriteString(conn, "request")
	_, partErr := io.WriteString(server, "part")
	if err := errors.Join(err, partErr, server.CloseWrite(), server.Close()); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(conn)
	if diff := cmp.Diff("part", string(got)); diff != "" {
		t.Errorf("bytes (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(error(syscall.EPIPE), err, cmpopts.EquateErrors()); diff != "" {
		t.Errorf("error (-want +got):\n%s", diff)
	}
}
