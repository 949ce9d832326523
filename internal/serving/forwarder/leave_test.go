package forwarder

import (
	"testing"
	"time"
)

// TestLeaveAccepts checks which requests an instance that leaves accepts.
func TestLeaveAccepts(t *testing.T) {
	start := time.Unix(1000, 0)
	l := &Leave{NoticedAt: start.Add(2500 * time.Millisecond), EndsAt: start.Add(7 * time.Second)}
	for _, c := range []struct {
		name      string
		leave     *Leave
		after     time.Duration
		timeout   time.Duration
		resumable bool
		want      bool
	}{
		{"not leaving", nil, 6 * time.Second, 15 * time.Second, false, true},
		{"before the load balancer has noticed", l, time.Second, 15 * time.Second, false, true},
		{"late, ends before the instance", l, 5 * time.Second, 1500 * time.Millisecond, false, true},
		{"late, ends with the instance", l, 5 * time.Second, 2 * time.Second, false, true},
		{"late, may outlast the instance", l, 5 * time.Second, 2500 * time.Millisecond, false, false},
		{"late, may outlast the instance, can be resumed", l, 5 * time.Second, 20 * time.Second, true, true},
	} {
		now := start.Add(c.after)
		if got := c.leave.Accepts(now, now.Add(c.timeout), c.resumable); got != c.want {
			t.Errorf("%s: accepted %v, want %v", c.name, got, c.want)
		}
	}
}
