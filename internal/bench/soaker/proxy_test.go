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

// echo answers each line with itself.
func echo(t *testing.T) string {
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

// TestModes passes lines over a link in each mode.
func TestModes(t *testing.T) {
	for _, m := range modes {
		t.Run(string(m), func(t *testing.T) {
			p, err := NewProxy(echo(t))
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
			ask := func() error {
				if _, err := io.WriteString(c, "line\n"); err != nil {
					return err
				}
				_, err := lines.ReadString('\n')
				return err
			}
			if err := ask(); err != nil {
				t.Fatal(err)
			}
			p.Set(m)
			switch m {
			case Sound, Delayed:
				begun := time.Now()
				if err := ask(); err != nil {
					t.Error(err)
				}
				if took := time.Since(begun); m == Delayed && took < linkDelay {
					t.Errorf("the line took %v", took)
				}
			case Reset, Refused:
				if ask() == nil {
					t.Error("the connection was not reset")
				}
				switch err := again(p.Address()); {
				case m == Reset && err != nil:
					t.Errorf("on a new connection: %v", err)
				case m == Refused && !errors.Is(err, syscall.ECONNRESET):
					t.Errorf("on a new connection: %v, want a reset", err)
				}
			case Silent, OneWay:
				answered := make(chan error, 1)
				go func() { answered <- ask() }()
				select {
				case err := <-answered:
					t.Errorf("the line passed: %v", err)
				case <-time.After(50 * time.Millisecond):
				}
				p.Set(Sound)
				if err := <-answered; err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// again passes a line over a new connection. A reset may come as early as the dial: the kernel accepts a connection before
// the link does, so the dialer learns of a reset at its first look, whether that is the dial's, the write's or the read's.
func again(address string) error {
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
