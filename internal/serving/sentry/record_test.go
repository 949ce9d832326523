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

// TestRecord has the connections of a watch end in turn and compares the pauses that follow, and when the endpoint counts as gone.
func TestRecord(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	late := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	type ending struct {
		Held time.Duration
		Err  error
	}
	lasted, brief := ending{Held: time.Minute}, ending{Held: 10 * time.Millisecond}
	no, silent := ending{Err: refused}, ending{Err: late}
	cases := []struct {
		name    string
		endings []ending
		want    []string
	}{
		{"crash after a long time", []ending{lasted, no, no, no}, []string{"0s", "5ms", "500ms gone", "1s"}},
		{"a refusal before it listens", []ending{no, lasted}, []string{"5ms", "0s"}},
		{"gone before the first connection", []ending{no, no}, []string{"5ms", "500ms gone"}},
		{"idle connections are closed", []ending{lasted, lasted, lasted}, []string{"0s", "0s", "0s"}},
		{"closed at once, again and again", []ending{brief, brief, brief, brief}, []string{"0s", "500ms", "1s", "2s"}},
		{"cut off", []ending{lasted, silent, silent, silent}, []string{"0s", "500ms", "1s", "2s"}},
		{"a refusal between silences", []ending{silent, no, silent, no}, []string{"500ms", "5ms", "1s", "5ms"}},
		{
			"gone, back and gone", []ending{no, no, lasted, no, no},
			[]string{"5ms", "500ms gone", "0s", "5ms", "500ms gone"},
		},
		{
			"pauses are bounded", []ending{silent, silent, silent, silent, silent, silent, silent},
			[]string{"500ms", "1s", "2s", "4s", "8s", "8s", "8s"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := record{pause: firstPause}
			var got []string
			for _, e := range c.endings {
				pause, gone := r.end(e.Held, e.Err)
				text := fmt.Sprint(pause)
				if gone {
					text += " gone"
				}
				got = append(got, text)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("pauses (-want +got):\n%s", diff)
			}
		})
	}
}
