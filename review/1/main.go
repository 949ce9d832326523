//go:build review

// Command 1 takes the last keys away from connected clients and then sends requests with these keys and with one that no
// configuration ever held.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/review/lab"
)

// The disruption, as the site's list of troubles has it: two keys are taken away, one after the other.
const (
	revokeGap = 1500 * time.Millisecond
	neverHeld = "q0000000000000000000"
	clients   = 2
	deadline  = 1500 * time.Millisecond
)

// keys are those of the one tenant, as in the pages' example of a configuration.
var keys = []string{"n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"}

func main() { lab.Main(run) }

// sent is a request with the key that it carried.
type sent struct {
	lab.Sent
	key string
}

// load sends requests with each key to all machines for a time, from clients that keep their connections.
func load(l *lab.Lab, machines []*lab.Machine, length time.Duration) []sent {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var out []sent
	all := append([]string{neverHeld}, keys...)
	end := time.Now().Add(length)
	for _, m := range machines {
		for range clients {
			wait.Go(func() {
				c := l.NewClient(m)
				defer c.Close()
				for n := 0; time.Now().Before(end); n++ {
					key, prefix, body := all[n%len(all)], lab.LookPrefix, []byte(nil)
					if n/len(all)%2 == 1 {
						prefix, body = lab.HoldPrefix, []byte(lab.HoldBody)
					}
					s := sent{c.Send(prefix, key, deadline, body), key}
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

// run plays the case and reports whether the rule was broken.
func run(l *lab.Lab) (bool, error) {
	version := 7
	tenant := lab.Tenant{Name: "hule930", Keys: keys, Priority: 1}
	d, err := l.Deploy(3, 3, 4, lab.Config(version, tenant))
	if err != nil {
		return false, err
	}
	before := load(l, d.Machines, 3*time.Second)
	acknowledged := time.Time{}
	if lab.Trouble() {
		for len(tenant.Keys) > 0 {
			time.Sleep(revokeGap)
			gone := tenant.Keys[0]
			tenant.Keys = append([]string{}, tenant.Keys[1:]...)
			version += 3
			acknowledged = l.Store.Put("op", "config", lab.Config(version, tenant))
			l.Record.Line("version %d acknowledged: key %q taken away, %d left", version, gone, len(tenant.Keys))
		}
	}
	// Far beyond config_ms, so that no machine may still go by an older version.
	time.Sleep(2*lab.ConfigBound + lab.StabilityWindow)
	after := load(l, d.Machines, 8*time.Second)
	return judge(l.Record, d.Ran(), before, after, acknowledged, tenant.Keys) > 0, nil
}

// judge returns the number of requests that broke a rule.
func judge(r *lab.Record, ran map[string]lab.Run, before, after []sent, acknowledged time.Time, left []string) int {
	held := map[string]bool{}
	for _, k := range left {
		held[k] = true
	}
	broken := 0
	counts := map[string]int{}
	for i, s := range append(before, after...) {
		run, didRun := ran[s.ID]
		isAfter := i >= len(before)
		counts[fmt.Sprintf("after the changes %v, key %s: status %d, run %v", isAfter, s.key, s.Status, didRun)]++
		switch {
		case didRun && s.key == neverHeld:
			broken++
			r.Line("ROUTE: %s ran at %s for tenant %q; no configuration ever held its key", s.ID, run.Server, run.Tenant)
		case didRun && isAfter && !held[s.key]:
			broken++
			r.Line("CONFIG: %s ran at %s for tenant %q, sent %.1f s after the last key was taken away", s.ID, run.Server, run.Tenant,
				s.At.Sub(acknowledged).Seconds())
		}
	}
	for text, n := range counts {
		r.Line("%d requests: %s", n, text)
	}
	r.Line("%d requests broke a rule", broken)
	return broken
}
