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

var testStart = time.Unix(1000, 0)

// testView returns a configuration that allows team small one request in two seconds.
func testView() recorder.View {
	return recorder.View{Epoch: 1, Teams: map[string]recorder.Team{
		"large": {QueueWeight: 1},
		"small": {QueueWeight: 1, RequestsPerSecond: 0.5},
	}}
}

func admissionRequest(id, team string) server.AdmissionRequest {
	return server.AdmissionRequest{
		Job: generator.Job{Request: id, Team: team, Model: "oak"}, EstimatedTokens: 10, StartDeadline: testStart.Add(time.Minute),
	}
}

// fakeSlots has a number of slots for model oak, and unlimited slots for other models.
type fakeSlots struct {
	mu    sync.Mutex
	free  int
	taken []string
}

func (s *fakeSlots) Reserve(_ time.Time, j generator.Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.Model != "oak" {
		return true
	}
	if s.free == 0 {
		return false
	}
	s.free--
	s.taken = append(s.taken, j.Team)
	return true
}

func (s *fakeSlots) Release(_ time.Time, j generator.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.Model == "oak" {
		s.free++
	}
}

// problemCode returns the code of a problem, or "" if there is none.
func problemCode(p *server.Problem) server.Code {
	if p == nil {
		return ""
	}
	return p.Code
}

// awaitWaiting returns once the admitter holds n waiting requests.
func awaitWaiting(a *Admitter, n int) {
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
		name        string
		running     int
		queued      int
		team        string
		disconnects bool
		want        server.Code
	}{
		{name: "free slots", team: "large"},
		{name: "a full queue", running: 2, queued: 2, team: "large", want: server.CodeQueueFull},
		{name: "over the team's limit", running: 1, team: "small", want: server.CodeRateLimited},
		{name: "the caller leaves while it waits", running: 2, team: "large", disconnects: true, want: server.CodeDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := New(&fakeSlots{free: 100}, WithMaxStreams(2), WithMaxQueued(2), WithClock(func() time.Time { return testStart }))
			defer a.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for i := range c.running {
				if _, p := a.Admit(ctx, testView(), admissionRequest(fmt.Sprint("running", i), c.team)); p != nil {
					t.Fatal(p.Message)
				}
			}
			for i := range c.queued {
				go func() { _, _ = a.Admit(ctx, testView(), admissionRequest(fmt.Sprint("queued", i), c.team)) }()
			}
			awaitWaiting(a, c.queued)
			requestCtx, disconnect := context.WithCancel(ctx)
			if c.disconnects {
				disconnect()
			}
			_, p := a.Admit(requestCtx, testView(), admissionRequest("asked", c.team))
			disconnect()
			if diff := cmp.Diff(c.want, problemCode(p)); diff != "" {
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

// TestEndOfAnswerStartsNext checks that the end of an answer starts the next one, and that none is left running.
func TestEndOfAnswerStartsNext(t *testing.T) {
	a := New(&fakeSlots{free: 100}, WithMaxStreams(1), WithMaxQueued(8), WithClock(func() time.Time { return testStart }))
	defer a.Close()
	first, p := a.Admit(context.Background(), testView(), admissionRequest("first", "large"))
	if p != nil {
		t.Fatal(p.Message)
	}
	codes := make(chan server.Code)
	for i := range 8 {
		go func() {
			grant, p := a.Admit(context.Background(), testView(), admissionRequest(fmt.Sprint(i), "large"))
			if p == nil {
				grant.Done(10)
			}
			codes <- problemCode(p)
		}()
	}
	awaitWaiting(a, 8)
	first.Done(10)
	for range 8 {
		if diff := cmp.Diff(server.Code(""), <-codes); diff != "" {
			t.Errorf("code mismatch (-want +got):\n%s", diff)
		}
	}
	s := a.State(testStart)
	if diff := cmp.Diff(0, s.Running); diff != "" {
		t.Errorf("running mismatch (-want +got):\n%s", diff)
	}
}

// TestQueueWaitsForSlots fills the queue with requests of a large team while all slots are taken, and checks that a
// small team's request is among the next to be served once slots become free, and that another model is not delayed.
func TestQueueWaitsForSlots(t *testing.T) {
	slots := &fakeSlots{free: 1}
	a := New(slots, WithMaxStreams(100), WithMaxQueued(100), WithClock(func() time.Time { return testStart }))
	defer a.Close()
	first, refusal := a.Admit(context.Background(), testView(), admissionRequest("first", "large"))
	if refusal != nil {
		t.Fatal(refusal.Message)
	}
	grants := make(chan server.Grant)
	request := func(id, team string) {
		grant, refusal := a.Admit(context.Background(), testView(), admissionRequest(id, team))
		if refusal != nil {
			panic(refusal.Message)
		}
		grants <- grant
	}
	for i := range 6 {
		go request(fmt.Sprint(i), "large")
		awaitWaiting(a, i+1)
	}
	go request("small", "small")
	awaitWaiting(a, 7)
	other := admissionRequest("other", "large")
	other.Job.Model = "elm"
	if _, refusal := a.Admit(context.Background(), testView(), other); refusal != nil {
		t.Errorf("another model was delayed: %s", refusal.Message)
	}
	first.Done(10)
	for range 7 {
		grant := <-grants
		grant.Done(10)
	}
	position := 0
	for i, team := range slots.taken {
		if team == "small" {
			position = i
		}
	}
	if position == 0 || position > 2 {
		t.Errorf("the small team was served at position %d of %v", position, slots.taken)
	}
}

// TestCallsCountAgainstTheLimit checks that calls of plain services and requests for models share a team's limit.
func TestCallsCountAgainstTheLimit(t *testing.T) {
	a := New(&fakeSlots{free: 1}, WithClock(func() time.Time { return testStart }))
	defer a.Close()
	if diff := cmp.Diff(server.Code(""), problemCode(a.AdmitCall(testView(), "small"))); diff != "" {
		t.Errorf("first call mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(server.CodeRateLimited, problemCode(a.AdmitCall(testView(), "small"))); diff != "" {
		t.Errorf("second call mismatch (-want +got):\n%s", diff)
	}
	_, p := a.Admit(context.Background(), testView(), admissionRequest("asked", "small"))
	if diff := cmp.Diff(server.CodeRateLimited, problemCode(p)); diff != "" {
		t.Errorf("request mismatch (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(server.Code(""), problemCode(a.AdmitCall(testView(), "large"))); diff != "" {
		t.Errorf("another team's call mismatch (-want +got):\n%s", diff)
	}
}
