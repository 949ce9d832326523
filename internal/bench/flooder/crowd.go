package flooder

import (
	"io"
	"net"
	"sync"
	"time"
)

// The times of a connection of a crowd. Neither changes what a process must withstand: they bound the length of a run.
const (
	dialTimeout = 2 * time.Second
	// writeTimeout bounds the sending of one connection, which ends early once the process reads no more.
	writeTimeout = 4 * time.Second
	// holdTime is how long a connection that has sent all waits for the other end to close it.
	holdTime = 1500 * time.Millisecond
)

// Crowd is a set of connections that send the same at the same time.
type Crowd struct {
	Address     string
	Connections int
	// First is sent by each connection, Repeated as often as Times after it, and Last once all connections have sent these.
	First, Repeated, Last string
	Times                 int
}

// Run opens the connections, sends, and calls observe while they are open. Connections that the process refuses or closes stay
// closed.
func (c Crowd) Run(observe func()) {
	var all, sent sync.WaitGroup
	observed := make(chan struct{})
	sent.Add(c.Connections)
	for range c.Connections {
		all.Go(func() { c.runConnection(&sent, observed) })
	}
	sent.Wait()
	time.Sleep(holdTime)
	observe()
	close(observed)
	all.Wait()
}

// runConnection is one connection, which stays open until observed is closed.
func (c Crowd) runConnection(sent *sync.WaitGroup, observed <-chan struct{}) {
	connection, err := net.DialTimeout("tcp", c.Address, dialTimeout)
	if err != nil {
		sent.Done()
		return
	}
	defer connection.Close()
	_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout)) // The connection is open.
	_, err = io.WriteString(connection, c.First)
	for n := 0; n < c.Times && err == nil; n++ {
		_, err = io.WriteString(connection, c.Repeated)
	}
	sent.Done()
	sent.Wait()
	if err == nil && c.Last != "" {
		_, _ = io.WriteString(connection, c.Last) // The process may have closed the connection meanwhile.
	}
	<-observed
}
