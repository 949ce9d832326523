package granter

import "time"

// decision is the result for one request.
type decision struct {
	granted    bool
	retryAfter time.Duration
}

// enqueue adds a request to the next batch for an endpoint, and reports whether it is the only one and no batch is asked for.
func (g *Granter) enqueue(endpoint string, result chan<- decision) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	batch, isAsked := g.batches[endpoint]
	g.batches[endpoint] = append(batch, result)
	return !isAsked
}

// nextBatch returns the requests that wait for a grant of an endpoint, or nil if there are none.
func (g *Granter) nextBatch(endpoint string) []chan<- decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	batch := g.batches[endpoint]
	if len(batch) == 0 {
		delete(g.batches, endpoint)
		return nil
	}
	g.batches[endpoint] = nil
	return batch
}

// runBatches asks for the requests that wait for a grant of an endpoint, one batch after the other, until none is left. A busy
// instance so has one call for each endpoint in progress.
func (g *Granter) runBatches(endpoint string) {
	for batch := g.nextBatch(endpoint); batch != nil; batch = g.nextBatch(endpoint) {
		reply := g.askOwners(endpoint, len(batch))
		for i, result := range batch {
			result <- decision{i < reply.Granted, reply.RetryAfter}
		}
	}
}
