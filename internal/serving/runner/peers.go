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
	// urgentTimeout limits the wait for the other instances to receive a crash or a trial.
	urgentTimeout = 2 * time.Second
	// countsKey is the key under which an instance publishes its teams' counts.
	countsKey = "counts"
)

// newExchange returns the instance's end of the exchange.
func (r *Runner) newExchange() *exchanger.Exchanger {
	s := r.settings
	options := []exchanger.Option{
		exchanger.WithInterval(s.Times.GossipInterval),
		exchanger.WithLogger(r.log),
		exchanger.WithMetrics(r.meter.Scope()),
		exchanger.WithBounds(r.plan.Peers, r.plan.MessageBytes),
	}
	if r.platform.List != nil {
		options = append(options, exchanger.WithLister(r.platform.List, s.Times.ListInterval))
	}
	options = append(options, r.terminators.exchangeOptions()...)
	return exchanger.New(r.self(), options...)
}

// self returns this instance as a peer of the others.
func (r *Runner) self() gossiper.Peer {
	s := r.settings
	return gossiper.Peer{ID: s.ID, Address: r.address, DataCentre: s.DataCentre, Region: s.Region}
}

// newWatcher returns the watcher that reports endpoints to a router and to the services.
func (r *Runner) newWatcher(router watcher.Router) *watcher.Watcher {
	return watcher.New(r.self(), r.platform.List, r.engines, router, r.services, r.exchange,
		watcher.WithIntervals(r.settings.Times.ListInterval, r.settings.Times.LoadReadInterval),
		watcher.WithCacheEvents(r.engines, r.router),
		watcher.WithClock(r.clock),
		watcher.WithLogger(r.log),
	)
}

// notices sends and receives the notices that can't wait for the next round of gossip. Peers call Case and Trial.
type notices struct {
	runner *Runner
}

// Case merges a peer's case into the quarantine.
func (n *notices) Case(value []byte, _ *exchanger.Nothing) error {
	return n.runner.isolator.MergeCase(n.runner.clock(), value)
}

// Trial records a trial that a peer is about to begin, and returns whether this instance objects.
func (n *notices) Trial(value []byte, objects *bool) error {
	var err error
	*objects, err = n.runner.isolator.RecordTrial(n.runner.clock(), value)
	return err
}

// Ask announces a trial that is about to begin to every reachable instance, and reports whether one objects.
func (n *notices) Ask(value []byte) bool {
	var objectionCount atomic.Int64
	n.callPeers(func(ctx context.Context, p gossiper.Peer) error {
		var objects bool
		err := n.runner.exchange.Call(ctx, p, "Notices.Trial", value, &objects)
		if err == nil && objects {
			objectionCount.Add(1)
		}
		return err
	})
	return objectionCount.Load() > 0
}

// Publish shares a case of the quarantine with the other instances by gossip.
func (n *notices) Publish(key string, value []byte, ttl time.Duration) {
	n.runner.exchange.Publish(gossiper.TopicQuarantine, key, value, ttl)
}

// Urgent shares a case of the quarantine and returns once each reachable instance has it, or after urgentTimeout.
func (n *notices) Urgent(key string, value []byte, ttl time.Duration) {
	n.Publish(key, value, ttl)
	n.callPeers(func(ctx context.Context, p gossiper.Peer) error {
		return n.runner.exchange.Call(ctx, p, "Notices.Case", value, &exchanger.Nothing{})
	})
}

// callPeers calls all known instances concurrently, including those that have not sent anything yet. It returns when all
// calls have ended, at the latest after urgentTimeout.
func (n *notices) callPeers(call func(ctx context.Context, p gossiper.Peer) error) {
	ctx, cancel := context.WithTimeout(context.Background(), urgentTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, p := range n.runner.exchange.KnownPeers() {
		wait.Go(func() {
			if err := call(ctx, p); err != nil {
				n.runner.log.Warn("could not notify peer of a crash or a trial", "peer", p.ID, "error", err)
			}
		})
	}
	wait.Wait()
}

// subscribeToPeers subscribes to the quarantine cases and the teams' counts of the other instances.
func (r *Runner) subscribeToPeers() {
	r.exchange.Subscribe(gossiper.TopicQuarantine, func(e gossiper.Entry) {
		if e.Deleted {
			return
		}
		if err := r.isolator.MergeCase(r.clock(), e.Value); err != nil {
			r.log.Warn("quarantine case not readable", "owner", e.Owner, "error", err)
		}
	})
	r.exchange.Subscribe(gossiper.TopicLimit, func(e gossiper.Entry) {
		if e.Deleted {
			r.admitter.RemovePeer(e.Owner)
			return
		}
		var counts limiter.Counts
		if err := json.Unmarshal(e.Value, &counts); err != nil {
			r.log.Warn("counts not readable", "owner", e.Owner, "error", err)
			return
		}
		r.admitter.MergePeerCounts(e.Owner, counts)
	})
}

// shareCounts publishes the teams' counts to all instances or, in a large fleet, sends them to the instances that
// aggregate them, the teams' homes. It also updates the configuration and the number of instances that the router and
// the admitter use.
func (r *Runner) shareCounts(now time.Time) {
	instanceCount := r.Members()
	r.router.SetInstanceCount(now, instanceCount)
	r.router.Configure(now, r.View())
	r.admitter.SetInstanceCount(instanceCount)
	if instanceCount >= tallier.MinInstances {
		r.exchange.Withdraw(gossiper.TopicLimit, countsKey)
		r.tallier.Round(context.Background())
		return
	}
	value, err := json.Marshal(r.admitter.Counts())
	if err != nil {
		panic(err) // Counts can always be encoded.
	}
	r.exchange.Publish(gossiper.TopicLimit, countsKey, value, 0)
}

// Members returns the number of live instances, including this one.
func (r *Runner) Members() int {
	return len(r.exchange.LivePeers()) + 1
}
