package sentry

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRecord ends the connections of a watch in different orders, and checks the delays that follow and when the
// endpoint counts as gone.
func TestRecord(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	timedOut := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	type ending struct {
		Held time.Duration
		Err  error
	}
	lasted, brief := ending{Held: time.Minute}, ending{Held: 10 * time.Millisecond}
	refusal, timeout := ending{Err: refused}, ending{Err: timedOut}
	cases := []struct {
		name    string
		endings []ending
		want    []string
	}{
		{"crash after a long time", []ending{lasted, refusal, refusal, refusal}, []string{"0s", "5ms", "500ms gone", "1s"}},
		{"refused before it listens", []ending{refusal, lasted}, []string{"5ms", "0s"}},
		{"gone before the first connection", []ending{refusal, refusal}, []string{"5ms", "500ms gone"}},
		{"idle connections are closed", []ending{lasted, lasted, lasted}, []string{"0s", "0s", "0s"}},
		{"closed at once, again and again", []ending{brief, brief, brief, brief}, []string{"0s", "500ms", "1s", "2s"}},
		{"unreachable", []ending{lasted, timeout, timeout, timeout}, []string{"0s", "500ms", "1s", "2s"}},
		{"refused between timeouts", []ending{timeout, refusal, timeout, refusal}, []string{"500ms", "5ms", "1s", "5ms"}},
		{
			"gone, back and gone", []ending{refusal, refusal, lasted, refusal, refusal},
			[]string{"5ms", "500ms gone", "0s", "5ms", "500ms gone"},
		},
		{
			"delays are bounded", []ending{timeout, timeout, timeout, timeout, timeout, timeout, timeout},
			[]string{"500ms", "1s", "2s", "4s", "8s", "8s", "8s"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := record{nextDelay: minRedialDelay}
			var got []string
			for _, e := range c.endings {
				delay, gone := r.addEnd(e.Held, e.Err)
				text := fmt.Sprint(delay)
				if gone {
					text += " gone"
				}
				got = append(got, text)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("delays (-want +got):\n%s", diff)
			}
		})
	}
}
