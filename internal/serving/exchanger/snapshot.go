package exchanger

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

// askAtOnce bounds the peers that are asked at the same time.
const askAtOnce = 16

// vote is the epoch that a peer vouches for.
type vote struct {
	peer  gossiper.Peer
	epoch int64
}

// Highest returns the configuration with the highest epoch that reachable peers vouch for, and how many peers
// answered. The epoch is 0 if none vouches for any.
func (x *Exchanger) Highest(ctx context.Context) (Vouched, int) {
	votes := x.poll(ctx, x.Known())
	answered := len(votes)
	slices.SortStableFunc(votes, func(a, b vote) int { return cmp.Compare(b.epoch, a.epoch) })
	for _, v := range votes {
		var reply Vouched
		if v.epoch == 0 {
			break
		}
		if err := x.Call(ctx, v.peer, "Exchange.Snapshot", Nothing{}, &reply); err == nil && reply.Epoch >= v.epoch {
			return reply, answered
		}
	}
	return Vouched{}, answered
}

// poll asks peers for the epochs that they vouch for.
func (x *Exchanger) poll(ctx context.Context, peers []gossiper.Peer) []vote {
	var mu sync.Mutex
	var votes []vote
	var wait sync.WaitGroup
	places := make(chan struct{}, askAtOnce)
	for _, p := range peers {
		places <- struct{}{}
		wait.Go(func() {
			defer func() { <-places }()
			var epoch int64
			if err := x.Call(ctx, p, "Exchange.Epoch", Nothing{}, &epoch); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			votes = append(votes, vote{p, epoch})
		})
	}
	wait.Wait()
	return votes
}
