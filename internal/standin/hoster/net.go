package hoster

import (
	"fmt"
	"net"

	"github.com/ansel1/merry/v2"
)

// The loopback networks that can be claimed are 127.firstNet.0.0/16 to 127.lastNet.0.0/16. A process claims one by
// listening at its address x.x.255.254 on claimPort.
const (
	firstNet  = 8
	lastNet   = 250
	claimPort = 7999
	// hostsPerSubnet is the number of addresses used for each value of the third octet.
	hostsPerSubnet = 250
)

// Net is a loopback network with addresses for machines. Until it is closed, no other process can claim it.
type Net struct {
	secondOctet int
	listener    net.Listener
}

// ClaimNet claims the first network that is not claimed by any process.
func ClaimNet() (*Net, error) {
	for octet := firstNet; octet <= lastNet; octet++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", octet, claimPort))
		if err == nil {
			return &Net{octet, listener}, nil
		}
	}
	return nil, merry.New("no loopback network is free")
}

// IP returns the address with an index, counted from 0.
func (n *Net) IP(index int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.secondOctet, index/hostsPerSubnet, index%hostsPerSubnet+1)
}

// Close releases the network, so that it can be claimed again.
func (n *Net) Close() error { return n.listener.Close() }
