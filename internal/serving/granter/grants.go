package granter

import "time"

// Statement is what an endpoint states of its limit.
type Statement struct {
	Endpoint  string
	IsLimited bool
	PerSecond float64
}

// Request asks for requests to an endpoint whose limit the sender knows.
type Request struct {
	Endpoint  string
	PerSecond float64
	// Count is the number of requests that the sender has.
	Count int
}

// Reply answers a Request.
type Reply struct {
	// Granted is the number of requests that may be sent.
	Granted int
	// RetryAfter is the time after which to ask again if fewer are granted than were asked for.
	RetryAfter time.Duration
	// IsLifted is true if the endpoint has ceased to state a limit.
	IsLifted bool
}

// Grants holds the methods that peers call over net/rpc.
type Grants struct {
	granter *Granter
}

// Take grants a peer requests to an endpoint.
func (s *Grants) Take(r Request, reply *Reply) error {
	_, isOwner := s.granter.owners(r.Endpoint)
	*reply = s.granter.take(r, !isOwner)
	return nil
}

// Report records what an endpoint stated to a peer, and publishes it.
func (s *Grants) Report(stated Statement, _ *struct{}) error {
	g := s.granter
	g.mu.Lock()
	g.throttler.RecordReport(g.clock(), stated.Endpoint, stated.IsLimited, stated.PerSecond)
	g.mu.Unlock()
	g.publish(stated)
	return nil
}
