package soaker

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// startEchoServer starts a server that echoes what it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// TestModes exchanges lines over a link in each mode.
func TestModes(t *testing.T) {
	for _, m := range linkModes {
		t.Run(string(m), func(t *testing.T) {
			p, err := NewProxy(startEchoServer(t))
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			c, err := net.Dial("tcp", p.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			lines := bufio.NewReader(c)
			exchange := func() error {
				if _, err := io.WriteString(c, "line\n"); err != nil {
					return err
				}
				_, err := lines.ReadString('\n')
				return err
			}
			if err := exchange(); err != nil {
				t.Fatal(err)
			}
			p.SetMode(m)
			switch m {
			case Healthy, Delayed:
				startedAt := time.Now()
				if err := exchange(); err != nil {
					t.Error(err)
				}
				if took := time.Since(startedAt); m == Delayed && took < linkDelay {
					t.Errorf("the line took %v", took)
				}
			case Reset, Refusing:
				if exchange() == nil {
					t.Error("the connection was not reset")
				}
				switch err := exchangeLine(p.Address()); {
				case m == Reset && err != nil:
					t.Errorf("on a new connection: %v", err)
				case m == Refusing && !errors.Is(err, syscall.ECONNRESET):
					t.Errorf("on a new connection: %v, want a reset", err)
				}
			case Silent, OneWay:
				answered := make(chan error, 1)
				go func() { answered <- exchange() }()
				select {
				case err := <-answered:
					t.Errorf("the line passed: %v", err)
				case <-time.After(50 * time.Millisecond):
				}
				p.SetMode(Healthy)
				if err := <-answered; err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// exchangeLine exchanges a line over a new connection. The kernel accepts a connection before the link does, so a reset
// may surface as an error of the dial, of the write or of the read.
func exchangeLine(address string) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := io.WriteString(c, "line\n"); err != nil {
		return err
	}
	_, err = c.Read(make([]byte, 1))
	return err
}
