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
	// crowd is the number of the large team's callers, and smallAnswers that of the small team's answers.
	crowd        = 100
	smallAnswers = 20
	// first is the target for the first token: a request that cannot begin by then is refused.
	first = 1900 * time.Millisecond
	// refusedPause is how long a caller of the crowd waits after a refusal.
	refusedPause = 50 * time.Millisecond
)

// caller asks for answers of one team, one after another.
type caller struct {
	admitter *Admitter
	team     string
	// service is how long an answer runs.
	service time.Duration

	mu      sync.Mutex
	refused []server.Code
	served  int
	longest time.Duration
}

// ask asks for one answer and reports whether it ran.
func (c *caller) ask(t *testing.T, id string) bool {
	began := time.Now()
	ticket := server.Ticket{
		Job: generator.Job{Request: id, Team: c.team, Model: "oak"}, Tokens: 10, Deadline: began.Add(first),
	}
	grant, p := c.admitter.Admit(t.Context(), view(), ticket)
	c.mu.Lock()
	defer c.mu.Unlock()
	if p != nil {
		c.refused = append(c.refused, p.Code)
		return false
	}
	c.served++
	c.longest = max(c.longest, time.Since(began))
	c.mu.Unlock()
	time.Sleep(c.service)
	c.mu.Lock()
	grant.Done(10)
	return true
}

// loop asks until done is closed.
func (c *caller) loop(t *testing.T, name string, done chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		if !c.ask(t, fmt.Sprintf("%s-%d", name, n)) {
			time.Sleep(refusedPause)
		}
	}
}

// TestCrowdLeavesSmallTeamAlone lets a crowd of one team ask for far more than the places can run while a small team asks
// now and then, in virtual time: the small team is never refused, and waits for one place to come free at most.
func TestCrowdLeavesSmallTeamAlone(t *testing.T) {
	cases := []struct {
		places  int
		service time.Duration
	}{
		{1, 20 * time.Millisecond},
		{6, 150 * time.Millisecond},
		{6, 200 * time.Millisecond},
		{2, 900 * time.Millisecond},
		{6, 1800 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d places, %v", c.places, c.service), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(&places{free: c.places})
				large := &caller{admitter: a, team: "large", service: c.service}
				small := &caller{admitter: a, team: "other", service: c.service}
				done := make(chan struct{})
				var wait sync.WaitGroup
				for i := range crowd {
					wait.Go(func() { large.loop(t, fmt.Sprintf("large-%d", i), done) })
				}
				time.Sleep(3 * first)
				for n := range smallAnswers {
					small.ask(t, fmt.Sprintf("small-%d", n))
				}
				close(done)
				wait.Wait()
				a.Close()
				if len(small.refused) > 0 {
					t.Errorf("the small team was refused: %v", small.refused)
				}
				if bound := c.service + tick; small.longest > bound {
					t.Errorf("the small team waited for %v, bound %v", small.longest, bound)
				}
				if len(large.refused) == 0 || large.served == 0 {
					t.Errorf("of the crowd %d were served and %d refused: not a crowd", large.served, len(large.refused))
				}
			})
		})
	}
}
