//go:build review

package lab

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// timeLimit is the time after which a script that is not done is given up.
const timeLimit = 115 * time.Second

// Main runs the script of a case, which reports whether the rule was broken, and exits. The arguments of the program are the folder
// of the case and the root of the repository.
func Main(script func(l *Lab) (bool, error)) { os.Exit(runScript(script)) }

// runScript runs a script and returns the exit code.
func runScript(script func(l *Lab) (bool, error)) int {
	r, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return ExitNotRun
	}
	l, err := New(r, os.Args[2])
	if err != nil {
		r.Line("not run: %v", err)
		return ExitNotRun
	}
	defer l.Close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := script(l)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	var broken bool
	select {
	case r := <-done:
		broken, err = r.broken, r.err
	case s := <-stop:
		err = fmt.Errorf("stopped by a signal: %v", s)
	case <-time.After(timeLimit):
		err = fmt.Errorf("not done after %v", timeLimit)
	}
	switch {
	case err != nil:
		r.Line("not run: %v", err)
		return ExitNotRun
	case broken:
		return ExitBroken
	}
	return ExitHeld
}

// Deployment is a small deployment that runs.
type Deployment struct {
	Desks    []*Desk
	Engines  []*Engine
	Machines []*Machine
}

// readyLimit is how long the machines may take to be ready.
const readyLimit = 20 * time.Second

// Deploy starts a deployment and waits until its machines are ready.
func (l *Lab) Deploy(machines, desks, engines int, config map[string]any) (*Deployment, error) {
	d := &Deployment{}
	l.Store.Put("op", "config", config)
	for n := range desks {
		s, err := l.AddDesk(n, DeskService)
		if err != nil {
			return nil, err
		}
		d.Desks = append(d.Desks, s)
	}
	for n := range engines {
		e, err := l.AddEngine(desks+n, PoolService)
		if err != nil {
			return nil, err
		}
		d.Engines = append(d.Engines, e)
	}
	for n := range machines {
		m := l.AddMachine(n, Zones[n%len(Zones)])
		if err := m.Start(); err != nil {
			return nil, err
		}
		d.Machines = append(d.Machines, m)
	}
	return d, WaitReady(readyLimit, d.Machines...)
}

// Ran returns the requests that have run at the plain servers, by id.
func (d *Deployment) Ran() map[string]Run {
	out := map[string]Run{}
	for _, s := range d.Desks {
		for _, run := range s.Runs() {
			out[run.ID] = run
		}
	}
	return out
}

// Load is a number of clients of each machine that send small unsafe requests, one after another.
type Load struct {
	stop chan struct{}
	wait sync.WaitGroup

	mu   sync.Mutex
	sent []Sent
}

// HoldBody is the body of a small unsafe request.
const HoldBody = "hold one bogie frame of seasoned oak"

// StartLoad starts clients that keep their connections and pause after each request.
func (l *Lab) StartLoad(machines []*Machine, clients int, key string, deadline, pause time.Duration) *Load {
	load := &Load{stop: make(chan struct{})}
	for _, m := range machines {
		for range clients {
			load.wait.Go(func() { load.run(l.NewClient(m), key, deadline, pause) })
		}
	}
	return load
}

// run sends requests from one client.
func (load *Load) run(c *Client, key string, deadline, pause time.Duration) {
	defer c.Close()
	for {
		select {
		case <-load.stop:
			return
		case <-time.After(pause):
		}
		s := c.Send(HoldPrefix, key, deadline, []byte(HoldBody))
		load.mu.Lock()
		load.sent = append(load.sent, s)
		load.mu.Unlock()
	}
}

// Stop stops the clients and returns what they have sent.
func (load *Load) Stop() []Sent {
	close(load.stop)
	load.wait.Wait()
	return load.sent
}

// CountLost records and counts the requests of kept connections that were passed on to a sound server and whose connection ended
// without an answer before the deadline.
func (l *Lab) CountLost(sent []Sent, ran map[string]Run, deadline time.Duration) int {
	lost, answered := 0, 0
	for _, s := range sent {
		if s.Status != 0 {
			answered++
		}
		if _, didRun := ran[s.ID]; didRun && s.Kept && s.Status == 0 && s.Took < deadline {
			lost++
			l.Record.Line("lost: %s was sent on a kept connection and ran, and the connection ended without an answer: %s", s.ID, s.Err)
		}
	}
	l.Record.Line("of %d small requests %d answered, %d lost", len(sent), answered, lost)
	return lost
}
