// Command 5 lets more clients than usual send a body at once, each as long as the configuration allows.
package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/review/lab"
)

const (
	key      = "n2ctnfzs989anu6wsjnb"
	deadline = 1500 * time.Millisecond
	// usualClients is the number of clients that send a long body to a machine at once: the small site has 93 clients and 7
	// machines, 13 each, and the shares are uneven. In a burst, which lasts burstLength, 1.7 times as many come.
	usualClients = 15
	burstClients = usualClients * 17 / 10
	burstLength  = 3 * time.Second
	// bodyBytes is max_body_bytes, and uploadTime how long a client takes to send as much. All of a burst together stay below the
	// rate of a machine's link.
	bodyBytes  = 4194304
	uploadTime = 1200 * time.Millisecond
	// smallClients is the number of clients that send small requests to a machine, one after another with a pause.
	smallClients = 13
	smallPause   = 30 * time.Millisecond
	// rounds is how often the long bodies come, roundTime apart.
	rounds    = 8
	roundTime = 10 * time.Second
	// allowedLost is how many requests of kept connections may be lost. A machine whose process ends by itself faultEnds times is one
	// of those that make the day count 0, faultMachines of which are too many.
	allowedLost   = 3
	faultEnds     = 3
	faultMachines = 2
)

func main() { lab.Main(run) }

// upload sends one long body and waits for the answer.
func upload(r *lab.Record, m *lab.Machine) {
	id := lab.NewID()
	answer := "no connection"
	defer func() { r.Line("sent to %s: %s, a body of %d bytes: %q", m.Name, id, bodyBytes, answer) }()
	c, err := net.DialTimeout("tcp", m.Front(), time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	start := time.Now()
	_ = c.SetDeadline(start.Add(deadline))
	_, err = fmt.Fprintf(c, "POST %s2f HTTP/1.1\r\nHost: %s\r\nX-Heatherrock-Attempt-Id: %s\r\nAuthorization: Token %s\r\n"+
		"X-Heatherrock-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", lab.HoldPrefix, lab.Host, id, key, deadline.Milliseconds(), bodyBytes)
	const pieces = 64
	piece := make([]byte, bodyBytes/pieces)
	for n := 0; n < pieces && err == nil; n++ {
		_, err = c.Write(piece)
		time.Sleep(time.Until(start.Add(uploadTime * time.Duration(n+1) / pieces)))
	}
	b := make([]byte, 64)
	n, err := c.Read(b)
	answer = string(b[:n])
	if err != nil {
		answer = err.Error()
	}
}

// run plays the case and reports whether the rule was broken.
func run(l *lab.Lab) (bool, error) {
	d, err := l.Deploy(2, 3, 4, lab.Config(7, lab.Tenant{Name: "hule930", Keys: []string{key}, Priority: 1}))
	if err != nil {
		return false, err
	}
	var most []func() int
	for _, m := range d.Machines {
		most = append(most, m.EnforceMemory())
	}
	load := l.StartLoad(d.Machines, smallClients, key, deadline, smallPause)
	time.Sleep(2 * lab.StabilityWindow)
	count := usualClients
	if lab.Trouble() {
		count = burstClients
	}
	for n := range rounds {
		l.Record.Line("round %d: %d clients send a long body to each machine", n, count)
		var uploads sync.WaitGroup
		for _, m := range d.Machines {
			for range count {
				uploads.Go(func() { upload(l.Record, m) })
			}
		}
		time.Sleep(burstLength)
		uploads.Wait()
		time.Sleep(roundTime - burstLength)
	}
	lost := l.CountLost(load.Stop(), d.Ran(), deadline)
	faulty := 0
	for i, m := range d.Machines {
		if len(m.EndedByItself()) >= faultEnds {
			faulty++
		}
		l.Record.Line("%s: %d MiB at most, %d processes ended by themselves", m.Name, most[i](), len(m.EndedByItself()))
	}
	l.Record.Line("Fault: on %d machines processes ended by themselves %d times or more, on fewer than %d allowed", faulty, faultEnds, faultMachines)
	l.Record.Line("LOST: %d requests of kept connections, %d allowed", lost, allowedLost)
	return faulty >= faultMachines || lost > allowedLost, nil
}
