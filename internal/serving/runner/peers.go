package runner

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/routing/limiter"
	"github.com/heatherrock/heatherrock/internal/serving/exchanger"
	"github.com/heatherrock/heatherrock/internal/serving/tallier"
	"github.com/heatherrock/heatherrock/internal/serving/watcher"
)

const (
	// urgentTimeout bounds the wait for the other instances to learn of a crash.
	urgentTimeout = 2 * time.Second
	// countsKey is the key under which an instance shares its teams' counts.
	countsKey = "counts"
)

// newExchange returns the instance's part in the exchange.
func (r *Runner) newExchange() *exchanger.Exchanger {
	s := r.settings
	options := []exchanger.Option{
		exchanger.WithInterval(s.Times.Gossip),
		exchanger.WithLogger(r.log),
		exchanger.WithMetrics(r.meter.Scope()),
	}
	if r.platform.List != nil {
		options = append(options, exchanger.WithLister(r.platform.List, s.Times.List))
	}
	options = append(options, r.secrets.exchange()...)
	return exchanger.New(r.self(), options...)
}

// self returns the instance as its peers know it.
func (r *Runner) self() gossiper.Peer {
	s := r.settings
	return gossiper.Peer{ID: s.ID, Address: r.address, DataCentre: s.DataCentre, Region: s.Region}
}

// newWatcher returns the part that keeps the picture of the endpoints that a router has.
func (r *Runner) newWatcher(router watcher.Router) *watcher.Watcher {
	return watcher.New(r.self(), r.platform.List, r.engines, router, r.services, r.exchange,
		watcher.WithIntervals(r.settings.Times.List, r.settings.Times.Report),
		watcher.WithCaches(r.engines, r.router),
		watcher.WithClock(r.clock),
		watcher.WithLogger(r.log),
	)
}

// notices are what instances tell each other at once. Its methods are called by peers.
type notices struct {
	runner *Runner
}

// Case takes in a case of the quarantine.
func (n *notices) Case(value []byte, _ *exchanger.Nothing) error {
	return n.runner.isolator.Take(n.runner.clock(), value)
}

// Trial takes in a trial that a peer is about to begin, and answers whether this instance objects.
func (n *notices) Trial(value []byte, objects *bool) error {
	var err error
	*objects, err = n.runner.isolator.Object(n.runner.clock(), value)
	return err
}

// Ask tells every reachable instance of a trial that is about to begin, and reports whether one objects.
func (n *notices) Ask(value []byte) bool {
	var objections atomic.Int64
	n.tell(func(ctx context.Context, p gossiper.Peer) error {
		var objects bool
		err := n.runner.exchange.Call(ctx, p, "Notices.Trial", value, &objects)
		if err == nil && objects {
			objections.Add(1)
		}
		return err
	})
	return objections.Load() > 0
}

// Publish shares a case of the quarantine with the other instances in time.
func (n *notices) Publish(key string, value []byte, ttl time.Duration) {
	n.runner.exchange.Publish(gossiper.TopicQuarantine, key, value, ttl)
}

// Urgent shares a case of the quarantine and returns once each reachable instance has it, or a bound has passed.
func (n *notices) Urgent(key string, value []byte, ttl time.Duration) {
	n.Publish(key, value, ttl)
	n.tell(func(ctx context.Context, p gossiper.Peer) error {
		return n.runner.exchange.Call(ctx, p, "Notices.Case", value, &exchanger.Nothing{})
	})
}

// tell calls every instance that is known, also one not yet heard from, at once and returns when all have answered or a bound has passed.
func (n *notices) tell(call func(ctx context.Context, p gossiper.Peer) error) {
	ctx, cancel := context.WithTimeout(context.Background(), urgentTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, p := range n.runner.exchange.Known() {
		wait.Go(func() {
			if err := call(ctx, p); err != nil {
				n.runner.log.Warn("peer not told of a crash or a trial", "peer", p.ID, "error", err)
			}
		})
	}
	wait.Wait()
}

// subscribe takes in what the other instances share.
func (r *Runner) subscribe() {
	r.exchange.Subscribe(gossiper.TopicQuarantine, func(e gossiper.Entry) {
		if e.Deleted {
			return
		}
		if err := r.isolator.Take(r.clock(), e.Value); err != nil {
			r.log.Warn("case not readable", "owner", e.Owner, "error", err)
		}
	})
	r.exchange.Subscribe(gossiper.TopicLimit, func(e gossiper.Entry) {
		if e.Deleted {
			r.admitter.Forget(e.Owner)
			return
		}
		var counts limiter.Counts
		if err := json.Unmarshal(e.Value, &counts); err != nil {
			r.log.Warn("counts not readable", "owner", e.Owner, "error", err)
			return
		}
		r.admitter.Merge(e.Owner, counts)
	})
}

// share shares the teams' counts, with all others or in a large fleet with the teams' homes, and takes in how many
// instances there are.
func (r *Runner) share(now time.Time) {
	members := r.Members()
	r.router.SetPeers(now, members)
	r.router.Configure(now, r.View())
	r.admitter.Expect(members)
	if members >= tallier.MinInstances {
		r.exchange.Withdraw(gossiper.TopicLimit, countsKey)
		r.tallier.Round(context.Background())
		return
	}
	value, err := json.Marshal(r.admitter.Counts())
	if err != nil {
		panic(err) // Counts always have an encoding.
	}
	r.exchange.Publish(gossiper.TopicLimit, countsKey, value, 0)
}

// Members counts the live instances, this one included.
func (r *Runner) Members() int {
	return len(r.exchange.Peers()) + 1
}
