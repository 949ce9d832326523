package syncer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/control/replicator"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
)

// pairList is a list of two instances.
type pairList []lister.Instance

// List returns the list.
func (l pairList) List(context.Context) ([]lister.Instance, error) { return l, nil }

// flakyRelay relays a table, and fails the first calls.
type flakyRelay struct {
	failures atomic.Int32
	page     replicator.Page
}

// Since replies with the table.
func (r *flakyRelay) Since(_ Query, reply *replicator.Page) error {
	if r.failures.Add(-1) >= 0 {
		return errors.New("not now")
	}
	*reply = r.page
	return nil
}

// TestFailedFetchFromAPeerIsRetried guards against a change that an instance which cannot reach the store never gets: its peer
// announces each version once, and the only fetch failed.
func TestFailedFetchFromAPeerIsRetried(t *testing.T) {
	var list pairList
	var listeners []net.Listener
	for _, id := range []string{"peer", "self"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		list = append(list, lister.Instance{ID: id, Role: lister.RoleEntry, Address: l.Addr().String(), DataCentre: "a", Region: "r"})
	}
	start := func(n int) *exchanger.Exchanger {
		return exchanger.New(gossiper.Peer{ID: list[n].ID, Address: list[n].Address, DataCentre: "a", Region: "r"},
			exchanger.WithInterval(10*time.Millisecond), exchanger.WithLister(list, time.Hour))
	}
	peer, self := start(0), start(1)
	relay := &flakyRelay{page: page(2, replicator.Row{Key: "a", Version: 2})}
	relay.failures.Store(2)
	if err := peer.Register("Relay", relay); err != nil {
		t.Fatal(err)
	}
	received := make(chan struct{}, 1)
	s := New(unusedStore{}, self, slog.New(slog.DiscardHandler), time.Now, Table{Name: "t", OnChange: func(time.Time, []replicator.Row) {
		received <- struct{}{}
	}})
	peer.Start(listeners[0])
	defer peer.Close()
	self.Start(listeners[1])
	defer self.Close()
	s.Detach()
	s.Start()
	defer s.Close()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if _, ok := self.LivePeer("peer"); ok {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the peer is not known")
		}
	}
	s.recordPeerHead(gossiper.Entry{Owner: "peer", Key: "t", Value: []byte(`{"version":2}`)})
	select {
	case <-received:
	case <-time.After(5 * time.Second):
		t.Errorf("the change was not received; %d failures left", relay.failures.Load())
	}
}
