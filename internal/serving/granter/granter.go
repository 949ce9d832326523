// Package granter asks for the requests to endpoints that state a limit: at the owner of the endpoint, which is one of the
// instances. The owner follows from the endpoint's id and the live instances, so nothing has to be agreed.
package granter

import (
	"context"
	"log/slog"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
	"github.com/heatherrock/heatherrock/internal/routing/throttler"
)

// The parameters of a Granter.
const (
	// askTimeout is how long a request waits for the owner's reply. Within a region it takes a few milliseconds.
	askTimeout = 100 * time.Millisecond
	// callTimeout bounds the call itself. A shorter one would close connections that are only slow.
	callTimeout = 400 * time.Millisecond
	// maxOverrun is how long after its timeout a wait may end before this process counts as having been paused: the reply
	// may have arrived and not been read.
	maxOverrun = 20 * time.Millisecond
	// minCooldown is how long an instance that did not reply is not asked. It doubles with each further failure in a row, up
	// to maxCooldown.
	minCooldown = 200 * time.Millisecond
	maxCooldown = 2 * time.Second
	// maxOwnersAsked is the number of instances that are asked for one request: the owner and a standby.
	maxOwnersAsked = 2
	// maxAsks is how often an owner is asked for one request.
	maxAsks = 2
	// unansweredDelay is the time after which to ask again if no owner has replied.
	unansweredDelay = minCooldown
	// publishInterval is the time after which a limit that still holds is published anew.
	publishInterval = throttler.ReportTTL / 2
)

// Exchange carries calls and soft state between instances.
type Exchange interface {
	Self() gossiper.Peer
	LivePeers() []gossiper.Peer
	Call(ctx context.Context, peer gossiper.Peer, method string, args, reply any) error
	Register(name string, receiver any) error
	Publish(topic, key string, value []byte, ttl time.Duration)
	Subscribe(topic string, f func(gossiper.Entry))
}

// Granter keeps the requests of the fleet to endpoints within the limits that they state. Its methods may be called from any
// goroutine.
type Granter struct {
	exchange Exchange
	log      *slog.Logger
	clock    func() time.Time

	mu        sync.Mutex
	throttler *throttler.Throttler
	// cooldowns holds the instances that did not reply.
	cooldowns map[string]cooldown
	// batches holds, by endpoint, the requests that wait while others are asked for.
	batches map[string][]chan<- decision
	// published holds the limits that this instance has published as an owner.
	published map[string]publication
}

// publication is a published limit.
type publication struct {
	value string
	at    time.Time
}

// New returns a Granter that knows of no limit.
func New(x Exchange, log *slog.Logger, clock func() time.Time) *Granter {
	g := &Granter{
		exchange: x, log: log, clock: clock, throttler: throttler.New(), cooldowns: map[string]cooldown{}, published: map[string]publication{},
		batches: map[string][]chan<- decision{},
	}
	if err := x.Register("Grants", &Grants{g}); err != nil {
		panic(err) // The methods have the form that net/rpc requires.
	}
	x.Subscribe(gossiper.TopicThrottle, g.recordEntry)
	return g
}

// RecordStatement records what an endpoint stated in a response, and reports news to its owner.
func (g *Granter) RecordStatement(endpoint string, isLimited bool, perSecond float64) {
	g.mu.Lock()
	isNews := g.throttler.RecordStatement(g.clock(), endpoint, isLimited, perSecond)
	g.mu.Unlock()
	if isNews {
		go g.runReport(Statement{endpoint, isLimited, perSecond})
	}
}

// runReport reports a statement to the endpoint's owner.
func (g *Granter) runReport(s Statement) {
	owners, isOwner := g.owners(s.Endpoint)
	if isOwner {
		g.publish(s)
		return
	}
	for _, owner := range owners {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := g.exchange.Call(ctx, owner, "Grants.Report", s, &struct{}{})
		cancel()
		if err == nil {
			return
		}
		g.recordFailure(owner, err)
	}
}

// Take reports whether a request may be sent to an endpoint, and if not, the time after which to ask again.
func (g *Granter) Take(ctx context.Context, endpoint string) (granted bool, retryAfter time.Duration) {
	g.mu.Lock()
	limit, ok := g.throttler.Limit(g.clock(), endpoint)
	g.mu.Unlock()
	if !ok {
		return true, 0
	}
	owners, isOwner := g.owners(endpoint)
	if isOwner {
		reply := g.take(Request{endpoint, limit, 1}, false)
		return reply.Granted > 0, reply.RetryAfter
	}
	if len(owners) == 0 {
		return false, unansweredDelay
	}
	result := make(chan decision, 1)
	if g.enqueue(endpoint, result) {
		go g.runBatches(endpoint)
	}
	select {
	case d := <-result:
		return d.granted, d.retryAfter
	case <-ctx.Done():
		return false, unansweredDelay
	}
}

// take grants requests from the bucket of this instance. An owner that does not know the limit goes by what the sender knows.
func (g *Granter) take(r Request, isStandby bool) Reply {
	now := g.clock()
	g.mu.Lock()
	if g.throttler.IsLifted(now, r.Endpoint) {
		g.mu.Unlock()
		return Reply{Granted: r.Count, IsLifted: true}
	}
	limit, isKnown := g.throttler.Limit(now, r.Endpoint)
	if !isKnown {
		limit = r.PerSecond
	}
	granted, retryAfter := g.throttler.Take(now, r.Endpoint, limit, isStandby, r.Count)
	g.mu.Unlock()
	if isKnown && !isStandby {
		g.publish(Statement{r.Endpoint, true, limit})
	}
	return Reply{Granted: granted, RetryAfter: retryAfter}
}

// publish publishes what an endpoint states, unless others know it from this instance.
func (g *Granter) publish(s Statement) {
	value := ""
	if s.IsLimited {
		value = strconv.FormatFloat(s.PerSecond, 'g', -1, 64)
	}
	now := g.clock()
	g.mu.Lock()
	last := g.published[s.Endpoint]
	isKnown := last.value == value && now.Sub(last.at) < publishInterval
	if !isKnown {
		maps.DeleteFunc(g.published, func(_ string, p publication) bool { return now.Sub(p.at) > publishInterval })
		g.published[s.Endpoint] = publication{value, now}
	}
	g.mu.Unlock()
	if !isKnown {
		g.exchange.Publish(gossiper.TopicThrottle, s.Endpoint, []byte(value), throttler.ReportTTL)
	}
}

// recordEntry records a limit that another owner has published.
func (g *Granter) recordEntry(e gossiper.Entry) {
	if e.Deleted {
		return // What is reported expires here as well.
	}
	limit, err := 0.0, error(nil)
	if len(e.Value) > 0 {
		if limit, err = strconv.ParseFloat(string(e.Value), 64); err != nil {
			g.log.Warn("published limit not read", "endpoint", e.Key, "owner", e.Owner, "error", err)
			return
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.throttler.RecordReport(g.clock(), e.Key, len(e.Value) > 0, limit)
}

// Forget drops all that is known of an endpoint.
func (g *Granter) Forget(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.throttler.Forget(endpoint)
	delete(g.published, endpoint)
}
