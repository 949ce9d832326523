package measurer

import (
	"net"
	"net/rpc"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
)

// connectionsPerInstance is the number of connections of an instance to and from its peers at the planned size: to all
// instances of its region both ways, and to those of other regions that it picked within the idle time, one in four
// rounds.
const connectionsPerInstance = 2 * (97 + 75)

// measureConnections measures the memory of open connections between instances, for both ends together.
func measureConnections(r reporter.Result) (cost, error) {
	sizes := []float64{20, 80, 160}
	var memory []float64
	for _, n := range sizes {
		m, err := connectionMemory(int(n))
		if err != nil {
			return cost{}, err
		}
		memory = append(memory, m)
	}
	l := fitLine(sizes, memory)
	r.Set("connection_memory", l.Slope, "bytes a connection, both ends")
	r.Set("connection_memory_error", l.Error, "bytes a connection, both ends")
	return cost{memory: l.Slope * connectionsPerInstance}, nil
}

// connectionMemory returns the memory of a number of connections to an instance, each of which has carried a message.
func connectionMemory(count int) (float64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	x := exchanger.New(gossiper.Peer{ID: "entry-1", Address: l.Addr().String()})
	x.Start(l)
	defer x.Close()
	var clients []*rpc.Client
	memory := heapGrowth(func() any {
		for range count {
			if err = openConnection(l.Addr().String(), &clients); err != nil {
				break
			}
		}
		return clients
	})
	for _, c := range clients {
		_ = c.Close()
	}
	return memory, err
}

// openConnection opens a connection and sends a message over it.
func openConnection(address string, clients *[]*rpc.Client) error {
	c, err := rpc.Dial("tcp", address)
	if err != nil {
		return err
	}
	*clients = append(*clients, c)
	return c.Call("Exchange.Gossip", gossiper.Message{}, &gossiper.Message{})
}
