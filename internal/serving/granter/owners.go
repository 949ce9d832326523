package granter

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/heatherrock/heatherrock/internal/control/assigner"
	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

// cooldown is the time in which an instance is not asked.
type cooldown struct {
	failures int
	until    time.Time
}

// askOwners asks the owner of an endpoint for requests, or the standby if it does not reply.
func (g *Granter) askOwners(endpoint string, count int) Reply {
	g.mu.Lock()
	limit, ok := g.throttler.Limit(g.clock(), endpoint)
	g.mu.Unlock()
	if !ok {
		return Reply{Granted: count}
	}
	owners, isOwner := g.owners(endpoint)
	if isOwner {
		return g.take(Request{endpoint, limit, count}, false)
	}
	for _, owner := range owners {
		reply, answered := g.ask(owner, Request{endpoint, limit, count})
		if !answered {
			continue
		}
		if reply.IsLifted {
			g.mu.Lock()
			g.throttler.RecordReport(g.clock(), endpoint, false, 0)
			g.mu.Unlock()
		}
		return reply
	}
	return Reply{RetryAfter: unansweredDelay}
}

// ask asks an owner, and reports whether it replied in time. It asks once more if the connection broke, as others may have
// given it up, or if this process was paused.
func (g *Granter) ask(owner gossiper.Peer, r Request) (Reply, bool) {
	if owner.ID == g.exchange.Self().ID {
		return g.take(r, true), true
	}
	var err error
	for range maxAsks {
		startedAt := g.clock()
		var reply Reply
		if reply, err = g.askOnce(owner, r); err == nil {
			g.recordReply(owner)
			return reply, true
		}
		wasPaused := g.clock().Sub(startedAt) > askTimeout+maxOverrun
		if errors.Is(err, errNoReply) && !wasPaused {
			break
		}
	}
	g.recordFailure(owner, err)
	return Reply{}, false
}

// errNoReply means that an owner did not reply in time.
var errNoReply = merry.New("no reply in time")

// askOnce asks an owner, and waits for its reply up to askTimeout.
func (g *Granter) askOnce(owner gossiper.Peer, r Request) (Reply, error) {
	result := make(chan answer, 1)
	go g.runAsk(owner, r, result)
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case a := <-result:
		return a.reply, a.err
	case <-timer.C:
		return Reply{}, errNoReply
	}
}

// answer is the result of a call to an owner.
type answer struct {
	reply Reply
	err   error
}

// runAsk calls an owner and sends the result.
func (g *Granter) runAsk(owner gossiper.Peer, r Request, result chan<- answer) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var a answer
	a.err = g.exchange.Call(ctx, owner, "Grants.Take", r, &a.reply)
	result <- a
}

// recordFailure records that an instance did not reply. Failures of requests that asked it together count once.
func (g *Granter) recordFailure(owner gossiper.Peer, err error) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cooldowns[owner.ID]
	if now.Before(c.until) {
		return
	}
	maps.DeleteFunc(g.cooldowns, func(_ string, c cooldown) bool { return now.Sub(c.until) > maxCooldown })
	d := min(maxCooldown, minCooldown<<min(c.failures, 10))
	g.cooldowns[owner.ID] = cooldown{c.failures + 1, now.Add(d)}
	g.log.Info("owner of limits does not reply", "peer", owner.ID, "after", d.Seconds(), "error", err)
}

// recordReply records that an instance has replied.
func (g *Granter) recordReply(owner gossiper.Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.cooldowns, owner.ID)
}

// owners returns the instances to ask for an endpoint, the owner first, and whether this instance is the owner. One that did
// not reply is left out, but stays the owner: others may reach it.
func (g *Granter) owners(endpoint string) (out []gossiper.Peer, isOwner bool) {
	self := g.exchange.Self()
	ranked := rank(endpoint, self, g.exchange.LivePeers())
	if len(ranked) == 0 || ranked[0].ID == self.ID {
		return nil, true
	}
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range ranked {
		if !now.Before(g.cooldowns[p.ID].until) {
			out = append(out, p)
		}
	}
	return out, false
}

// rank returns the maxOwnersAsked instances of the region with the highest rendezvous weights, the highest first.
func rank(endpoint string, self gossiper.Peer, peers []gossiper.Peer) []gossiper.Peer {
	ranked := make([]gossiper.Peer, 0, maxOwnersAsked+1)
	var weights [maxOwnersAsked + 1]uint64
	add := func(p gossiper.Peer) {
		if p.Leaving || p.Region != self.Region {
			return
		}
		w := assigner.Weight(endpoint, p.ID)
		i := len(ranked)
		for i > 0 && w > weights[i-1] {
			i--
		}
		if i == maxOwnersAsked {
			return
		}
		ranked = slices.Insert(ranked, i, p)
		copy(weights[i+1:], weights[i:])
		weights[i] = w
		ranked = ranked[:min(len(ranked), maxOwnersAsked)]
	}
	add(self)
	for _, p := range peers {
		add(p)
	}
	return ranked
}
