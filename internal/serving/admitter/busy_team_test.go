package admitter

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/heatherrock/heatherrock/internal/serving/generator"
	"github.com/heatherrock/heatherrock/internal/serving/server"
)

const (
	// largeCallers is the number of the large team's callers, and smallAnswers that of the small team's requests.
	largeCallers = 100
	smallAnswers = 20
	// firstTokenTarget is the target for the first token: a request that cannot begin by then is refused.
	firstTokenTarget = 1900 * time.Millisecond
	// refusalPause is how long a caller of the large team waits after a refusal.
	refusalPause = 50 * time.Millisecond
)

// caller sends requests of one team, one after another.
type caller struct {
	admitter *Admitter
	team     string
	// answerTime is how long an answer runs.
	answerTime time.Duration

	mu          sync.Mutex
	refused     []server.Code
	served      int
	longestWait time.Duration
}

// request sends one request and reports whether it was admitted.
func (c *caller) request(t *testing.T, id string) bool {
	startedAt := time.Now()
	r := server.AdmissionRequest{
		Job: generator.Job{Request: id, Team: c.team, Model: "oak"}, EstimatedTokens: 10, StartDeadline: startedAt.Add(firstTokenTarget),
	}
	grant, p := c.admitter.Admit(t.Context(), testView(), r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if p != nil {
		c.refused = append(c.refused, p.Code)
		return false
	}
	c.served++
	c.longestWait = max(c.longestWait, time.Since(startedAt))
	c.mu.Unlock()
	time.Sleep(c.answerTime)
	c.mu.Lock()
	grant.Done(10)
	return true
}

// loop sends requests until done is closed.
func (c *caller) loop(t *testing.T, name string, done chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		if !c.request(t, fmt.Sprintf("%s-%d", name, n)) {
			time.Sleep(refusalPause)
		}
	}
}

// TestBusyTeamDoesNotDelaySmallTeam has the callers of one team send far more requests than the slots can run, in
// virtual time, while a small team sends one now and then. The small team must never be refused, and must wait for one
// slot to become free at most.
func TestBusyTeamDoesNotDelaySmallTeam(t *testing.T) {
	cases := []struct {
		slots      int
		answerTime time.Duration
	}{
		{1, 20 * time.Millisecond},
		{6, 150 * time.Millisecond},
		{6, 200 * time.Millisecond},
		{2, 900 * time.Millisecond},
		{6, 1800 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d slots, %v", c.slots, c.answerTime), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(&fakeSlots{free: c.slots})
				large := &caller{admitter: a, team: "large", answerTime: c.answerTime}
				small := &caller{admitter: a, team: "other", answerTime: c.answerTime}
				done := make(chan struct{})
				var wait sync.WaitGroup
				for i := range largeCallers {
					wait.Go(func() { large.loop(t, fmt.Sprintf("large-%d", i), done) })
				}
				time.Sleep(3 * firstTokenTarget)
				for n := range smallAnswers {
					small.request(t, fmt.Sprintf("small-%d", n))
				}
				close(done)
				wait.Wait()
				a.Close()
				if len(small.refused) > 0 {
					t.Errorf("the small team was refused: %v", small.refused)
				}
				if bound := c.answerTime + checkInterval; small.longestWait > bound {
					t.Errorf("the small team waited for %v, bound %v", small.longestWait, bound)
				}
				if len(large.refused) == 0 || large.served == 0 {
					t.Errorf("of the large team %d were served and %d refused: not overloaded", large.served, len(large.refused))
				}
			})
		})
	}
}
