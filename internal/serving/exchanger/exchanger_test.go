package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/heatherrock/heatherrock/internal/client/lister"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fixedList is an instance list that does not change.
type fixedList []lister.Instance

func (l fixedList) List(context.Context) ([]lister.Instance, error) {
	return l, nil
}

// start starts instances that find each other by a list. Rounds are 10 ms apart.
func start(t *testing.T, count int, settings func(i int) []Option) []*Exchanger {
	t.Helper()
	var listeners []net.Listener
	var list fixedList
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		list = append(list, lister.Instance{
			ID: fmt.Sprint("n", i), Role: lister.RoleEntry, Address: l.Addr().String(), DataCentre: "a", Region: "r",
		})
	}
	var out []*Exchanger
	for i := range count {
		o := []Option{WithInterval(10 * time.Millisecond), WithLister(list, time.Hour)}
		if settings != nil {
			o = append(o, settings(i)...)
		}
		x := New(entryPeers(list)[i], o...)
		out = append(out, x)
		x.Start(listeners[i])
		t.Cleanup(x.Close)
	}
	return out
}

// subscribe returns a channel that receives the entries of a topic as they arrive.
func subscribe(x *Exchanger, topic string) <-chan gossiper.Entry {
	out := make(chan gossiper.Entry, 64)
	x.Subscribe(topic, func(e gossiper.Entry) { out <- e })
	return out
}

func TestPublishReachesSubscribers(t *testing.T) {
	nodes := start(t, 4, nil)
	var subscriptions []<-chan gossiper.Entry
	for _, x := range nodes[1:] {
		subscriptions = append(subscriptions, subscribe(x, gossiper.TopicHead))
	}
	nodes[0].Publish(gossiper.TopicHead, "epoch", []byte("4"), 0)
	for _, s := range subscriptions {
		e := <-s
		if diff := cmp.Diff([]string{"n0", "epoch", "4"}, []string{e.Owner, e.Key, string(e.Value)}); diff != "" {
			t.Errorf("entry mismatch (-want +got):\n%s", diff)
		}
	}
	nodes[0].Withdraw(gossiper.TopicHead, "epoch")
	for _, s := range subscriptions {
		if e := <-s; !e.Deleted {
			t.Errorf("got %+v, want a deletion", e)
		}
	}
}

func TestSubscribeDeliversHeldEntries(t *testing.T) {
	nodes := start(t, 2, nil)
	first := subscribe(nodes[1], gossiper.TopicHead)
	nodes[0].Publish(gossiper.TopicHead, "epoch", []byte("4"), 0)
	<-first
	if e := <-subscribe(nodes[1], gossiper.TopicHead); string(e.Value) != "4" {
		t.Errorf("got %q, want 4", e.Value)
	}
}

func TestLeaveNotifiesPeersBeforeReturning(t *testing.T) {
	nodes := start(t, 3, nil)
	members := subscribe(nodes[0], gossiper.TopicMember)
	for seen := map[string]bool{}; len(seen) < 2; {
		seen[(<-members).Owner] = true
	}
	nodes[0].Leave(t.Context())
	for _, x := range nodes[1:] {
		for _, m := range x.Dump().Members {
			if m.Peer.ID == "n0" && m.State != gossiper.StateLeaving {
				t.Errorf("%s has n0 in state %s", x.Dump().Self.ID, m.State)
			}
		}
	}
}

// relay forwards connections to an address. Silenced connections stay open and forward nothing.
type relay struct {
	net.Listener
	to    string
	mu    sync.Mutex
	conns []*silenceableConn
	wait  sync.WaitGroup
}

// silenceableConn is a connection whose writes can be dropped.
type silenceableConn struct {
	net.Conn
	mu     sync.Mutex
	silent bool
}

// Write drops the data if the connection is silenced.
func (c *silenceableConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// run accepts connections until the listener is closed.
func (r *relay) run() {
	defer r.wait.Done()
	for {
		in, err := r.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &silenceableConn{Conn: in}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		r.wait.Add(2)
		go r.runCopy(out, in)
		go r.runCopy(c, out)
	}
}

// runCopy copies in one direction until either end closes.
func (r *relay) runCopy(to, from net.Conn) {
	defer r.wait.Done()
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// silence makes the open connections forward nothing more to the ends that opened them.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	nodes := start(t, 2, func(int) []Option { return []Option{WithInterval(time.Hour)} })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{Listener: l, to: nodes[1].listener.Addr().String()}
	r.wait.Add(1)
	go r.run()
	defer r.wait.Wait()
	defer func() { _ = l.Close() }()
	peer := gossiper.Peer{ID: "n1", Address: l.Addr().String()}
	var reply gossiper.Message
	if err := nodes[0].Call(t.Context(), peer, "Exchange.Gossip", gossiper.Message{}, &reply); err != nil {
		t.Fatal(err)
	}
	r.silence()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := nodes[0].Call(ctx, peer, "Exchange.Gossip", gossiper.Message{}, new(gossiper.Message)); !errors.Is(err, ErrUnreachable) {
		t.Errorf("call on a silent connection: got %v, want ErrUnreachable", err)
	}
	if err := nodes[0].Call(t.Context(), peer, "Exchange.Gossip", gossiper.Message{}, new(gossiper.Message)); err != nil {
		t.Errorf("call after a silent connection: %v", err)
	}
	nodes[0].Close()
	nodes[1].Close()
}

func TestCallErrors(t *testing.T) {
	nodes := start(t, 2, nil)
	peer := nodes[1].Dump().Self
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := gossiper.Peer{ID: "n9", Address: l.Addr().String()}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := nodes[0].Call(t.Context(), unreachable, "Exchange.Gossip", gossiper.Message{}, new(gossiper.Message)); !errors.Is(err, ErrNotSent) {
		t.Errorf("no listener: got %v, want ErrNotSent", err)
	}
	err = nodes[0].Call(t.Context(), peer, "Exchange.None", Nothing{}, new(int64))
	if err == nil || errors.Is(err, ErrUnreachable) || errors.Is(err, ErrNotSent) {
		t.Errorf("unknown method: got %v, want the method's error", err)
	}
}
