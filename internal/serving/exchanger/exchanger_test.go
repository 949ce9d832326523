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

// listed is a fixed instance list.
type listed []lister.Instance

// List returns the instances.
func (l listed) List(context.Context) ([]lister.Instance, error) {
	return l, nil
}

// start starts instances that know each other from a list. Rounds are 10 ms apart.
func start(t *testing.T, count int, settings func(i int) []Option) []*Exchanger {
	t.Helper()
	var listeners []net.Listener
	var list listed
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

// watch returns the entries of a topic as they come in.
func watch(x *Exchanger, topic string) <-chan gossiper.Entry {
	out := make(chan gossiper.Entry, 64)
	x.Subscribe(topic, func(e gossiper.Entry) { out <- e })
	return out
}

func TestPublishReachesSubscribers(t *testing.T) {
	nodes := start(t, 4, nil)
	var watched []<-chan gossiper.Entry
	for _, x := range nodes[1:] {
		watched = append(watched, watch(x, gossiper.TopicHead))
	}
	nodes[0].Publish(gossiper.TopicHead, "epoch", []byte("4"), 0)
	for _, w := range watched {
		e := <-w
		if diff := cmp.Diff([]string{"n0", "epoch", "4"}, []string{e.Owner, e.Key, string(e.Value)}); diff != "" {
			t.Errorf("entry mismatch (-want +got):\n%s", diff)
		}
	}
	nodes[0].Withdraw(gossiper.TopicHead, "epoch")
	for _, w := range watched {
		if e := <-w; !e.Deleted {
			t.Errorf("got %+v, want a deletion", e)
		}
	}
}

func TestSubscribeTellsWhatIsHeld(t *testing.T) {
	nodes := start(t, 2, nil)
	first := watch(nodes[1], gossiper.TopicHead)
	nodes[0].Publish(gossiper.TopicHead, "epoch", []byte("4"), 0)
	<-first
	if e := <-watch(nodes[1], gossiper.TopicHead); string(e.Value) != "4" {
		t.Errorf("got %q, want 4", e.Value)
	}
}

func TestLeaveIsToldBeforeItReturns(t *testing.T) {
	nodes := start(t, 3, nil)
	members := watch(nodes[0], gossiper.TopicMember)
	for seen := map[string]bool{}; len(seen) < 2; {
		seen[(<-members).Owner] = true
	}
	nodes[0].Leave(t.Context())
	for _, x := range nodes[1:] {
		for _, m := range x.Dump().Members {
			if m.Peer.ID == "n0" && m.State != gossiper.StateLeaving {
				t.Errorf("%s sees n0 as %s", x.Dump().Self.ID, m.State)
			}
		}
	}
}

// relay passes connections on to an address. Muted connections stay open and pass nothing.
type relay struct {
	net.Listener
	to    string
	mu    sync.Mutex
	conns []*muted
	wait  sync.WaitGroup
}

// muted is a connection that can be silenced.
type muted struct {
	net.Conn
	mu     sync.Mutex
	silent bool
}

// Write writes, or drops what it is given once silent.
func (m *muted) Write(b []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.silent {
		return len(b), nil
	}
	return m.Conn.Write(b)
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
		m := &muted{Conn: in}
		r.mu.Lock()
		r.conns = append(r.conns, m)
		r.mu.Unlock()
		r.wait.Add(2)
		go r.runCopy(out, in)
		go r.runCopy(m, out)
	}
}

// runCopy copies one way until an end closes.
func (r *relay) runCopy(to, from net.Conn) {
	defer r.wait.Done()
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// silence lets the connections that are open pass nothing more towards those who opened them.
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
	nobody := gossiper.Peer{ID: "n9", Address: l.Addr().String()}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := nodes[0].Call(t.Context(), nobody, "Exchange.Gossip", gossiper.Message{}, new(gossiper.Message)); !errors.Is(err, ErrNotSent) {
		t.Errorf("no listener: got %v, want ErrNotSent", err)
	}
	err = nodes[0].Call(t.Context(), peer, "Exchange.None", Nothing{}, new(int64))
	if err == nil || errors.Is(err, ErrUnreachable) || errors.Is(err, ErrNotSent) {
		t.Errorf("unknown method: got %v, want the method's error", err)
	}
}
