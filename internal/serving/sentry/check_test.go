package sentry

import (
	"context"
	"net"
	"testing"
	"time"
)

// acceptLoop accepts connections until the listener is closed, and closes the first ones at once.
func acceptLoop(l net.Listener, closeFirst int) {
	for n := 0; ; n++ {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if n < closeFirst {
			_ = c.Close()
			_ = l.Close()
		}
	}
}

// TestOnlyAProcessThatRefusesConnectionsIsGone checks addresses whose process runs, has ended, and is about to end.
func TestOnlyAProcessThatRefusesConnectionsIsGone(t *testing.T) {
	for _, c := range []struct {
		name  string
		start func(l net.Listener)
		want  bool
	}{
		{"running", func(l net.Listener) { go acceptLoop(l, 0) }, false},
		{"ended", func(l net.Listener) { _ = l.Close() }, true},
		{"about to end", func(l net.Listener) { go acceptLoop(l, 1) }, true},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c.start(l)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		if got := IsGone(ctx, l.Addr().String()); got != c.want {
			t.Errorf("%s: gone %v, want %v", c.name, got, c.want)
		}
		cancel()
		_ = l.Close()
	}
}
