package exchanger

import (
	"context"
	"errors"
	"testing"
)

// decoding holds up the decoding of slow answers: it is told when one begins and releases it.
var decoding = struct{ begun, release chan struct{} }{make(chan struct{}), make(chan struct{})}

// Slow is an answer whose decoding takes until it is released.
type Slow struct{ Value int }

// GobEncode encodes the answer as one byte.
func (s Slow) GobEncode() ([]byte, error) { return []byte{byte(s.Value)}, nil }

// GobDecode waits for the release and then sets the value.
func (s *Slow) GobDecode(b []byte) error {
	decoding.begun <- struct{}{}
	<-decoding.release
	s.Value = int(b[0])
	return nil
}

// Sloth answers with a Slow.
type Sloth struct{}

// Answer answers 7.
func (Sloth) Answer(_ Nothing, reply *Slow) error {
	reply.Value = 7
	return nil
}

// TestLateAnswerLeavesReplyAlone gives a call up while its answer is being decoded, and reads the reply afterwards:
// nothing may be written to it any more.
func TestLateAnswerLeavesReplyAlone(t *testing.T) {
	nodes := start(t, 2, nil)
	if err := nodes[1].Register("Sloth", Sloth{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-decoding.begun
		cancel()
	}()
	var reply Slow
	if err := nodes[0].Call(ctx, nodes[1].gossip.Self, "Sloth.Answer", Nothing{}, &reply); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("got error %v, want %v", err, ErrUnreachable)
	}
	decoding.release <- struct{}{}
	nodes[0].Close()
	if reply.Value != 0 {
		t.Errorf("the reply of a call given up was set to %d", reply.Value)
	}
}
