package gateway

import (
	"strconv"
	"time"

	"github.com/heatherrock/heatherrock/internal/control/gossiper"
)

const (
	// leavingTTL is how long the other instances are told of an endpoint that has stated that it leaves.
	leavingTTL = time.Minute
	// unlistedProcessAge is how long a process without a row is remembered.
	unlistedProcessAge = 10 * time.Minute
)

// process is the process that runs as an endpoint. It outlasts the endpoint's row, which may be lost or unreadable for a time
// while the process goes on: what the process has stated still holds.
type process struct {
	// start is the start of the process as a Unix time in milliseconds, by the clock of its machine.
	start int64
	// isLeaving is true if the process has stated in a response that it leaves.
	isLeaving bool
	// unlistedAt is when its row went; zero while there is one.
	unlistedAt time.Time
}

// listProcess records that an endpoint's row names the process that started at start. If another one had the id, what that
// one had stated is dropped. The lock is held.
func (g *Gateway) listProcess(endpoint string, start int64) process {
	p, ok := g.processes[endpoint]
	if ok && p.start != start {
		g.forwarder.ResetEndpoint(endpoint)
		p.isLeaving = false
	}
	p.start, p.unlistedAt = start, time.Time{}
	g.processes[endpoint] = p
	return p
}

// unlist removes an endpoint whose row is gone or cannot be read. The lock is held.
func (g *Gateway) unlist(now time.Time, endpoint string) {
	delete(g.endpoints, endpoint)
	if p, ok := g.processes[endpoint]; ok && p.unlistedAt.IsZero() {
		p.unlistedAt = now
		g.processes[endpoint] = p
	}
}

// forgetProcesses drops the processes that have had no row for unlistedProcessAge.
func (g *Gateway) forgetProcesses(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for endpoint, p := range g.processes {
		if !p.unlistedAt.IsZero() && now.Sub(p.unlistedAt) > unlistedProcessAge {
			delete(g.processes, endpoint)
			g.forwarder.ResetEndpoint(endpoint)
		}
	}
}

// handleStatedLeaving handles the statement of an endpoint in a response that it leaves, and tells the other instances.
func (g *Gateway) handleStatedLeaving(endpoint string) {
	g.mu.Lock()
	p, ok := g.processes[endpoint]
	g.mu.Unlock()
	if ok && g.markLeaving(g.clock(), endpoint, p.start) {
		g.exchange.Publish(gossiper.TopicLeaving, endpoint, strconv.AppendInt(nil, p.start, 10), leavingTTL)
	}
}

// recordLeavingEntry records what another instance tells of an endpoint that leaves.
func (g *Gateway) recordLeavingEntry(e gossiper.Entry) {
	if e.Deleted {
		return // The endpoint still leaves.
	}
	start, err := strconv.ParseInt(string(e.Value), 10, 64)
	if err != nil {
		g.log.Warn("leave of an endpoint not read", "endpoint", e.Key, "peer", e.Owner, "error", err)
		return
	}
	g.markLeaving(g.clock(), e.Key, start)
}

// markLeaving marks the process of an endpoint that started at start as leaving, and reports whether that is news. One that has
// started anew under the same id is not marked. A process whose row has not been read yet is marked once it is.
func (g *Gateway) markLeaving(now time.Time, endpoint string, start int64) bool {
	g.mu.Lock()
	p, ok := g.processes[endpoint]
	if ok && (p.isLeaving || p.start != start) {
		g.mu.Unlock()
		return false
	}
	if !ok {
		p = process{start: start, unlistedAt: now}
	}
	p.isLeaving = true
	g.processes[endpoint] = p
	e, isListed := g.endpoints[endpoint]
	if isListed && e.Leaving {
		g.mu.Unlock()
		return false
	}
	if isListed {
		e.Leaving = true
		g.endpoints[endpoint] = e
	}
	g.mu.Unlock()
	g.log.Info("endpoint has stated that it leaves", "endpoint", endpoint, "address", e.Address)
	if isListed {
		g.distributeEndpoints(now)
	}
	return true
}
