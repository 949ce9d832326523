//go:build review

// Command 5 lets the store be down for some seconds and then takes servers away whose entries are removed without a notice.
package main

import (
	"time"

	"github.com/heatherrock/heatherrock/review/lab"
)

const (
	key      = "n2ctnfzs989anu6wsjnb"
	deadline = 1500 * time.Millisecond
	// outage is how long the store is down, and calm the time after it; the store counts as stable then.
	outage = 3820 * time.Millisecond
	calm   = 3300 * time.Millisecond
	// A server is replaced each releaseGap; the new one starts newBefore before the entry of the old one is removed, and the old one
	// serves on.
	releases   = 10
	releaseGap = 4 * time.Second
	newBefore  = time.Second
	// The load of the last machine.
	clients = 6
	pause   = 20 * time.Millisecond
)

func main() { lab.Main(run) }

// run plays the case and reports whether the rule was broken.
func run(l *lab.Lab) (bool, error) {
	d, err := l.Deploy(0, 3, 4, lab.Config(7, lab.Tenant{Name: "hule930", Keys: []string{key}, Priority: 1}))
	if err != nil {
		return false, err
	}
	// A zone of the small site with three machines and the one that was added.
	var machines []*lab.Machine
	for n := range 4 {
		m := l.AddMachine(n, lab.Zones[0])
		if err := m.Start(); err != nil {
			return false, err
		}
		machines = append(machines, m)
	}
	if err := lab.WaitReady(20*time.Second, machines...); err != nil {
		return false, err
	}
	time.Sleep(2 * lab.StabilityWindow)
	if lab.Trouble() {
		l.Record.Line("the store is down")
		l.Store.GoDown(outage)
		l.Record.Line("the store is back")
	} else {
		time.Sleep(outage)
	}
	time.Sleep(calm)
	load := l.StartLoad(machines[len(machines)-1:], clients, key, deadline, pause)
	late := 0
	desks := d.Desks
	removed := map[*lab.Desk]time.Time{}
	for n := range releases {
		fresh, err := l.AddDesk(10+n, lab.DeskService)
		if err != nil {
			return false, err
		}
		desks = append(desks, fresh)
		time.Sleep(newBefore)
		removed[desks[n]] = l.Store.Remove("servers", desks[n].ID)
		l.Record.Line("the entry of %s is removed, acknowledged; it serves on", desks[n].ID)
		time.Sleep(releaseGap - newBefore)
	}
	load.Stop()
	for desk, at := range removed {
		for _, run := range desk.Runs() {
			if after := run.At.Sub(at); after > lab.DrainBound {
				late++
				l.Record.Line("DRAIN: %s reached %s %.3f s after its entry was removed", run.ID, run.Server, after.Seconds())
			}
		}
	}
	l.Record.Line("%d requests reached servers later than %v after their entries were removed", late, lab.DrainBound)
	return late > 0, nil
}
