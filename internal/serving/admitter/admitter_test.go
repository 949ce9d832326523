package admitter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/heatherrock/heatherrock/internal/control/recorder"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
	"github.com/heatherrock/heatherrock/internal/serving/generator"
	"github.com/heatherrock/heatherrock/internal/serving/server"
)

var start = time.Unix(1000, 0)

// view returns a configuration in which team small may ask for one request in two seconds.
func view() recorder.View {
	return recorder.View{Epoch: 1, Teams: map[string]recorder.Team{
		"large": {QueueWeight: 1},
		"small": {QueueWeight: 1, RequestsPerSecond: 0.5},
	}}
}

func ticket(id, team string) server.Ticket {
	return server.Ticket{
		Job: generator.Job{Request: id, Team: team, Model: "oak"}, Tokens: 10, Deadline: start.Add(time.Minute),
	}
}

// places is a number of places on the endpoints of model oak; other models have as many as they want.
type places struct {
	mu    sync.Mutex
	free  int
	taken []string
}

func (p *places) Reserve(_ time.Time, j generator.Job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.Model != "oak" {
		return true
	}
	if p.free == 0 {
		return false
	}
	p.free--
	p.taken = append(p.taken, j.Team)
	return true
}

func (p *places) Release(_ time.Time, j generator.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j.Model == "oak" {
		p.free++
	}
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
		length := len(a.waiting)
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
			a := New(&places{free: 100}, WithStreams(2), WithQueue(2), WithClock(func() time.Time { return start }))
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
	a := New(&places{free: 100}, WithStreams(1), WithQueue(8), WithClock(func() time.Time { return start }))
	defer a.Close()
	first, p := a.Admit(context.Background(), view(), ticket("first", "large"))
	if p != nil {
		t.Fatal(p.Message)
	}
	ended := make(chan server.Code)
	for i := range 8 {
		go func() {
			grant, p := a.Admit(context.Background(), view(), ticket(fmt.Sprint(i), "large"))
			if p == nil {
				grant.Done(10)
			}
			ended <- verdict(p)
		}()
	}
	waiting(a, 8)
	first.Done(10)
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

// TestQueueWaitsForPlaces lets a large team fill the queue while all places are taken, and checks that a small team is
// served next to it once places come free, and that another model is not held up.
func TestQueueWaitsForPlaces(t *testing.T) {
	p := &places{free: 1}
	a := New(p, WithStreams(100), WithQueue(100), WithClock(func() time.Time { return start }))
	defer a.Close()
	first, refusal := a.Admit(context.Background(), view(), ticket("first", "large"))
	if refusal != nil {
		t.Fatal(refusal.Message)
	}
	grants := make(chan server.Grant)
	ask := func(id, team string) {
		grant, refusal := a.Admit(context.Background(), view(), ticket(id, team))
		if refusal != nil {
			panic(refusal.Message)
		}
		grants <- grant
	}
	for i := range 6 {
		go ask(fmt.Sprint(i), "large")
		waiting(a, i+1)
	}
	go ask("small", "small")
	waiting(a, 7)
	other := ticket("other", "large")
	other.Job.Model = "elm"
	if _, refusal := a.Admit(context.Background(), view(), other); refusal != nil {
		t.Errorf("another model was held up: %s", refusal.Message)
	}
	first.Done(10)
	for range 7 {
		grant := <-grants
		grant.Done(10)
	}
	place := 0
	for i, team := range p.taken {
		if team == "small" {
			place = i
		}
	}
	if place == 0 || place > 2 {
		t.Errorf("the small team was served at place %d of %v", place, p.taken)
	}
}

// TestCallsCountAgainstTheLimit checks that calls of plain services and requests for models share a team's limit.
func TestCallsCountAgainstTheLimit(t *testing.T) {
	a := New(&places{free: 1}, WithClock(func() time.Time { return start }))
	defer a.Close()
	if diff := cmp.Diff(server.Code(""), verdict(a.Call(view(), "small"))); diff != "" {
		t.Errorf("first call mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(server.CodeRate, verdict(a.Call(view(), "small"))); diff != "" {
		t.Errorf("second call mismatch (-want +got):\n%s", diff)
	}
	_, p := a.Admit(context.Background(), view(), ticket("asked", "small"))
	if diff := cmp.Diff(server.CodeRate, verdict(p)); diff != "" {
		t.Errorf("request mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(server.Code(""), verdict(a.Call(view(), "large"))); diff != "" {
		t.Errorf("another team's call mismatch (-want +got):\n%s", diff)
	}
}
