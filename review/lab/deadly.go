//go:build review

package lab

import (
	"sync"
	"time"
)

const (
	// DeadlyPart is the last part of the prompt of the deadly request, which no other request has.
	DeadlyPart = "e4402b7d"
	// resendPause is the pause after which the request comes again, at the next machine, and deadlyTime how long it does so.
	resendPause = time.Second
	deadlyTime  = 40 * time.Second
	// crashLimit is the number of crashes after which the request has to be kept away from servers, and allowedRetries how many
	// retries may still reach them.
	crashLimit     = 3
	allowedRetries = 3
	// soundClients is the number of clients of a machine that send sound requests for the model, one after another with a pause.
	soundClients = 2
	soundPause   = 200 * time.Millisecond
	// draftDeadline is the deadline of a request for the model.
	draftDeadline = 20 * time.Second
)

// PlayDeadly sends one request with a prompt again and again beside sound ones, and reports whether too many of its retries reached
// servers. With the disruption, each server that runs it crashes some time after its first event, or before it if delay is negative.
func (l *Lab) PlayDeadly(prompt string, delay time.Duration) (bool, error) {
	const key = "n2ctnfzs989anu6wsjnb"
	d, err := l.Deploy(3, 3, 12, Config(7, Tenant{Name: "hule930", Keys: []string{key}, Priority: 1}))
	if err != nil {
		return false, err
	}
	time.Sleep(StabilityWindow)
	if Trouble() {
		l.SetDeadly(DeadlyPart, delay)
	}
	end := time.Now().Add(deadlyTime)
	var wait sync.WaitGroup
	var mu sync.Mutex
	whole, cut := 0, 0
	for _, m := range d.Machines {
		for range soundClients {
			wait.Go(func() {
				c := l.NewClient(m)
				defer c.Close()
				for ; time.Now().Before(end); time.Sleep(soundPause) {
					s := c.Send(DraftPrefix, key, draftDeadline, []byte("draft"))
					mu.Lock()
					if s.Whole {
						whole++
					} else if s.Status == 200 {
						cut++
					}
					mu.Unlock()
				}
			})
		}
	}
	deadly := map[string]bool{}
	for n := 0; time.Now().Before(end); n++ {
		c := l.NewClient(d.Machines[n%len(d.Machines)])
		s := c.SendPrompt(DraftPrefix, key, draftDeadline, []byte("the request that comes again"), prompt)
		c.Close()
		deadly[s.ID] = true
		time.Sleep(resendPause)
	}
	wait.Wait()
	l.Record.Line("of the sound requests %d were answered whole and %d cut off", whole, cut)
	return l.judgeDeadly(deadly), nil
}

// judgeDeadly reports whether too many retries of the request with the ids reached servers after it had crashed some.
func (l *Lab) judgeDeadly(ids map[string]bool) bool {
	crashes := l.Crashes()
	l.Record.Line("%d servers crashed", len(crashes))
	if len(crashes) < crashLimit {
		return false
	}
	bound := crashes[crashLimit-1].At.Add(StabilityWindow)
	retries, arrivals := map[string]bool{}, 0
	for _, a := range l.Arrivals() {
		if ids[a.ID] && a.At.After(bound) {
			retries[a.ID] = true
			arrivals++
		}
	}
	l.Record.Line("BUDGET: later than %v after the third crash, %d retries of the request reached servers, %d times in all; %d allowed",
		StabilityWindow, len(retries), arrivals, allowedRetries)
	return len(retries) > allowedRetries
}
