// Command 4 sends a request again and again that crashes each server that runs it, some time after its first event.
package main

import (
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/review/lab"
)

const (
	key      = "n2ctnfzs989anu6wsjnb"
	deadline = 20 * time.Second
	// deadlyParts are the parts of the deadly request's prompt: one that all requests share, and its own.
	deadlyPart  = "e4402b7d"
	deadlyParts = "5c1e07a2:40," + deadlyPart + ":760"
	// resendPause is the pause after which the request comes again, at the next machine, and length how long it does so.
	resendPause = time.Second
	length      = 40 * time.Second
	// crashLimit is the number of crashes after which the request has to be kept away from servers, and allowedRetries how many
	// retries may still reach them.
	crashLimit     = 3
	allowedRetries = 3
	// soundClients is the number of clients of a machine that send sound requests for the model, one after another with a pause.
	soundClients = 2
	soundPause   = 200 * time.Millisecond
)

func main() { lab.Main(run) }

// run plays the case and reports whether the rule was broken.
func run(l *lab.Lab) (bool, error) {
	d, err := l.Deploy(3, 3, 12, lab.Config(7, lab.Tenant{Name: "hule930", Keys: []string{key}, Priority: 1}))
	if err != nil {
		return false, err
	}
	time.Sleep(lab.StabilityWindow)
	if lab.Trouble() {
		l.SetDeadlyPart(deadlyPart)
	}
	end := time.Now().Add(length)
	var wait sync.WaitGroup
	var mu sync.Mutex
	whole, cut := 0, 0
	for _, m := range d.Machines {
		for range soundClients {
			wait.Go(func() {
				c := l.NewClient(m)
				defer c.Close()
				for ; time.Now().Before(end); time.Sleep(soundPause) {
					s := c.Send(lab.DraftPrefix, key, deadline, []byte("draft"))
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
		s := c.SendPrompt(lab.DraftPrefix, key, deadline, []byte("the request that comes again"), deadlyParts)
		c.Close()
		deadly[s.ID] = true
		time.Sleep(resendPause)
	}
	wait.Wait()
	crashes := l.Crashes()
	l.Record.Line("%d servers crashed; of the sound requests %d were answered whole and %d cut off", len(crashes), whole, cut)
	if len(crashes) < crashLimit {
		return false, nil
	}
	bound := crashes[crashLimit-1].At.Add(lab.StabilityWindow)
	retries, arrivals := map[string]bool{}, 0
	for _, a := range l.Arrivals() {
		if deadly[a.ID] && a.At.After(bound) {
			retries[a.ID] = true
			arrivals++
		}
	}
	l.Record.Line("BUDGET: later than %v after the third crash, %d retries of the request reached servers, %d times in all; %d allowed",
		lab.StabilityWindow, len(retries), arrivals, allowedRetries)
	return len(retries) > allowedRetries, nil
}
