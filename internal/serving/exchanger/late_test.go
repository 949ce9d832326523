package exchanger

import (
	"context"
	"errors"
	"testing"
)

// decoding blocks the decoding of Slow responses: begun receives when one begins, and release lets it continue.
var decoding = struct{ begun, release chan struct{} }{make(chan struct{}), make(chan struct{})}

// Slow is a response whose decoding blocks until it is released.
type Slow struct{ Value int }

// GobEncode encodes the response as one byte.
func (s Slow) GobEncode() ([]byte, error) { return []byte{byte(s.Value)}, nil }

// GobDecode waits for the release and then sets the value.
func (s *Slow) GobDecode(b []byte) error {
	decoding.begun <- struct{}{}
	<-decoding.release
	s.Value = int(b[0])
	return nil
}

// SlowService responds with a Slow.
type SlowService struct{}

// Answer responds with 7.
func (SlowService) Answer(_ Nothing, reply *Slow) error {
	reply.Value = 7
	return nil
}

// TestLateResponseDoesNotSetReply abandons a call while its response is being decoded: nothing may be written to the
// reply afterwards.
func TestLateResponseDoesNotSetReply(t *testing.T) {
	nodes := start(t, 2, nil)
	if err := nodes[1].Register("SlowService", SlowService{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-decoding.begun
		cancel()
	}()
	var reply Slow
	if err := nodes[0].Call(ctx, nodes[1].gossip.Self, "SlowService.Answer", Nothing{}, &reply); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("got error %v, want %v", err, ErrUnreachable)
	}
	decoding.release <- struct{}{}
	nodes[0].Close()
	if reply.Value != 0 {
		t.Errorf("the reply of an abandoned call was set to %d", reply.Value)
	}
}
