package exchanger

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

// lateList fails twice, then holds only the first instance, and then all of them.
type lateList struct {
	fixedList
	reads atomic.Int32
}

// List returns all instances from the fourth read on.
func (l *lateList) List(ctx context.Context) ([]lister.Instance, error) {
	switch n := l.reads.Add(1); {
	case n < 3:
		return nil, errors.New("the platform is unavailable")
	case n < 4:
		return l.fixedList[:1], nil
	default:
		return l.fixedList.List(ctx)
	}
}

// TestListIsRetriedSoon lets reads of the list fail while instances start, as when all of them start while the platform
// is recovering: they must find each other long before the usual time of the next read.
func TestListIsRetriedSoon(t *testing.T) {
	list := &lateList{}
	var nodes []*Exchanger
	for i, id := range []string{"n0", "n1"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		list.fixedList = append(list.fixedList, lister.Instance{
			ID: id, Role: lister.RoleEntry, Address: l.Addr().String(), DataCentre: "a", Region: "r",
		})
		o := []Option{WithInterval(10 * time.Millisecond)}
		if i == 0 {
			o = append(o, WithLister(list, time.Hour))
		}
		nodes = append(nodes, New(gossiper.Peer{ID: id, Address: l.Addr().String(), DataCentre: "a", Region: "r"}, o...))
		defer nodes[i].Close()
		defer l.Close()
		nodes[i].listener = l
	}
	for _, x := range nodes {
		x.Start(x.listener)
	}
	for deadline := time.Now().Add(20 * time.Second); len(nodes[0].LivePeers()) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no peer is known after %d reads", list.reads.Load())
		}
	}
}
