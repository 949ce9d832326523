package exchanger

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

// TestPeerThatSendsNoResponse calls a peer that answers with bytes that are no response of net/rpc: the call fails, nothing is written to
// its reply, and the connection is not used again.
func TestPeerThatSendsNoResponse(t *testing.T) {
	nodes := start(t, 1, func(int) []Option { return []Option{WithInterval(time.Hour)} })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	texts := []string{"", "\x00", "HTTP/1.1 000 OK\r\n\r\n", "\x08\xff\x81\x05\x01", "\xf8\xff\xff\xff\xff\xff\xff\xff\xff"}
	var peer sync.WaitGroup
	peer.Go(func() {
		for _, text := range texts {
			c, err := l.Accept()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = c.Read(make([]byte, 1))
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}
	})
	for _, text := range texts {
		var reply gossiper.Message
		err := nodes[0].Call(t.Context(), gossiper.Peer{ID: "n9", Address: l.Addr().String()}, "Exchange.Gossip", gossiper.Message{}, &reply)
		if diff := cmp.Diff(gossiper.Message{}, reply); diff != "" || !errors.Is(err, ErrUnreachable) {
			t.Errorf("%q: got %v, want %v (-want +got):\n%s", text, err, ErrUnreachable, diff)
		}
	}
	peer.Wait()
	nodes[0].Close()
	_ = l.Close()
}
