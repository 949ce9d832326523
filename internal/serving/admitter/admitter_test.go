package admitter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/serving/server"
)

var start = time.Unix(1000, 0)

// view returns a configuration in which team small may ask for one request in two seconds.
func view() recorder.View {
	return recorder.View{Epoch: 1, Teams: map[string]recorder.Team{
		"large": {Share: 1},
		"small": {Share: 1, Requests: 0.5},
	}}
}

func ticket(id, team string) server.Ticket {
	return server.Ticket{Request: id, Team: team, Tokens: 10, Deadline: start.Add(time.Minute)}
}

// verdict is the code of a refusal, or nothing.
func verdict(p *server.Problem) server.Code {
	if p == nil {
		return ""
	}
	return p.Code
}

// waiting returns once the admitter holds a number of waiting requests.
func waiting(a *Admitter, n int) {
	for {
		a.mu.Lock()
		length := a.queue.Len()
		a.mu.Unlock()
		if length == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestAdmit(t *testing.T) {
	cases := []struct {
		name    string
		running int
		queued  int
		team    string
		leave   bool
		want    server.Code
	}{
		{name: "room", team: "large"},
		{name: "a full queue", running: 2, queued: 2, team: "large", want: server.CodeQueue},
		{name: "over the team's limit", running: 1, team: "small", want: server.CodeRate},
		{name: "the caller leaves while it waits", running: 2, team: "large", leave: true, want: server.CodeDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := New(WithStreams(2), WithQueue(2), WithClock(func() time.Time { return start }))
			defer a.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for i := range c.running {
				if _, p := a.Admit(ctx, view(), ticket(fmt.Sprint("running", i), c.team)); p != nil {
					t.Fatal(p.Message)
				}
			}
			for i := range c.queued {
				go func() { _, _ = a.Admit(ctx, view(), ticket(fmt.Sprint("queued", i), c.team)) }()
			}
			waiting(a, c.queued)
			asked, leave := context.WithCancel(ctx)
			if c.leave {
				leave()
			}
			_, p := a.Admit(asked, view(), ticket("asked", c.team))
			leave()
			if diff := cmp.Diff(c.want, verdict(p)); diff != "" {
				t.Errorf("code mismatch (-want +got):\n%s", diff)
			}
			if p != nil {
				if diff := cmp.Diff(classifier.VerdictNotRun, p.Verdict); diff != "" {
					t.Errorf("verdict mismatch (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// TestLeaveStartsNext checks that the end of an answer starts the next one, and that nothing is left behind.
func TestLeaveStartsNext(t *testing.T) {
	a := New(WithStreams(1), WithQueue(8), WithClock(func() time.Time { return start }))
	defer a.Close()
	first, p := a.Admit(context.Background(), view(), ticket("first", "large"))
	if p != nil {
		t.Fatal(p.Message)
	}
	ended := make(chan server.Code)
	for i := range 8 {
		go func() {
			done, p := a.Admit(context.Background(), view(), ticket(fmt.Sprint(i), "large"))
			if p == nil {
				done(10)
			}
			ended <- verdict(p)
		}()
	}
	waiting(a, 8)
	first(10)
	for range 8 {
		if diff := cmp.Diff(server.Code(""), <-ended); diff != "" {
			t.Errorf("code mismatch (-want +got):\n%s", diff)
		}
	}
	s := a.State(start)
	if diff := cmp.Diff(0, s.Running); diff != "" {
		t.Errorf("running mismatch (-want +got):\n%s", diff)
	}
}
