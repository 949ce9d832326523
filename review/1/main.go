// Command 1 takes the last keys away from connected clients and then sends requests with these keys and with one that no
// configuration ever held.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/review/lab"
)

// The disruption, as the days of the small sites have it: keys are taken away one after the other.
const (
	revokeGap = 1500 * time.Millisecond
	neverHeld = "q0000000000000000000"
	clients   = 2
)

// keys are those of the one tenant, as in the pages' example of a configuration.
var keys = []string{"n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"}

func main() {
	r, err := lab.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(lab.ExitNotRun)
	}
	broken, err := run(r, os.Args[2])
	if err != nil {
		r.Line("not run: %v", err)
		os.Exit(lab.ExitNotRun)
	}
	if len(broken) > 0 {
		os.Exit(lab.ExitBroken)
	}
	os.Exit(lab.ExitHeld)
}

// sent is a request with the key that it carried.
type sent struct {
	lab.Sent
	key string
}

// load sends requests with keys to all machines for a time, from clients that keep their connections.
func load(l *lab.Lab, machines []*lab.Machine, length time.Duration, keys ...string) []sent {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var out []sent
	end := time.Now().Add(length)
	for _, m := range machines {
		for range clients {
			wait.Go(func() {
				c := l.NewClient(m)
				defer c.Close()
				for n := 0; time.Now().Before(end); n++ {
					key, prefix, body := keys[n%len(keys)], lab.LookPrefix, []byte(nil)
					if n/len(keys)%2 == 1 {
						prefix, body = lab.HoldPrefix, []byte("hold one bogie frame of seasoned oak")
					}
					s := sent{c.Send(prefix, key, 1500*time.Millisecond, body), key}
					mu.Lock()
					out = append(out, s)
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	wait.Wait()
	return out
}

// run plays the case and returns what broke the rule.
func run(r *lab.Record, root string) ([]string, error) {
	l, err := lab.New(r, root)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	version := 7
	tenant := lab.Tenant{Name: "hule930", Keys: keys, Priority: 1}
	l.Store.Put("op", "config", lab.Config(version, tenant))
	var desks []*lab.Desk
	for n := range 3 {
		d, err := l.AddDesk(n, lab.DeskService)
		if err != nil {
			return nil, err
		}
		desks = append(desks, d)
	}
	for n := range 4 {
		if _, err := l.AddEngine(3+n, lab.PoolService); err != nil {
			return nil, err
		}
	}
	var machines []*lab.Machine
	for n := range 3 {
		m := l.AddMachine(n)
		if err := m.Start(); err != nil {
			return nil, err
		}
		machines = append(machines, m)
	}
	if err := lab.WaitReady(20*time.Second, machines...); err != nil {
		return nil, err
	}
	before := load(l, machines, 3*time.Second, append([]string{neverHeld}, keys...)...)
	acknowledged := time.Time{}
	if lab.Trouble() {
		for len(tenant.Keys) > 0 {
			time.Sleep(revokeGap)
			gone := tenant.Keys[0]
			tenant.Keys = append([]string{}, tenant.Keys[1:]...)
			version += 3
			acknowledged = l.Store.Put("op", "config", lab.Config(version, tenant))
			r.Line("version %d acknowledged: key %q taken away, %d left", version, gone, len(tenant.Keys))
		}
	}
	// Far beyond config_ms, so that no machine may still go by an older version.
	time.Sleep(2*lab.ConfigBound + lab.StabilityWindow)
	after := load(l, machines, 8*time.Second, append([]string{neverHeld}, keys...)...)
	return judge(r, desks, before, after, acknowledged, tenant.Keys), nil
}

// judge returns what broke the rules.
func judge(r *lab.Record, desks []*lab.Desk, before, after []sent, acknowledged time.Time, left []string) []string {
	ran := map[string]lab.Run{}
	for _, d := range desks {
		for _, run := range d.Runs() {
			ran[run.ID] = run
		}
	}
	held := map[string]bool{}
	for _, k := range left {
		held[k] = true
	}
	var broken []string
	counts := map[string]int{}
	for i, s := range append(before, after...) {
		run, didRun := ran[s.ID]
		isAfter := i >= len(before)
		counts[fmt.Sprintf("after %v, key %s: status %d, run %v", isAfter, s.key, s.Status, didRun)]++
		switch {
		case didRun && s.key == neverHeld:
			broken = append(broken, fmt.Sprintf("ROUTE: request %s ran at %s for tenant %q; no configuration ever held its key", s.ID, run.Server, run.Tenant))
		case didRun && isAfter && !held[s.key]:
			broken = append(broken, fmt.Sprintf("CONFIG: request %s ran at %s for tenant %q, sent %.1f s after its key was taken away",
				s.ID, run.Server, run.Tenant, s.At.Sub(acknowledged).Seconds()))
		case held[s.key] && s.Status != 200:
			r.Line("request %s with a key in force was answered %d", s.ID, s.Status)
		}
	}
	for text, n := range counts {
		r.Line("%d requests: %s", n, text)
	}
	for _, b := range broken {
		r.Line("broken: %s", b)
	}
	r.Line("%d breaches", len(broken))
	return broken
}
