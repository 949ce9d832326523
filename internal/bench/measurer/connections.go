package measurer

import (
	"net"
	"net/rpc"

	"github.com/heatherrock/heatherrock/internal/bench/reporter"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
)

// connectionsKept is the number of connections that a node keeps to peers, and peers to it, at the planned size: to all
// instances of its region both ways, and to those of other regions that it picked within the idle time, one in four
// rounds.
const connectionsKept = 2 * (97 + 75)

// connections measures the memory of open connections between instances, of both ends together.
func connections(r reporter.Result) (cost, error) {
	sizes := []float64{20, 80, 160}
	var memory []float64
	for _, n := range sizes {
		m, err := connect(int(n))
		if err != nil {
			return cost{}, err
		}
		memory = append(memory, m)
	}
	l := fit(sizes, memory)
	r.Set("connection_memory", l.Slope, "bytes a connection, both ends")
	r.Set("connection_memory_error", l.Error, "bytes a connection, both ends")
	return cost{memory: l.Slope * connectionsKept}, nil
}

// connect returns the memory of a number of connections to an instance, each of which has carried a message.
func connect(count int) (float64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	x := exchanger.New(gossiper.Peer{ID: "entry-1", Address: l.Addr().String()})
	x.Start(l)
	defer x.Close()
	var clients []*rpc.Client
	memory := grown(func() any {
		for range count {
			if err = open(l.Addr().String(), &clients); err != nil {
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

// open adds a connection that has carried a message.
func open(address string, clients *[]*rpc.Client) error {
	c, err := rpc.Dial("tcp", address)
	if err != nil {
		return err
	}
	*clients = append(*clients, c)
	return c.Call("Exchange.Gossip", gossiper.Message{}, &gossiper.Message{})
}
