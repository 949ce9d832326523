package hoster

import (
	"fmt"
	"net"

	"github.com/ansel1/merry/v2"
)

// The loopback networks that may be claimed, by the second number of their addresses, and where a claim listens.
const (
	firstNet  = 8
	lastNet   = 250
	claimPort = 7999
	// hosts is the number of addresses used of each third number.
	hosts = 250
)

// Net is a loopback network with addresses for machines. It is this process's own for as long as it is open: others that
// claim one get another.
type Net struct {
	number int
	claim  net.Listener
}

// ClaimNet claims the first network that no process holds.
func ClaimNet() (*Net, error) {
	for n := firstNet; n <= lastNet; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", n, claimPort))
		if err == nil {
			return &Net{n, l}, nil
		}
	}
	return nil, merry.New("no loopback network is free")
}

// IP returns the nth address.
func (n *Net) IP(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.number, number/hosts, number%hosts+1)
}

// Close gives the network back.
func (n *Net) Close() error { return n.claim.Close() }
